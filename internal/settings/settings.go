// Package settings reads the settings of a daemon: a file of JSON with comments that gives a process
// its name, its place and its roles. All problems of a file are reported in one pass, with line
// and column.
package settings

import (
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/jsonc"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/result"
)

// Defaults of optional settings.
const (
	// DefaultShutdownTimeout leaves requests in flight time to end; service times are seconds.
	DefaultShutdownTimeout = 30 * time.Second
	// DefaultLogLevel shows changes of state.
	DefaultLogLevel = "info"
	// DefaultSampleRatio is the share of flows that are traced once an exporter is chosen.
	DefaultSampleRatio = 0.001
)

// Settings are the settings of one process.
type Settings struct {
	Name  string                 `json:"name"`
	VM    model.VM               `json:"vm"`
	Zone  model.AvailabilityZone `json:"zone"`
	Roles []model.Role           `json:"roles"`

	Balancer   *Balancer   `json:"balancer"`
	Agent      *Agent      `json:"agent"`
	Controller *Controller `json:"controller"`

	// Controllers are those that balancers and agents hold their sessions with.
	Controllers []Peer `json:"controllers"`

	TLS             TLS            `json:"tls"`
	FleetKeyFile    string         `json:"fleet_key_file"`
	Telemetry       Telemetry      `json:"telemetry"`
	ShutdownTimeout jsonc.Duration `json:"shutdown_timeout"`
	// MemoryLimit is the soft limit of the Go runtime; zero for none. Without it the views that a
	// balancer has replaced wait long for the garbage collector.
	MemoryLimit jsonc.Bytes `json:"memory_limit"`

	// FleetKey is the content of FleetKeyFile.
	FleetKey encap.Key `json:"-"`
}

// Identity is who a role is towards its peers. A process with one role needs none: the name and
// certificate of the process are taken. With several roles each certificate is for one of them, and
// balancer and agent need different names.
type Identity struct {
	Name string `json:"name"`
	TLS  TLS    `json:"tls"`
}

// Balancer are the settings of the balancer role.
type Balancer struct {
	Identity
	// Ingress receives the packets of callers.
	Ingress PacketPort `json:"ingress"`
	// Egress is the UDP address that sends packets to agents and receives their hints.
	Egress netip.AddrPort `json:"egress"`
}

// Agent are the settings of the agent role.
type Agent struct {
	Identity
	// Data is the UDP address that receives packets of balancers and other agents. It is announced,
	// so it names one address of this VM.
	Data netip.AddrPort `json:"data"`
	// Target exchanges packets with the target.
	Target PacketPort `json:"target"`
	// Gateway takes packets for callers.
	Gateway PacketPort `json:"gateway"`
	// Services are the services that the target offers, each with Slots and Connections.
	Services    []string `json:"services"`
	Slots       int      `json:"slots"`
	Connections int      `json:"connections"`
	// HealthURL and LoadURL are the endpoints of the target.
	HealthURL string `json:"health_url"`
	LoadURL   string `json:"load_url"`
}

// Kinds of packet ports.
const (
	KindUDP = "udp"
	KindTUN = "tun"
)

// PacketPort is where a process exchanges IPv4 packets with its surroundings.
type PacketPort struct {
	Kind string `json:"kind"`
	// Listen is the UDP address of a port of KindUDP, Peer the address that it sends to.
	Listen netip.AddrPort `json:"listen"`
	Peer   netip.AddrPort `json:"peer"`
	// Device is the name of the device of a port of KindTUN.
	Device string `json:"device"`
}

// Controller are the settings of the controller role.
type Controller struct {
	Identity
	Listen  netip.AddrPort `json:"listen"`
	DataDir string         `json:"data_dir"`
	// Members are the controllers of a new replicated log, this one included.
	Members []Peer `json:"members"`
}

// Peer is another process.
type Peer struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
}

// TLS names the files that authenticate this process and its peers, in PEM.
type TLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	CA   string `json:"ca"`
}

// Telemetry are the settings of logs, metrics and traces.
type Telemetry struct {
	// Listen is the TCP address of the metrics, health and readiness endpoints.
	Listen   netip.AddrPort `json:"listen"`
	LogLevel string         `json:"log_level"`
	Trace    Trace          `json:"trace"`
}

// Trace says where spans go.
type Trace struct {
	Exporter    string  `json:"exporter"`
	Endpoint    string  `json:"endpoint"`
	SampleRatio float64 `json:"sample_ratio"`
}

// Reader returns the content of a file.
type Reader func(path string) ([]byte, error)

// Load reads and checks a settings file. Relative paths in it are taken from its directory.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, result.New(result.SettingsInvalid, "%v", err)
	}
	return Parse(path, data, os.ReadFile)
}

// Parse checks the content of a settings file. The error carries result.SettingsInvalid and lists
// every problem.
func Parse(path string, data []byte, read Reader) (*Settings, error) {
	s := &Settings{
		ShutdownTimeout: jsonc.Duration(DefaultShutdownTimeout),
		Telemetry:       Telemetry{LogLevel: DefaultLogLevel, Trace: Trace{Exporter: "none", SampleRatio: DefaultSampleRatio}},
	}
	doc := jsonc.Decode(path, data, s)
	if doc.Has("") {
		s.Inherit()
		s.resolve(filepath.Dir(path))
		c := checker{Document: doc, s: s, read: read}
		c.check()
	}
	if err := doc.Err(); err != nil {
		return nil, result.New(result.SettingsInvalid, "%v", err)
	}
	return s, nil
}

// HasRole reports whether the process runs a role.
func (s *Settings) HasRole(role model.Role) bool {
	for _, r := range s.Roles {
		if r == role {
			return true
		}
	}
	return false
}

// identities returns the identities of the roles with a section.
func (s *Settings) identities() map[model.Role]*Identity {
	all := map[model.Role]*Identity{}
	if s.Balancer != nil {
		all[model.RoleBalancer] = &s.Balancer.Identity
	}
	if s.Agent != nil {
		all[model.RoleAgent] = &s.Agent.Identity
	}
	if s.Controller != nil {
		all[model.RoleController] = &s.Controller.Identity
	}
	return all
}

// Inherit gives roles without an identity of their own that of the process.
func (s *Settings) Inherit() {
	for _, identity := range s.identities() {
		if identity.Name == "" {
			identity.Name = s.Name
		}
		if identity.TLS == (TLS{}) {
			identity.TLS = s.TLS
		}
	}
}

// resolve makes relative paths start from the folder of the settings file.
func (s *Settings) resolve(folder string) {
	paths := []*string{&s.TLS.Cert, &s.TLS.Key, &s.TLS.CA, &s.FleetKeyFile}
	for _, identity := range s.identities() {
		paths = append(paths, &identity.TLS.Cert, &identity.TLS.Key, &identity.TLS.CA)
	}
	if s.Controller != nil {
		paths = append(paths, &s.Controller.DataDir)
	}
	for _, p := range paths {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(folder, *p)
		}
	}
}
