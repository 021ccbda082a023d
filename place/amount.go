package place

import "turmericroute/model"

// amount is a quantity of worker resources, with memory in MiB; differences can be negative.
type amount struct{ gpus, cores, mem int }

func amountOf(r model.Resources) amount { return amount{r.GPUs, r.Cores, r.MemoryMB} }

// taskAmount returns the resources that one task of the shape requests.
func taskAmount(s model.Shape) amount { return amount{s.GPUs, s.Cores, s.MemoryMB} }

func (a amount) plus(b amount) amount {
	return amount{a.gpus + b.gpus, a.cores + b.cores, a.mem + b.mem}
}

func (a amount) minus(b amount) amount {
	return amount{a.gpus - b.gpus, a.cores - b.cores, a.mem - b.mem}
}

func (a amount) times(n int) amount { return amount{a.gpus * n, a.cores * n, a.mem * n} }

// fits reports whether b covers a in every resource that a requests.
func (a amount) fits(b amount) bool {
	return a.countIn(b, 1) == 1
}

func (a amount) max(b amount) amount {
	return amount{max(a.gpus, b.gpus), max(a.cores, b.cores), max(a.mem, b.mem)}
}

func (a amount) min(b amount) amount {
	return amount{min(a.gpus, b.gpus), min(a.cores, b.cores), min(a.mem, b.mem)}
}

// countIn returns how many times a fits into b, at most limit.
func (a amount) countIn(b amount, limit int) int {
	n := limit
	for _, q := range [3][2]int{{a.gpus, b.gpus}, {a.cores, b.cores}, {a.mem, b.mem}} {
		switch {
		case q[0] <= 0:
			// A resource that is not requested does not limit the count, even when it is
			// overcommitted.
		case q[1] < q[0]:
			return 0
		default:
			n = min(n, q[1]/q[0])
		}
	}
	return n
}

// dominantShare returns the largest fraction of total that a has of any one resource.
func (a amount) dominantShare(total amount) float64 {
	s := 0.0
	for _, q := range [3][2]int{{a.gpus, total.gpus}, {a.cores, total.cores}, {a.mem, total.mem}} {
		if q[1] > 0 {
			s = max(s, float64(q[0])/float64(q[1]))
		}
	}
	return s
}
