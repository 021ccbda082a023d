package config_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"turmericroute/config"
	"turmericroute/model"
)

// genConfig generates valid configurations with references between their parts.
func genConfig(t *rapid.T, label string) config.Config {
	var cfg config.Config
	for i := range rapid.IntRange(1, 3).Draw(t, label+" data centres") {
		cfg.DataCentres = append(cfg.DataCentres, config.DataCentre{
			Name: fmt.Sprintf("z%d", i), Region: "r", OutOfService: rapid.Bool().Draw(t, label+" out of service"),
			Racks: []config.Rack{{Name: "r1", Workers: rapid.IntRange(0, 2).Draw(t, label+" workers"), PerWorker: model.Resources{GPUs: 8}}},
		})
	}
	for i := range rapid.IntRange(0, 3).Draw(t, label+" services") {
		cfg.Services = append(cfg.Services, config.Service{Name: fmt.Sprintf("s%d", i), Slots: 1 + i, Connections: 1})
	}
	for i := range rapid.IntRange(0, 3).Draw(t, label+" teams") {
		team := config.Team{Name: fmt.Sprintf("t%d", i), Weight: float64(rapid.IntRange(0, 3).Draw(t, label+" weight"))}
		if n := len(cfg.Services); n > 0 {
			team.Services = []string{cfg.Services[rapid.IntRange(0, n-1).Draw(t, label+" service")].Name}
		}
		team.DataCentres = []string{cfg.DataCentres[rapid.IntRange(0, len(cfg.DataCentres)-1).Draw(t, label+" data centre")].Name}
		cfg.Teams = append(cfg.Teams, team)
	}
	for i := range rapid.IntRange(0, 2).Draw(t, label+" drains") {
		cfg.DrainedWorkers = append(cfg.DrainedWorkers, config.Drain{Worker: fmt.Sprintf("w%d", i)})
	}
	return cfg
}

func patchOf(c config.Change) config.Patch { return config.Patch{Changes: []config.Change{c}} }

var _ = Describe("differences", func() {
	It("convert one configuration to another with all references valid after each change", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			from, to := genConfig(t, "from"), genConfig(t, "to")
			cfg := from
			for _, c := range config.Diff(from, to) {
				next, err := config.Apply(cfg, patchOf(c))
				if err != nil {
					t.Fatalf("apply %s: %v", c, err)
				}
				if faults := config.Validate(next); len(faults) > 0 {
					t.Fatalf("after %s: %v", c, faults)
				}
				cfg = next
			}
			if remaining := config.Diff(cfg, to); len(remaining) > 0 {
				t.Fatalf("changes remain: %v", remaining)
			}
		})
	})

	It("never return anything to service by omission", func() {
		declared := config.Config{DataCentres: []config.DataCentre{{Name: "a", Region: "r"}, {Name: "b", Region: "r", OutOfService: true}}}
		running := config.Config{
			DataCentres:    []config.DataCentre{{Name: "a", Region: "r", OutOfService: true, Reason: "cooling"}, {Name: "b", Region: "r"}},
			DrainedWorkers: []config.Drain{{Worker: "w1"}},
		}
		next := declared.WithDrainsOf(running)
		Expect(next.InService("a")).To(BeFalse())
		Expect(next.InService("b")).To(BeFalse())
		Expect(next.Drained("w1")).To(BeTrue())
		Expect(declared.InService("a")).To(BeTrue(), "the argument is not modified")
	})

	It("get the same patch ID only for the same content and base version", func() {
		c := []config.Change{{RemoveTeam: "x"}}
		a, err := config.NewPatch(7, "ana", "r", c)
		Expect(err).NotTo(HaveOccurred())
		b, _ := config.NewPatch(7, "ana", "r", c)
		later, _ := config.NewPatch(8, "ana", "r", c)
		Expect(a.ID).To(Equal(b.ID))
		Expect(a.ID).NotTo(Equal(later.ID))
	})
})

var _ = DescribeTable("refused patches", func(body, want string) {
	_, err := config.DecodePatch([]byte(body))
	Expect(err).To(MatchError(ContainSubstring(want)))
	Expect(model.AsError(err).Outcome).To(Equal(model.OutcomeNotRun))
},
	Entry("unknown field", `{"id":"p","base_version":1,"changes":[{"remove_team":"x"}],"force":true}`, "force"),
	Entry("repeated field", `{"id":"p","ID":"q","base_version":1,"changes":[{"remove_team":"x"}]}`, "occurs twice"),
	Entry("negative version", `{"id":"p","base_version":-1,"changes":[{"remove_team":"x"}]}`, "base_version"),
	Entry("overflowing version", `{"id":"p","base_version":99999999999999999999,"changes":[{"remove_team":"x"}]}`, "base_version"),
	Entry("trailing data", `{"id":"p","base_version":1,"changes":[{"remove_team":"x"}]}{}`, "data follows"),
	Entry("two actions in one change", `{"id":"p","changes":[{"remove_team":"x","remove_service":"y"}]}`, "changes[0]: has 2 actions"),
	Entry("no change", `{"id":"p","base_version":1,"changes":[]}`, "changes: is 0"),
	Entry("no ID", `{"base_version":1,"changes":[{"remove_team":"x"}]}`, "id: is missing"),
	Entry("deep nesting", strings.Repeat("[", 100)+strings.Repeat("]", 100), "nested deeper"),
	Entry("not UTF-8", "{\"id\":\"\xff\"}", "UTF-8"),
	Entry("truncated JSON", `{"id":"p"`, "ends within"),
	Entry("empty", "", "empty"),
	Entry("too large", `"`+strings.Repeat("x", config.MaxPatchBytes)+`"`, "larger"),
)

// FuzzDecodePatch searches for accepted patches that are refused or change when they
// are encoded and decoded again.
func FuzzDecodePatch(f *testing.F) {
	f.Add([]byte(`{"id":"p","base_version":1,"changes":[{"put_team":{"name":"t","weight":1e2}}]}`))
	f.Add([]byte(`{"id":"p","base_version":1,"changes":[{"set_data_centre":{"name":"a","out_of_service":true}}]}`))
	f.Add([]byte(`{"id":"p","changes":[null]}`))
	f.Add([]byte("[[[[{}]]]]"))
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := config.DecodePatch(b)
		if err != nil {
			return
		}
		again, err := json.Marshal(p)
		if err != nil {
			t.Fatalf("encode accepted patch: %v", err)
		}
		q, err := config.DecodePatch(again)
		if err != nil {
			t.Fatalf("accepted patch is refused when sent again: %v", err)
		}
		if third, _ := json.Marshal(q); string(again) != string(third) {
			t.Fatalf("patch changes: %s and %s", again, third)
		}
	})
}
