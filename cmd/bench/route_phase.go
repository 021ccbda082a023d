package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"turmericroute/config"
	"turmericroute/state"
)

const (
	// entryPhaseTime and baselinePhaseTime are the durations of load on the entries and the baseline in each phase.
	entryPhaseTime    = 2400 * time.Millisecond
	baselinePhaseTime = time.Second
	// warmUpTime lets estimates and connection pools settle before a measurement.
	warmUpTime = 300 * time.Millisecond
	// Requests directly to the executor and through an entry are mixed at random at
	// overheadRate per second, so that noise of the machine affects both alike.
	overheadRate   = 1500.0
	overheadRounds = 3
	overheadTime   = 1100 * time.Millisecond
)

func ratio(a, b int64) float64 { return float64(a) / max(1, float64(b)) }

// measureOverhead compares requests through one entry with requests directly to the same executor.
func (b *routeBench) measureOverhead() error {
	if err := b.startExecutors(1, 64); err != nil {
		return err
	}
	direct, through := "http://"+b.upstreams[0].Address, b.entryURLs[0]
	warm := loadRequest{Name: "warm", Targets: []string{through}, OtherTarget: direct, Rate: overheadRate, Duration: warmUpTime, BodyBytes: 512}
	if _, err := b.sendLoad(warm); err != nil {
		return err
	}
	var p50, p99 []float64
	for i := range overheadRounds {
		t, err := b.sendLoad(loadRequest{Name: fmt.Sprint("overhead", i), Targets: []string{through}, OtherTarget: direct, Rate: overheadRate, Duration: overheadTime, BodyBytes: 512})
		if err != nil {
			return err
		}
		d := t.Other
		fmt.Printf("overhead: direct p50 %d us p99 %d us, through an entry p50 %d us p99 %d us, ok %d of %d\n", d.P50, d.P99, t.P50, t.P99, t.OK+d.OK, t.Sent+d.Sent)
		p50, p99 = append(p50, ratio(t.P50, d.P50)), append(p99, ratio(t.P99, d.P99))
	}
	b.summary.p50Ratio, b.summary.p99Ratio = median(p50), median(p99)
	fmt.Printf("overhead: median of %d rounds p50_ratio=%.2f p99_ratio=%.2f\n", overheadRounds, b.summary.p50Ratio, b.summary.p99Ratio)
	return b.measureOneCaller([]string{direct}, []string{through})
}

// measureOneCaller makes the comparison of measureOverhead with a single caller that sends requests in sequence.
func (b *routeBench) measureOneCaller(direct, through []string) error {
	d, err := b.sendLoad(loadRequest{Name: "one-direct", Targets: direct, Callers: 1, Duration: 400 * time.Millisecond, BodyBytes: 512})
	if err != nil {
		return err
	}
	t, err := b.sendLoad(loadRequest{Name: "one-through", Targets: through, Callers: 1, Duration: 400 * time.Millisecond, BodyBytes: 512})
	if err != nil {
		return err
	}
	fmt.Printf("overhead: one caller, direct p50 %d us p99 %d us, through an entry p50 %d us p99 %d us, ratios %.2f and %.2f\n",
		d.P50, d.P99, t.P50, t.P99, ratio(t.P50, d.P50), ratio(t.P99, d.P99))
	return nil
}

func median(v []float64) float64 {
	s := append([]float64{}, v...)
	for i := range s {
		for j := i; j > 0 && s[j] < s[j-1]; j-- {
			s[j], s[j-1] = s[j-1], s[j]
		}
	}
	return (s[(len(s)-1)/2] + s[len(s)/2]) / 2
}

// measureThroughput measures requests per second of CPU time in the process with the entries.
func (b *routeBench) measureThroughput() error {
	if err := b.startExecutors(4, 64); err != nil {
		return err
	}
	before := cpuSeconds()
	t, err := b.sendLoad(loadRequest{Name: "share", Targets: b.entryURLs[:1], Callers: 48, Duration: 1500 * time.Millisecond, BodyBytes: 512})
	if err != nil {
		return err
	}
	used := cpuSeconds() - before
	fmt.Printf("share: %.0f requests/s, %.2f cores, %.0f requests/s per core, ok %d of %d %v\n",
		float64(t.Sent)/t.Seconds, used/t.Seconds, float64(t.Sent)/used, t.OK, t.Sent, t.Codes)
	return nil
}

func cpuSeconds() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
}

// residentKB returns the resident memory of this process in KiB, or 0 if it cannot be read.
func residentKB() int64 {
	b, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	pages, err := strconv.ParseInt(strings.Fields(string(b))[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize()) / 1024
}

// measureMemory measures the memory of 1,000 connections while they are idle and while each has a request in flight.
func (b *routeBench) measureMemory() error {
	const n = 1000
	if err := b.startExecutors(40, 64); err != nil {
		return err
	}
	release := func() error {
		_, err := b.sendLoad(loadRequest{Release: true})
		time.Sleep(100 * time.Millisecond)
		debug.FreeOSMemory()
		return err
	}
	if err := release(); err != nil {
		return err
	}
	beforeIdle := residentKB()
	idleResp, err := b.sendLoad(loadRequest{Targets: b.entryURLs, IdleConns: n})
	if err != nil {
		return err
	}
	debug.FreeOSMemory()
	whileIdle := residentKB()
	if err := release(); err != nil {
		return err
	}
	beforeActive := residentKB()
	active := make(chan int64, 1)
	go func() {
		time.Sleep(700 * time.Millisecond)
		debug.FreeOSMemory()
		active <- residentKB()
	}()
	t, err := b.sendLoad(loadRequest{Name: "active", Targets: b.entryURLs, Burst: n, WorkUS: 1_000_000, BodyBytes: 512})
	if err != nil {
		return err
	}
	fmt.Printf("memory: %d KB before, %.1f KB for each of %d idle connections (ok %d); %d KB before, %.1f KB for each of %d active ones with the connection to the executor (ok %d)\n",
		beforeIdle, float64(whileIdle-beforeIdle)/n, n, idleResp.OK, beforeActive, float64(<-active-beforeActive)/n, n, t.OK)
	return release()
}

// measureKeyed compares the latency of non-idempotent and idempotent requests.
func (b *routeBench) measureKeyed() error {
	if err := b.startExecutors(executorCount, slotsPerExecutor); err != nil {
		return err
	}
	var ratios []float64
	for i := range 2 {
		plain, err := b.sendLoad(loadRequest{Name: fmt.Sprint("plain", i), Targets: b.entryURLs, Rate: 500, Duration: 600 * time.Millisecond, BodyBytes: 512})
		if err != nil {
			return err
		}
		commits, commitNS := b.replica.commits.Load(), b.replica.commitNS.Load()
		keyed, err := b.sendLoad(loadRequest{Name: fmt.Sprint("keyed", i), Targets: b.entryURLs, Rate: 500, Duration: 600 * time.Millisecond, BodyBytes: 512, KeyedShare: 1})
		if err != nil {
			return err
		}
		commits, commitNS = b.replica.commits.Load()-commits, b.replica.commitNS.Load()-commitNS
		fmt.Printf("keyed: idempotent p50 %d us, non-idempotent p50 %d us, of it in %.1f commits %.0f us, ok %d of %d\n",
			plain.P50, keyed.P50, float64(commits)/float64(keyed.Sent), float64(commitNS)/1000/float64(keyed.Sent), keyed.OK, keyed.Sent)
		ratios = append(ratios, ratio(keyed.P50, plain.P50))
	}
	b.summary.keyedP50Ratio = median(ratios)
	_, err := b.readAndResetStats(nil, true)
	return err
}

// compareWithBaseline runs the same load on the baseline and then on the entries,
// prints the figures of both and returns those of the entries. After a quarter of
// each run it calls event, if set, with entries set in the run on the entries.
func (b *routeBench) compareWithBaseline(name string, req loadRequest, event func(entries bool)) (resp loadResponse, st fakesResponse, err error) {
	req.WorkUS, req.KeyedShare, req.BodyBytes = meanWorkUS, 0.1, 512
	warm := req
	warm.Name, warm.Duration = name+"-warm", warmUpTime
	for _, side := range []struct {
		name     string
		targets  []string
		duration time.Duration
	}{{"base", b.baselineURLs, baselinePhaseTime}, {"entry", b.entryURLs, entryPhaseTime}} {
		warm.Targets, req.Targets, req.Duration, req.Name = side.targets, side.targets, side.duration, name+"-"+side.name
		if side.name == "entry" {
			for _, base := range b.baselines {
				base.client.CloseIdleConnections()
			}
			// Only the entries are warmed up: the baseline keeps no state that a warm-up would improve.
			if _, err = b.sendLoad(warm); err != nil {
				return resp, st, err
			}
		}
		if _, err = b.readAndResetStats(nil, false); err != nil {
			return resp, st, err
		}
		before, cpu := b.entryAttempts()+b.baselineAttempts.Load(), cpuSeconds()
		if event != nil {
			time.AfterFunc(side.duration/4, func() { event(side.name == "entry") })
		}
		if resp, err = b.sendLoad(req); err != nil {
			return resp, st, err
		}
		sent := b.entryAttempts() + b.baselineAttempts.Load() - before
		if sent == 0 {
			return resp, st, errors.New("no attempt was counted, so the amplification is unknown")
		}
		if st, err = b.readAndResetStats(resp.NotRun, side.name == "entry"); err != nil {
			return resp, st, err
		}
		cpu = cpuSeconds() - cpu
		amp := float64(sent) / float64(resp.Sent)
		fmt.Printf("%s: %-5s sent %d, success %.4f, goodput %.3f of capacity, p50 %.1f ms, p99 %.1f ms, wait p99 %.1f ms, amplification %.3f, met a full executor %.4f, keys run twice %d, false not_run %d of %d, max connections %d, %.2f cores, generator late by %.1f ms at p99, codes %v\n",
			name, side.name, resp.Sent, float64(resp.OK)/float64(resp.Sent), resp.Goodput/capacityPerSecond,
			usToMS(resp.P50), usToMS(resp.P99), usToMS(resp.WaitP99), amp, float64(st.Refused)/float64(resp.Sent), st.DoubleKeys, st.FalseNotRun, len(resp.NotRun), st.MaxConnections, cpu/resp.Seconds, usToMS(resp.LagP99), resp.Codes)
		if side.name == "entry" {
			b.summary.amplification = max(b.summary.amplification, amp)
		}
	}
	return resp, st, nil
}

func usToMS(us int64) float64 { return float64(us) / 1000 }

// measureLoad offers 70% of the capacity to nine entries and compares them with one ideal central queue.
func (b *routeBench) measureLoad() error {
	if err := b.startExecutors(executorCount, slotsPerExecutor); err != nil {
		return err
	}
	r, st, err := b.compareWithBaseline("load", loadRequest{Rate: 0.7 * capacityPerSecond, IdealSlots: totalSlots}, nil)
	if err != nil {
		return err
	}
	b.summary.fullShare = float64(st.Refused) / float64(r.Sent)
	fmt.Printf("load: p99 %.1f ms against %.1f ms in one ideal central queue (%.2f), wait p99 %.1f ms against %.1f ms\n",
		usToMS(r.P99), usToMS(r.IdealP99), ratio(r.P99, r.IdealP99), usToMS(r.WaitP99), usToMS(r.IdealWaitP99))
	return nil
}

// measureOverload offers 150% of the capacity.
func (b *routeBench) measureOverload() error {
	if err := b.startExecutors(executorCount, slotsPerExecutor); err != nil {
		return err
	}
	r, _, err := b.compareWithBaseline("overload", loadRequest{Rate: 1.5 * capacityPerSecond, Timeout: time.Second}, nil)
	if err != nil {
		return err
	}
	b.summary.goodputShare = r.Goodput / capacityPerSecond
	return nil
}

// measureSlow makes a tenth of the executors ten times slower and offers 60% of the capacity.
func (b *routeBench) measureSlow() error {
	if err := b.startExecutors(executorCount, slotsPerExecutor); err != nil {
		return err
	}
	var ignored fakesResponse
	if err := b.fakes.call(fakesRequest{Op: "set", From: 0, To: executorCount / 10, SlowFactor: 10}, &ignored); err != nil {
		return err
	}
	_, _, err := b.compareWithBaseline("slow", loadRequest{Rate: 0.6 * capacityPerSecond, Timeout: 1500 * time.Millisecond}, nil)
	return err
}

// measureLeave takes a data centre out of service under load and lets an executor in
// another one leave, and measures the time until the last request starts there.
func (b *routeBench) measureLeave() error {
	if err := b.startExecutors(executorCount, slotsPerExecutor); err != nil {
		return err
	}
	var changedAt time.Time
	setOutOfService := func(out bool) {
		b.applyPatch(config.Change{SetDataCentre: &config.DataCentreState{Name: dataCentres[0], OutOfService: out}})
	}
	leaving := b.upstreams[len(b.upstreams)-1]
	_, st, err := b.compareWithBaseline("leave", loadRequest{Rate: 0.5 * capacityPerSecond, Timeout: 3 * time.Second}, func(entries bool) {
		changedAt = time.Now()
		setOutOfService(true)
		if entries {
			b.replica.apply(state.LeaveUpstream{Name: leaving.Name, Incarnation: leaving.Incarnation})
			return
		}
		time.AfterFunc(baselinePhaseTime*3/4, func() { setOutOfService(false) })
	})
	if err != nil {
		return err
	}
	worked := 0
	b.summary.leavingSeconds = -1
	for _, u := range b.upstreams {
		if u.DataCentre != dataCentres[0] && u.Name != leaving.Name || st.LastStartNS[u.Name] == 0 {
			continue
		}
		worked++
		b.summary.leavingSeconds = max(b.summary.leavingSeconds, time.Unix(0, st.LastStartNS[u.Name]).Sub(changedAt).Seconds())
	}
	fmt.Printf("leave: last start %.3f s after the change was applied, in the %d executors that left after they had worked\n", b.summary.leavingSeconds, worked)
	if worked != executorCount/len(dataCentres)+1 {
		return fmt.Errorf("only %d leaving executors had served requests, so the time to the last start is unknown", worked)
	}
	setOutOfService(false)
	return nil
}

// measureReset resets a fifth of the connections, each of which carries at most ten requests.
func (b *routeBench) measureReset() error {
	if err := b.startExecutors(executorCount, slotsPerExecutor); err != nil {
		return err
	}
	var ignored fakesResponse
	if err := b.fakes.call(fakesRequest{Op: "set", From: 0, To: executorCount, ConnRequests: 10, ResetShare: 0.2}, &ignored); err != nil {
		return err
	}
	_, _, err := b.compareWithBaseline("reset", loadRequest{Rate: 0.5 * capacityPerSecond, Timeout: 3 * time.Second}, nil)
	return err
}
