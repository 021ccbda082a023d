package place

import (
	"cmp"
	"slices"
	"time"

	"turmericroute/config"
	"turmericroute/model"
)

type rackID struct{ dc, name string }

type rack struct {
	id      rackID
	dc      *dataCentre
	workers []*worker // sorted by name
	// maxFree is, for each resource, the largest amount free on one worker in round maxFreeRound.
	maxFree      amount
	maxFreeRound int
}

type dataCentre struct {
	name      string
	inService bool
	// declared is set once a configuration has declared the data centre.
	declared bool
	// recentStarts holds the times of recent starts while the starts after a return are bounded.
	recentStarts []time.Time
	returnedAt   time.Time
}

// worker is the policy's record of one machine.
type worker struct {
	name        string
	index       int // in Policy.allWorkers
	incarnation string
	rack        *rack
	cap         amount
	joined      bool
	drained     bool
	// used is the declared usage of the gangs placed here, until they are released.
	used amount
	// excessUse is the measured usage beyond the declared one.
	excessUse amount
	// claimed is the amount held for claims.
	claimed amount
	// cellReserved is the footprint of all cells on the worker.
	cellReserved amount
	// cellOccupied is the part of cellReserved that belongs to cells in use.
	cellOccupied amount
	gangs        []*job
	health       health
	reservation  *reservation // reservation of a starving job that includes this worker
	// backfillRoom is what others may use beyond the start of the reservation, in round
	// backfillRound.
	backfillRoom  amount
	backfillRound int

	footprintGen, footprintIndex int // scratch space of assignCell
}

// usable reports whether tasks may start on the worker.
func (p *Policy) usable(w *worker) bool {
	return w.joined && !w.drained && w.rack.dc.inService && !w.health.onProbation(p.now)
}

// free returns what a start can use now.
func (w *worker) free() amount { return w.cap.minus(w.used).minus(w.claimed) }

// dataCentre returns the named data centre and creates it if needed.
func (p *Policy) dataCentre(name string) *dataCentre {
	dc, ok := p.dcs[name]
	if !ok {
		dc = &dataCentre{name: name}
		p.dcs[name] = dc
	}
	return dc
}

// worker returns the named worker. If needed, it creates one that has not joined.
func (p *Policy) worker(name string) *worker {
	w, ok := p.workers[name]
	if !ok {
		w = &worker{name: name, index: len(p.allWorkers)}
		p.workers[name] = w
		p.allWorkers = append(p.allWorkers, w)
		p.setRack(w, rackID{})
	}
	return w
}

// setRack moves a worker to a rack and keeps racks and workers sorted.
func (p *Policy) setRack(w *worker, id rackID) {
	if w.rack != nil {
		if w.rack.id == id {
			return
		}
		w.rack.workers = slices.DeleteFunc(w.rack.workers, func(o *worker) bool { return o == w })
	}
	r, ok := p.racks[id]
	if !ok {
		r = &rack{id: id, dc: p.dataCentre(id.dc)}
		p.racks[id] = r
		p.sortedRacks = append(p.sortedRacks, r)
		slices.SortFunc(p.sortedRacks, func(a, b *rack) int {
			return cmp.Or(cmp.Compare(a.id.dc, b.id.dc), cmp.Compare(a.id.name, b.id.name))
		})
	}
	w.rack = r
	r.workers = append(r.workers, w)
	slices.SortFunc(r.workers, func(a, b *worker) int { return cmp.Compare(a.name, b.name) })
}

func (p *Policy) configChanged(cfg config.Config) {
	p.siteCfg = cfg
	for _, d := range cfg.DataCentres {
		p.dataCentre(d.Name)
	}
	for _, dc := range p.dcs {
		wasInService := dc.inService
		dc.inService = cfg.InService(dc.name)
		if dc.inService && !wasInService && dc.declared {
			dc.returnedAt = p.now
		}
		_, dc.declared = cfg.DataCentre(dc.name)
	}
	drained := map[string]bool{}
	for _, d := range cfg.DrainedWorkers {
		drained[d.Worker] = true
	}
	for _, w := range p.allWorkers {
		w.drained = drained[w.name]
	}
	p.setTeams(cfg)
	p.needsRepair, p.recheckJobs = true, true
}

func (p *Policy) workerJoined(m model.Worker) {
	w := p.worker(m.Name)
	known := w.incarnation != ""
	p.setRack(w, rackID{m.DataCentre, m.Rack})
	if known && w.incarnation != m.Incarnation {
		p.displace(w, "worker "+w.name+" has restarted")
	}
	if w.joined {
		p.totalCapacity = p.totalCapacity.minus(w.cap)
	}
	w.incarnation, w.cap = m.Incarnation, amountOf(m.Capacity)
	w.joined = true
	w.drained = p.siteCfg.Drained(w.name)
	p.totalCapacity = p.totalCapacity.plus(w.cap)
	p.needsRepair = true
	gpus := 0
	for _, o := range w.rack.workers {
		gpus += o.cap.gpus
	}
	p.largestRackGPUs = max(p.largestRackGPUs, gpus)
}

func (p *Policy) workerLost(name string) {
	w, ok := p.workers[name]
	if !ok {
		return
	}
	if w.joined {
		p.totalCapacity = p.totalCapacity.minus(w.cap)
	}
	w.joined = false
	p.displace(w, "worker "+name+" is lost")
	p.needsRepair = true
}

// displace marks the running gangs of a worker for preemption.
func (p *Policy) displace(w *worker, reason string) {
	for _, j := range w.gangs {
		if j.state == jobStarting || j.state == jobRunning {
			p.uncharge(j)
			j.state, j.reason = jobStopping, reason
			p.displaced = append(p.displaced, j)
		}
	}
}

// displaceOutOfService marks the gangs in data centres that are out of service for preemption.
func (p *Policy) displaceOutOfService() {
	for _, w := range p.allWorkers {
		if w.joined && !w.rack.dc.inService && len(w.gangs) > 0 {
			p.displace(w, "data centre "+w.rack.dc.name+" is out of service")
		}
	}
}

// preemptDisplaced preempts the marked gangs.
func (p *Policy) preemptDisplaced(ds []Decision) []Decision {
	for _, j := range p.displaced {
		if j.state == jobStopping {
			ds = append(ds, Preempt{ID: j.id(), Reason: j.reason, Timeout: p.cfg.ReclaimTimeout})
		}
	}
	p.displaced = p.displaced[:0]
	return ds
}

// returning reports whether starts into a data centre are bounded because it has recently returned
// to service.
func (p *Policy) returning(dc *dataCentre) bool {
	return !dc.returnedAt.IsZero() && p.now.Sub(dc.returnedAt) < p.cfg.ReturnPeriod
}

// mayStart reports whether the bound on starts into a returned data centre allows one more.
func (p *Policy) mayStart(dc *dataCentre) bool {
	if !p.returning(dc) {
		return true
	}
	for len(dc.recentStarts) > 0 && p.now.Sub(dc.recentStarts[0]) >= time.Second {
		dc.recentStarts = dc.recentStarts[1:]
	}
	return len(dc.recentStarts) < p.cfg.ReturnStartsPerSecond
}

// countStart counts one start in each data centre of a placement whose return is bounded.
func (p *Policy) countStart(placement []*worker) {
	var seen []*dataCentre
	for _, w := range placement {
		dc := w.rack.dc
		if slices.Contains(seen, dc) || !p.returning(dc) {
			continue
		}
		seen = append(seen, dc)
		dc.recentStarts = append(dc.recentStarts, p.now)
	}
}
