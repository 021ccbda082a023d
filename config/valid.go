package config

import (
	"fmt"
	"math"
	"slices"

	"turmericroute/model"
)

// Limits of a configuration.
const (
	// MaxNameBytes bounds a name, which appears in paths, log lines and metrics.
	MaxNameBytes = 63
	// MaxTextBytes bounds a reason or an author.
	MaxTextBytes = 500
	// MaxTasks bounds the tasks of one gang.
	MaxTasks = 64

	maxGPUs           = 64      // per worker or task
	maxCores          = 4096    // per worker or task
	maxMemoryMB       = 1 << 24 // 16 TiB, per worker or task
	maxWorkers        = 4096    // per rack
	maxDataCentres    = 64
	maxRacks          = 1024 // per data centre
	maxTeams          = 1024
	maxServices       = 256
	maxGuarantees     = 64   // per team
	maxGuaranteeCount = 1024 // per guarantee
	maxDrainedWorkers = 8192
	maxWeight         = 1e6
	maxQuota          = 1 << 20 // accelerators, cores or requests, per team
	maxMemoryQuotaMB  = 1 << 40 // 1 EiB, per team
	maxSlots          = 4096    // also bounds connections, per executor
)

// CheckName returns an error unless s is a valid name: letters, digits, ".", "_"
// and "-", beginning with a letter or digit, at most MaxNameBytes long.
func CheckName(s string) error {
	if s == "" {
		return fmt.Errorf("is missing")
	}
	if len(s) > MaxNameBytes {
		return fmt.Errorf("has %d bytes, at most %d are allowed", len(s), MaxNameBytes)
	}
	for i, r := range s {
		alnum := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !alnum && (i == 0 || r != '.' && r != '_' && r != '-') {
			return fmt.Errorf("%q is not a valid name: use letters, digits, \".\", \"_\" and \"-\", beginning with a letter or digit", s)
		}
	}
	return nil
}

// Validate returns all faults of cfg.
func Validate(cfg Config) []Fault {
	v := validator{cfg: cfg}
	v.dataCentres()
	v.services()
	v.teams()
	v.drains()
	return v.faults
}

type validator struct {
	cfg    Config
	faults Faults
}

func (v *validator) dataCentres() {
	v.checkCount("data_centres", len(v.cfg.DataCentres), maxDataCentres)
	names := uniqueNames{}
	for i, dc := range v.cfg.DataCentres {
		key := fmt.Sprintf("data_centres[%d]", i)
		v.faults.CheckName(key+".name", dc.Name)
		names.add(&v.faults, key+".name", dc.Name)
		v.faults.CheckName(key+".region", dc.Region)
		v.faults.CheckText(key+".reason", dc.Reason)
		v.racks(key, dc.Racks)
	}
}

func (v *validator) racks(dc string, racks []Rack) {
	v.checkCount(dc+".racks", len(racks), maxRacks)
	names := uniqueNames{}
	for i, r := range racks {
		key := fmt.Sprintf("%s.racks[%d]", dc, i)
		v.faults.CheckName(key+".name", r.Name)
		names.add(&v.faults, key+".name", r.Name)
		v.faults.CheckRange(key+".workers", r.Workers, 0, maxWorkers)
		v.faults = append(v.faults, CheckResources(key+".per_worker", r.PerWorker)...)
	}
}

// CheckResources returns the faults of the resources at key.
func CheckResources(key string, r model.Resources) []Fault {
	var f Faults
	f.CheckRange(key+".gpus", r.GPUs, 0, maxGPUs)
	f.CheckRange(key+".cores", r.Cores, 0, maxCores)
	f.CheckRange(key+".memory_mb", r.MemoryMB, 0, maxMemoryMB)
	return f
}

// CheckShape returns the faults of the shape at key.
func CheckShape(key string, s model.Shape) []Fault {
	var f Faults
	f.CheckRange(key+".tasks", s.Tasks, 1, MaxTasks)
	f = append(f, CheckResources(key, model.Resources{GPUs: s.GPUs, Cores: s.Cores, MemoryMB: s.MemoryMB})...)
	if s.GPUs == 0 && s.Cores == 0 && s.MemoryMB == 0 {
		f.Add(key, "asks for no resources: set gpus, cores or memory_mb")
	}
	return f
}

func (v *validator) services() {
	v.checkCount("services", len(v.cfg.Services), maxServices)
	names := uniqueNames{}
	for i, s := range v.cfg.Services {
		key := fmt.Sprintf("services[%d]", i)
		v.faults.CheckName(key+".name", s.Name)
		names.add(&v.faults, key+".name", s.Name)
		v.faults.CheckRange(key+".slots", s.Slots, 1, maxSlots)
		v.faults.CheckRange(key+".connections", s.Connections, 1, maxSlots)
		v.dataCentreRefs(key, s.DataCentres)
	}
}

func (v *validator) teams() {
	v.checkCount("teams", len(v.cfg.Teams), maxTeams)
	names := uniqueNames{}
	for i, t := range v.cfg.Teams {
		key := fmt.Sprintf("teams[%d]", i)
		v.faults.CheckName(key+".name", t.Name)
		names.add(&v.faults, key+".name", t.Name)
		if math.IsNaN(t.Weight) || t.Weight < 0 || t.Weight > maxWeight {
			v.faults.Add(key+".weight", "is %v, must be 0 to %v", t.Weight, maxWeight)
		}
		v.faults.CheckRange(key+".max_gpus", t.MaxGPUs, 0, maxQuota)
		v.faults.CheckRange(key+".max_cores", t.MaxCores, 0, maxQuota)
		v.faults.CheckRange(key+".max_memory_mb", t.MaxMemoryMB, 0, maxMemoryQuotaMB)
		v.faults.CheckRange(key+".max_requests", t.MaxRequests, 0, maxQuota)
		v.dataCentreRefs(key, t.DataCentres)
		v.serviceRefs(key, t.Services)
		v.guarantees(key, t)
	}
}

// serviceRefs checks the references of a team to services.
func (v *validator) serviceRefs(team string, list []string) {
	names := uniqueNames{}
	for i, s := range list {
		key := fmt.Sprintf("%s.services[%d]", team, i)
		names.add(&v.faults, key, s)
		if _, ok := v.cfg.Service(s); !ok {
			v.faults.Add(key, "no service is named %q", s)
		}
	}
}

func (v *validator) guarantees(team string, t Team) {
	v.checkCount(team+".guarantees", len(t.Guarantees), maxGuarantees)
	var total model.Resources
	for i, g := range t.Guarantees {
		key := fmt.Sprintf("%s.guarantees[%d]", team, i)
		v.faults = append(v.faults, CheckShape(key+".shape", g.Shape)...)
		v.faults.CheckRange(key+".count", g.Count, 0, maxGuaranteeCount)
		v.dataCentreRefs(key, g.DataCentres)
		for j, dc := range g.DataCentres {
			if len(t.DataCentres) > 0 && !slices.Contains(t.DataCentres, dc) {
				v.faults.Add(fmt.Sprintf("%s.data_centres[%d]", key, j), "team %s may not use data centre %q", t.Name, dc)
			}
		}
		tasks := max(0, min(g.Shape.Tasks, MaxTasks)) * max(1, min(g.Count, maxGuaranteeCount))
		total.GPUs += tasks * max(0, min(g.Shape.GPUs, maxGPUs))
		total.Cores += tasks * max(0, min(g.Shape.Cores, maxCores))
		total.MemoryMB += tasks * max(0, min(g.Shape.MemoryMB, maxMemoryMB))
	}
	v.checkQuota(team+".max_gpus", t.MaxGPUs, total.GPUs)
	v.checkQuota(team+".max_cores", t.MaxCores, total.Cores)
	v.checkQuota(team+".max_memory_mb", t.MaxMemoryMB, total.MemoryMB)
}

// checkQuota adds a fault if a quota is less than what the guarantees of its team need.
func (v *validator) checkQuota(key string, quota, guaranteed int) {
	if quota > 0 && guaranteed > quota {
		v.faults.Add(key, "is %d, but the guarantees need %d", quota, guaranteed)
	}
}

func (v *validator) drains() {
	v.checkCount("drained_workers", len(v.cfg.DrainedWorkers), maxDrainedWorkers)
	names := uniqueNames{}
	for i, d := range v.cfg.DrainedWorkers {
		key := fmt.Sprintf("drained_workers[%d]", i)
		v.faults.CheckName(key+".worker", d.Worker)
		names.add(&v.faults, key+".worker", d.Worker)
		v.faults.CheckText(key+".reason", d.Reason)
	}
}

// dataCentreRefs checks the references of owner to data centres.
func (v *validator) dataCentreRefs(owner string, list []string) {
	names := uniqueNames{}
	for i, dc := range list {
		key := fmt.Sprintf("%s.data_centres[%d]", owner, i)
		names.add(&v.faults, key, dc)
		if _, ok := v.cfg.DataCentre(dc); !ok {
			v.faults.Add(key, "no data centre is named %q", dc)
		}
	}
}

// checkCount adds a fault if the list at key has more than highest entries.
func (v *validator) checkCount(key string, n, highest int) {
	if n > highest {
		v.faults.Add(key, "has %d entries, at most %d are allowed", n, highest)
	}
}

// uniqueNames maps each name to the key of its first use.
type uniqueNames map[string]string

// add records the use of a name at key, and adds a fault if it is already used; an
// empty name is ignored.
func (u uniqueNames) add(f *Faults, key, name string) {
	first, ok := u[name]
	switch {
	case name == "":
	case ok:
		f.Add(key, "%q is already used at %s", name, first)
	default:
		u[name] = key
	}
}
