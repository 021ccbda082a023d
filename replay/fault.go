package replay

import (
	"turmericroute/config"
	"turmericroute/place"
)

// startFault applies a fault.
func (s *sim) startFault(f fault) {
	switch {
	case f.dataCentre != "":
		s.setOutOfService(f.dataCentre, true)
	case f.failsTasks:
		s.workersByName[f.worker].failsTasks = true
	default:
		s.workersByName[f.worker].up = false
		s.scheduler.Step(virtualTime(s.now), place.WorkerLost{Name: f.worker})
	}
}

// endFault reverts a fault. A lost worker joins again with a new incarnation.
func (s *sim) endFault(f fault) {
	switch {
	case f.dataCentre != "":
		s.setOutOfService(f.dataCentre, false)
	case f.failsTasks:
		s.workersByName[f.worker].failsTasks = false
	default:
		w := s.workersByName[f.worker]
		w.up = true
		w.Incarnation += "1"
		s.scheduler.Step(virtualTime(s.now), place.WorkerJoined{Worker: w.Worker})
	}
}

// setOutOfService takes a data centre out of service or returns it to service.
func (s *sim) setOutOfService(name string, out bool) {
	cfg, err := config.Apply(s.cfg, config.Patch{Changes: []config.Change{
		{SetDataCentre: &config.DataCentreState{Name: name, OutOfService: out}},
	}})
	if err != nil {
		panic(err) // the trace names an unknown data centre
	}
	s.cfg = cfg
	s.scheduler.Step(virtualTime(s.now), place.ConfigChanged{Config: cfg})
}
