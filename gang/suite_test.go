package gang_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestGang(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gang")
}
