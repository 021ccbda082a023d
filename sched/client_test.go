package sched_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/model"
	"turmericroute/sched"
)

// deposedLeader is an instance that loses leadership while it answers a call; the new leader then answers.
type deposedLeader struct{ answer sched.Answer }

func (deposedLeader) WhileLeading(ctx context.Context, f func(ctx context.Context) error) error {
	if err := f(ctx); err != nil {
		return err
	}
	return model.Unknown(model.CodeNoLeader, "leadership was lost before the answer")
}

func (d deposedLeader) Call(context.Context, []byte) ([]byte, error) { return json.Marshal(d.answer) }

func (deposedLeader) Leaderless() bool { return false }

// recordingLeader forwards calls and records the last one.
type recordingLeader struct {
	isolatedInstance
	lastRequest []byte
}

func (*recordingLeader) WhileLeading(context.Context, func(context.Context) error) error {
	return model.NotRun(model.CodeNoLeader, "")
}

func (r *recordingLeader) Call(_ context.Context, request []byte) ([]byte, error) {
	r.lastRequest = request
	return []byte("{}"), nil
}

// manyRoutes returns a document like that of a configuration with many routes of different names.
func manyRoutes() string {
	var b strings.Builder
	rnd := rand.New(rand.NewPCG(1, 0))
	for range 1400 {
		fmt.Fprintf(&b, `{"name":"r-%x","host":"%x.example","prefix":"/%x/","kind":"non_idempotent","timeout-ms":3000,"target-latency-ms":1500,"priority":1,"service":"huvo11a","max-attempts":2,"stretch":3.0,"public":false},`, rnd.Uint32(), rnd.Uint32(), rnd.Uint32())
	}
	return b.String()
}

// isolatedInstance is an instance that reaches no leader and searches for one until the context ends.
type isolatedInstance struct{ leaderless bool }

func (isolatedInstance) WhileLeading(context.Context, func(context.Context) error) error { return nil }

func (isolatedInstance) Call(ctx context.Context, _ []byte) ([]byte, error) {
	<-ctx.Done()
	return nil, model.NotRun(model.CodeNoLeader, "no leader is known")
}

func (c isolatedInstance) Leaderless() bool { return c.leaderless }

// lostAnswer is a leader whose answers are lost.
type lostAnswer struct{ isolatedInstance }

func (lostAnswer) Call(context.Context, []byte) ([]byte, error) {
	return nil, model.Unknown(model.CodeDeadline, "leader did not answer in time")
}

// refusingLeader is a leader that refuses everything.
type refusingLeader struct{ deposedLeader }

func (refusingLeader) Call(context.Context, []byte) ([]byte, error) {
	return nil, model.NotRun(model.CodeUnauthorised, "API key is unknown")
}

var _ = Describe("the client", func() {
	// Guards against a refusal that says "not run" of a job that runs: this instance had accepted it and then lost
	// leadership.
	It("leaves the caller in doubt when the next leader refuses what this one may have carried out", func() {
		f := newFixture()
		submit := &sched.Submit{JobRef: jobRef("normal", "j"), Spec: batch.Spec{Text: "t", Steps: []batch.Step{{Count: 1}}}}
		_, err := sched.NewClient(refusingLeader{}, f.s).Call(context.Background(), sched.Call{Submit: submit})
		Expect(model.AsError(err)).To(And(HaveField("Code", model.CodeUnauthorised), HaveField("Outcome", model.OutcomeUnknown)))
	})

	// Guards against callers who are told that a read may have taken effect, and who then don't ask again.
	DescribeTable("leaves callers in doubt about changes only",
		func(call sched.Call, want model.Outcome) {
			_, err := sched.NewClient(lostAnswer{}, nil).Call(context.Background(), call)
			Expect(model.AsError(err).Outcome).To(Equal(want))
		},
		Entry("a job's state", sched.Call{Show: &sched.JobRef{}}, model.OutcomeNotRun),
		Entry("the configuration", sched.Call{Catalog: true}, model.OutcomeNotRun),
		Entry("a submitted job", sched.Call{Submit: &sched.Submit{}}, model.OutcomeUnknown),
		Entry("a cancelled job", sched.Call{Cancel: &sched.JobRef{}}, model.OutcomeUnknown),
		Entry("a heartbeat", sched.Call{Heartbeat: &sched.Heartbeat{}}, model.OutcomeUnknown),
	)

	// Guards against operators that wait for a second at an isolated instance instead of asking another one. Clients
	// and workers make only a few attempts, so their calls wait for a leader to return.
	DescribeTable("gives up the search for a leader",
		func(call sched.Call, leaderless, soon bool) {
			ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
			defer cancel()
			start := time.Now()
			_, err := sched.NewClient(isolatedInstance{leaderless}, nil).Call(ctx, call)
			Expect(err).To(MatchError(ContainSubstring("no_leader")))
			Expect(time.Since(start) < 600*time.Millisecond).To(Equal(soon))
		},
		Entry("soon for an order when there has been none for long", sched.Call{Declare: &batch.Catalog{}}, true, true),
		Entry("soon for a read of the configuration when there has been none for long", sched.Call{Catalog: true}, true, true),
		Entry("late for a heartbeat", sched.Call{Heartbeat: &sched.Heartbeat{}}, true, false),
		Entry("late for an order while one may be elected", sched.Call{Declare: &batch.Catalog{}}, false, false),
		Entry("late for a client", sched.Call{Submit: &sched.Submit{}}, true, false),
	)

	// Guards against large configurations that are too big for the narrow link of an entry: a document of many routes
	// must reach the leader unchanged, and compress to less than a quarter.
	It("sends the document of a catalog unchanged, as text that compresses well", func() {
		for _, source := range []string{manyRoutes(), "\xff no text"} {
			r := &recordingLeader{}
			_, err := sched.NewClient(r, nil).Call(context.Background(), sched.Call{Declare: &batch.Catalog{Version: 2, Source: []byte(source)}})
			Expect(err).NotTo(HaveOccurred())
			c, err := sched.DecodeCall(r.lastRequest)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(c.Declare.Source)).To(Equal(source))
		}
		r := &recordingLeader{}
		_, err := sched.NewClient(r, nil).Call(context.Background(), sched.Call{Declare: &batch.Catalog{Version: 2, Source: []byte(manyRoutes())}})
		Expect(err).NotTo(HaveOccurred())
		var packed bytes.Buffer
		z := gzip.NewWriter(&packed)
		_, err = z.Write(r.lastRequest)
		Expect(err).NotTo(HaveOccurred())
		Expect(z.Close()).To(Succeed())
		Expect(packed.Len()).To(BeNumerically("<", len(manyRoutes())/4))
	})

	// Guards against mixing the answers of two leaders: an instance lost leadership between its answer to a heartbeat
	// and the confirmation, and the new leader's answer was decoded into the first one, so that a start order carried
	// the checkpoint of another task.
	It("returns nothing of an answer that was made before leadership was lost", func() {
		f := newFixture()
		f.addWorkers("r1", "dc1", "w1")
		w := f.workers["w1"]
		w.hb.Seq++
		hb := w.hb
		next := sched.Answer{Orders: &sched.Orders{Fence: 9, Starts: []sched.StartOrder{{Task: taskID("new", 0, 0), Run: 1, Text: "text of new"}}}}
		a, err := sched.NewClient(deposedLeader{next}, f.s).Call(context.Background(), sched.Call{Heartbeat: &hb})
		Expect(err).NotTo(HaveOccurred())
		Expect(a).To(Equal(next))
	})
})
