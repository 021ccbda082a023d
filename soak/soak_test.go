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

// faultDuration keeps the soak in CI short; cmd/bench runs longer ones.
const faultDuration = 8 * time.Second

var _ = Describe("real processes under random faults", Ordered, func() {
	var binary string
	BeforeAll(func() {
		var err error
		binary, err = gexec.Build("turmericroute/cmd/turmericroute")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(gexec.CleanupBuildArtifacts)
	})

	DescribeTable("violate no invariant",
		func(seed int) {
			dir, err := os.MkdirTemp("", "turmericroute-soak-")
			Expect(err).NotTo(HaveOccurred())
			r, err := soak.Run(context.Background(), soak.Config{Binary: binary, Dir: filepath.Join(dir, "run"), Seed: uint64(seed), FaultDuration: faultDuration})
			Expect(err).NotTo(HaveOccurred())
			GinkgoWriter.Println(r, "logs:", dir)
			Expect(r.Violations).To(BeEmpty())
			Expect(r.Runs).To(BeNumerically(">", 100), "a soak with few runs checks too little")
			Expect(os.RemoveAll(dir)).To(Succeed())
		},
		Entry("with the fixed seed of CI", 1),
	)
})
