package serve_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// metricRegistration matches a call that registers a metric and captures its name.
var metricRegistration = regexp.MustCompile(`(?:New|GetOrCreate)(?:Float)?(?:Counter|Gauge|Histogram|Summary)(?:Ext)?\(\s*(?:fmt\.Sprintf\(\s*)?["` + "`" + `](\w+)`)

// metricTableRow matches a metric's row in docs/metrics.md and captures its name.
var metricTableRow = regexp.MustCompile("(?m)^\\| `(\\w+)` \\|")

// submatches returns the first capture group of all matches in a text.
func submatches(re *regexp.Regexp, text string) []string {
	var out []string
	for _, m := range re.FindAllStringSubmatch(text, -1) {
		out = append(out, m[1])
	}
	return out
}

// Guards against metrics that are registered but not documented, and the reverse.
var _ = It("docs/metrics.md lists exactly the metrics that the code registers", func() {
	var registered []string
	Expect(filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		b, err := os.ReadFile(path)
		registered = append(registered, submatches(metricRegistration, string(b))...)
		return err
	})).To(Succeed())
	page, err := os.ReadFile("../docs/metrics.md")
	Expect(err).NotTo(HaveOccurred())
	slices.Sort(registered)
	documented := submatches(metricTableRow, string(page))
	slices.Sort(documented)
	Expect(documented).To(Equal(slices.Compact(registered)))
	for _, name := range documented {
		Expect(name).To(HavePrefix("turmericroute_"))
	}
})
