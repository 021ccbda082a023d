package sched_test

import (
	"context"
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/model"
	"turmericroute/sched"
)

// deposed is an instance that loses the lead while it answers; another one answers then.
type deposed struct{ answer sched.Answer }

func (deposed) WhileLeading(ctx context.Context, f func(ctx context.Context) error) error {
	if err := f(ctx); err != nil {
		return err
	}
	return model.Unknown(model.CodeNoLeader, "leadership was lost before the answer")
}

func (d deposed) Call(context.Context, []byte) ([]byte, error) { return json.Marshal(d.answer) }

var _ = Describe("the client", func() {
	// At Asahikawa grown, scale-2 seed 1010, an instance lost the lead between its answer to a heartbeat and the
	// confirmation. The new leader's answer was decoded into the first one, so that a start went out with the
	// checkpoint of another task.
	It("gives nothing of an answer that was made before the lead was lost", func() {
		f := newFarm()
		f.add("r1", "dc1", "w1")
		w := f.workers["w1"]
		w.beat.Seq++
		beat := w.beat
		next := sched.Answer{Orders: &sched.Orders{Fence: 9, Starts: []sched.StartOrder{{Task: at("new", 0, 0), Run: 1, Text: "text of new"}}}}
		a, err := sched.NewClient(deposed{next}, f.s).Do(context.Background(), sched.Call{Beat: &beat})
		Expect(err).NotTo(HaveOccurred())
		Expect(a).To(Equal(next))
	})
})
