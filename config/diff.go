package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
)

// Diff returns the changes that turn from into to. Entries that others refer to are
// put first and removed last, so that references are valid after each change.
func Diff(from, to Config) []Change {
	var out []Change
	for _, dc := range to.DataCentres {
		old, ok := from.DataCentre(dc.Name)
		switch {
		case ok && equalJSON(old, dc):
		case ok && equalJSON(old.withServiceStateOf(dc), dc):
			out = append(out, Change{SetDataCentre: &DataCentreState{Name: dc.Name, OutOfService: dc.OutOfService, Reason: dc.Reason}})
		default:
			out = append(out, Change{PutDataCentre: &dc})
		}
	}
	out = append(out, putChanges(from.Services, to.Services, Service.key, func(s *Service) Change { return Change{PutService: s} })...)
	out = append(out, putChanges(from.Teams, to.Teams, Team.key, func(t *Team) Change { return Change{PutTeam: t} })...)
	out = append(out, putChanges(from.DrainedWorkers, to.DrainedWorkers, Drain.key, func(d *Drain) Change { return Change{DrainWorker: d} })...)
	out = append(out, removeChanges(from.Teams, to.Teams, Team.key, func(n string) Change { return Change{RemoveTeam: n} })...)
	out = append(out, removeChanges(from.Services, to.Services, Service.key, func(n string) Change { return Change{RemoveService: n} })...)
	out = append(out, removeChanges(from.DataCentres, to.DataCentres, DataCentre.key, func(n string) Change { return Change{RemoveDataCentre: n} })...)
	out = append(out, removeChanges(from.DrainedWorkers, to.DrainedWorkers, Drain.key, func(n string) Change { return Change{UndrainWorker: n} })...)
	return out
}

// putChanges returns the changes for the entries of to that are new or differ from those in from.
func putChanges[T any](from, to []T, key func(T) string, change func(*T) Change) []Change {
	var out []Change
	for _, v := range to {
		if old, ok := find(from, key(v), key); !ok || !equalJSON(old, v) {
			out = append(out, change(&v))
		}
	}
	return out
}

// removeChanges returns the changes for the entries of from that are missing in to.
func removeChanges[T any](from, to []T, key func(T) string, change func(string) Change) []Change {
	var out []Change
	for _, v := range from {
		if _, ok := find(to, key(v), key); !ok {
			out = append(out, change(key(v)))
		}
	}
	return out
}

// equalJSON reports whether two values have the same canonical JSON, in which an
// empty list equals a missing one.
func equalJSON(a, b any) bool {
	return bytes.Equal(canonicalJSON(a), canonicalJSON(b))
}

func canonicalJSON(v any) []byte {
	if dc, ok := v.(DataCentre); ok && len(dc.Racks) == 0 {
		dc.Racks = nil
		v = dc
	}
	b, err := json.Marshal(v)
	if err != nil {
		// Only non-finite numbers cannot be encoded; values with one differ from all valid values.
		return []byte(err.Error())
	}
	return b
}

// withServiceStateOf returns d with the service state and its reason taken from other.
func (d DataCentre) withServiceStateOf(other DataCentre) DataCentre {
	d.OutOfService, d.Reason = other.OutOfService, other.Reason
	return d
}

// WithDrainsOf returns cfg with all data centres and workers out of service that
// are out of service in running, so that applying declarations never returns
// anything to service by omission.
func (cfg Config) WithDrainsOf(running Config) Config {
	for _, dc := range cfg.DataCentres {
		if old, ok := running.DataCentre(dc.Name); ok && old.OutOfService && !dc.OutOfService {
			cfg.DataCentres = upsert(cfg.DataCentres, dc.withServiceStateOf(old), DataCentre.key)
		}
	}
	for _, d := range running.DrainedWorkers {
		if !cfg.Drained(d.Worker) {
			cfg.DrainedWorkers = upsert(cfg.DrainedWorkers, d, Drain.key)
		}
	}
	return cfg
}

// AllInService returns cfg with all data centres and workers in service.
func (cfg Config) AllInService() Config {
	cfg.DataCentres = slices.Clone(cfg.DataCentres)
	for i := range cfg.DataCentres {
		cfg.DataCentres[i] = cfg.DataCentres[i].withServiceStateOf(DataCentre{})
	}
	cfg.DrainedWorkers = nil
	return cfg
}

// String returns a description of the change for people.
func (c Change) String() string {
	switch {
	case c.PutDataCentre != nil:
		return fmt.Sprintf("put data centre %s", c.PutDataCentre.Name)
	case c.RemoveDataCentre != "":
		return fmt.Sprintf("remove data centre %s", c.RemoveDataCentre)
	case c.PutTeam != nil:
		return fmt.Sprintf("put team %s", c.PutTeam.Name)
	case c.RemoveTeam != "":
		return fmt.Sprintf("remove team %s", c.RemoveTeam)
	case c.PutService != nil:
		return fmt.Sprintf("put service %s", c.PutService.Name)
	case c.RemoveService != "":
		return fmt.Sprintf("remove service %s", c.RemoveService)
	case c.SetDataCentre != nil && c.SetDataCentre.OutOfService:
		return fmt.Sprintf("take data centre %s out of service", c.SetDataCentre.Name)
	case c.SetDataCentre != nil:
		return fmt.Sprintf("return data centre %s to service", c.SetDataCentre.Name)
	case c.DrainWorker != nil:
		return fmt.Sprintf("drain worker %s", c.DrainWorker.Worker)
	case c.UndrainWorker != "":
		return fmt.Sprintf("undrain worker %s", c.UndrainWorker)
	default:
		return "no action"
	}
}

// NewPatch returns a patch against version base. The ID is a hash of the content and
// the base version, so that the patch is safe to resend.
func NewPatch(base uint64, author, reason string, changes []Change) (Patch, error) {
	p := Patch{BaseVersion: base, Author: author, Reason: reason, Changes: changes}
	b, err := json.Marshal(p)
	if err != nil {
		return Patch{}, fmt.Errorf("encode patch: %w", err)
	}
	sum := sha256.Sum256(b)
	p.ID = "p-" + hex.EncodeToString(sum[:12])
	return p, nil
}
