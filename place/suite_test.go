package place_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// TestPlace runs the property tests with a fixed seed unless -rapid.seed is
// given; -rapid.checks and -rapid.steps make longer runs.
func TestPlace(t *testing.T) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		if err := flag.Set("rapid.seed", "20260101"); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "place")
}
