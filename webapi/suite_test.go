package webapi_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestWebapi(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "webapi")
}
