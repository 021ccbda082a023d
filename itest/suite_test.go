package itest_test

import (
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"turmericroute/itest"
)

func TestIntegration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "integration")
}

// binary is the path of the program under test.
var binary string

var _ = BeforeSuite(func() {
	var err error
	binary, err = gexec.Build("turmericroute/cmd/turmericroute")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})

// deferClose closes a cluster after the test and, if the test failed, prints the last lines of its logs.
func deferClose(c *itest.Cluster) {
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			GinkgoWriter.Println(c.LogTails(25))
		}
		c.Close()
	})
}

func tempDir() string {
	dir, err := os.MkdirTemp("", "turmericroute-itest-")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { Expect(os.RemoveAll(dir)).To(Succeed()) })
	return dir
}
