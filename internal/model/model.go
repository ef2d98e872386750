// Package model holds the types that control and data path share: services, targets, and the
// view of both that controllers distribute to nodes.
package model

import (
	"net/netip"
	"time"
)

// MaxTargetsPerService bounds the number of targets behind one service. Four chains of eight
// candidates reach every one of them.
const MaxTargetsPerService = 32

// ServiceID identifies one incarnation of a service. The replicated log allocates it and never
// reuses it.
type ServiceID uint32

// TargetID identifies one registration of a target. The replicated log allocates it and never
// reuses it.
type TargetID uint32

// Generation is the index of the log entry that last changed the state of the system.
type Generation uint64

// Revision numbers the accepted configuration documents, from 1.
type Revision uint64

// AvailabilityZone is the name of an availability zone, such as "bogota-a".
type AvailabilityZone string

// Workspace is the name of the workspace that owns a service.
type Workspace string

// VM is the name of a virtual machine in the asset register.
type VM string

// Role is what a process does in the system.
type Role string

// Roles of a process.
const (
	RoleBalancer   Role = "balancer"
	RoleAgent      Role = "agent"
	RoleController Role = "controller"
	RoleOperator   Role = "operator"
)

// FlowClass says which limits a flow counts against.
type FlowClass uint8

// Flow classes.
const (
	// ClassStream flows take one connection.
	ClassStream FlowClass = iota
	// ClassRequest flows take one connection and one slot.
	ClassRequest
)

// Silence is the policy for flows from which one end has stopped sending.
type Silence struct {
	Enabled  bool
	Idle     time.Duration // without a packet from an end before the first probe
	Interval time.Duration // between probes
	Count    int           // unanswered probes before the flow is reset
}

// Service is a TCP service address with its policy.
type Service struct {
	ID ServiceID
	// Generation is that of the last change to the service or to one of its targets.
	Generation   Generation
	Name         string
	Workspace    Workspace
	Address      netip.AddrPort
	Class        FlowClass
	MaxQueueWait time.Duration
	Ramp         time.Duration // cold-start ramp of a new target
	DrainTimeout time.Duration // after which flows of a draining target are reset; zero means never
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
	// TargetEjected targets keep their flows and are skipped for new ones.
	TargetEjected
	// TargetLost targets have lost their lease. They stay at the end of the chain for packets of
	// established flows.
	TargetLost
	// TargetJoining targets are new. They belong to the chain for packets of established flows and
	// admit no flows yet, so that every node asks them for a flow before they own one.
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
	Name     string // VM and service, as "vm/service"
	VM       VM
	Zone     AvailabilityZone
	Service  ServiceID
	Agent    netip.AddrPort // UDP endpoint of the agent beside the target
	Slots    int
	MaxConns int
	State    TargetState
}

// View is the state that a node applies, at one generation.
type View struct {
	Generation Generation
	Revision   Revision // the configuration that this generation contains
	Trace      TraceID  // of the change that led to Revision; not part of the digest
	Services   map[ServiceID]Service
	Targets    map[TargetID]Target
}

// Delta changes a view from one generation to a later one.
type Delta struct {
	From, To        Generation
	Revision        Revision
	Trace           TraceID // set if the delta brings a new revision
	Services        []Service
	Targets         []Target
	RemovedServices []ServiceID
	RemovedTargets  []TargetID
	// Digest is the digest of the view after the delta, see View.Digest.
	Digest uint64
}
