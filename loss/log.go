package loss

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// maxLineBytes bounds a line of a log; stack traces are the longest.
const maxLineBytes = 1 << 20

// ReadLog adds up the losses in the log of one or several instances. Ends whose commit has failed are logged again and
// count once.
func ReadLog(r io.Reader, t Table) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		if !strings.Contains(sc.Text(), " lost=") {
			continue
		}
		f := Fields(sc.Text())
		switch f["event"] {
		case "run_ended":
			if f["err"] == "null" {
				addEnd(t, f)
			}
		case "late_end":
			addEnd(t, f)
		case "gang_loss_resolved":
			runs, lost := int(Number(f["runs"])), Number(f["lost"])
			t.Add(Unresolved, -runs, -lost)
			t.Add(Cause(f["cause"]), runs, lost)
		}
	}
	if err := sc.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

// addEnd adds the end of a run.
func addEnd(t Table, f map[string]string) {
	if c := Cause(f["cause"]); c != None {
		t.Add(c, 1, Number(f["lost"]))
	}
	if wait := Number(f["waited"]); wait > 0 {
		t.Add(GangWait, 1, wait)
	}
}

// Fields returns the fields of a line in logfmt that have no spaces in their values.
func Fields(line string) map[string]string {
	out := map[string]string{}
	for _, f := range strings.Fields(line) {
		if k, v, ok := strings.Cut(f, "="); ok {
			out[k] = v
		}
	}
	return out
}

// Number returns a decimal number, 0 if it is none.
func Number(s string) float64 {
	n, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0
	}
	return n
}
