package sizing

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"turmericroute/client"
	"turmericroute/clock"
	"turmericroute/config"
	"turmericroute/fakes"
	"turmericroute/itest"
	"turmericroute/model"
)

// Config configures a measurement.
type Config struct {
	// Binary and Command start an instance; the path of its settings is added as the last argument.
	Binary  string
	Command []string
	// Workers lists the sizes to measure, in workers.
	Workers []int
	// TasksPerWorker is the mean number of running tasks per worker.
	TasksPerWorker float64
	// Window is how long each size is observed once all tasks run.
	Window time.Duration
	// Patches is the number of configuration changes timed at each size.
	Patches int
	// Events also measures urgent starts and the loss of the leader, a rack and a data centre at the last size.
	Events bool
}

// Sizes from docs/CAPACITY.md.
const (
	// DesignWorkers and DesignTasks are the numbers of workers and tasks that the system is designed for.
	DesignWorkers   = 880
	DesignTasks     = 8600
	teamCount       = 22
	workersPerRack  = 16
	dataCentreCount = 5
	tasksPerGang    = 10
)

// sample is the measurement of one size. CPU values are in percent of one core,
// RSS values in MiB. Those of followers and entries are the maximum over the instances.
type sample struct {
	workers, tasks                         int
	leaderCPU, leaderRSS                   float64
	followerCPU, followerRSS               float64
	entryCPU, entryRSS                     float64
	leaderKBPerSecond, followerKBPerSecond float64
	entryKBPerSecond                       float64
	workerKBPerSecond                      float64       // mean over the workers, both directions
	dataFolderKB                           float64       // of the leader
	fillTime                               time.Duration // from the first submission until all tasks run
	patchMS                                []float64     // see timePatches
}

// Run measures all sizes and writes one line for each, then the slopes. It
// returns an error if a size cannot be measured.
func Run(ctx context.Context, cfg Config, out io.Writer) error {
	var samples []sample
	for i, n := range cfg.Workers {
		sizeCfg := cfg
		sizeCfg.Events = cfg.Events && i == len(cfg.Workers)-1
		s, err := measureSize(ctx, sizeCfg, n, out)
		if err != nil {
			return fmt.Errorf("measure %d workers: %w", n, err)
		}
		samples = append(samples, s)
		s.print(out)
	}
	printSlopes(out, samples)
	return nil
}

// instances returns seven instances: five with the control role, all with the entry role.
func instances() []itest.Spec {
	var specs []itest.Spec
	for i := range 7 {
		specs = append(specs, itest.Spec{
			Name: fmt.Sprintf("i%d", i+1), DataCentre: fmt.Sprintf("dc%d", i%dataCentreCount+1), Control: i < 5, Entry: true,
		})
	}
	return specs
}

// measureSize starts a cluster, measures one size and stops the cluster.
func measureSize(ctx context.Context, cfg Config, workers int, out io.Writer) (sample, error) {
	dir, err := os.MkdirTemp("", "turmericroute-sizing-")
	if err != nil {
		return sample{}, fmt.Errorf("create folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	cluster, err := itest.New(itest.Config{Binary: cfg.Binary, Command: cfg.Command, Dir: dir, Instances: instances(), Delay: 500 * time.Microsecond})
	if err != nil {
		return sample{}, fmt.Errorf("create cluster: %w", err)
	}
	defer cluster.Close()
	if err := cluster.Start(); err != nil {
		return sample{}, fmt.Errorf("start cluster: %w", err)
	}
	if err := waitUntil(ctx, func() error { return cluster.CheckReady(ctx) }); err != nil {
		return sample{}, fmt.Errorf("%w\n%s", err, cluster.LogTails(10))
	}
	m := &measurement{cfg: cfg, cluster: cluster, api: cluster.Client(), dir: dir}
	s, err := m.run(ctx, workers, out)
	if err != nil {
		return s, fmt.Errorf("%w\n%s", err, cluster.LogTails(10))
	}
	return s, nil
}

// measurement measures one size on a running cluster.
type measurement struct {
	cfg         Config
	cluster     *itest.Cluster
	api         *client.Client
	dir         string
	workerBytes atomic.Int64 // bytes read and written by the workers
}

// run configures the site, starts the workers, fills the site with jobs and
// takes the sample; if configured, it runs the events afterwards.
func (m *measurement) run(ctx context.Context, workers int, out io.Writer) (sample, error) {
	s := sample{workers: workers, tasks: int(float64(workers) * m.cfg.TasksPerWorker)}
	declared := siteConfig(workers)
	if _, err := m.api.Patch(ctx, config.Patch{ID: "size", Changes: config.Diff(config.Config{}, declared)}); err != nil {
		return s, fmt.Errorf("configure: %w", err)
	}
	backends := itest.NewBackends(m.cluster.Addresses())
	defer backends.Close()
	backends.AddWorkers(declared, fakes.WorkerConfig{HTTP: m.countingClient(), StepInterval: time.Second})
	if err := waitUntil(ctx, func() error { return m.checkRegistered(ctx, workers) }); err != nil {
		return s, err
	}
	start := time.Now()
	if err := m.fill(ctx, s.tasks); err != nil {
		return s, err
	}
	if err := waitUntil(ctx, func() error { return m.checkRunning(ctx, s.tasks/tasksPerGang) }); err != nil {
		return s, err
	}
	s.fillTime = time.Since(start)
	if err := m.observe(ctx, &s); err != nil {
		return s, err
	}
	if err := m.timePatches(ctx, &s); err != nil || !m.cfg.Events {
		return s, err
	}
	return s, m.runEvents(ctx, out, backends, declared, s.tasks/tasksPerGang)
}

// countingClient returns an HTTP client, shared by all workers, that adds the
// bytes of its connections to workerBytes.
func (m *measurement) countingClient() *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("dial instance: %w", err)
		}
		return &countingConn{Conn: c, bytes: &m.workerBytes}, nil
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 2 * DesignWorkers}}
}

// countingConn is a connection that counts the bytes read and written.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// siteConfig returns a configuration with the given number of workers in five data centres of two regions.
func siteConfig(workers int) config.Config {
	var cfg config.Config
	remaining := workers
	racksPerDC := (workers + dataCentreCount*workersPerRack - 1) / (dataCentreCount * workersPerRack)
	for d := range dataCentreCount {
		dc := config.DataCentre{Name: fmt.Sprintf("dc%d", d+1), Region: fmt.Sprintf("region%d", d/3+1)}
		for r := range racksPerDC {
			remainingRacks := (dataCentreCount-d)*racksPerDC - r
			rackWorkers := (remaining + remainingRacks - 1) / remainingRacks
			remaining -= rackWorkers
			perWorker := model.Resources{GPUs: 1, Cores: 16, MemoryMB: 65536}
			if r == 0 {
				// The design size has 950 accelerators on 880 workers, so the
				// workers of the first rack of a data centre have two.
				perWorker.GPUs = 2
			}
			dc.Racks = append(dc.Racks, config.Rack{Name: fmt.Sprintf("dc%d-r%d", d+1, r+1), Workers: rackWorkers, PerWorker: perWorker})
		}
		cfg.DataCentres = append(cfg.DataCentres, dc)
	}
	for i := range teamCount {
		cfg.Teams = append(cfg.Teams, config.Team{
			Name:       fmt.Sprintf("team%d", i+1),
			Guarantees: []config.Guarantee{{Shape: model.Shape{Tasks: 4, GPUs: 1, Cores: 2, MemoryMB: 4096, SameRack: true}, Count: 1}},
		})
	}
	return cfg
}

// checkRegistered returns an error unless the wanted number of workers is registered.
func (m *measurement) checkRegistered(ctx context.Context, want int) error {
	ws, err := m.api.Workers(ctx)
	if err != nil {
		return fmt.Errorf("list workers: %w", err)
	}
	if len(ws) != want {
		return fmt.Errorf("%d of %d workers are registered", len(ws), want)
	}
	return nil
}

// fill submits as many gangs of tasksPerGang small tasks as fit into the number of tasks.
func (m *measurement) fill(ctx context.Context, tasks int) error {
	const submitters = 16
	jobs := make(chan int)
	errs := make(chan error, submitters)
	for range submitters {
		go func() {
			var err error
			for i := range jobs {
				if err == nil {
					_, err = m.api.SubmitJob(ctx, model.JobSpec{
						ID: fmt.Sprintf("%s%05d", fillJobPrefix, i), Team: fmt.Sprintf("team%d", i%teamCount+1),
						Shape: model.Shape{Tasks: tasksPerGang, Cores: 1, MemoryMB: 1024}, DeclaredSeconds: 3600, Payload: `{"work_seconds": 100000}`,
					})
				}
			}
			errs <- err
		}()
	}
	for i := range tasks / tasksPerGang {
		jobs <- i
	}
	close(jobs)
	var submitErrs []error
	for range submitters {
		submitErrs = append(submitErrs, <-errs)
	}
	if err := errors.Join(submitErrs...); err != nil {
		return fmt.Errorf("submit: %w", err)
	}
	return nil
}

// checkRunning returns an error unless the wanted number of jobs runs.
func (m *measurement) checkRunning(ctx context.Context, want int) error {
	st, err := m.api.Status(ctx)
	if err != nil {
		return fmt.Errorf("read status: %w", err)
	}
	if n := st.Jobs[model.JobRunning]; n != want {
		return fmt.Errorf("%d of %d jobs are running", n, want)
	}
	return nil
}

// observe measures the use of all instances and the traffic of the workers over the window.
func (m *measurement) observe(ctx context.Context, s *sample) error {
	leader := m.cluster.Leader(ctx)
	if leader == nil {
		return errors.New("no leader to observe")
	}
	before, err := m.readUsages()
	if err != nil {
		return err
	}
	workerBytesBefore, start := m.workerBytes.Load(), time.Now()
	if !clock.Sleep(ctx, m.cfg.Window) {
		return fmt.Errorf("observe: %w", ctx.Err())
	}
	after, err := m.readUsages()
	if err != nil {
		return err
	}
	elapsed := time.Since(start)
	s.workerKBPerSecond = float64(m.workerBytes.Load()-workerBytesBefore) / 1024 / elapsed.Seconds() / float64(s.workers)
	for i, n := range m.cluster.Nodes {
		cpuPct := 100 * float64(after[i].cpuTime-before[i].cpuTime) / float64(elapsed)
		kbPerSecond := float64(after[i].networkBytes-before[i].networkBytes) / 1024 / elapsed.Seconds()
		switch {
		case n == leader:
			s.leaderCPU, s.leaderRSS, s.leaderKBPerSecond = cpuPct, after[i].rssMB, kbPerSecond
		case n.Spec.Control:
			s.followerCPU, s.followerRSS, s.followerKBPerSecond = max(s.followerCPU, cpuPct), max(s.followerRSS, after[i].rssMB), max(s.followerKBPerSecond, kbPerSecond)
		default:
			s.entryCPU, s.entryRSS, s.entryKBPerSecond = max(s.entryCPU, cpuPct), max(s.entryRSS, after[i].rssMB), max(s.entryKBPerSecond, kbPerSecond)
		}
	}
	s.dataFolderKB = folderSizeKB(leader.Settings.DataFolder)
	return nil
}

// instanceUsage is the use of an instance.
type instanceUsage struct {
	usage
	networkBytes int64 // exchanged with the other instances
}

// readUsages returns the use of every instance, in the order of the cluster's nodes.
func (m *measurement) readUsages() ([]instanceUsage, error) {
	var usages []instanceUsage
	for _, n := range m.cluster.Nodes {
		u, err := readUsage(n.PID())
		if err != nil {
			return nil, fmt.Errorf("usage of %s: %w", n.Spec.Name, err)
		}
		usages = append(usages, instanceUsage{usage: u, networkBytes: m.cluster.TransferredBytes(n.Spec.Name)})
	}
	return usages, nil
}

// folderSizeKB returns the total size of the files in a folder, in KiB.
func folderSizeKB(dir string) float64 {
	var sum int64
	// Files that are removed during the walk are not counted.
	_ = filepath.Walk(dir, func(_ string, info os.FileInfo, err error) error {
		if err == nil && !info.IsDir() {
			sum += info.Size()
		}
		return nil
	})
	return float64(sum) / 1024
}

// timePatches measures the time, in milliseconds, from the submission of a
// configuration change until its version is in force on all instances.
func (m *measurement) timePatches(ctx context.Context, s *sample) error {
	for i := range m.cfg.Patches {
		cfg, err := m.api.Config(ctx)
		if err != nil {
			return fmt.Errorf("read configuration: %w", err)
		}
		t := cfg.Teams[i%len(cfg.Teams)]
		t.Weight = float64(i + 2)
		start := time.Now()
		accepted, err := m.api.Patch(ctx, config.Patch{ID: fmt.Sprint("timed-", i), BaseVersion: cfg.Version, Changes: []config.Change{{PutTeam: &t}}})
		if err != nil {
			return fmt.Errorf("patch: %w", err)
		}
		for _, n := range m.cluster.Nodes {
			err := waitUntil(ctx, func() error {
				st, err := n.Status(ctx)
				if err != nil {
					return err
				}
				if st.ConfigVersion < accepted.Version {
					return fmt.Errorf("%s has version %d of %d", n.Spec.Name, st.ConfigVersion, accepted.Version)
				}
				return nil
			})
			if err != nil {
				return err
			}
		}
		s.patchMS = append(s.patchMS, float64(time.Since(start).Microseconds())/1000)
	}
	return nil
}

// waitTimeout is the timeout of each wait of a measurement.
const waitTimeout = 60 * time.Second

// waitUntil calls check repeatedly until it returns nil, and returns an error after waitTimeout.
func waitUntil(ctx context.Context, check func() error) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	return clock.Until(ctx, 20*time.Millisecond, check)
}
