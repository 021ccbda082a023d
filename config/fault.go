package config

import (
	"fmt"
	"strings"
)

// Fault is one error in a configuration or a settings file.
type Fault struct {
	// File and Line are the position of the value; empty if it does not come from a file.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Key is the path of the value, such as teams[0].guarantees[1].shape.tasks.
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
}

// String returns the fault as file:line: key: message, without the parts that are unknown.
func (f Fault) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		if f.Line > 0 {
			fmt.Fprintf(&b, ":%d", f.Line)
		}
		b.WriteString(": ")
	}
	if f.Key != "" {
		b.WriteString(f.Key + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// FaultStrings returns the String form of each fault.
func FaultStrings(faults []Fault) []string {
	out := make([]string, len(faults))
	for i, f := range faults {
		out[i] = f.String()
	}
	return out
}

// Faults collects faults; its methods add one if a value is invalid.
type Faults []Fault

// Add adds a fault for the value at key.
func (f *Faults) Add(key, format string, args ...any) {
	*f = append(*f, Fault{Key: key, Message: fmt.Sprintf(format, args...)})
}

// CheckRange adds a fault unless lowest <= n <= highest.
func (f *Faults) CheckRange(key string, n, lowest, highest int) {
	if n < lowest || n > highest {
		f.Add(key, "is %d, must be %d to %d", n, lowest, highest)
	}
}

// CheckName adds a fault unless s is a valid name.
func (f *Faults) CheckName(key, s string) {
	if err := CheckName(s); err != nil {
		f.Add(key, "%v", err)
	}
}

// CheckText adds a fault if s is longer than MaxTextBytes or contains control characters.
func (f *Faults) CheckText(key, s string) {
	if len(s) > MaxTextBytes {
		f.Add(key, "has %d bytes, at most %d are allowed", len(s), MaxTextBytes)
	}
	if strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r == 0x7f }) {
		f.Add(key, "contains control characters")
	}
}
