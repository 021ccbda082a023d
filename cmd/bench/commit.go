package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"turmericroute/ctrl"
	"turmericroute/quorum"
	"turmericroute/state"
	"turmericroute/store"
)

const (
	commitSamples  = 2000
	groupWriters   = 64
	throughputTime = 2 * time.Second
	patchSamples   = 200
	// workerCount is the number of registered workers, which gives the state a realistic size.
	workerCount = 880
)

// measureCommit compares the latency of commits on three instances with that of an
// append and sync of as many bytes, in alternation, and the throughput of 64
// writers with that of one.
func measureCommit(_ context.Context, c cluster, f figures) error {
	if err := c.start(3, 0); err != nil {
		return err
	}
	defer c.close()
	n := c.leader()
	size, err := recordBytes(registerWorker(0))
	if err != nil {
		return err
	}
	file, err := os.OpenFile(filepath.Join(c.dir, "baseline"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("create baseline file: %w", err)
	}
	defer file.Close()
	commits, syncs := make([]time.Duration, commitSamples), make([]time.Duration, commitSamples)
	for i := range commitSamples {
		if commits[i], err = timed(func() error { return commit(n, registerWorker(i%workerCount)) }); err != nil {
			return err
		}
		if syncs[i], err = timed(func() error { return appendSync(file, size) }); err != nil {
			return err
		}
	}
	f["commit_p50_ms"], f["commit_p99_ms"] = millis(durationQuantile(commits, 0.5)), millis(durationQuantile(commits, 0.99))
	f["sync_p50_ms"], f["sync_p99_ms"] = millis(durationQuantile(syncs, 0.5)), millis(durationQuantile(syncs, 0.99))
	f["commit_p50_ratio"] = f["commit_p50_ms"] / f["sync_p50_ms"]
	f["commit_p99_ratio"] = f["commit_p99_ms"] / f["sync_p99_ms"]
	single, err := commitThroughput(n, 1)
	if err != nil {
		return err
	}
	grouped, err := commitThroughput(n, groupWriters)
	if err != nil {
		return err
	}
	f["commits_s_1_writer"], f["commits_s_64_writers"], f["group_commit_ratio"] = single, grouped, grouped/single
	return nil
}

// recordBytes returns the size of a command's record in the log, in bytes.
func recordBytes(c state.Command) (int, error) {
	data, err := state.Encode(c)
	if err != nil {
		return 0, fmt.Errorf("encode command: %w", err)
	}
	return store.RecordBytes(quorum.Entry{Data: data}), nil
}

func appendSync(file *os.File, size int) error {
	if _, err := file.Write(make([]byte, size)); err != nil {
		return fmt.Errorf("append: %w", err)
	}
	if err := file.Sync(); err != nil {
		return fmt.Errorf("sync: %w", err)
	}
	return nil
}

func timed(f func() error) (time.Duration, error) {
	start := time.Now()
	err := f()
	return time.Since(start), err
}

// commitThroughput returns the commits per second of concurrent writers.
func commitThroughput(n *ctrl.Node, writers int) (float64, error) {
	var count atomic.Int64
	errs := make([]error, writers)
	var wg sync.WaitGroup
	start := time.Now()
	for w := range writers {
		wg.Go(func() {
			for i := 0; time.Since(start) < throughputTime && errs[w] == nil; i++ {
				errs[w] = commit(n, registerWorker(i%workerCount))
				count.Add(1)
			}
		})
	}
	wg.Wait()
	return float64(count.Load()) / time.Since(start).Seconds(), errors.Join(errs...)
}

// measurePatch measures the time from the acceptance of a patch until it is in force
// on the slowest of nine instances, three with disks and six without.
func measurePatch(_ context.Context, c cluster, f figures) error {
	if err := c.start(3, 6); err != nil {
		return err
	}
	defer c.close()
	issuer := c.nodes["d0"]
	var delays []time.Duration
	for v := range uint64(patchSamples) {
		seen := make(chan time.Time, len(c.nodes))
		for _, n := range c.nodes {
			go func() { seen <- waitForVersion(n, v+1) }()
		}
		if err := commit(issuer, teamPatch(v)); err != nil {
			return err
		}
		accepted := time.Now()
		var slowest time.Duration
		for range c.nodes {
			slowest = max(slowest, (<-seen).Sub(accepted))
		}
		delays = append(delays, slowest)
	}
	f["in_force_p50_ms"], f["in_force_p99_ms"] = millis(durationQuantile(delays, 0.5)), millis(durationQuantile(delays, 0.99))
	return nil
}

// waitForVersion waits until an instance has at least the configuration version and returns the time.
func waitForVersion(n *ctrl.Node, version uint64) time.Time {
	for {
		changed := n.Machine().Changed()
		if n.Machine().Config().Version >= version {
			return time.Now()
		}
		<-changed
	}
}
