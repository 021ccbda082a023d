package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"turmericroute/config"
)

// FuzzReadFile searches for declarations that make the reader panic or hang, that
// give faults without a valid position or a message, or that change when they are
// written and read back.
func FuzzReadFile(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("data_centres: [{name: a, region: r, out_of_service: true, reason: \"x: # y\", racks: []}]\ndrained_workers: [{worker: w1, reason: \"\\u0085\"}]\n"))
	f.Add([]byte("teams:\n  - {name: t, weight: 1e-3, max_gpus: 0x10, data_centres: []}\n"))
	f.Add([]byte("? [a, b]\n: c\n"))
	f.Add([]byte("teams: &a [*a]\n"))
	f.Add([]byte("teams: !!set {a, b}\n---\n"))
	f.Add([]byte("<<: {teams: []}\nservices: [{name: 1, slots: 0b11, connections: 1_0}]\n"))
	dir, err := os.MkdirTemp("", "turmericroute-fuzz-")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { os.RemoveAll(dir) })
	path, again := filepath.Join(dir, "c.yaml"), filepath.Join(dir, "again.yaml")
	f.Fuzz(func(t *testing.T, b []byte) {
		cfg, faults := readDeclarations(t, path, b)
		for _, fault := range faults {
			if fault.File != path || fault.Line < 0 || fault.Message == "" {
				t.Fatalf("fault without a valid position or a message: %+v", fault)
			}
		}
		if len(faults) > 0 {
			return
		}
		var out strings.Builder
		if err := config.WriteYAML(&out, cfg); err != nil {
			t.Fatalf("write accepted declarations: %v", err)
		}
		second, faults := readDeclarations(t, again, []byte(out.String()))
		if len(faults) > 0 {
			t.Fatalf("accepted declarations have faults when written back: %v\n%s", faults, out.String())
		}
		if changes := config.Diff(cfg, second); len(changes) > 0 {
			t.Fatalf("accepted declarations change when written back: %v\n%s", changes, out.String())
		}
	})
}

func readDeclarations(t *testing.T, path string, b []byte) (config.Config, []config.Fault) {
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, faults, err := config.ReadFile(path)
	if err != nil {
		t.Fatalf("read: %v", err)
	}
	return cfg, faults
}
