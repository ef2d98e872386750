package model

import "net/netip"

// Announcement is the state that a node reports to a controller with every poll.
type Announcement struct {
	Node        string // unique name of the node, from its settings
	Incarnation uint64 // chosen at the start of the process
	Role        Role
	VM          VM
	Zone        AvailabilityZone
	// Applied is the generation of the node's current view; Revision and Digest are those of that view.
	Applied  Generation
	Revision Revision
	Digest   uint64
	Targets  []TargetAnnouncement // only from agents
}

// TargetAnnouncement is one endpoint that an agent offers.
type TargetAnnouncement struct {
	Service  string         // name of the service that the endpoint serves
	Agent    netip.AddrPort // UDP endpoint of the agent
	Slots    int
	MaxConns int
	Draining bool // the target or its agent asked for the target to be drained
	Evidence Evidence
}

// Evidence is what an agent observed of its target. All of it comes from the agent's own observation of flows,
// except EndpointHealthy, which the target's health endpoint reports.
type Evidence struct {
	OpenFlows         int
	BusySlots         int
	HandshakeFailures int // consecutive
	HandshakesOK      uint64
	EndpointHealthy   bool
	Suspended         bool // the agent has suspended admission after handshake failures
	Refused           uint64
}
