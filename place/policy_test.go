package place_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/place"
)

var epoch = time.Unix(1_700_000_000, 0)

// site drives a policy with a manual clock; release reports that a gang has left its workers.
type site struct {
	p          *place.Policy
	now        time.Time
	cfg        config.Config
	attempts   map[string]int
	placements map[string][]string
}

// newSite returns a policy with dcs data centres of two racks with perRack workers of 8 GPUs.
func newSite(dcs, perRack int, teams ...config.Team) *site {
	s := &site{p: place.New(place.Config{Seed: 1}), now: epoch, attempts: map[string]int{}, placements: map[string][]string{}}
	per := model.Resources{GPUs: 8, Cores: 32, MemoryMB: 64 << 10}
	for d := range dcs {
		dc := config.DataCentre{Name: fmt.Sprintf("dc%d", d), Region: "r"}
		for r := range 2 {
			dc.Racks = append(dc.Racks, config.Rack{Name: fmt.Sprintf("r%d", r), Workers: perRack, PerWorker: per})
		}
		s.cfg.DataCentres = append(s.cfg.DataCentres, dc)
	}
	s.cfg.Teams = teams
	s.step(place.ConfigChanged{Config: s.cfg})
	for _, dc := range s.cfg.DataCentres {
		for _, r := range dc.Racks {
			for i := range perRack {
				s.step(place.WorkerJoined{Worker: model.Worker{
					Name: fmt.Sprintf("%s-%s-%d", dc.Name, r.Name, i), DataCentre: dc.Name, Rack: r.Name,
					Incarnation: "1", Capacity: per,
				}})
			}
		}
	}
	return s
}

func (s *site) step(e place.Event) { s.p.Step(s.now, e) }

func (s *site) submit(id, team string, sh model.Shape) {
	s.step(place.JobSubmitted{Job: model.Job{Spec: model.JobSpec{ID: id, Team: team, Shape: sh, DeclaredSeconds: 600}}, At: s.now})
}

// decide carries out the decisions as a leader would and returns them.
func (s *site) decide() []place.Decision {
	ds := s.p.Decide(s.now)
	for _, d := range ds {
		if st, ok := d.(place.Start); ok {
			s.attempts[st.ID]++
			s.placements[st.ID] = st.Placement.Workers
			s.step(place.JobStarted{ID: st.ID, Attempt: s.attempts[st.ID]})
		}
	}
	return ds
}

func (s *site) release(id string, requeue bool) {
	delete(s.placements, id)
	s.step(place.JobReleased{ID: id, Attempt: s.attempts[id], Requeue: requeue})
}

func shape(tasks, gpus int, sameRack bool) model.Shape {
	return model.Shape{Tasks: tasks, GPUs: gpus, Cores: gpus, MemoryMB: 1024 * gpus, SameRack: sameRack}
}

func guaranteed(name string, shapes ...model.Shape) config.Team {
	t := config.Team{Name: name}
	for _, sh := range shapes {
		t.Guarantees = append(t.Guarantees, config.Guarantee{Shape: sh})
	}
	return t
}

var _ = Describe("Policy", func() {
	It("starts a gang whole in one rack", func() {
		s := newSite(1, 2, guaranteed("a"))
		s.submit("j", "a", shape(2, 8, true))
		Expect(s.decide()).To(HaveLen(1))
		Expect(s.placements["j"]).To(ConsistOf("dc0-r0-0", "dc0-r0-1"))
	})

	It("reclaims a guaranteed shape from borrowers and starts once they have left", func() {
		s := newSite(1, 2, guaranteed("a", shape(2, 8, true)), guaranteed("b"))
		for i := range 4 {
			s.submit(fmt.Sprint("b", i), "b", shape(1, 8, false))
		}
		Expect(s.decide()).To(HaveLen(4))
		s.submit("a", "a", shape(2, 8, true))
		ds := s.decide()
		Expect(ds).To(HaveLen(2))
		for _, d := range ds {
			Expect(d).To(BeAssignableToTypeOf(place.Preempt{}))
			Expect(d.(place.Preempt).For).To(Equal("a"))
			s.release(d.(place.Preempt).ID, true)
		}
		ds = s.decide()
		Expect(ds).To(HaveLen(1))
		Expect(s.placements["a"]).To(HaveLen(2))
		Expect(s.p.Explain("a")).To(ContainSubstring("within guarantee 1"))
	})

	It("reports guarantees that cannot all be met", func() {
		cfg := newSite(1, 2, guaranteed("a", shape(2, 8, true), shape(2, 8, true)), guaranteed("b", shape(1, 1, false))).cfg
		Expect(place.CheckGuarantees(cfg)).To(ConsistOf(HaveField("Team", "b")))
	})
})
