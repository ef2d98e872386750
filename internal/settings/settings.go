// Package settings reads the settings file of a daemon: JSON with comments that sets the name, VM, zone, roles,
// addresses and credentials of a process. All problems of a file are reported in one pass, with line and column.
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
	// DefaultShutdownTimeout lets requests in flight finish; service times are seconds.
	DefaultShutdownTimeout = 30 * time.Second
	// DefaultLogLevel includes the log lines about state changes.
	DefaultLogLevel = "info"
	// DefaultSampleRatio is the fraction of traces that are recorded if an exporter is set.
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

	// Controllers are the controllers that balancers and agents connect to.
	Controllers []Peer `json:"controllers"`

	TLS             TLS            `json:"tls"`
	FleetKeyFile    string         `json:"fleet_key_file"`
	Telemetry       Telemetry      `json:"telemetry"`
	ShutdownTimeout jsonc.Duration `json:"shutdown_timeout"`
	// MemoryLimit is the soft memory limit of the Go runtime; zero for none. Without it the garbage collector
	// frees the views that a balancer has replaced only late.
	MemoryLimit jsonc.Bytes `json:"memory_limit"`

	// FleetKey is the decoded content of FleetKeyFile.
	FleetKey encap.Key `json:"-"`
}

// Identity is the name and the certificate with which a role authenticates to its peers. They default to those of
// the process, which is enough for a process with one role. With several roles each needs a certificate of its
// own, and balancer and agent need different names.
type Identity struct {
	Name string `json:"name"`
	TLS  TLS    `json:"tls"`
}

// Balancer are the settings of the balancer role.
type Balancer struct {
	Identity
	// Ingress receives the packets of callers.
	Ingress PacketConnection `json:"ingress"`
	// Egress is the UDP address from which packets are sent to agents and at which their hints arrive.
	Egress netip.AddrPort `json:"egress"`
}

// Agent are the settings of the agent role.
type Agent struct {
	Identity
	// Data is the UDP address that receives packets from balancers and other agents. It is announced to them,
	// so it must be a specific address of this VM.
	Data netip.AddrPort `json:"data"`
	// Target exchanges packets with the target.
	Target PacketConnection `json:"target"`
	// Gateway sends packets to callers.
	Gateway PacketConnection `json:"gateway"`
	// Services are the services that the target offers. Slots and Connections are its limits for each of them.
	Services    []string `json:"services"`
	Slots       int      `json:"slots"`
	Connections int      `json:"connections"`
	// HealthURL and LoadURL are the target's HTTP endpoints for its health and its load.
	HealthURL string `json:"health_url"`
	LoadURL   string `json:"load_url"`
}

// Kinds of packet connections.
const (
	KindUDP = "udp"
	KindTUN = "tun"
)

// PacketConnection is a UDP socket or TUN device over which a process exchanges IPv4 packets with other
// programs.
type PacketConnection struct {
	Kind string `json:"kind"`
	// Listen is the local address of a connection of KindUDP, Peer the address that it sends to.
	Listen netip.AddrPort `json:"listen"`
	Peer   netip.AddrPort `json:"peer"`
	// Device is the name of the TUN device of a connection of KindTUN.
	Device string `json:"device"`
}

// Controller are the settings of the controller role.
type Controller struct {
	Identity
	Listen  netip.AddrPort `json:"listen"`
	DataDir string         `json:"data_dir"`
	// Members are the first members of the replicated log, this controller included.
	Members []Peer `json:"members"`
}

// Peer is the name and address of a controller.
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

// Trace are the settings of tracing; see telemetry.TraceConfig.
type Trace struct {
	Exporter    string  `json:"exporter"`
	Endpoint    string  `json:"endpoint"`
	SampleRatio float64 `json:"sample_ratio"`
}

// FileReader reads a whole file, such as os.ReadFile.
type FileReader func(path string) ([]byte, error)

// Load reads and checks a settings file. Relative paths in it are relative to its folder. The error carries
// result.SettingsInvalid.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, result.New(result.SettingsInvalid, "%v", err)
	}
	return Parse(path, data, os.ReadFile)
}

// Parse decodes and checks the content of the settings file at path; readFile reads the files that it names. The
// error carries result.SettingsInvalid and lists every problem.
func Parse(path string, data []byte, readFile FileReader) (*Settings, error) {
	s := &Settings{
		ShutdownTimeout: jsonc.Duration(DefaultShutdownTimeout),
		Telemetry:       Telemetry{LogLevel: DefaultLogLevel, Trace: Trace{Exporter: "none", SampleRatio: DefaultSampleRatio}},
	}
	doc := jsonc.Decode(path, data, s)
	if doc.Has("") {
		s.InheritIdentity()
		s.resolvePaths(filepath.Dir(path))
		c := checker{Document: doc, s: s, readFile: readFile}
		c.check()
	}
	if err := doc.Err(); err != nil {
		return nil, result.New(result.SettingsInvalid, "%v", err)
	}
	return s, nil
}

// HasRole reports whether the process has a role.
func (s *Settings) HasRole(role model.Role) bool {
	for _, r := range s.Roles {
		if r == role {
			return true
		}
	}
	return false
}

// identities returns the identity of each role that has a section in the settings.
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

// InheritIdentity sets the name and certificate of the process for the roles that have none of their own.
func (s *Settings) InheritIdentity() {
	for _, identity := range s.identities() {
		if identity.Name == "" {
			identity.Name = s.Name
		}
		if identity.TLS == (TLS{}) {
			identity.TLS = s.TLS
		}
	}
}

// resolvePaths joins relative paths to the folder of the settings file.
func (s *Settings) resolvePaths(folder string) {
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
