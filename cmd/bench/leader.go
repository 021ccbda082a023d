package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"turmericroute/ctrl"
)

const (
	leaderClusters      = 4
	failoversPerCluster = 6
	// writersPerCluster is the number of concurrent writers, whose acknowledged commits must never be lost.
	writersPerCluster = 4
	writeTimeout      = 5 * time.Second
)

// measureLeaderless stops the leader abruptly several times in each of several
// clusters, and measures the time until another instance commits a command.
func measureLeaderless(ctx context.Context, c cluster, f figures) error {
	var mu sync.Mutex
	var gaps []time.Duration
	lost, accepted := 0, 0
	errs := make([]error, leaderClusters)
	var wg sync.WaitGroup
	for i := range leaderClusters {
		wg.Go(func() {
			sub := cluster{dir: fmt.Sprintf("%s/%d", c.dir, i), verbose: c.verbose}
			g, a, missing, err := sub.runFailovers(ctx)
			mu.Lock()
			defer mu.Unlock()
			gaps, lost, accepted, errs[i] = append(gaps, g...), lost+missing, accepted+a, err
		})
	}
	wg.Wait()
	f["leaderless_tries"], f["accepted_commits"] = float64(len(gaps)), float64(accepted)
	f["leaderless_p50_ms"], f["leaderless_p99_ms"] = millis(durationQuantile(gaps, 0.5)), millis(durationQuantile(gaps, 0.99))
	f["lost_commits"] = float64(lost)
	return errors.Join(errs...)
}

// runFailovers fails over failoversPerCluster times while writers commit. It returns
// the time without a leader of each, and the accepted and the lost commits.
func (c *cluster) runFailovers(ctx context.Context) (gaps []time.Duration, accepted, lost int, err error) {
	if err := c.start(3, 1); err != nil {
		return nil, 0, 0, err
	}
	defer c.close()
	w := &writer{node: c.nodes["d0"], accepted: map[string]bool{}}
	writeCtx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range writersPerCluster {
		wg.Go(func() { w.run(writeCtx, i) })
	}
	for range failoversPerCluster {
		gap, failErr := c.failOver(w)
		if failErr != nil {
			err = failErr
			break
		}
		gaps = append(gaps, gap)
	}
	stop()
	wg.Wait()
	if err != nil {
		return gaps, 0, 0, err
	}
	lost, err = c.countLost(w.accepted)
	return gaps, len(w.accepted), lost, err
}

// failOver stops the leader, waits for the next commit, and restarts the stopped
// instance. It returns the time from the start of the stop to that commit.
func (c *cluster) failOver(w *writer) (time.Duration, error) {
	name := c.leader().Status().Name
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	start := time.Now()
	if err := c.nodes[name].Close(cancelled); err != nil {
		return 0, fmt.Errorf("close leader: %w", err)
	}
	closedAt := time.Now()
	gap := w.waitForCommit(closedAt).Sub(start)
	for _, p := range c.peers {
		if p.Name == name {
			if err := c.startInstance(p); err != nil {
				return 0, err
			}
		}
	}
	return gap, c.waitForLeader()
}

// countLost returns how many accepted commits are missing on up-to-date instances, summed over all instances.
func (c *cluster) countLost(accepted map[string]bool) (int, error) {
	lost := 0
	for _, n := range c.nodes {
		ctx, cancel := context.WithTimeout(context.Background(), clusterTimeout)
		err := n.Barrier(ctx)
		cancel()
		if err != nil {
			return 0, fmt.Errorf("barrier: %w", err)
		}
		for name := range accepted {
			if _, ok := n.Machine().Worker(name); !ok {
				lost++
			}
		}
	}
	return lost, nil
}

// writer commits through one instance and records the accepted commands.
type writer struct {
	node      *ctrl.Node
	mu        sync.Mutex
	accepted  map[string]bool
	lastStart time.Time // start of the accepted command that started last
	lastDone  time.Time
}

func (w *writer) run(ctx context.Context, id int) {
	for i := 0; ctx.Err() == nil; i++ {
		n := id*1_000_000 + i
		start := time.Now()
		callCtx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		_, err := w.node.Execute(callCtx, registerWorker(n))
		cancel()
		if err != nil {
			continue
		}
		w.mu.Lock()
		w.accepted[fmt.Sprintf("worker-%06d", n)] = true
		if start.After(w.lastStart) {
			w.lastStart, w.lastDone = start, time.Now()
		}
		w.mu.Unlock()
	}
}

// waitForCommit waits until a command that started after the given time is accepted
// and returns the time at which it was.
func (w *writer) waitForCommit(after time.Time) time.Time {
	for {
		w.mu.Lock()
		last, done := w.lastStart, w.lastDone
		w.mu.Unlock()
		if last.After(after) {
			return done
		}
		time.Sleep(time.Millisecond)
	}
}
