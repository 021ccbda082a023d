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
	leaderClusters = 4
	leaderTries    = 6
	// leaderWriters write all the time; what they were told is committed must never be lost.
	leaderWriters = 4
	writeTimeout  = 5 * time.Second
)

// measureLeaderless ends the leader without warning several times in each of
// several clusters, and measures the time until another instance commits again.
func measureLeaderless(ctx context.Context, l lab, f figures) error {
	var mu sync.Mutex
	var gaps []time.Duration
	lost, accepted := 0, 0
	errs := make([]error, leaderClusters)
	var wg sync.WaitGroup
	for i := range leaderClusters {
		wg.Go(func() {
			c := lab{dir: fmt.Sprintf("%s/%d", l.dir, i), verbose: l.verbose}
			g, a, missing, err := c.loseLeaders(ctx)
			mu.Lock()
			defer mu.Unlock()
			gaps, lost, accepted, errs[i] = append(gaps, g...), lost+missing, accepted+a, err
		})
	}
	wg.Wait()
	f["leaderless_tries"], f["accepted_commits"] = float64(len(gaps)), float64(accepted)
	f["leaderless_p50_ms"], f["leaderless_p99_ms"] = millis(quantile(gaps, 0.5)), millis(quantile(gaps, 0.99))
	f["lost_commits"] = float64(lost)
	return errors.Join(errs...)
}

func (l *lab) loseLeaders(ctx context.Context) (gaps []time.Duration, accepted, lost int, err error) {
	if err := l.start(3, 1); err != nil {
		return nil, 0, 0, err
	}
	defer l.close()
	w := &writer{node: l.nodes["d0"], accepted: map[string]bool{}}
	writing, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range leaderWriters {
		wg.Go(func() { w.run(writing, i) })
	}
	for range leaderTries {
		gap, tryErr := l.loseLeader(w)
		if tryErr != nil {
			err = tryErr
			break
		}
		gaps = append(gaps, gap)
	}
	stop()
	wg.Wait()
	if err != nil {
		return gaps, 0, 0, err
	}
	lost, err = l.missing(w.accepted)
	return gaps, len(w.accepted), lost, err
}

// loseLeader ends the leader, waits for the next commit, and starts it again.
func (l *lab) loseLeader(w *writer) (time.Duration, error) {
	name := l.leader().Status().Name
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	start := time.Now()
	if err := l.nodes[name].Close(ended); err != nil {
		return 0, fmt.Errorf("close leader: %w", err)
	}
	closed := time.Now()
	gap := w.next(closed).Sub(start)
	for _, p := range l.peers {
		if p.Name == name {
			if err := l.run(p); err != nil {
				return 0, err
			}
		}
	}
	return gap, l.settle()
}

// missing counts accepted commits that an instance with a fresh view does not hold.
func (l *lab) missing(accepted map[string]bool) (int, error) {
	lost := 0
	for _, n := range l.nodes {
		ctx, cancel := context.WithTimeout(context.Background(), labTimeout)
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

// writer commits through one instance and remembers what was accepted.
type writer struct {
	node     *ctrl.Node
	mu       sync.Mutex
	accepted map[string]bool
	last     time.Time // start of the last accepted command
	lastDone time.Time
}

func (w *writer) run(ctx context.Context, id int) {
	for i := 0; ctx.Err() == nil; i++ {
		n := id*1_000_000 + i
		start := time.Now()
		call, cancel := context.WithTimeout(context.Background(), writeTimeout)
		_, err := w.node.Execute(call, register(n))
		cancel()
		if err != nil {
			continue
		}
		w.mu.Lock()
		w.accepted[fmt.Sprintf("worker-%06d", n)] = true
		if start.After(w.last) {
			w.last, w.lastDone = start, time.Now()
		}
		w.mu.Unlock()
	}
}

// next returns when a command that was begun after a moment was first seen to be accepted.
func (w *writer) next(after time.Time) time.Time {
	for {
		w.mu.Lock()
		last, done := w.last, w.lastDone
		w.mu.Unlock()
		if last.After(after) {
			return done
		}
		time.Sleep(time.Millisecond)
	}
}
