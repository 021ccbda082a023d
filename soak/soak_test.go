package soak_test

import (
	"context"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"turmericroute/soak"
)

// faulty keeps the run in CI short; cmd/bench runs longer ones.
const faulty = 8 * time.Second

var _ = Describe("real processes under random faults", Ordered, func() {
	var binary string
	BeforeAll(func() {
		var err error
		binary, err = gexec.Build("turmericroute/cmd/turmericroute")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(gexec.CleanupBuildArtifacts)
	})

	DescribeTable("keep their promises",
		func(seed int) {
			dir, err := os.MkdirTemp("", "turmericroute-soak-")
			Expect(err).NotTo(HaveOccurred())
			r, err := soak.Run(context.Background(), soak.Config{Binary: binary, Dir: filepath.Join(dir, "run"), Seed: uint64(seed), FaultDuration: faulty})
			Expect(err).NotTo(HaveOccurred())
			GinkgoWriter.Println(r, "logs:", dir)
			Expect(r.Violations).To(BeEmpty())
			Expect(r.Runs).To(BeNumerically(">", 100), "a soak in which nothing runs shows nothing")
			Expect(os.RemoveAll(dir)).To(Succeed())
		},
		Entry("seed of every run", 1),
	)
})
