package main

import (
	"bytes"
	"context"
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	idleWindow = 5 * time.Second
	// segmentHeaderBytes is the size of the IP header and the TCP header with timestamps.
	segmentHeaderBytes = 20 + 32
)

// measureIdle measures nine idle instances, five with disks and four without. CPU
// time is the mean over all instances, since they share this process; traffic is
// the sum of both directions, as a mean and for the busiest instance, the leader.
func measureIdle(_ context.Context, c cluster, f figures) error {
	if err := c.start(5, 4); err != nil {
		return err
	}
	defer c.close()
	time.Sleep(time.Second)
	cpu, before := cpuTime(), c.traffic()
	start := time.Now()
	time.Sleep(idleWindow)
	took := time.Since(start).Seconds()
	used, after := cpuTime()-cpu, c.traffic()
	var total, highest float64
	for name, b := range after {
		kb := (b - before[name]) / 1024 / took
		total += kb
		highest = max(highest, kb)
	}
	f["idle_cpu_pct"] = 100 * used.Seconds() / took / float64(len(c.nodes))
	f["idle_kb_s"], f["idle_leader_kb_s"] = total/float64(len(c.nodes)), highest
	return nil
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // getrusage fails only on invalid arguments
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// traffic returns the bytes sent and received by each instance, including IP and TCP
// headers for each write and read, but without segments that only acknowledge.
func (c cluster) traffic() map[string]float64 {
	out := map[string]float64{}
	for name, set := range c.metrics {
		out[name] = metricValue(set, "turmericroute_ctrl_sent_bytes_total") + metricValue(set, "turmericroute_ctrl_received_bytes_total") +
			segmentHeaderBytes*(metricValue(set, "turmericroute_ctrl_writes_total")+metricValue(set, "turmericroute_ctrl_reads_total"))
	}
	return out
}

// metricValue returns the value of the named metric, or 0 if the set has none.
func metricValue(set *metrics.Set, name string) float64 {
	var b bytes.Buffer
	set.WritePrometheus(&b)
	for line := range strings.Lines(b.String()) {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			v, err := strconv.ParseFloat(strings.TrimSpace(rest), 64)
			if err != nil {
				panic(fmt.Sprintf("metric %s: %v", name, err))
			}
			return v
		}
	}
	return 0
}
