package itest_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// modelInput is a patch or read by an operator, as an input of configModel.
type modelInput struct {
	id          string // patch ID, empty for a read
	baseVersion uint64
}

// modelOutput is the response to a modelInput. If unknown is set, the call failed, and its patch may or may not take effect.
type modelOutput struct {
	version uint64
	stale   bool
	unknown bool
}

// configModel is the sequential specification of the configuration. Its state is the list of accepted patch IDs, whose
// length is the current version.
var configModel = porcupine.Model{
	Init:  func() any { return []string{"first"} },
	Equal: func(a, b any) bool { return slices.Equal(a.([]string), b.([]string)) },
	Step: func(s, in, out any) (bool, any) {
		ids, c, a := s.([]string), in.(modelInput), out.(modelOutput)
		now := uint64(len(ids))
		if c.id == "" {
			return a.unknown || a.version == now, ids
		}
		if i := slices.Index(ids, c.id); i >= 0 {
			return a.unknown || !a.stale && a.version == uint64(i)+1, ids
		}
		if c.baseVersion != now {
			return a.unknown || a.stale && a.version == now, ids
		}
		return a.unknown || !a.stale && a.version == now+1, append(slices.Clone(ids), c.id)
	},
}

// settleUnknown returns a history with as few calls without a response as possible that is linearizable exactly if the given
// one is. The checker would try each subset of such calls, and does not end with hundreds of them.
func settleUnknown(history []porcupine.Operation) []porcupine.Operation {
	firstCall := map[string]int64{}
	answered, accepted := map[string]bool{}, map[uint64]bool{}
	for _, o := range history {
		in, out := o.Input.(modelInput), o.Output.(modelOutput)
		if t, ok := firstCall[in.id]; !ok || o.Call < t {
			firstCall[in.id] = o.Call
		}
		if in.id != "" && !out.unknown {
			answered[in.id] = true
			accepted[in.baseVersion] = accepted[in.baseVersion] || !out.stale
		}
	}
	var settled []porcupine.Operation
	unknownAt := map[uint64]int{} // index in settled by base version
	for _, o := range history {
		in, out := o.Input.(modelInput), o.Output.(modelOutput)
		i, found := unknownAt[in.baseVersion]
		switch {
		case !out.unknown:
			if in.id != "" && !out.stale {
				// An earlier call for the same patch may have had the effect already; the response is the same then.
				o.Call = firstCall[in.id]
			}
			settled = append(settled, o)
		case in.id == "" || answered[in.id] || accepted[in.baseVersion]:
			// A read has no effect, a patch that was found stale never had one, and at most one has an effect on a version.
		case found:
			// None of these patches is seen again: what one of them may have done, the one sent first may have done.
			if o.Call < settled[i].Call {
				o.ClientId = settled[i].ClientId
				settled[i] = o
			}
		default:
			// Operations of one client must not overlap.
			o.ClientId = 100 + len(settled)
			unknownAt[in.baseVersion] = len(settled)
			settled = append(settled, o)
		}
	}
	return settled
}

var _ = DescribeTable("histories with many calls without a response",
	func(answered []porcupine.Operation, want porcupine.CheckResult) {
		history := slices.Clone(answered)
		for i := range 40 {
			in := modelInput{fmt.Sprint("unanswered", i), uint64(1 + i%4)}
			history = append(history, porcupine.Operation{ClientId: 100 + i, Input: in, Output: modelOutput{unknown: true}, Call: int64(2 + i), Return: int64(time.Hour)})
		}
		result, _ := porcupine.CheckOperationsVerbose(configModel, settleUnknown(history), 5*time.Second)
		Expect(result).To(Equal(want))
	},
	Entry("accept an answer to a patch that was sent again", []porcupine.Operation{
		patched("a", 1, modelOutput{unknown: true}, 10, int64(time.Hour)), patched("b", 1, modelOutput{version: 2, stale: true}, 20, 30), patched("a", 1, modelOutput{version: 2}, 40, 50),
	}, porcupine.Ok),
	Entry("accept a version that only an unanswered patch can have given", []porcupine.Operation{patched("b", 1, modelOutput{version: 3, stale: true}, 20, 30)}, porcupine.Ok),
	Entry("refuse a version that is older than one seen before", []porcupine.Operation{
		patched("a", 1, modelOutput{version: 3, stale: true}, 100, 110), patched("b", 1, modelOutput{version: 2, stale: true}, 120, 130),
	}, porcupine.Illegal),
	Entry("refuse two patches of the same version", []porcupine.Operation{
		patched("a", 4, modelOutput{version: 5}, 100, 110), patched("b", 4, modelOutput{version: 5}, 120, 130),
	}, porcupine.Illegal),
	Entry("refuse an acceptance after the same patch was found stale", []porcupine.Operation{
		patched("a", 4, modelOutput{version: 4, stale: true}, 100, 110), patched("a", 4, modelOutput{version: 5}, 120, 130),
	}, porcupine.Illegal),
	Entry("refuse an effect before the patch was sent", []porcupine.Operation{
		patched("b", 4, modelOutput{version: 5, stale: true}, 60, 70), patched("a", 4, modelOutput{version: 5}, 100, 110),
	}, porcupine.Illegal),
)

// patched returns a patch with its response.
func patched(id string, base uint64, out modelOutput, call, end int64) porcupine.Operation {
	return porcupine.Operation{ClientId: int(call), Input: modelInput{id, base}, Output: out, Call: call, Return: end}
}
