package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"sync"
	"time"

	"turmericroute/platform/stand"
)

const (
	// metricsInterval is the time between two reads of the metrics, calmMetricsInterval that in calm.
	metricsInterval     = 5 * time.Second
	calmMetricsInterval = time.Second
	// metricsTimeout bounds one read of the metrics.
	metricsTimeout = time.Second
)

// recordedMetric matches the lines of the metrics that metrics.log holds.
var recordedMetric = regexp.MustCompile(`(?m)^turmericroute_(?:ctrl_(?:dials_total|dial_seconds|no_leader_seconds|leading_ended_total|tick_delay_seconds|turn_seconds|sync_seconds|commit_seconds)|sched_pass_seconds)\b.*$`)

// recordMetrics appends the metrics of all control machines to metrics.log until ctx
// ends, and once more then.
func (s *soak) recordMetrics(ctx context.Context) {
	f, err := os.Create(filepath.Join(s.cfg.Dir, "metrics.log"))
	if err != nil {
		s.ledger.recordViolation("cannot create the log of metrics: %v", err)
		return
	}
	defer f.Close()
	client := &http.Client{Transport: &http.Transport{}, Timeout: metricsTimeout}
	defer client.CloseIdleConnections()
	for {
		if _, err := f.Write(s.readMetrics(client)); err != nil {
			s.ledger.recordViolation("cannot write the log of metrics: %v", err)
			return
		}
		if ctx.Err() != nil {
			return
		}
		for until := time.Now().Add(metricsInterval); time.Now().Before(until) && ctx.Err() == nil && !s.inCalm(time.Now()); {
			sleep(ctx, calmMetricsInterval)
		}
		if s.inCalm(time.Now()) {
			sleep(ctx, calmMetricsInterval)
		}
	}
}

// readMetrics returns the recorded metrics of all control machines, each line with the time and the machine.
func (s *soak) readMetrics(client *http.Client) []byte {
	began := time.Now()
	texts := make([][]byte, s.cfg.Controls)
	var wg sync.WaitGroup
	for i, m := range s.cluster.machines[:s.cfg.Controls] {
		wg.Go(func() {
			resp, err := client.Get("http://" + stand.MetricsAddress(m.ip, firstPort) + "/metrics")
			if err != nil {
				return // the machine may be down
			}
			defer resp.Body.Close()
			texts[i], _ = io.ReadAll(resp.Body) // a machine that is killed meanwhile returns a part
		})
	}
	wg.Wait()
	calm := s.inCalm(began)
	var b bytes.Buffer
	for i, text := range texts {
		for _, line := range recordedMetric.FindAll(text, -1) {
			fmt.Fprintf(&b, "at_s=%.3f machine=%s calm=%v %s\n", began.Sub(s.ledger.startedAt).Seconds(), s.cluster.machines[i].name, calm, line)
		}
	}
	return b.Bytes()
}
