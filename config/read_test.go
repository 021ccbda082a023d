package config_test

import (
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/config"
)

const sample = `data_centres:
  - name: norte
    region: andes
    racks:
      - {name: r1, workers: 6, per_worker: {gpus: 8, cores: 32, memory_mb: 65536}}
services:
  - {name: fabrication, slots: 8, connections: 64}
teams:
  - name: tejados
    weight: 2.5
    services: [fabrication]
    guarantees:
      - shape: {tasks: 2, gpus: 8, cores: 4, memory_mb: 1024, same_rack: true}
`

func writeFile(name, content string) string {
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return path
}

// faultsOf returns the faults of a file with the content as lines, with the file's folder removed.
func faultsOf(content string) []string {
	path := writeFile("c.yaml", content)
	_, faults, err := config.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	out := config.FaultStrings(faults)
	for i := range out {
		out[i] = strings.TrimPrefix(out[i], filepath.Dir(path)+"/")
	}
	return out
}

var _ = Describe("declarations", func() {
	It("reads a valid file without faults and writes it back unchanged", func() {
		cfg, faults, err := config.ReadFile(writeFile("c.yaml", sample))
		Expect(err).NotTo(HaveOccurred())
		Expect(faults).To(BeEmpty())
		var b strings.Builder
		Expect(config.WriteYAML(&b, cfg)).To(Succeed())
		again, faults, err := config.ReadFile(writeFile("d.yaml", b.String()))
		Expect(err).NotTo(HaveOccurred())
		Expect(faults).To(BeEmpty())
		Expect(config.Diff(cfg, again)).To(BeEmpty())
	})

	DescribeTable("reports a fault with file, line and key", func(from, to string, want ...string) {
		Expect(faultsOf(strings.Replace(sample, from, to, 1))).To(ConsistOf(want))
	},
		Entry("unknown key", "weight:", "wieght:", "c.yaml:10: teams[0].wieght: unknown key"),
		Entry("wrong type", "weight: 2.5", "weight: heavy", "c.yaml:10: teams[0].weight: found \"heavy\", expected a number"),
		Entry("list expected", "services: [fabrication]", "services: fabrication",
			"c.yaml:11: teams[0].services: found \"fabrication\", expected a list"),
		Entry("repeated key", "    weight: 2.5", "    name: x\n    weight: 2.5",
			"c.yaml:10: teams[0].name: occurs twice, first on line 9"),
		Entry("negative number", "tasks: 2", "tasks: -2", "c.yaml:13: teams[0].guarantees[0].shape.tasks: is -2, must be 1 to 64"),
		Entry("too many tasks", "tasks: 2", "tasks: 65", "c.yaml:13: teams[0].guarantees[0].shape.tasks: is 65, must be 1 to 64"),
		Entry("number out of the range of the type", "slots: 8", "slots: 99999999999999999999",
			"c.yaml:7: services[0].slots: found \"99999999999999999999\", expected a whole number in range"),
		Entry("number that is not finite", "weight: 2.5", "weight: .nan", "c.yaml:10: teams[0].weight: is NaN, must be 0 to 1e+06"),
		Entry("unsafe name", "name: tejados", "name: te/jados",
			`c.yaml:9: teams[0].name: "te/jados" is not a valid name: use letters, digits, ".", "_" and "-", beginning with a letter or digit`),
		Entry("missing name", "name: tejados", `name: ""`, "c.yaml:9: teams[0].name: is missing"),
		Entry("reference to an unknown service", "[fabrication]", "[design]", `c.yaml:11: teams[0].services[0]: no service is named "design"`),
		Entry("quota below the guarantees", "weight: 2.5", "max_gpus: 8", "c.yaml:10: teams[0].max_gpus: is 8, but the guarantees need 16"),
		Entry("quota of cores below the guarantees", "weight: 2.5", "max_cores: 7", "c.yaml:10: teams[0].max_cores: is 7, but the guarantees need 8"),
		Entry("quota of memory below the guarantees", "weight: 2.5", "max_memory_mb: 2047", "c.yaml:10: teams[0].max_memory_mb: is 2047, but the guarantees need 2048"),
		Entry("negative quota", "weight: 2.5", "max_cores: -1", "c.yaml:10: teams[0].max_cores: is -1, must be 0 to 1048576"),
		Entry("shape without resources", "gpus: 8, cores: 4, memory_mb: 1024", "gpus: 0, cores: 0, memory_mb: 0",
			"c.yaml:13: teams[0].guarantees[0].shape: asks for no resources: set gpus, cores or memory_mb"),
		Entry("alias", "services: [fabrication]", "services: &s [fabrication]\n    data_centres: *s",
			"c.yaml:12: teams[0].data_centres: anchors and aliases are not supported"),
		Entry("more than one document", "teams:", "---\nteams:", "c.yaml: contains more than one YAML document"),
		Entry("malformed YAML", "teams:", "teams: [", "c.yaml:8: did not find expected node content"),
	)

	It("reports all faults at once", func() {
		bad := strings.NewReplacer("slots: 8", "slots: 0", "tasks: 2", "tasks: 0", "[fabrication]", "[x, x]").Replace(sample)
		Expect(faultsOf(bad)).To(HaveLen(5))
		bad = strings.NewReplacer("slots: 8", "slots: a", "region:", "regoin:", "weight:", "wieght:").Replace(sample)
		Expect(faultsOf(bad)).To(HaveLen(3))
	})

	It("refuses files that are too large, too deeply nested or not UTF-8", func() {
		Expect(faultsOf(sample + "#" + strings.Repeat("x", config.MaxFileBytes))).To(HaveLen(1))
		deep := "teams: " + strings.Repeat("[", 40) + strings.Repeat("]", 40)
		Expect(faultsOf(deep)).To(ContainElement(ContainSubstring("is nested deeper than 32 levels")))
		Expect(faultsOf("teams:\n  - name: \xff\n")).To(Equal([]string{"c.yaml:2: is not UTF-8"}))
	})

	It("reads empty files as empty configurations", func() {
		for _, content := range []string{"", "# nothing yet\n", "---\n", "teams:\n"} {
			Expect(faultsOf(content)).To(BeEmpty(), "%q", content)
		}
	})

	It("merges the files of a folder and reports the file of each fault", func() {
		dir := filepath.Dir(writeFile("a.yaml", sample))
		more := "teams:\n  - name: patina\n  - name: tejados\n"
		Expect(os.WriteFile(filepath.Join(dir, "b.yaml"), []byte(more), 0o600)).To(Succeed())
		cfg, faults, err := config.ReadFile(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(cfg.Teams).To(HaveLen(3))
		Expect(faults).To(HaveLen(1))
		Expect(faults[0].File).To(HaveSuffix("b.yaml"))
		Expect(faults[0].Line).To(Equal(3))
		Expect(faults[0].Key).To(Equal("teams[1].name"))
	})

	It("accepts the example configurations", func() {
		files, err := filepath.Glob("../examples/*/config.yaml")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).To(HaveLen(2))
		for _, f := range files {
			_, faults, err := config.ReadFile(f)
			Expect(err).NotTo(HaveOccurred())
			Expect(faults).To(BeEmpty(), f)
		}
	})
})
