package place_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// TestPlace runs the property tests with a fixed seed. The flags -rapid.seed, -rapid.checks and
// -rapid.steps override the defaults.
func TestPlace(t *testing.T) {
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.checks": "1000", "rapid.steps": "50", "rapid.nofailfile": "true"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "place")
}
