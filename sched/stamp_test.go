package sched_test

import (
	"context"
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/batch"
	"turmericroute/model"
	"turmericroute/sched"
)

// relay hands calls on to the leader of a fixture. It stands still before it hands an outage on.
type relay struct {
	isolatedInstance
	f          *fixture
	standStill func()
	outages    int
}

func (*relay) WhileLeading(context.Context, func(context.Context) error) error {
	return model.NotRun(model.CodeNoLeader, "")
}

func (r *relay) Call(ctx context.Context, request []byte) ([]byte, error) {
	c, err := sched.DecodeCall(request)
	if err != nil {
		return nil, err
	}
	if c.Outage != nil {
		r.outages++
		r.standStill()
	}
	a, err := r.f.s.Answer(ctx, c)
	if err != nil {
		return nil, err
	}
	return json.Marshal(a)
}

// Guards against an order that waited in a suspended instance and then undoes a newer one that was acknowledged.
var _ = Describe("an order to take a data centre out of service or back", func() {
	var f *fixture
	var r *relay
	BeforeEach(func() {
		f = newFixture()
		r = &relay{f: f, standStill: func() {}}
	})
	order := func(out bool) error {
		_, err := sched.NewClient(r, nil).Call(context.Background(), sched.Call{Outage: &batch.Outage{DataCentre: "dc1", Out: out}})
		return err
	}
	isOut := func() (out bool) {
		f.r.machine.Batch().View(func(b *batch.State) { out = b.OutOfService["dc1"] })
		return out
	}

	It("is carried out through another instance", func() {
		Expect(order(true)).To(Succeed())
		Expect(isOut()).To(BeTrue())
		Expect(order(false)).To(Succeed())
		Expect(isOut()).To(BeFalse())
	})

	It("is refused as not run if it comes after others that were acknowledged since", func() {
		r.standStill = func() {
			f.advance(1500 * time.Millisecond) // the operator orders the opposite elsewhere after a second
			Expect(f.setOutage("dc1", true)).To(Succeed())
			time.Sleep(1100 * time.Millisecond) // the instance measures real time
		}
		err := model.AsError(order(false))
		Expect(err.Outcome).To(Equal(model.OutcomeNotRun))
		Expect(err.Code).To(BeEquivalentTo("stale_order"))
		Expect(isOut()).To(BeTrue())
		Expect(r.outages).To(Equal(1))
	})

	It("is refused by the next leader, and stamped again while it is recent", func() {
		before := f.call(sched.Call{Ping: true}).Stamp
		f.changeLeader()
		Expect(f.call(sched.Call{Outage: &batch.Outage{DataCentre: "dc1", Out: true}, Stamp: before}).err).To(MatchError(ContainSubstring("stale_order")))
		Expect(f.call(sched.Call{Outage: &batch.Outage{DataCentre: "dc1", Out: true}}).err).To(MatchError(ContainSubstring("stale_order")))
		Expect(isOut()).To(BeFalse())
		r.standStill = func() {
			if r.outages == 1 {
				f.changeLeader()
			}
		}
		Expect(order(true)).To(Succeed())
		Expect(isOut()).To(BeTrue())
		Expect(r.outages).To(Equal(2))
	})
})
