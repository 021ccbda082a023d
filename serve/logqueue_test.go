package serve_test

import (
	"bytes"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/serve"
)

var _ = Describe("the queue of log lines", func() {
	// Guards against requests that block on log lines because the reader of the log is slow.
	It("never blocks on a reader that does not read, and reports how many lines it dropped", func() {
		r, w := io.Pipe()
		q := serve.NewLogQueue(w)
		const lines = 20_000
		start := time.Now()
		for i := range lines {
			fmt.Fprintf(q, "event=line n=%d\n", i)
		}
		Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
		output := make(chan string)
		go func() {
			data, _ := io.ReadAll(r)
			output <- string(data)
		}()
		q.Close(5 * time.Second)
		w.Close()
		text := <-output
		kept := strings.Count(text, "event=line")
		Expect(kept).To(BeNumerically(">", 1000))
		dropped := 0 // reported in one or more log lines
		for _, m := range regexp.MustCompile(`event=log_lines_dropped count=(\d+)`).FindAllStringSubmatch(text, -1) {
			n, err := strconv.Atoi(m[1])
			Expect(err).NotTo(HaveOccurred())
			dropped += n
		}
		Expect(kept + dropped).To(Equal(lines))
	})

	It("writes everything in order to a reader that keeps up", func() {
		var out bytes.Buffer
		q := serve.NewLogQueue(&out)
		for i := range 100 {
			fmt.Fprintf(q, "n=%d\n", i)
		}
		q.Close(5 * time.Second)
		Expect(out.String()).To(HavePrefix("n=0\nn=1\n"))
		Expect(strings.Count(out.String(), "\n")).To(Equal(100))
	})
})
