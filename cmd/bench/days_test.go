package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against days of a hunt that miss their gate without being reported.
func TestDaysThatFallShortAreListed(t *testing.T) {
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "entry.json")
	g.Expect(os.WriteFile(file, []byte(`{"cmd":"hunt","site":"s","days":[
		{"name":"a","seed":1,"rules":{},"short":[],"fault":null,"served":0.9},
		{"name":"b","seed":2,"rules":{},"short":["no ack"],"fault":null,"served":0.8},
		{"name":"c","seed":null,"rules":{"TWICE":1},"short":[],"fault":null,"served":null}]}`), 0o600)).To(Succeed())
	var out bytes.Buffer
	g.Expect(reportFailedDays(&out, file)).To(MatchError(ContainSubstring("2 of 3 days")))
	g.Expect(out.String()).To(And(
		ContainSubstring(`day="b" seed=2 rules=map[] short=["no ack"]`),
		ContainSubstring(`day="c" seed=0 rules=map[TWICE:1]`),
		ContainSubstring("days=3 failed=2 served_min=0.800"),
		Not(ContainSubstring(`day="a"`)),
	))
}
