package store_test

import (
	"os"
	"path/filepath"
	"testing"

	"turmericroute/quorum"
	"turmericroute/store"
)

// sampleFolder creates a data folder with one segment and one snapshot and returns its path.
func sampleFolder(t testing.TB) string {
	dir := t.TempDir()
	s, _, err := store.Open(store.Config{Dir: dir})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Save(&quorum.HardState{Term: 1, Commit: 2}, entries(1, 4, 1)); err != nil {
		t.Fatal(err)
	}
	if err := s.SaveSnapshot(snapshot(2, 1)); err != nil {
		t.Fatal(err)
	}
	s.Close()
	return dir
}

// fuzzFile opens a data folder in which the file that matches pattern holds
// arbitrary bytes. Open must not panic, and must either report damage or return
// a log that accepts further entries.
func fuzzFile(f *testing.F, pattern string) {
	names, err := filepath.Glob(filepath.Join(sampleFolder(f), pattern))
	if err != nil || len(names) != 1 {
		f.Fatal(names, err)
	}
	b, err := os.ReadFile(names[0])
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add(b[:len(b)-3])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		dir := sampleFolder(t)
		if err := os.WriteFile(filepath.Join(dir, filepath.Base(names[0])), b, 0o600); err != nil {
			t.Fatal(err)
		}
		s, rec, err := store.Open(store.Config{Dir: dir})
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		var last uint64
		if rec.Snapshot != nil {
			last = rec.Snapshot.Index
		}
		last += uint64(len(rec.Entries))
		err = s.Save(nil, entries(last+1, last+1, 9))
		if (err == nil) != (rec.Damage == nil) {
			t.Fatalf("save after recovery: %v, damage: %v", err, rec.Damage)
		}
	})
}

func FuzzSegment(f *testing.F)  { fuzzFile(f, "log-*.seg") }
func FuzzSnapshot(f *testing.F) { fuzzFile(f, "snap-*.snap") }
