package serve_test

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/config"
	"turmericroute/serve"
)

const validSettings = `name: c1
data_centre: norte
roles: [control, entry]
http: {address: "127.0.0.1:7101"}
grpc: {address: "127.0.0.1:7201"}
data_folder: data/c1
bootstrap: true
drain_delay: 500ms
peers:
  - {name: c1, grpc_address: "127.0.0.1:7201", http_address: "127.0.0.1:7101", control: true}
  - {name: c2, grpc_address: "127.0.0.1:7202", http_address: "127.0.0.1:7102", control: false}
`

// readSettings reads settings from a file with the content and returns them with their faults.
func readSettings(content string) (serve.Settings, []string) {
	GinkgoHelper()
	path := filepath.Join(GinkgoT().TempDir(), "c1.yaml")
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	s, faults, err := serve.ReadSettings(path)
	Expect(err).NotTo(HaveOccurred())
	texts := config.FaultStrings(faults)
	for i := range texts {
		texts[i] = strings.TrimPrefix(texts[i], filepath.Dir(path)+"/")
	}
	return s, texts
}

var _ = Describe("settings", func() {
	It("are read with defaults, and the data folder is relative to the file", func() {
		s, faults := readSettings(validSettings)
		Expect(faults).To(BeEmpty())
		Expect(s.DrainDelay).To(Equal(500 * time.Millisecond))
		Expect(s.ShutdownTimeout).To(Equal(serve.DefaultShutdownTimeout))
		Expect(filepath.IsAbs(s.DataFolder)).To(BeTrue())
		Expect(s.Has(serve.RoleControl)).To(BeTrue())
	})

	DescribeTable("report faults with file, line and key", func(from, to string, want ...string) {
		_, faults := readSettings(strings.Replace(validSettings, from, to, 1))
		Expect(faults).To(ConsistOf(want))
	},
		Entry("unknown key", "drain_delay", "drain_dealy", "c1.yaml:8: drain_dealy: unknown key"),
		Entry("invalid duration", "500ms", "soon", `c1.yaml:8: drain_delay: found "soon", expected a duration such as 500ms or 2s`),
		Entry("negative duration", "500ms", "-1s", "c1.yaml:8: drain_delay: is -1s, must be 0s to 2m0s"),
		Entry("unknown role", "entry]", "worker]", `c1.yaml:3: roles[1]: is "worker", must be control or entry`),
		Entry("no data folder", "data_folder: data/c1\n", "", "c1.yaml:1: data_folder: is missing; a control instance needs one"),
		Entry("not among the peers", "name: c1", "name: c9", `c1.yaml:9: peers: does not include this instance, "c9"`),
		Entry("peer with another port", `http: {address: "127.0.0.1:7101"}`, `http: {address: "127.0.0.1:7111"}`,
			"c1.yaml:10: peers[0].http_address: has port 7101, but http.address listens on port 7111"),
		Entry("not a loopback address", `http: {address: "127.0.0.1:7101"}`, `http: {address: "0.0.0.0:7101"}`,
			"c1.yaml:4: http.address: 0.0.0.0:7101 is not a loopback address and lacks TLS or tokens; set insecure: true to allow that"),
		Entry("address used twice", "127.0.0.1:7202", "127.0.0.1:7201", "c1.yaml:11: peers[1].grpc_address: 127.0.0.1:7201 is used twice"),
		Entry("even number of voters", "control: false", "control: true",
			"c1.yaml:9: peers: has 2 control instances; an even number tolerates no more failures than one fewer"),
		Entry("limit out of range", "bootstrap: true", "bootstrap: true\nlimits: {max_connections: 0}",
			"c1.yaml:8: limits.max_connections: is 0, must be 16 to 131072"),
		Entry("several at once", "data_centre: norte\nroles: [control, entry]", "roles: [entry]",
			"c1.yaml:1: data_centre: is missing",
			"c1.yaml:5: data_folder: is set, but only control instances have one",
			"c1.yaml:6: bootstrap: is true, but only control instances form a cluster",
			"c1.yaml:9: peers[0].control: is true, which contradicts roles"),
	)

	It("allow other than loopback addresses with insecure: true", func() {
		_, faults := readSettings(strings.Replace(validSettings, `http: {address: "127.0.0.1:7101"}`, "insecure: true\nhttp: {address: \"0.0.0.0:7101\"}", 1))
		Expect(faults).To(BeEmpty())
	})

	It("of the examples are valid and agree on the peers", func() {
		for _, folder := range []string{"cobreria", "asahikawa"} {
			files, err := filepath.Glob("../examples/" + folder + "/[a-z][1-7].yaml")
			Expect(err).NotTo(HaveOccurred())
			Expect(files).To(HaveLen(7))
			votersByDC, voters := map[string]int{}, 0
			var peers []serve.Peer
			for _, f := range files {
				s, faults, err := serve.ReadSettings(f)
				Expect(err).NotTo(HaveOccurred())
				Expect(faults).To(BeEmpty(), f)
				if peers != nil {
					Expect(s.Peers).To(Equal(peers), f)
				}
				peers = s.Peers
				if s.Has(serve.RoleControl) {
					voters++
					votersByDC[s.DataCentre]++
				}
			}
			Expect(voters).To(Equal(5))
			for dc, n := range votersByDC {
				Expect(n).To(BeNumerically("<=", 2), "a majority must remain without %s", dc)
			}
		}
	})

	It("of the examples have guarantees that can be satisfied, also without any one data centre", func() {
		for _, folder := range []string{"cobreria", "asahikawa"} {
			cfg, faults, err := config.ReadFile("../examples/" + folder + "/config.yaml")
			Expect(err).NotTo(HaveOccurred())
			Expect(faults).To(BeEmpty())
			Expect(serve.Shortages(cfg)).To(BeEmpty(), folder)
			for i, dc := range cfg.DataCentres {
				without := cfg.AllInService()
				without.DataCentres[i].OutOfService = true
				Expect(serve.Shortages(without)).To(BeEmpty(), "%s without %s", folder, dc.Name)
			}
		}
	})
})
