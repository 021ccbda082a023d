package main_test

import (
	"context"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"turmericroute/fakes"
	"turmericroute/model"
	"turmericroute/state"
	"turmericroute/webapi"
)

func TestCommand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "command")
}

// binary is the program under test.
var binary string

var _ = BeforeSuite(func() {
	var err error
	binary, err = gexec.Build("turmericroute/cmd/turmericroute")
	Expect(err).NotTo(HaveOccurred())
})

var _ = AfterSuite(gexec.CleanupBuildArtifacts)

// result is the exit code and the output of one run of the program.
type result struct {
	code     int
	out, err string
}

// runner runs the program against an in-memory replica, if it has one.
type runner struct {
	replica *fakes.Replica
	server  *httptest.Server
	env     []string
	in      string
	// report answers inquiries; nil means that there is no leader.
	report atomic.Pointer[state.Report]
}

func (r *runner) setReport(report state.Report) { r.report.Store(&report) }

// newRunner serves the API on an in-memory replica for the program to call.
func newRunner() *runner {
	r := &runner{replica: fakes.NewReplica()}
	r.setReport(state.Report{Plan: &state.Forecast{}})
	r.replica.InquireFunc = func(context.Context, state.Inquiry) (state.Report, error) {
		if report := r.report.Load(); report != nil {
			return *report, nil
		}
		return state.Report{}, model.NotRun(model.CodeNoLeader, "no leader")
	}
	r.server = httptest.NewServer(webapi.New(webapi.Config{Replica: r.replica}))
	r.env = []string{"TURMERICROUTE_ADDRESSES=" + r.server.URL, "USER=ana"}
	DeferCleanup(r.server.Close)
	return r
}

func (r *runner) run(args ...string) result {
	GinkgoHelper()
	cmd := exec.Command(binary, args...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH")}, r.env...)
	cmd.Stdin = strings.NewReader(r.in)
	var out, errOut strings.Builder
	cmd.Stdout, cmd.Stderr = &out, &errOut
	Expect(cmd.Start()).To(Succeed())
	stop := time.AfterFunc(20*time.Second, func() { cmd.Process.Kill() })
	defer stop.Stop()
	cmd.Wait()
	return result{code: cmd.ProcessState.ExitCode(), out: out.String(), err: errOut.String()}
}

func (r *runner) ok(args ...string) string {
	GinkgoHelper()
	res := r.run(args...)
	Expect(res.code).To(Equal(0), "%v: %s", args, res.err)
	return res.out
}
