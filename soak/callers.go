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
	// callTimeout is how long callers wait for an answer.
	callTimeout = 3 * time.Second
	// orderTimeout is how long operators wait before they ask another machine.
	orderTimeout = time.Second
	// attempts bounds how often a job is handed in.
	attempts = 8
	// retryPause is the pause after a refusal.
	retryPause = 300 * time.Millisecond
	// configureLimit bounds the time until the first configuration is acknowledged.
	configureLimit = 30 * time.Second
)

// caller returns a caller with connections of its own, which stay open.
func (s *soak) caller() *stand.Client {
	return &stand.Client{HTTP: &http.Client{Transport: &http.Transport{}}, Host: clientHost, Key: clientKey}
}

func randomSpec(rnd *rand.Rand) batch.Spec {
	spec := batch.Spec{Text: fmt.Sprintf("text-%d", rnd.Uint32())}
	for i := range 1 + rnd.IntN(2) {
		st := batch.Step{Count: 1 + rnd.IntN(6), Need: batch.Need{CPUMilli: 500, MemoryMB: 500, GPUs: 1 + rnd.IntN(3)}, EstimateMS: 600, Gang: rnd.IntN(2) == 0, Checkpoints: rnd.IntN(2) == 0}
		if i > 0 {
			st.After = []int{0}
		}
		if rnd.IntN(4) == 0 {
			st.PerWorker = 2
		}
		st.SameRack = st.Gang && rnd.IntN(3) == 0
		spec.Steps = append(spec.Steps, st)
	}
	return spec
}

// submitJobs hands in jobs, watches and sometimes cancels them until the context ends.
func (s *soak) submitJobs(ctx context.Context, i int, rnd *rand.Rand) {
	c := s.caller()
	var open []*job
	for n := 0; ctx.Err() == nil; n++ {
		j := &job{id: fmt.Sprintf("%016x", rnd.Uint64()), spec: randomSpec(rnd)}
		s.ledger.handIn(j)
		s.handIn(ctx, c, j, i+n)
		open = append(open, j)
		if rnd.IntN(8) == 0 {
			sleep(ctx, time.Duration(rnd.IntN(1200))*time.Millisecond)
			s.cancel(ctx, c, j, i+n)
		}
		if j = open[rnd.IntN(len(open))]; j.accepted {
			s.ask(ctx, c, j, i+n)
		}
		sleep(ctx, time.Duration(200+rnd.IntN(500))*time.Millisecond)
	}
}

// handIn hands a job in until it gets a clear answer or the attempts are used up.
func (s *soak) handIn(ctx context.Context, c *stand.Client, j *job, at int) {
	for n := range attempts {
		try, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		r, err := c.Submit(try, s.front(at+n), queuePrefix, j.id, j.spec)
		cancel()
		s.ledger.update(j, func() {
			switch {
			case err != nil || r.Status == http.StatusBadGateway || r.Status == http.StatusGatewayTimeout:
				j.unclear++
			case r.Status == http.StatusOK:
				j.accepted = true
			case r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable:
				j.rejected++
			default:
				s.ledger.broken("CONFIG: job %s is refused with status %d", j.id, r.Status)
			}
		})
		if j.accepted || ctx.Err() != nil {
			return
		}
		sleep(ctx, retryPause)
	}
}

func (s *soak) cancel(ctx context.Context, c *stand.Client, j *job, at int) {
	s.ledger.update(j, func() { j.cancelSent = true })
	try, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.Cancel(try, s.front(at), queuePrefix, j.id)
	if err != nil {
		return
	}
	s.ledger.update(j, func() {
		switch {
		case r.Status == http.StatusOK:
			j.cancelled = time.Now()
		case r.Status == http.StatusGone && j.accepted:
			s.ledger.broken("LOST: job %s was accepted and its cancellation is answered with 410", j.id)
		}
	})
}

// ask asks for a job's state and checks the answer.
func (s *soak) ask(ctx context.Context, c *stand.Client, j *job, at int) {
	try, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, r, err := c.State(try, s.front(at), queuePrefix, j.id)
	switch {
	case err != nil:
	case r.Status == http.StatusGone:
		s.ledger.missing(j)
	case r.Status == http.StatusOK:
		s.ledger.shown(j, state)
	}
}

// declaration returns the next configuration: versions rise in uneven steps.
func (s *soak) declaration() (uint64, []byte, error) {
	s.versionMu.Lock()
	defer s.versionMu.Unlock()
	s.version += 1 + s.version%3
	document, err := stand.EncodeConfig(batch.Catalog{
		Version: s.version,
		Queues: []batch.Queue{
			{Name: "q", Host: clientHost, Prefix: queuePrefix, Service: service, MaxFailures: maxFailures, Stretch: 3, TargetMS: 1000},
			{Name: fmt.Sprintf("idle-%d", s.version), Host: clientHost, Prefix: fmt.Sprintf("/idle-%d/", s.version), Service: service, MaxFailures: 1, Stretch: 3},
		},
		Services: []batch.Service{{Name: service, Guarded: true}},
		Teams:    []batch.Team{{Name: "t", Keys: []string{clientKey}, GuaranteedGPUs: 8}},
	})
	s.ledger.mu.Lock()
	s.ledger.documents[s.version] = string(document)
	s.ledger.mu.Unlock()
	return s.version, document, err //nolint:wrapcheck // says what it encoded.
}

// declare sends a configuration until it is acknowledged; it reports whether it was.
func (s *soak) declare(ctx context.Context, c *stand.Client, at int) bool {
	version, document, err := s.declaration()
	if err != nil {
		s.ledger.violate("configuration: %v", err)
		return false
	}
	for n := 0; ctx.Err() == nil && n < 3*len(s.fleet.machines); n++ {
		try, cancel := context.WithTimeout(ctx, orderTimeout)
		r, err := c.PutConfig(try, s.control(at+n), document)
		cancel()
		switch {
		case err != nil || r.Status >= 500:
		case r.Status == http.StatusOK:
			s.ledger.acknowledged(version)
			return true
		default:
			s.ledger.violate("CONFIG: valid version %d is refused with status %d", version, r.Status)
			return false
		}
		sleep(ctx, time.Duration(100*(n+1))*time.Millisecond)
	}
	return false
}

// configure sends the first configuration until it is acknowledged.
func (s *soak) configure(ctx context.Context) error {
	c := s.caller()
	for deadline := time.Now().Add(configureLimit); time.Now().Before(deadline) && ctx.Err() == nil; {
		if s.declare(ctx, c, 0) {
			return nil
		}
	}
	return errors.New("the first configuration was not acknowledged in time")
}

// operate changes the configuration, sometimes with one that is invalid, until the context ends.
func (s *soak) operate(ctx context.Context, rnd *rand.Rand) {
	c := s.caller()
	for ctx.Err() == nil {
		if rnd.IntN(6) == 0 {
			try, cancel := context.WithTimeout(ctx, orderTimeout)
			r, err := c.PutConfig(try, s.control(rnd.IntN(len(s.fleet.machines))), []byte(`{"version":1000000,"routes":[`))
			cancel()
			if err == nil && r.Status < 400 {
				s.ledger.violate("CONFIG: an invalid configuration is acknowledged")
			}
		}
		s.declare(ctx, c, rnd.IntN(len(s.fleet.machines)))
		sleep(ctx, time.Duration(rnd.IntN(600))*time.Millisecond)
	}
}

// read reads the configuration back at any machine until the context ends.
func (s *soak) read(ctx context.Context, rnd *rand.Rand) {
	c := s.caller()
	for ctx.Err() == nil {
		s.readAt(ctx, c, rnd.IntN(len(s.fleet.machines)))
		sleep(ctx, 50*time.Millisecond)
	}
}

// readAt reads at one machine; it reports whether the configuration came.
func (s *soak) readAt(ctx context.Context, c *stand.Client, i int) bool {
	least := s.ledger.newest()
	try, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	version, r, err := c.ConfigVersion(try, s.control(i))
	if err != nil || r.Status != http.StatusOK {
		return false
	}
	s.ledger.readBack(s.fleet.machine(i).name, version, least, string(r.Body))
	return true
}
