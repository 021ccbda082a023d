package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"turmericroute/ctrl"
	"turmericroute/quorum"
	"turmericroute/state"
	"turmericroute/store"
)

const (
	changesPerDay = 1300
	// changesFourDays is beyond the 4,096 patches that the history keeps, so that the state no longer grows.
	changesFourDays = 5200
	changesTenDays  = 13000
	recoveryRuns    = 9
	// Each figure is the mean over several points, which reduces the influence of the distance to the last snapshot.
	pointsPerFigure = 4
	changesPerPoint = 225
)

// measureRecovery compares recovery time and disk use after the configuration changes of one, four and ten days.
func measureRecovery(_ context.Context, c cluster, f figures) error {
	name := "c0"
	addr, err := freeAddress()
	if err != nil {
		return err
	}
	c.peers = []ctrl.Peer{{Name: name, Address: addr, Control: true}}
	c.nodes, c.metrics = map[string]*ctrl.Node{}, nil
	committed := 0
	for _, changes := range []int{changesPerDay, changesFourDays, changesTenDays} {
		var took time.Duration
		var kb float64
		for point := range pointsPerFigure {
			to := changes + point*changesPerPoint
			if err := c.commitPatches(committed, to); err != nil {
				return err
			}
			committed = to
			size, err := folderSizeKB(filepath.Join(c.dir, name))
			if err != nil {
				return err
			}
			t, err := recoveryTime(filepath.Join(c.dir, name))
			if err != nil {
				return err
			}
			took, kb = took+t/pointsPerFigure, kb+size/pointsPerFigure
		}
		f[fmt.Sprintf("recovery_%d_ms", changes)], f[fmt.Sprintf("disk_%d_kb", changes)] = millis(took), kb
	}
	f["recovery_growth_ratio"] = f["recovery_13000_ms"] / f["recovery_1300_ms"]
	f["recovery_steady_ratio"] = f["recovery_13000_ms"] / f["recovery_5200_ms"]
	f["disk_growth_ratio"] = f["disk_13000_kb"] / f["disk_1300_kb"]
	return nil
}

// commitPatches starts a single instance, commits the patches against versions from up to but not including to, and closes it.
func (c cluster) commitPatches(from, to int) error {
	n, err := ctrl.New(ctrl.Config{
		Name: c.peers[0].Name, Address: c.peers[0].Address, Peers: c.peers, Bootstrap: true,
		DataDir: filepath.Join(c.dir, c.peers[0].Name),
	})
	if err != nil {
		return fmt.Errorf("create instance: %w", err)
	}
	if err := n.Start(context.Background()); err != nil {
		return fmt.Errorf("start instance: %w", err)
	}
	for v := from; v < to; v++ {
		if err := commit(n, teamPatch(uint64(v))); err != nil {
			return err
		}
	}
	if err := n.Close(context.Background()); err != nil {
		return fmt.Errorf("close instance: %w", err)
	}
	return nil
}

// folderSizeKB returns the size of the files directly in dir, in KiB.
func folderSizeKB(dir string) (float64, error) {
	list, err := os.ReadDir(dir)
	if err != nil {
		return 0, fmt.Errorf("list folder: %w", err)
	}
	var bytes int64
	for _, e := range list {
		info, err := e.Info()
		if err != nil {
			return 0, fmt.Errorf("list folder: %w", err)
		}
		bytes += info.Size()
	}
	return float64(bytes) / 1024, nil
}

// recoveryTime returns the median time to open the folder and rebuild the state.
func recoveryTime(dir string) (time.Duration, error) {
	var list []time.Duration
	for range recoveryRuns {
		took, err := timed(func() error { return rebuild(dir) })
		if err != nil {
			return 0, err
		}
		list = append(list, took)
	}
	return durationQuantile(list, 0.5), nil
}

func rebuild(dir string) error {
	s, rec, err := store.Open(store.Config{Dir: dir})
	if err != nil {
		return fmt.Errorf("open folder: %w", err)
	}
	m := state.New()
	if rec.Snapshot != nil {
		data, err := ctrl.UnpackSnapshot(rec.Snapshot.Data)
		if err != nil {
			return fmt.Errorf("restore: %w", err)
		}
		if err := m.Restore(data); err != nil {
			return fmt.Errorf("restore: %w", err)
		}
	}
	for _, e := range rec.Entries {
		var c state.Command
		if e.Kind == quorum.EntryCommand {
			if c, err = state.Decode(e.Data); err != nil {
				return fmt.Errorf("decode entry: %w", err)
			}
		}
		m.Apply(e.Index, c)
	}
	if err := s.Close(); err != nil {
		return fmt.Errorf("close folder: %w", err)
	}
	return nil
}
