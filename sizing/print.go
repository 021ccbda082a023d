package sizing

import (
	"fmt"
	"io"
	"slices"
)

// print writes the sample as one line of key=value pairs.
func (s sample) print(out io.Writer) {
	slices.Sort(s.patchMS)
	maxPatchMS := 0.0
	if len(s.patchMS) > 0 {
		maxPatchMS = s.patchMS[len(s.patchMS)-1]
	}
	fmt.Fprintf(out, "workers=%d tasks=%d fill_s=%.1f", s.workers, s.tasks, s.fillTime.Seconds())
	for _, f := range s.figures() {
		fmt.Fprintf(out, " %s=%.2f", f.name, f.value)
	}
	fmt.Fprintf(out, " in_force_max_ms=%.1f\n", maxPatchMS)
}

// figure is a measured value with its name in the output.
type figure struct {
	name  string
	value float64
}

// figures returns the figures for which slopes are computed, in the order of the output.
func (s sample) figures() []figure {
	return []figure{
		{"leader_cpu_pct", s.leaderCPU}, {"leader_rss_mb", s.leaderRSS}, {"leader_kb_s", s.leaderKBPerSecond},
		{"follower_cpu_pct", s.followerCPU}, {"follower_rss_mb", s.followerRSS}, {"follower_kb_s", s.followerKBPerSecond},
		{"entry_cpu_pct", s.entryCPU}, {"entry_rss_mb", s.entryRSS}, {"entry_kb_s", s.entryKBPerSecond},
		{"worker_kb_s", s.workerKBPerSecond}, {"data_folder_kb", s.dataFolderKB},
	}
}

// printSlopes writes, for each figure, the least-squares line over the number of
// workers and its value at DesignWorkers. It writes nothing for fewer than two samples.
func printSlopes(out io.Writer, samples []sample) {
	if len(samples) < 2 {
		return
	}
	for i, f := range samples[0].figures() {
		var xs, ys []float64
		for _, s := range samples {
			xs = append(xs, float64(s.workers))
			ys = append(ys, s.figures()[i].value)
		}
		base, slope := fitLine(xs, ys)
		fmt.Fprintf(out, "figure=%s base=%.3f slope_per_worker=%.5f at_%d=%.2f\n", f.name, base, slope, DesignWorkers, base+slope*DesignWorkers)
	}
}

// fitLine returns the intercept and the slope of the least-squares line through points.
func fitLine(xs, ys []float64) (base, slope float64) {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i := range xs {
		sx += xs[i]
		sy += ys[i]
		sxx += xs[i] * xs[i]
		sxy += xs[i] * ys[i]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy - slope*sx) / n, slope
}
