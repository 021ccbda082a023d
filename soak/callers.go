package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"turmericroute/batch"
	"turmericroute/platform/stand"
)

const (
	// callTimeout is the timeout of one call by a caller.
	callTimeout = 3 * time.Second
	// operatorTimeout is the timeout of one call by an operator, who then calls another machine.
	operatorTimeout = time.Second
	// maxSubmits bounds how often one job is submitted.
	maxSubmits = 8
	// retryDelay is the delay before a job is submitted again.
	retryDelay = 300 * time.Millisecond
	// configureTimeout bounds the time until the first configuration is acknowledged.
	configureTimeout = 30 * time.Second
)

// newClient returns a client with its own pool of keep-alive connections.
func (s *soak) newClient() *stand.Client {
	return &stand.Client{HTTP: &http.Client{Transport: &http.Transport{}}, Host: clientHost, Key: clientKey}
}

const (
	// manyWorkers is the number of workers from which jobs have steps of 8 to 80 tasks.
	manyWorkers = 100
	// maxRackGPUs bounds the GPUs of a gang on one rack.
	maxRackGPUs = 80
)

// randomCount draws the number of tasks of a step.
func (s *soak) randomCount(rnd *rand.Rand) int {
	if s.cfg.Workers < manyWorkers {
		return 1 + rnd.IntN(6)
	}
	switch rnd.IntN(8) {
	case 0:
		return 60 + rnd.IntN(21)
	case 1:
		return 20 + rnd.IntN(13)
	default:
		return 8 + rnd.IntN(5)
	}
}

// randomSpec draws a job of one or two steps; the second step depends on the first.
func (s *soak) randomSpec(rnd *rand.Rand) batch.Spec {
	spec := batch.Spec{Text: fmt.Sprintf("text-%d", rnd.Uint32())}
	for i := range 1 + rnd.IntN(2) {
		st := batch.Step{Count: s.randomCount(rnd), Need: batch.Resources{CPUMilli: 500, MemoryMB: 500, GPUs: 1 + rnd.IntN(3)}, EstimateMS: int((s.bounds.minWork + s.bounds.workRange/2).Milliseconds()), Gang: rnd.IntN(2) == 0, Checkpoints: rnd.IntN(2) == 0}
		if i > 0 {
			st.After = []int{0}
		}
		if rnd.IntN(4) == 0 {
			st.PerWorker = 2
		}
		st.SameRack = st.Gang && rnd.IntN(3) == 0 && st.Count*st.Need.GPUs <= maxRackGPUs
		spec.Steps = append(spec.Steps, st)
	}
	return spec
}

// submitJobs submits jobs, polls their states and cancels some of them until ctx ends.
// The calls go to all entries in turn; entry is the index of the first.
func (s *soak) submitJobs(ctx context.Context, entry int, rnd *rand.Rand) {
	c := s.newClient()
	var submitted []*job
	for n := 0; ctx.Err() == nil; n++ {
		j := &job{id: fmt.Sprintf("%016x", rnd.Uint64()), spec: s.randomSpec(rnd)}
		s.ledger.addJob(j)
		s.submitJob(ctx, c, j, entry+n)
		submitted = append(submitted, j)
		if rnd.IntN(8) == 0 {
			sleep(ctx, time.Duration(rnd.IntN(1200))*time.Millisecond)
			s.cancelJob(ctx, c, j, entry+n)
		}
		if j = submitted[rnd.IntN(len(submitted))]; j.accepted {
			s.checkJobState(ctx, c, j, entry+n)
		}
		sleep(ctx, time.Duration(200+rnd.IntN(500))*time.Millisecond)
	}
}

// submitJob submits a job until it is accepted, ctx ends, or maxSubmits is reached.
// The call in flight when ctx ends still runs to its end or its timeout.
func (s *soak) submitJob(ctx context.Context, c *stand.Client, j *job, entry int) {
	for n := range maxSubmits {
		began := time.Now()
		sub := s.ledger.submissionBegan(began)
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		r, err := c.Submit(callCtx, s.entryAddress(entry+n), queuePrefix, j.id, j.spec)
		cancel()
		s.checkCalmSubmission(began, entry+n, j, r, err)
		s.ledger.updateJob(j, func() {
			switch {
			case err != nil || r.Status == http.StatusBadGateway || r.Status == http.StatusGatewayTimeout:
				j.indeterminate++
			case r.Status == http.StatusOK:
				j.accepted, sub.accepted = true, true
			case r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable:
				j.rejected++
			default:
				s.ledger.recordViolationLocked("CONFIG: job %s was refused with status %d", j.id, r.Status)
			}
		})
		if j.accepted || ctx.Err() != nil {
			return
		}
		sleep(ctx, retryDelay)
	}
}

// cancelJob sends one cancellation of a job and records an acknowledgement.
func (s *soak) cancelJob(ctx context.Context, c *stand.Client, j *job, entry int) {
	s.ledger.updateJob(j, func() { j.cancelSent = true })
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.Cancel(callCtx, s.entryAddress(entry), queuePrefix, j.id)
	if err != nil {
		return
	}
	s.ledger.updateJob(j, func() {
		switch {
		case r.Status == http.StatusOK:
			j.cancelledAt = time.Now()
		case r.Status == http.StatusGone && j.accepted:
			s.ledger.recordViolationLocked("LOST: job %s was accepted but its cancellation returned status 410", j.id)
		}
	})
}

// checkJobState reads a job's state and checks it against the ledger.
func (s *soak) checkJobState(ctx context.Context, c *stand.Client, j *job, entry int) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, r, err := c.State(callCtx, s.entryAddress(entry), queuePrefix, j.id)
	switch {
	case err != nil:
	case r.Status == http.StatusGone:
		s.ledger.jobUnknown(j)
	case r.Status == http.StatusOK:
		s.ledger.stateReported(j, state)
	}
}

// nextConfig returns the version and the document of the next configuration, and
// records the document. Versions rise in steps of one to three.
func (s *soak) nextConfig() (uint64, []byte, error) {
	s.versionMu.Lock()
	defer s.versionMu.Unlock()
	s.version += 1 + s.version%3
	document, err := stand.EncodeConfig(batch.Catalog{
		Version: s.version,
		Queues: []batch.Queue{
			{Name: "q", Host: clientHost, Prefix: queuePrefix, Service: service, MaxFailures: maxFailures, Stretch: 3, TargetMS: 1000},
			{Name: fmt.Sprintf("idle-%d", s.version), Host: clientHost, Prefix: fmt.Sprintf("/idle-%d/", s.version), Service: service, MaxFailures: 1, Stretch: 3},
		},
		Services: []batch.Service{{Name: service, AdmissionControl: true}},
		Teams:    []batch.Team{{Name: "t", Keys: []string{clientKey}, GuaranteedGPUs: 8}},
	})
	s.ledger.mu.Lock()
	s.ledger.documents[s.version] = string(document)
	s.ledger.mu.Unlock()
	return s.version, document, err //nolint:wrapcheck // the error names what was encoded.
}

// applyConfig sends a new configuration to one machine after the other, beginning
// with the machine first, and reports whether it was acknowledged.
func (s *soak) applyConfig(ctx context.Context, c *stand.Client, first int) bool {
	version, document, err := s.nextConfig()
	if err != nil {
		s.ledger.recordViolation("cannot encode the configuration: %v", err)
		return false
	}
	began := time.Now()
	late := time.AfterFunc(s.bounds.acknowledge, func() { s.checkCalmConfig(began, version, s.cluster.machine(first).name) })
	defer late.Stop()
	for n := 0; ctx.Err() == nil && n < 3*len(s.cluster.machines); n++ {
		callCtx, cancel := context.WithTimeout(ctx, operatorTimeout)
		r, err := c.PutConfig(callCtx, s.controlAddress(first+n), document)
		cancel()
		switch {
		case err != nil || r.Status >= 500:
		case r.Status == http.StatusOK:
			s.ledger.configAcknowledged(version)
			return true
		default:
			s.ledger.recordViolation("CONFIG: valid version %d was refused with status %d", version, r.Status)
			return false
		}
		sleep(ctx, time.Duration(100*(n+1))*time.Millisecond)
	}
	return false
}

// applyFirstConfig sends new configurations until one is acknowledged. It returns
// an error after configureTimeout.
func (s *soak) applyFirstConfig(ctx context.Context) error {
	c := s.newClient()
	for deadline := time.Now().Add(configureTimeout); time.Now().Before(deadline) && ctx.Err() == nil; {
		if s.applyConfig(ctx, c, 0) {
			return nil
		}
	}
	return errors.New("the first configuration was not acknowledged in time")
}

// changeConfigs sends new configurations until ctx ends; before about one in six
// of them it sends an invalid one.
func (s *soak) changeConfigs(ctx context.Context, rnd *rand.Rand) {
	c := s.newClient()
	for ctx.Err() == nil {
		if rnd.IntN(6) == 0 {
			callCtx, cancel := context.WithTimeout(ctx, operatorTimeout)
			r, err := c.PutConfig(callCtx, s.controlAddress(rnd.IntN(len(s.cluster.machines))), []byte(`{"version":1000000,"routes":[`))
			cancel()
			if err == nil && r.Status < 400 {
				s.ledger.recordViolation("CONFIG: an invalid configuration was acknowledged")
			}
		}
		s.applyConfig(ctx, c, rnd.IntN(len(s.cluster.machines)))
		sleep(ctx, time.Duration(rnd.IntN(600))*time.Millisecond)
	}
}

// readConfigs reads the configuration back from random machines until ctx ends.
func (s *soak) readConfigs(ctx context.Context, rnd *rand.Rand) {
	c := s.newClient()
	for ctx.Err() == nil {
		i, began := rnd.IntN(len(s.cluster.machines)), time.Now()
		for n := 0; !s.readConfig(ctx, c, i) && s.inCalm(began); n++ {
			if n == calmReads-1 {
				s.ledger.recordViolation("CONFIG: %s does not return the configuration in calm, %d times in a row", s.cluster.machine(i).name, calmReads)
				break
			}
		}
		sleep(ctx, 50*time.Millisecond)
	}
}

// readConfig reads the configuration from one machine and checks it. It reports
// whether the machine returned one.
func (s *soak) readConfig(ctx context.Context, c *stand.Client, i int) bool {
	minVersion := s.ledger.newestAcknowledged()
	callCtx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	version, r, err := c.ConfigVersion(callCtx, s.controlAddress(i))
	if err != nil || r.Status != http.StatusOK {
		return false
	}
	s.ledger.configRead(s.cluster.machine(i).name, version, minVersion, string(r.Body))
	return true
}
