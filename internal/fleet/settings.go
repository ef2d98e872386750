// Package fleet runs one process of the datagram data path: an entry VM, the relay beside a target, or
// a controller of the configuration store.
package fleet

import (
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/jsonc"
	"github.com/greengagelock/greengagelock/internal/result"
)

// Role is what the process does.
type Role string

// Roles.
const (
	RoleEntry Role = "entry"
	RoleRelay Role = "relay"
	RoleStore Role = "store"
)

const (
	// memoryShare is the part of the VM's memory that the Go runtime may use before it collects more
	// often. Sockets and stacks need the rest.
	memoryShare = 0.5
	// transportPlain is TCP and UDP without TLS.
	transportPlain = "plain"
	// DefaultLinger is the time for which a stopping process still serves. The fabric takes it out after
	// two misses half a second apart.
	DefaultLinger = 2500 * time.Millisecond
)

// Settings are the settings of one process.
type Settings struct {
	Name string     `json:"name"`
	Role Role       `json:"role"`
	IP   netip.Addr `json:"ip"`
	Zone string     `json:"zone"` // availability zone
	// Port is that of all processes of the system for each other.
	Port uint16 `json:"port"`
	// Transport between the processes. The only one is "plain", which has to be chosen by name: it is for
	// a network that only the VMs of the system reach.
	Transport string `json:"transport"`
	// Controllers are addresses of some controllers; their ports are not used.
	Controllers []netip.AddrPort `json:"controllers"`
	// FirstStart is set when the whole system starts for the first time.
	FirstStart bool   `json:"first_start"`
	DataDir    string `json:"data_dir"`
	MemoryMB   int    `json:"memory_mb"` // of the VM
	// LinkMbps is the bandwidth of the VM; zero for no limit.
	LinkMbps float64 `json:"link_mbps"`

	// Callers receives packets of callers (entry) or tells their port (relay).
	Callers netip.AddrPort `json:"callers"`
	// Readiness, Operators and Heartbeats are HTTP addresses.
	Readiness  netip.AddrPort `json:"readiness"`
	Operators  netip.AddrPort `json:"operators"`
	Heartbeats netip.AddrPort `json:"heartbeats"`

	// Service and Target are those of the target beside a relay, FromTarget the address that the target
	// sends its packets to.
	Service     string         `json:"service"`
	Target      netip.AddrPort `json:"target"`
	FromTarget  netip.AddrPort `json:"from_target"`
	HeartbeatMS int            `json:"heartbeat_ms"`

	LogLevel string `json:"log_level"`
	// MetricsPort is the port of the metrics at IP; zero for none.
	MetricsPort uint16 `json:"metrics_port"`
}

// Load reads and checks a settings file. The error lists every problem with line and column.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, result.New(result.SettingsInvalid, "%v", err)
	}
	return Parse(path, data)
}

// Parse checks the content of a settings file.
func Parse(path string, data []byte) (*Settings, error) {
	s := &Settings{LogLevel: "info"}
	doc := jsonc.Decode(path, data, s)
	if doc.Has("") {
		s.check(doc)
	}
	if err := doc.Err(); err != nil {
		return nil, result.New(result.SettingsInvalid, "%v", err)
	}
	return s, nil
}

func (s *Settings) check(doc *jsonc.Document) {
	require := func(key string, ok bool, expected string) {
		if !ok && !doc.Failed(key) {
			doc.Report(key, "%s", expected)
		}
	}
	require("name", s.Name != "", "a name")
	require("ip", s.IP.Is4(), "an IPv4 address")
	require("port", s.Port != 0, "a port")
	require("transport", s.Transport == transportPlain, "plain, for a network that only the system's VMs reach")
	require("controllers", len(s.Controllers) > 0, "the address of at least one controller")
	switch s.Role {
	case RoleEntry:
		require("callers", s.Callers.IsValid(), "an address for packets of callers")
		require("readiness", s.Readiness.IsValid(), "an address for the readiness check")
	case RoleRelay:
		require("callers", s.Callers.IsValid(), "an address with the port of callers")
		require("service", s.Service != "", "the service of the target")
		require("target", s.Target.IsValid(), "the address of the target")
		require("from_target", s.FromTarget.IsValid(), "an address for packets of the target")
		require("heartbeats", s.Heartbeats.IsValid(), "an address for heartbeats of the target")
		require("heartbeat_ms", s.HeartbeatMS > 0, "the time between heartbeats in ms")
	case RoleStore:
		require("operators", s.Operators.IsValid(), "an address for operators")
		require("data_dir", s.DataDir != "", "a data folder")
	default:
		doc.Report("role", "entry, relay or store")
	}
}

// ControllerIPs returns the addresses of the controllers without ports.
func (s *Settings) ControllerIPs() []netip.Addr {
	var ips []netip.Addr
	for _, c := range s.Controllers {
		if ip := c.Addr().Unmap(); !slices.Contains(ips, ip) {
			ips = append(ips, ip)
		}
	}
	return ips
}

// linkBytes returns the bandwidth of the VM in bytes a second.
func (s *Settings) linkBytes() float64 { return s.LinkMbps * 1e6 / 8 }

// memoryLimit returns the soft limit of the Go runtime in bytes, zero for none.
func (s *Settings) memoryLimit() int64 { return int64(float64(s.MemoryMB<<20) * memoryShare) }
