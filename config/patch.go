package config

import (
	"slices"

	"turmericroute/model"
)

// Apply returns cfg with the changes of p and the next version number; it does not check references.
func Apply(cfg Config, p Patch) (Config, error) {
	next := cfg
	for i, c := range p.Changes {
		var ok bool
		if next, ok = next.withChange(c); !ok {
			return cfg, model.NotRun(model.CodeInvalid, "change %d refers to something that does not exist, or does not have exactly one action", i+1)
		}
	}
	next.Version = cfg.Version + 1
	return next, nil
}

// withChange returns cfg with one change applied; false if the change does not have
// exactly one action or refers to something that does not exist.
func (cfg Config) withChange(c Change) (Config, bool) {
	if c.actionCount() != 1 {
		return cfg, false
	}
	ok := true
	switch {
	case c.PutDataCentre != nil:
		cfg.DataCentres = upsert(cfg.DataCentres, *c.PutDataCentre, DataCentre.key)
	case c.RemoveDataCentre != "":
		cfg.DataCentres, ok = remove(cfg.DataCentres, c.RemoveDataCentre, DataCentre.key)
	case c.PutTeam != nil:
		cfg.Teams = upsert(cfg.Teams, *c.PutTeam, Team.key)
	case c.RemoveTeam != "":
		cfg.Teams, ok = remove(cfg.Teams, c.RemoveTeam, Team.key)
	case c.PutService != nil:
		cfg.Services = upsert(cfg.Services, *c.PutService, Service.key)
	case c.RemoveService != "":
		cfg.Services, ok = remove(cfg.Services, c.RemoveService, Service.key)
	case c.SetDataCentre != nil:
		return cfg.withDataCentreState(*c.SetDataCentre)
	case c.DrainWorker != nil:
		cfg.DrainedWorkers = upsert(cfg.DrainedWorkers, *c.DrainWorker, Drain.key)
	case c.UndrainWorker != "":
		cfg.DrainedWorkers, ok = remove(cfg.DrainedWorkers, c.UndrainWorker, Drain.key)
	}
	return cfg, ok
}

// withDataCentreState returns cfg with the state of a data centre changed; false if it does not exist.
func (cfg Config) withDataCentreState(s DataCentreState) (Config, bool) {
	dc, ok := cfg.DataCentre(s.Name)
	if !ok {
		return cfg, false
	}
	dc.OutOfService, dc.Reason = s.OutOfService, s.Reason
	cfg.DataCentres = upsert(cfg.DataCentres, dc, DataCentre.key)
	return cfg, true
}

// actionCount returns the number of fields that are set.
func (c Change) actionCount() int {
	n := 0
	for _, set := range []bool{
		c.PutDataCentre != nil, c.RemoveDataCentre != "", c.PutTeam != nil, c.RemoveTeam != "",
		c.PutService != nil, c.RemoveService != "", c.SetDataCentre != nil,
		c.DrainWorker != nil, c.UndrainWorker != "",
	} {
		if set {
			n++
		}
	}
	return n
}

func (d DataCentre) key() string { return d.Name }
func (t Team) key() string       { return t.Name }
func (s Service) key() string    { return s.Name }
func (d Drain) key() string      { return d.Worker }

// upsert returns a copy of list in which v replaces the value with its key, or is
// appended if there is none.
func upsert[T any](list []T, v T, key func(T) string) []T {
	out := slices.Clone(list)
	for i := range out {
		if key(out[i]) == key(v) {
			out[i] = v
			return out
		}
	}
	return append(out, v)
}

// remove returns a copy of list without the value with the key name; false if there is none.
func remove[T any](list []T, name string, key func(T) string) ([]T, bool) {
	out := slices.DeleteFunc(slices.Clone(list), func(v T) bool { return key(v) == name })
	return out, len(out) < len(list)
}

// DataCentre returns the data centre with the name.
func (cfg Config) DataCentre(name string) (DataCentre, bool) {
	return find(cfg.DataCentres, name, DataCentre.key)
}

// Team returns the team with the name.
func (cfg Config) Team(name string) (Team, bool) { return find(cfg.Teams, name, Team.key) }

// Service returns the service with the name.
func (cfg Config) Service(name string) (Service, bool) { return find(cfg.Services, name, Service.key) }

// Drained reports whether a worker is drained.
func (cfg Config) Drained(worker string) bool {
	_, ok := find(cfg.DrainedWorkers, worker, Drain.key)
	return ok
}

// InService reports whether a data centre exists and is in service.
func (cfg Config) InService(dc string) bool {
	d, ok := cfg.DataCentre(dc)
	return ok && !d.OutOfService
}

// find returns the value of list with the key name; false if there is none.
func find[T any](list []T, name string, key func(T) string) (T, bool) {
	for _, v := range list {
		if key(v) == name {
			return v, true
		}
	}
	var zero T
	return zero, false
}

// WithDataCentresInService returns cfg with all data centres in service. Unlike
// AllInService, it keeps reasons and drained workers.
func (cfg Config) WithDataCentresInService() Config {
	cfg.DataCentres = slices.Clone(cfg.DataCentres)
	for i := range cfg.DataCentres {
		cfg.DataCentres[i].OutOfService = false
	}
	return cfg
}
