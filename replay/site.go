package replay

import (
	"fmt"

	"turmericroute/config"
	"turmericroute/model"
)

// Size describes a site of one size, its teams and the load submitted to it.
type Size struct {
	Name   string
	Config config.Config
	// Hours is the length of the submission period, in hours.
	Hours float64
	// Jobs is the number of submissions in that period, without the initial jobs and bursts.
	Jobs   int
	jobMix jobMix
}

// SizeNames lists the sizes that are compared.
var SizeNames = []string{"cobreria", "asahikawa", "large"}

// SizeByName returns the size with the given name, or an error if there is none.
func SizeByName(name string) (Size, error) {
	switch name {
	case "cobreria":
		return cobreriaSize(), nil
	case "asahikawa":
		return asahikawaSize(), nil
	case "large":
		return largeSize(880), nil
	default:
		return Size{}, fmt.Errorf("unknown size %q; the sizes are %v", name, SizeNames)
	}
}

// dataCentres returns count data centres whose racks are given by their index.
func dataCentres(count int, racks func(dc int) []config.Rack) []config.DataCentre {
	var dcs []config.DataCentre
	for d := range count {
		dcs = append(dcs, config.DataCentre{Name: fmt.Sprintf("dc%d", d+1), Region: "home", Racks: racks(d)})
	}
	return dcs
}

// uniformRacks returns a function that returns n equal racks for every data centre.
func uniformRacks(n, workers int, perWorker model.Resources) func(int) []config.Rack {
	return func(int) []config.Rack {
		var rs []config.Rack
		for r := range n {
			rs = append(rs, config.Rack{Name: fmt.Sprintf("rack%02d", r+1), Workers: workers, PerWorker: perWorker})
		}
		return rs
	}
}

// gpuShape returns a shape whose tasks have cores and memory in proportion to their accelerators.
func gpuShape(tasks, gpus, coresPerGPU, mbPerGPU int, sameRack bool) model.Shape {
	return model.Shape{Tasks: tasks, GPUs: gpus, Cores: gpus * coresPerGPU, MemoryMB: gpus * mbPerGPU, SameRack: sameRack}
}

// cobreriaSize returns the site of Cobrería Andina Software: 48 workers, six to a rack, in 4 data centres.
func cobreriaSize() Size {
	gangShape := func(tasks, gpus int, sameRack bool) model.Shape { return gpuShape(tasks, gpus, 3, 6<<10, sameRack) }
	return Size{
		Name: "cobreria", Hours: 24, Jobs: 1700,
		Config: config.Config{
			DataCentres: dataCentres(4, uniformRacks(2, 6, model.Resources{GPUs: 8, Cores: 32, MemoryMB: 64 << 10})),
			Teams: []config.Team{
				{Name: "seams", Weight: 3, MaxGPUs: 288, Guarantees: []config.Guarantee{{Shape: gangShape(6, 8, true)}, {Shape: gangShape(2, 8, true), Count: 2}}},
				{Name: "patina", Weight: 3, MaxGPUs: 288, Guarantees: []config.Guarantee{{Shape: gangShape(4, 8, true)}, {Shape: gangShape(1, 8, false), Count: 4}}},
				{Name: "bends", Weight: 1, MaxGPUs: 192, Guarantees: []config.Guarantee{{Shape: gangShape(2, 8, true), Count: 2}}},
				{Name: "previews", Weight: 1, MaxGPUs: 192, Guarantees: []config.Guarantee{{Shape: gangShape(1, 2, false), Count: 8}}},
			},
		},
		jobMix: jobMix{largeTaskGPUs: 8, coresPerGPU: 3, mbPerGPU: 6 << 10, maxLargeTasks: 6, gpuClassShares: [2]float64{0.5, 0.2}, cpuShare: 0.15, gpuLoad: 0.8},
	}
}

// asahikawaSize returns the site of Asahikawa Municipal Topiary Works: 48 workers, eight to a rack, in 3 data centres.
func asahikawaSize() Size {
	gangShape := func(tasks, gpus int, sameRack bool) model.Shape { return gpuShape(tasks, gpus, 14, 56<<10, sameRack) }
	return Size{
		Name: "asahikawa", Hours: 24, Jobs: 1400,
		Config: config.Config{
			DataCentres: dataCentres(3, uniformRacks(2, 8, model.Resources{GPUs: 8, Cores: 128, MemoryMB: 512 << 10})),
			Teams: []config.Team{
				{Name: "hedges", Weight: 3, MaxGPUs: 288, Guarantees: []config.Guarantee{{Shape: gangShape(8, 8, true)}, {Shape: gangShape(2, 8, true), Count: 2}}},
				{Name: "snow", Weight: 2, MaxGPUs: 256, Guarantees: []config.Guarantee{{Shape: gangShape(4, 8, true)}, {Shape: gangShape(1, 8, false), Count: 2}}},
				{Name: "wires", Weight: 1, MaxGPUs: 192, Guarantees: []config.Guarantee{{Shape: gangShape(2, 8, true)}}},
				{Name: "plans", Weight: 1, MaxGPUs: 192, Guarantees: []config.Guarantee{{Shape: gangShape(1, 4, false), Count: 4}}},
			},
		},
		jobMix: jobMix{largeTaskGPUs: 8, coresPerGPU: 14, mbPerGPU: 56 << 10, maxLargeTasks: 8, gpuClassShares: [2]float64{0.5, 0.2}, cpuShare: 0.15, gpuLoad: 0.8},
	}
}

// largeSize returns the design size, 880 workers with 950 accelerators in total
// in 5 data centres, scaled to the given number of workers.
func largeSize(workers int) Size {
	scale := func(n int) int { return max(1, n*workers/880) }
	withGPUs := func(gpus int) model.Resources { return model.Resources{GPUs: gpus, Cores: 64, MemoryMB: 256 << 10} }
	cpuOnly := model.Resources{Cores: 48, MemoryMB: 192 << 10}
	racks := func(int) []config.Rack {
		rs := []config.Rack{
			{Name: "gpu8", Workers: scale(16), PerWorker: withGPUs(8)},
			{Name: "gpu4", Workers: scale(15), PerWorker: withGPUs(4)},
			{Name: "gpu1", Workers: scale(2), PerWorker: withGPUs(1)},
		}
		remaining := workers/5 - rs[0].Workers - rs[1].Workers - rs[2].Workers
		for r := 1; remaining > 0; r++ {
			n := min(remaining, 16)
			rs = append(rs, config.Rack{Name: fmt.Sprintf("cpu%02d", r), Workers: n, PerWorker: cpuOnly})
			remaining -= n
		}
		return rs
	}
	sz := Size{
		Name: "large", Hours: 24, Jobs: 3200 * workers / 880,
		Config: config.Config{DataCentres: dataCentres(5, racks)},
		jobMix: jobMix{largeTaskGPUs: 8, coresPerGPU: 6, mbPerGPU: 24 << 10, maxLargeTasks: max(2, scale(8)), gpuClassShares: [2]float64{0.62, 0.34}, cpuShare: 0.8, gpuLoad: 0.8, cpuLoad: 0.6},
	}
	for i := range 22 {
		t := config.Team{Name: fmt.Sprintf("team%02d", i+1), Weight: float64(1 + i%3)}
		switch {
		case i < 4:
			t.MaxGPUs = max(64, scale(400))
			t.Guarantees = []config.Guarantee{
				{Shape: gpuShape(scale(8), 8, 6, 24<<10, true)},
				{Shape: model.Shape{Tasks: scale(64), Cores: 3, MemoryMB: 10 << 10}},
			}
		case i < 12:
			t.MaxGPUs = max(32, scale(200))
			t.Guarantees = []config.Guarantee{
				{Shape: gpuShape(scale(4), 4, 6, 24<<10, true)},
				{Shape: model.Shape{Tasks: scale(32), Cores: 3, MemoryMB: 10 << 10}, Count: 2},
			}
		default:
			t.MaxGPUs = max(16, scale(100))
			t.Guarantees = []config.Guarantee{{Shape: model.Shape{Tasks: scale(16), Cores: 3, MemoryMB: 10 << 10}, Count: 3}}
		}
		sz.Config.Teams = append(sz.Config.Teams, t)
	}
	return sz
}

// declaredWorkers returns the workers that a configuration declares.
func declaredWorkers(cfg config.Config) []model.Worker {
	var ws []model.Worker
	for _, dc := range cfg.DataCentres {
		for _, r := range dc.Racks {
			for i := range r.Workers {
				ws = append(ws, model.Worker{
					Name:       fmt.Sprintf("%s-%s-%02d", dc.Name, r.Name, i+1),
					DataCentre: dc.Name, Rack: r.Name, Incarnation: "1", Capacity: r.PerWorker,
				})
			}
		}
	}
	return ws
}
