package model

import "net/netip"

// Announcement is what a node tells control about itself with every poll.
type Announcement struct {
	Node        string // unique name, from the settings
	Incarnation uint64 // chosen at process start
	Role        Role
	VM          VM
	Zone        AvailabilityZone
	// Applied is the generation that the node has in force, Revision the configuration in it.
	Applied  Generation
	Revision Revision
	Digest   uint64
	Targets  []TargetAnnouncement // of an agent
}

// TargetAnnouncement is one endpoint that an agent offers.
type TargetAnnouncement struct {
	Service  string // name of the service that the endpoint offers
	Agent    netip.AddrPort
	Slots    int
	MaxConns int
	Draining bool // the target itself is leaving
	Evidence Evidence
}

// Evidence is what an agent has observed of its target, apart from what the target's endpoints
// say.
type Evidence struct {
	OpenFlows         int
	BusySlots         int
	HandshakeFailures int // consecutive
	HandshakesOK      uint64
	EndpointHealthy   bool
	Suspended         bool // admission is suspended by the agent
	Refused           uint64
}
