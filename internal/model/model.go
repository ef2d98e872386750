// Package model defines the types that the control plane and the data path share: services, targets, the view
// of both that controllers distribute to nodes, and the announcements that nodes send to controllers.
package model

import (
	"net/netip"
	"time"
)

// MaxTargetsPerService is the maximum number of targets of one service. Four chains of eight candidates
// reach all of them.
const MaxTargetsPerService = 32

// ServiceID identifies one incarnation of a service. The replicated state machine allocates IDs and never
// reuses them.
type ServiceID uint32

// TargetID identifies one registration of a target. The replicated state machine allocates IDs and never
// reuses them.
type TargetID uint32

// Generation is the version of a view: the index of the log entry that last changed it.
type Generation uint64

// Revision is the number of an accepted configuration document, counted from 1.
type Revision uint64

// AvailabilityZone is the name of an availability zone, such as "bogota-a".
type AvailabilityZone string

// Workspace is the name of the workspace that owns a service.
type Workspace string

// VM is the name of a virtual machine in the asset register.
type VM string

// Role is the role of a process in the system.
type Role string

// Roles of a process.
const (
	RoleBalancer   Role = "balancer"
	RoleAgent      Role = "agent"
	RoleController Role = "controller"
	RoleOperator   Role = "operator"
)

// FlowClass determines which limits of a target a flow counts against.
type FlowClass uint8

// Flow classes.
const (
	// ClassStream flows take one connection.
	ClassStream FlowClass = iota
	// ClassRequest flows take one connection and one slot.
	ClassRequest
)

// Silence is the policy for flows of which one end has stopped sending: the agent probes the end and resets the
// flow if the probes stay unanswered.
type Silence struct {
	Enabled  bool
	Idle     time.Duration // time without a packet from an end before the first probe
	Interval time.Duration // time between probes
	Count    int           // number of unanswered probes before the flow is reset
}

// Service is a TCP service address with its policy.
type Service struct {
	ID ServiceID
	// Generation is the generation of the last change to the service or to one of its targets.
	Generation   Generation
	Name         string
	Workspace    Workspace
	Address      netip.AddrPort
	Class        FlowClass
	MaxQueueWait time.Duration
	Ramp         time.Duration // duration of the slow start of a new target
	DrainTimeout time.Duration // time after which the flows of a draining target are reset; zero means never
	Silence      Silence
}

// TargetState is the state of a target in the view.
type TargetState uint8

// Target states.
const (
	// TargetActive targets admit new flows.
	TargetActive TargetState = iota
	// TargetDraining targets keep their flows and admit none.
	TargetDraining
	// TargetEjected targets failed recently. They keep their flows and are skipped for new ones.
	TargetEjected
	// TargetLost targets have an expired lease. They stay at the end of the chain for packets of
	// established flows.
	TargetLost
	// TargetJoining targets are new. They are part of the chain for packets of established flows, but
	// admit no flows yet. So every node already asks them for the owner of a flow before they own one.
	TargetJoining
)

// String returns the name of the state.
func (s TargetState) String() string {
	switch s {
	case TargetActive:
		return "active"
	case TargetDraining:
		return "draining"
	case TargetEjected:
		return "ejected"
	case TargetLost:
		return "lost"
	case TargetJoining:
		return "joining"
	}
	return "unknown"
}

// Target is one endpoint of one service.
type Target struct {
	ID       TargetID
	Name     string // names of the VM and the service, as "vm/service"
	VM       VM
	Zone     AvailabilityZone
	Service  ServiceID
	Agent    netip.AddrPort // UDP endpoint of the agent that runs beside the target
	Slots    int
	MaxConns int
	State    TargetState
}

// View is the state that controllers distribute to nodes, at one generation.
type View struct {
	Generation Generation
	Revision   Revision // revision of the configuration at this generation
	Trace      TraceID  // trace of the edit that created Revision; not part of the digest
	Services   map[ServiceID]Service
	Targets    map[TargetID]Target
}

// Delta contains the changes from one generation of a view to a later one.
type Delta struct {
	From, To        Generation
	Revision        Revision
	Trace           TraceID // set if the delta contains a new revision
	Services        []Service
	Targets         []Target
	RemovedServices []ServiceID
	RemovedTargets  []TargetID
	// Digest is the expected digest of the view after the delta was applied, see View.Digest.
	Digest uint64
}
