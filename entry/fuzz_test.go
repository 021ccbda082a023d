package entry_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"turmericroute/entry"
	"turmericroute/fakes"
	"turmericroute/model"
	"turmericroute/state"
)

// responseLength returns the length of the response according to net/http; false when the response
// is invalid or ends when the connection closes.
func responseLength(method string, b []byte) (int, bool) {
	src := bytes.NewReader(b)
	br := bufio.NewReader(src)
	for {
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			return 0, false
		}
		if resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return len(b) - src.Len() - br.Buffered(), err == nil && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0)
	}
}

var validResponses = []struct {
	method, text string
}{
	{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"},
	{"GET", "HTTP/1.1 200 OK\r\ncontent-length:0\r\n\r\n"},
	{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"},
	{"GET", "HTTP/1.1 204 No Content\r\n\r\n"},
	{"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"},
	{"GET", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"},
	{"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0a;x=y\r\n0123456789\r\n0\r\n\r\n"},
	{"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n1\r\na\r\n0\r\nX: 1\r\n\r\n"},
}

// Guards against a framer that misses the end of a valid response: the connection could then not be
// reused, or surplus bytes would reach the next caller.
func TestFrameFindsTheEnd(t *testing.T) {
	for _, resp := range validResponses {
		for _, pieceSize := range []int{1, 7, 1 << 20} {
			n, ended := entry.FrameLength(resp.method, []byte(resp.text+"HTTP/1.1 200 OK\r\n"), pieceSize)
			if n != len(resp.text) || !ended {
				t.Errorf("%s %q in pieces of %d: length %d, ended %v", resp.method, resp.text, pieceSize, n, ended)
			}
		}
	}
}

// Guards against the framer and net/http disagreeing on where a response ends.
func FuzzFrame(f *testing.F) {
	for _, resp := range validResponses {
		f.Add(resp.method == "HEAD", []byte(resp.text+"surplus"), 5)
	}
	f.Fuzz(func(t *testing.T, head bool, b []byte, pieceSize int) {
		method := map[bool]string{true: "HEAD", false: "GET"}[head]
		n, ended := entry.FrameLength(method, b, max(1, pieceSize))
		want, ok := responseLength(method, b)
		if ok && ended && n != want {
			t.Errorf("%q: length %d, net/http finds %d", b, n, want)
		}
	})
}

// Guards against headers that crash the entry, that run a request which is reported as not run, or
// that make the entry forward hop-by-hop headers.
func FuzzHeaders(f *testing.F) {
	r := newFakeReplica()
	u, err := fakes.StartUpstream(fakes.UpstreamConfig{Upstream: model.Upstream{
		Name: "u1", Incarnation: 1, Service: "fabrication", DataCentre: "scl-1", Slots: 64,
	}})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(u.Close)
	if _, err := r.Execute(f.Context(), state.AnnounceUpstream{Upstream: u.Upstream()}); err != nil {
		f.Fatal(err)
	}
	e := entry.New(entry.Config{Replica: r, Name: "entry-1", DataCentre: "scl-1"})
	go e.Run(f.Context())
	NewWithT(f).Eventually(func() string { return fmt.Sprintf("%+v", e.Dump()) }).Should(ContainSubstring("Usable:true"))
	now := strconv.FormatInt(time.Now().UnixMilli(), 10)
	f.Add("X-Plain", "v", "canaletas", "100", "true", "", "", "id")
	f.Add("Connection", "X-Hop, Turmericroute-Team", "canaletas", "", "false", "k", now, "")
	f.Add("Turmericroute-Load", "9/8", "pequena", "9999999999999999999", "", "k2", now, "\x00")
	f.Add("Transfer-Encoding", "chunked", "norte", "0", "maybe", " ", "x", "é")
	f.Fuzz(func(t *testing.T, name, value, team, timeout, idempotent, key, keyTime, id string) {
		req := httptest.NewRequest(http.MethodPost, "/v1/services/fabrication/x", bytes.NewReader([]byte("b")))
		for k, v := range map[string]string{
			entry.HeaderTeam: team, entry.HeaderTimeout: timeout, entry.HeaderIdempotent: idempotent,
			entry.HeaderIdempotencyKey: key, entry.HeaderKeyTime: keyTime, entry.HeaderRequestID: id, name: value,
		} {
			if v != "" {
				req.Header[http.CanonicalHeaderKey(k)] = []string{v}
			}
		}
		before := startedRuns(u)
		w := httptest.NewRecorder()
		e.ServeService(w, req)
		outcome := model.Outcome(w.Header().Get(entry.HeaderOutcome))
		if !slices.Contains([]model.Outcome{model.OutcomeDone, model.OutcomeNotRun, model.OutcomeUnknown}, outcome) {
			t.Errorf("outcome %q", outcome)
		}
		if after := startedRuns(u); outcome == model.OutcomeNotRun && after != before {
			t.Errorf("the request ran but was reported as not run")
		}
		for k, run := range u.Ledger() {
			for _, h := range []string{"Keep-Alive", "Te", "Proxy-Connection", "Idempotency-Key"} {
				if run.Header.Get(h) != "" {
					t.Errorf("header %s of request %s was forwarded", h, k)
				}
			}
		}
	})
}

// startedRuns returns how many runs the upstream has started.
func startedRuns(u *fakes.Upstream) int {
	n := 0
	for _, run := range u.Ledger() {
		n += run.Started
	}
	return n
}
