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

// metricRegistration matches the creation of a metric with its name.
var metricRegistration = regexp.MustCompile(`(?:New|GetOrCreate)(?:Float)?(?:Counter|Gauge|Histogram|Summary)(?:Ext)?\(\s*(?:fmt\.Sprintf\(\s*)?["` + "`" + `](\w+)`)

// metricTableRow matches a metric's row in the page.
var metricTableRow = regexp.MustCompile("(?m)^\\| `(\\w+)` \\|")

func submatches(re *regexp.Regexp, text string) []string {
	var out []string
	for _, m := range re.FindAllStringSubmatch(text, -1) {
		out = append(out, m[1])
	}
	return out
}

// An operator who looks for a metric of the page must find it, and the reverse.
var _ = It("docs/metrics.md lists exactly the metrics that the code makes", func() {
	var code []string
	Expect(filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		b, err := os.ReadFile(path)
		code = append(code, submatches(metricRegistration, string(b))...)
		return err
	})).To(Succeed())
	page, err := os.ReadFile("../docs/metrics.md")
	Expect(err).NotTo(HaveOccurred())
	slices.Sort(code)
	listed := submatches(metricTableRow, string(page))
	slices.Sort(listed)
	Expect(listed).To(Equal(slices.Compact(code)))
	for _, name := range listed {
		Expect(name).To(HavePrefix("turmericroute_"))
	}
})
