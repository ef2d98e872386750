// Package process reads the settings of one process of the datagram data path and runs it. Its role is entry,
// relay (beside a target) or store (a controller of the configuration store).
package process

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/greengagelock/greengagelock/internal/confstore"
	"github.com/greengagelock/greengagelock/internal/jsonc"
	"github.com/greengagelock/greengagelock/internal/result"
)

// Role selects which part of the system a process is.
type Role string

// Roles of a process.
const (
	RoleEntry Role = "entry"
	RoleRelay Role = "relay"
	RoleStore Role = "store"
)

const (
	// memoryShare is the share of the VM's memory above which the Go runtime collects garbage more often.
	// Sockets and stacks need the rest.
	memoryShare = 0.5
	// transportPlain selects TCP and UDP without TLS.
	transportPlain = "plain"
	// DefaultLinger is how long a stopping process keeps serving. The fabric stops sending to it after two
	// failed health checks half a second apart.
	DefaultLinger = 2500 * time.Millisecond
)

// FaultToleranceVariable is the environment variable that gives fault_tolerance where the file does not. A settings file
// that is shared with older builds cannot name it, since they refuse keys that they do not know.
const FaultToleranceVariable = "GREENGAGELOCK_FAULT_TOLERANCE"

// Settings holds the settings of one process.
type Settings struct {
	Name string     `json:"name"`
	Role Role       `json:"role"`
	IP   netip.Addr `json:"ip"`
	Zone string     `json:"zone"` // availability zone
	// Zones are the availability zones of the deployment, which operators may evacuate. If empty, an order for any zone is accepted.
	Zones []string `json:"zones"`
	// Port is the port on which the processes of the system reach each other, the same on all VMs.
	Port uint16 `json:"port"`
	// Transport is the transport between processes. It must be "plain", which has to be written out because
	// it is safe only in a network that only the VMs of the system can reach.
	Transport string `json:"transport"`
	// Controllers are the addresses of some controllers. Their ports are ignored.
	Controllers []netip.AddrPort `json:"controllers"`
	// FirstStart is set when the whole system starts for the first time: the controllers then form a new
	// store.
	FirstStart bool `json:"first_start"`
	// FaultTolerance is the number of controllers that may be lost at once. The store keeps twice as many voters, and one
	// more, up to confstore.MaxFaultTolerance. Zero means that it is not known; the store then keeps the number of voters
	// that it was started with.
	FaultTolerance int    `json:"fault_tolerance"`
	DataDir        string `json:"data_dir"`
	MemoryMB       int    `json:"memory_mb"` // memory of the VM in MiB; zero sets no limit
	// LinkMbps is the bandwidth of the VM in Mbit/s; zero means no limit.
	LinkMbps float64 `json:"link_mbps"`

	// Callers is the address that receives packets of callers. A relay uses only its port.
	Callers netip.AddrPort `json:"callers"`
	// Readiness (entry, optional for relay), Operators (store) and Heartbeats (relay) are the addresses of
	// HTTP servers.
	Readiness  netip.AddrPort `json:"readiness"`
	Operators  netip.AddrPort `json:"operators"`
	Heartbeats netip.AddrPort `json:"heartbeats"`

	// Service and Target are the service and the address of the target beside a relay. The target sends its
	// packets to FromTarget, and a heartbeat every HeartbeatMS milliseconds.
	Service     string         `json:"service"`
	Target      netip.AddrPort `json:"target"`
	FromTarget  netip.AddrPort `json:"from_target"`
	HeartbeatMS int            `json:"heartbeat_ms"`
	// ReportFlows makes a relay report the open flows of its target to controllers, which keep them on disk. After
	// a loss of power the relay resets those that no longer exist. The default is true.
	ReportFlows bool `json:"report_flows"`

	LogLevel string `json:"log_level"`
	// MetricsPort is the port at IP that serves the metrics; zero means none.
	MetricsPort uint16 `json:"metrics_port"`
}

// Load reads and validates a settings file. The error lists every problem with line and column.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, result.New(result.SettingsInvalid, "%v", err)
	}
	s, err := Parse(path, data)
	if err != nil {
		return nil, err
	}
	return s, s.applyEnvironment(os.Getenv)
}

// applyEnvironment fills in what the file leaves out and the environment gives.
func (s *Settings) applyEnvironment(getenv func(name string) string) error {
	value := getenv(FaultToleranceVariable)
	if value == "" || s.FaultTolerance != 0 {
		return nil
	}
	losses, err := strconv.Atoi(value)
	if err != nil || losses < 0 {
		return result.New(result.SettingsInvalid, "%s is %q, want a number of controllers", FaultToleranceVariable, value)
	}
	// The variable describes the deployment, which may be larger than what the store can use.
	s.FaultTolerance = min(losses, confstore.MaxFaultTolerance)
	return nil
}

// Parse decodes and validates the content of a settings file. path is used in errors only.
func Parse(path string, data []byte) (*Settings, error) {
	s := &Settings{LogLevel: "info", ReportFlows: true}
	doc := jsonc.Decode(path, data, s)
	if doc.Has("") {
		s.check(doc)
	}
	if err := doc.Err(); err != nil {
		return nil, result.New(result.SettingsInvalid, "%v", err)
	}
	return s, nil
}

// check reports missing and invalid settings to doc.
func (s *Settings) check(doc *jsonc.Document) {
	require := func(key string, ok bool, expected string) {
		if !ok && !doc.HasProblem(key) {
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
		require("fault_tolerance", s.FaultTolerance >= 0 && s.FaultTolerance <= confstore.MaxFaultTolerance,
			fmt.Sprintf("a number of controllers from 0 to %d", confstore.MaxFaultTolerance))
	default:
		doc.Report("role", "entry, relay or store")
	}
}

// ControllerIPs returns the IP addresses of the controllers, each once.
func (s *Settings) ControllerIPs() []netip.Addr {
	var ips []netip.Addr
	for _, c := range s.Controllers {
		if ip := c.Addr().Unmap(); !slices.Contains(ips, ip) {
			ips = append(ips, ip)
		}
	}
	return ips
}

// linkBytesPerSecond returns the bandwidth of the VM, zero for no limit.
func (s *Settings) linkBytesPerSecond() float64 { return s.LinkMbps * 1e6 / 8 }

// memoryLimitBytes returns the soft memory limit for the Go runtime, zero for none.
func (s *Settings) memoryLimitBytes() int64 { return int64(float64(s.MemoryMB<<20) * memoryShare) }
