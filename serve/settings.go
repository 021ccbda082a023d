package serve

import (
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"go.yaml.in/yaml/v3"

	"turmericroute/auth"
	"turmericroute/config"
	"turmericroute/webapi"
)

// Role is what a process does in the deployment.
type Role string

// The roles; a process has one or both.
const (
	RoleControl Role = "control"
	RoleEntry   Role = "entry"
)

// Defaults of the settings.
const (
	DefaultDrainDelay        = 2 * time.Second
	DefaultShutdownTimeout   = 30 * time.Second
	DefaultReadHeaderTimeout = 5 * time.Second
	DefaultIdleTimeout       = 2 * time.Minute
	DefaultMaxConnections    = 4096
	DefaultMaxHeaderBytes    = 32 << 10
	DefaultMaxBodyBytes      = 8 << 20
)

// Settings configure one process; they are read once, at its start.
type Settings struct {
	// Name is unique in the deployment and never changes for an instance.
	Name       string `yaml:"name"`
	DataCentre string `yaml:"data_centre"`
	Roles      []Role `yaml:"roles"`
	// HTTP is the listener for callers, operators, workers and upstreams.
	HTTP Listener `yaml:"http"`
	// GRPC is the listener for the other processes of the deployment.
	GRPC Listener `yaml:"grpc"`
	// DataFolder holds the replicated log; it is set on control instances only.
	DataFolder string `yaml:"data_folder"`
	// Peers are all instances of the deployment, including this one.
	Peers []Peer `yaml:"peers"`
	// Bootstrap forms a new cluster of the control peers if the data folder is empty.
	Bootstrap bool `yaml:"bootstrap"`
	// Tokens is the path of the file of access tokens; without it callers are not authenticated.
	Tokens string `yaml:"tokens,omitempty"`
	// DrainDelay is how long a shutdown reports not ready before it refuses requests, so that the load balancer can react.
	DrainDelay time.Duration `yaml:"drain_delay"`
	// ShutdownTimeout bounds the wait for requests in flight.
	ShutdownTimeout time.Duration `yaml:"shutdown_timeout"`
	Limits          Limits        `yaml:"limits"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"log_level"`
	// Insecure allows listeners on other than loopback addresses without TLS or tokens.
	Insecure bool `yaml:"insecure"`
}

// Listener is one listening address.
type Listener struct {
	// Address is IP:port.
	Address string `yaml:"address"`
	// TLS names the files of the certificate and key; the gRPC listener also needs the certificate authority of its peers.
	TLS *auth.TLSFiles `yaml:"tls,omitempty"`
}

// Peer is one instance of the deployment.
type Peer struct {
	Name        string `yaml:"name"`
	GRPCAddress string `yaml:"grpc_address"`
	HTTPAddress string `yaml:"http_address"`
	// Control reports whether the instance has the control role.
	Control bool `yaml:"control"`
}

// Limits bound the resources that callers can use.
type Limits struct {
	MaxConnections    int           `yaml:"max_connections"`
	MaxHeaderBytes    int           `yaml:"max_header_bytes"`
	MaxBodyBytes      int           `yaml:"max_body_bytes"`
	ReadHeaderTimeout time.Duration `yaml:"read_header_timeout"`
	IdleTimeout       time.Duration `yaml:"idle_timeout"`
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		DrainDelay: DefaultDrainDelay, ShutdownTimeout: DefaultShutdownTimeout, LogLevel: "info",
		Limits: Limits{
			MaxConnections: DefaultMaxConnections, MaxHeaderBytes: DefaultMaxHeaderBytes, MaxBodyBytes: DefaultMaxBodyBytes,
			ReadHeaderTimeout: DefaultReadHeaderTimeout, IdleTimeout: DefaultIdleTimeout,
		},
	}
}

// ReadSettings reads and validates a settings file and the files of keys and
// tokens that it names. Relative paths are resolved against the folder of the
// settings file. Faults are returned without an error.
func ReadSettings(path string) (Settings, []config.Fault, error) {
	s := DefaultSettings()
	doc, faults, err := config.ReadYAML(path, &s)
	if err != nil {
		return Settings{}, nil, fmt.Errorf("read settings: %w", err)
	}
	if len(faults) > 0 {
		return s, faults, nil
	}
	faults = doc.Locate(s.Validate())
	s = s.withAbsolutePaths(filepath.Dir(path))
	if len(faults) == 0 {
		faults = doc.Locate(s.checkFiles())
	}
	return s, faults, nil
}

// withAbsolutePaths returns s with relative paths resolved against dir.
func (s Settings) withAbsolutePaths(dir string) Settings {
	resolve := func(p *string) {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(dir, *p)
		}
	}
	resolve(&s.DataFolder)
	resolve(&s.Tokens)
	for _, l := range []*Listener{&s.HTTP, &s.GRPC} {
		if l.TLS != nil {
			files := *l.TLS
			resolve(&files.Cert)
			resolve(&files.Key)
			resolve(&files.CA)
			l.TLS = &files
		}
	}
	return s
}

// checkFiles returns the faults of the key and token files.
func (s Settings) checkFiles() []config.Fault {
	var faults config.Faults
	for _, l := range []struct {
		key string
		tls *auth.TLSFiles
	}{{"http.tls", s.HTTP.TLS}, {"grpc.tls", s.GRPC.TLS}} {
		if l.tls == nil {
			continue
		}
		if _, err := auth.ReadTLSKeys(*l.tls, auth.ReloadOptions{}); err != nil {
			faults.Add(l.key, "%v", err)
		}
	}
	if s.Tokens != "" {
		_, tokenFaults, err := auth.ReadTokens(s.Tokens, auth.ReloadOptions{})
		if err != nil {
			faults.Add("tokens", "%v", err)
		}
		faults = append(faults, tokenFaults...)
	}
	return faults
}

// apiPeers returns the instances of the deployment in the form of the API.
func (s Settings) apiPeers() []webapi.Peer {
	peers := make([]webapi.Peer, len(s.Peers))
	for i, p := range s.Peers {
		peers[i] = webapi.Peer{Name: p.Name, HTTPAddress: p.HTTPAddress, Control: p.Control}
	}
	return peers
}

// Has reports whether the process has a role.
func (s Settings) Has(r Role) bool { return slices.Contains(s.Roles, r) }

// asYAML returns the settings with the keys and values of a settings file:
// durations are written as 2s, not as a number of nanoseconds.
func (s Settings) asYAML() any {
	var fields map[string]any
	b, err := yaml.Marshal(s)
	if err == nil {
		err = yaml.Unmarshal(b, &fields)
	}
	if err != nil {
		return err.Error()
	}
	return fields
}

// Bounds of the settings.
const (
	maxPeers           = 64
	maxVoters          = 9
	maxDrainDelay      = 2 * time.Minute
	maxShutdownTimeout = time.Hour
	maxTimeout         = 10 * time.Minute
	maxConnections     = 1 << 17
	maxHeaderBytes     = 1 << 20
	maxBodyBytes       = 1 << 30
)

// Validate returns all faults of the settings, without reading the files that they name.
func (s Settings) Validate() []config.Fault {
	v := settingsValidator{s: s}
	v.faults.CheckName("name", s.Name)
	v.faults.CheckName("data_centre", s.DataCentre)
	v.checkRoles()
	v.checkListener("http", s.HTTP, s.HTTP.TLS != nil && s.Tokens != "", "lacks TLS or tokens")
	v.checkListener("grpc", s.GRPC, s.GRPC.TLS != nil, "lacks TLS")
	v.checkPeers()
	v.checkLimits()
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.LogLevel) {
		v.faults.Add("log_level", "is %q, must be debug, info, warn or error", s.LogLevel)
	}
	return v.faults
}

type settingsValidator struct {
	s      Settings
	faults config.Faults
}

func (v *settingsValidator) checkRoles() {
	if len(v.s.Roles) == 0 {
		v.faults.Add("roles", "is empty; list control, entry or both")
	}
	for i, r := range v.s.Roles {
		key := fmt.Sprintf("roles[%d]", i)
		if r != RoleControl && r != RoleEntry {
			v.faults.Add(key, "is %q, must be control or entry", r)
		}
		if slices.Contains(v.s.Roles[:i], r) {
			v.faults.Add(key, "%q occurs twice", r)
		}
	}
	control := v.s.Has(RoleControl)
	switch {
	case control && v.s.DataFolder == "":
		v.faults.Add("data_folder", "is missing; a control instance needs one")
	case !control && v.s.DataFolder != "":
		v.faults.Add("data_folder", "is set, but only control instances have one")
	}
	if v.s.Bootstrap && !control {
		v.faults.Add("bootstrap", "is true, but only control instances form a cluster")
	}
}

func (v *settingsValidator) checkListener(key string, l Listener, secure bool, problem string) {
	ip, ok := v.checkAddress(key+".address", l.Address)
	if ok && !ip.IsLoopback() && !secure && !v.s.Insecure {
		v.faults.Add(key+".address", "%s is not a loopback address and %s; set insecure: true to allow that", l.Address, problem)
	}
	if l.TLS == nil {
		return
	}
	if l.TLS.Cert == "" || l.TLS.Key == "" {
		v.faults.Add(key+".tls", "needs cert and key")
	}
	switch {
	case key == "grpc" && l.TLS.CA == "":
		v.faults.Add(key+".tls", "needs ca, the certificate authority of the other instances")
	case key == "http" && l.TLS.CA != "":
		v.faults.Add(key+".tls.ca", "is set, but callers authenticate with tokens")
	}
}

// checkAddress checks that s is IP:port and returns the IP.
func (v *settingsValidator) checkAddress(key, s string) (net.IP, bool) {
	if s == "" {
		v.faults.Add(key, "is missing")
		return nil, false
	}
	host, port, err := net.SplitHostPort(s)
	portNumber, portErr := strconv.ParseUint(port, 10, 16)
	ip := net.ParseIP(host)
	if err != nil || portErr != nil || portNumber == 0 || ip == nil {
		v.faults.Add(key, "%q is not an IP address and port, such as 127.0.0.1:7101", s)
		return nil, false
	}
	return ip, true
}

func (v *settingsValidator) checkPeers() {
	v.faults.CheckRange("peers", len(v.s.Peers), 1, maxPeers)
	names, addresses := map[string]bool{}, map[string]bool{}
	voters := 0
	for i, p := range v.s.Peers {
		key := fmt.Sprintf("peers[%d]", i)
		v.faults.CheckName(key+".name", p.Name)
		if names[p.Name] {
			v.faults.Add(key+".name", "%q occurs twice", p.Name)
		}
		names[p.Name] = true
		for _, f := range [][2]string{{".grpc_address", p.GRPCAddress}, {".http_address", p.HTTPAddress}} {
			if _, ok := v.checkAddress(key+f[0], f[1]); ok && addresses[f[1]] {
				v.faults.Add(key+f[0], "%s is used twice", f[1])
			}
			addresses[f[1]] = true
		}
		if p.Control {
			voters++
		}
		if p.Name == v.s.Name {
			v.checkOwnPeer(key, p)
		}
	}
	if v.s.Name != "" && !names[v.s.Name] {
		v.faults.Add("peers", "does not include this instance, %q", v.s.Name)
	}
	v.faults.CheckRange("peers", voters, 1, maxVoters)
	if v.s.Bootstrap && voters%2 == 0 {
		v.faults.Add("peers", "has %d control instances; an even number tolerates no more failures than one fewer", voters)
	}
}

// checkOwnPeer checks that this instance's entry in the list of peers agrees with its other settings.
func (v *settingsValidator) checkOwnPeer(key string, p Peer) {
	if p.Control != v.s.Has(RoleControl) {
		v.faults.Add(key+".control", "is %v, which contradicts roles", p.Control)
	}
	for _, f := range [][3]string{{"grpc", p.GRPCAddress, v.s.GRPC.Address}, {"http", p.HTTPAddress, v.s.HTTP.Address}} {
		_, peerPort, _ := net.SplitHostPort(f[1])
		_, listenPort, _ := net.SplitHostPort(f[2])
		if peerPort != "" && listenPort != "" && peerPort != listenPort {
			v.faults.Add(key+"."+f[0]+"_address", "has port %s, but %s.address listens on port %s", peerPort, f[0], listenPort)
		}
	}
}

func (v *settingsValidator) checkLimits() {
	v.checkDuration("drain_delay", v.s.DrainDelay, 0, maxDrainDelay)
	v.checkDuration("shutdown_timeout", v.s.ShutdownTimeout, time.Second, maxShutdownTimeout)
	l := v.s.Limits
	v.faults.CheckRange("limits.max_connections", l.MaxConnections, 16, maxConnections)
	v.faults.CheckRange("limits.max_header_bytes", l.MaxHeaderBytes, 4<<10, maxHeaderBytes)
	v.faults.CheckRange("limits.max_body_bytes", l.MaxBodyBytes, 1<<10, maxBodyBytes)
	v.checkDuration("limits.read_header_timeout", l.ReadHeaderTimeout, 100*time.Millisecond, maxTimeout)
	v.checkDuration("limits.idle_timeout", l.IdleTimeout, time.Second, maxTimeout)
}

func (v *settingsValidator) checkDuration(key string, d, lowest, highest time.Duration) {
	if d < lowest || d > highest {
		v.faults.Add(key, "is %v, must be %v to %v", d, lowest, highest)
	}
}
