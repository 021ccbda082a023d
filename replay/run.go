package replay

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"sync"
	"time"

	"turmericroute/place"
)

// parallelReplays is the number of replays that run concurrently.
const parallelReplays = 4

// Config configures a comparison.
type Config struct {
	// Seed is the seed of the first trace; further traces use the following numbers.
	Seed int64
	// Seeds is the number of traces for each size; 0 means 1.
	Seeds int
	// Sizes names the sizes; empty means all.
	Sizes []string
	// Faults selects traces with faults, without faults, or both: "on", "off" or "both"; empty means "both".
	Faults string
	// Plot names an SVG file for the main comparison; empty means none.
	Plot string
	// SkipCost skips the measurement of decision cost and memory.
	SkipCost bool
}

// withDefaults returns the configuration with defaults in place of empty fields.
func (c Config) withDefaults() Config {
	if c.Seeds <= 0 {
		c.Seeds = 1
	}
	if len(c.Sizes) == 0 {
		c.Sizes = SizeNames
	}
	if c.Faults == "" {
		c.Faults = "both"
	}
	return c
}

// faultModes returns the modes to replay: false without faults, true with faults.
func (c Config) faultModes() ([]bool, error) {
	switch c.Faults {
	case "both":
		return []bool{false, true}, nil
	case "on":
		return []bool{true}, nil
	case "off":
		return []bool{false}, nil
	default:
		return nil, fmt.Errorf("faults must be both, on or off, not %q", c.Faults)
	}
}

// schedulerNames lists the compared schedulers. The policy comes first; the others are baselines.
var schedulerNames = []string{"policy", "fcfs", "backfill"}

// newScheduler returns a new scheduler of the given name.
func newScheduler(name string, cfg Config) Scheduler {
	switch name {
	case "fcfs":
		return newBaseline(false)
	case "backfill":
		return newBaseline(true)
	default:
		return place.New(place.Config{Seed: cfg.Seed})
	}
}

// Run replays the traces of every size with the policy and the baselines and
// writes the comparison to w. It returns an error if the configuration is
// invalid, ctx ends or the plot cannot be written.
func Run(ctx context.Context, cfg Config, w io.Writer) error {
	cfg = cfg.withDefaults()
	modes, err := cfg.faultModes()
	if err != nil {
		return err
	}
	var cost Cost
	if !cfg.SkipCost {
		if cost, err = MeasureCost(ctx, cfg); err != nil {
			return fmt.Errorf("measure decision cost: %w", err)
		}
		fmt.Fprintf(w, "cost %s\n", cost)
	}
	comparisons, err := replaySizes(ctx, cfg, modes, w)
	if err != nil {
		return err
	}
	for _, c := range comparisons {
		fmt.Fprintln(w, c.summary(cost))
	}
	if cfg.Plot != "" {
		if err := plotComparison(comparisons, cfg.Plot); err != nil {
			return fmt.Errorf("plot to %s: %w", cfg.Plot, err)
		}
	}
	return nil
}

// traceReplay is the replay of one trace with one scheduler.
type traceReplay struct {
	size      Size
	sizeIndex int
	seed      int64
	faults    bool
	scheduler string
	duration  time.Duration
	result    Result
}

// replaySizes replays all traces, parallelReplays at a time, and writes a line
// for each in a fixed order. It returns a comparison for each size.
func replaySizes(ctx context.Context, cfg Config, modes []bool, w io.Writer) ([]comparison, error) {
	var replays []*traceReplay
	comparisons := make([]comparison, len(cfg.Sizes))
	for i, name := range cfg.Sizes {
		sz, err := SizeByName(name)
		if err != nil {
			return nil, err
		}
		comparisons[i].size = name
		for _, faults := range modes {
			for seed := range cfg.Seeds {
				for _, sched := range schedulerNames {
					replays = append(replays, &traceReplay{size: sz, sizeIndex: i, seed: cfg.Seed + int64(seed), faults: faults, scheduler: sched})
				}
			}
		}
	}
	// The longest replays, which come last in the list, start first.
	pending := make(chan *traceReplay, len(replays))
	for _, t := range slices.Backward(replays) {
		pending <- t
	}
	close(pending)
	var wg sync.WaitGroup
	for range parallelReplays {
		wg.Go(func() {
			for t := range pending {
				if ctx.Err() == nil {
					t.run(cfg)
				}
			}
		})
	}
	wg.Wait()
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("replay: %w", err)
	}
	for i := 0; i < len(replays); i += len(schedulerNames) {
		var results []Result
		for _, t := range replays[i : i+len(schedulerNames)] {
			fmt.Fprintf(w, "replay size=%s seed=%d faults=%v scheduler=%s %s took_s=%.1f\n",
				t.size.Name, t.seed, t.faults, t.scheduler, t.result, t.duration.Seconds())
			results = append(results, t.result)
		}
		comparisons[replays[i].sizeIndex].addResults(results)
	}
	return comparisons, nil
}

// run replays the trace and sets the result and the duration.
func (t *traceReplay) run(cfg Config) {
	start := time.Now()
	t.result = newSim(newTrace(t.size, t.seed, t.faults), newScheduler(t.scheduler, cfg)).replay().result
	t.result.Scheduler = t.scheduler
	t.duration = time.Since(start)
}

// String returns the result as key=value pairs.
func (r Result) String() string {
	return fmt.Sprintf("mean_completion_s=%.0f p50_s=%.0f p99_s=%.0f slowdown=%.2f fragmentation=%.3f departure_work=%.3f utilisation=%.3f "+
		"large_wait_p99_s=%.0f broken_guarantees=%d short_s=%.0f partial_gangs=%d reclaim_p99_s=%.1f preemptions=%d work_lost=%.4f unfinished=%d decide_p99_ms=%.2f",
		r.MeanCompletion, r.P50Completion, r.P99Completion, r.MeanSlowdown, r.Fragmentation, r.DepartureWork, r.Utilisation,
		r.LargeWaitP99, r.BrokenGuarantees, r.ShortageSeconds, r.PartialGangs, r.ReclaimP99, r.Preemptions, r.PreemptionLoss, r.Unfinished, r.DecisionP99MS)
}

// comparison collects, for one size, the ratios of the policy to the better baseline.
type comparison struct {
	size                                  string
	completionRatios, fragmentationRatios []float64
	departureWorkRatios, largeWaitRatios  []float64
	brokenGuarantees, partialGangs        int
	results                               [][]Result // by trace, then in the order of schedulerNames
}

// addResults adds the results of one trace, in the order of schedulerNames.
func (c *comparison) addResults(results []Result) {
	c.results = append(c.results, results)
	policy := results[0]
	c.brokenGuarantees += policy.BrokenGuarantees
	c.partialGangs += policy.PartialGangs
	best := func(metric func(Result) float64, better func(a, b float64) float64) float64 {
		v := metric(results[1])
		for _, r := range results[2:] {
			v = better(v, metric(r))
		}
		return v
	}
	ratio := func(ratios *[]float64, metric func(Result) float64, better func(a, b float64) float64) {
		if b := best(metric, better); b > 0 {
			*ratios = append(*ratios, metric(policy)/b)
		}
	}
	ratio(&c.completionRatios, func(r Result) float64 { return r.MeanCompletion }, math.Min)
	ratio(&c.fragmentationRatios, func(r Result) float64 { return r.Fragmentation }, math.Min)
	ratio(&c.departureWorkRatios, func(r Result) float64 { return r.DepartureWork }, math.Max)
	ratio(&c.largeWaitRatios, func(r Result) float64 { return r.LargeWaitP99 }, math.Min)
}

// summary returns the output line of a size; ratios are means over its traces.
func (c *comparison) summary(cost Cost) string {
	return fmt.Sprintf("size=%s mean_completion_ratio=%.3f fragmentation_ratio=%.3f departure_work_ratio=%.3f large_wait_p99_ratio=%.3f "+
		"broken_guarantees=%d partial_gangs=%d decision_p99_ms=%.2f growth_ratio=%.2f policy_state_mb=%.1f",
		c.size, mean(c.completionRatios), mean(c.fragmentationRatios), mean(c.departureWorkRatios), mean(c.largeWaitRatios),
		c.brokenGuarantees, c.partialGangs, cost.DecisionP99MS, cost.GrowthRatio, cost.StateMB)
}
