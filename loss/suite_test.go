package loss_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLoss(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loss")
}
