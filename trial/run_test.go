package trial_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/trial"
)

func TestTrial(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "trial")
}

// Guards the command that new users run first: all steps must pass within the documented time.
var _ = It("goes through all steps within 30 s", func() {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var out bytes.Buffer
	Expect(trial.Run(ctx, trial.Config{Out: &out})).To(Succeed(), out.String)
	Expect(out.String()).To(ContainSubstring("step=data_centre_returned ok=true"))
	Expect(out.String()).NotTo(ContainSubstring("ok=false"))
})
