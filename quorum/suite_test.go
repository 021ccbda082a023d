package quorum_test

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// checksVariable is the environment variable that overrides the number of random
// histories per property, for longer runs. -rapid.seed selects other histories.
const checksVariable = "QUORUM_CHECKS"

func TestQuorum(t *testing.T) {
	fixed := map[string]string{"rapid.seed": "1", "rapid.checks": "150", "rapid.nofailfile": "true"}
	if checks := os.Getenv(checksVariable); checks != "" {
		fixed["rapid.checks"] = checks
	}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "quorum")
}
