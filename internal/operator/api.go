// Package operator is the interface that operators use: the types of the RPC service and its
// client.
package operator

import (
	"net/netip"
	"time"

	"github.com/greengagelock/greengagelock/internal/catalog"
	"github.com/greengagelock/greengagelock/internal/config"
	"github.com/greengagelock/greengagelock/internal/jsonc"
	"github.com/greengagelock/greengagelock/internal/membership"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/replica"
)

// ServiceName is the name of the RPC service.
const ServiceName = "Operator"

// MaxWait is the longest time that a controller holds one WaitInForce call. Clients repeat it.
const MaxWait = 2 * time.Second

// Origin says who makes a call. Controllers fill it in when they forward a call to the leader; it
// is ignored from anyone else.
type Origin struct {
	Author    string
	Forwarded bool
}

// Edit changes the configuration. Which fields are used depends on the kind.
type Edit struct {
	Origin
	Kind catalog.Kind
	// CommandID makes the edit idempotent: an edit that is sent again returns the first result.
	CommandID    string
	Base         model.Revision // the revision that the operator has seen
	Acknowledged []string
	File         string         // name of the document in messages
	Document     []byte         // of KindApply
	Revision     model.Revision // of KindRollback
	Names        []string       // of KindDrain and KindUndrain: VMs, or targets as "vm/service"
}

// EditReply is the outcome of an edit, or of planning one.
type EditReply struct {
	// Result is the outcome. Its code is not OK if the edit was refused.
	Result catalog.Result
	// Problems are the faults of a document that is not valid.
	Problems jsonc.Problems
	Effects  []config.Effect
	// Base is the revision that the effects were computed for.
	Base model.Revision
}

// CheckRequest asks for the problems of a document by itself.
type CheckRequest struct {
	File     string
	Document []byte
}

// CheckReply holds the problems of a document.
type CheckReply struct {
	Problems jsonc.Problems
}

// Query is a request without parameters of its own.
type Query struct {
	Origin
}

// HistoryReply holds the kept revisions, oldest first.
type HistoryReply struct {
	Revisions []catalog.RevisionInfo
}

// ShowRequest asks for the document of a revision; 0 means the current one.
type ShowRequest struct {
	Origin
	Revision model.Revision
}

// ShowReply is a document.
type ShowReply struct {
	Revision model.Revision
	Document []byte
}

// StatusReply is the state of the control plane as one controller sees it.
type StatusReply struct {
	Controller string
	Leader     string // empty if there is none
	Term       uint64
	// Current is false if the controller has no contact to a quorum. Age says for how long.
	Current    bool
	Age        time.Duration
	Revision   model.Revision
	Generation model.Generation
	// Nodes, InForce and Lagging are known only to the leader, which Settled says.
	Settled bool
	Nodes   int
	InForce int
	Lagging []membership.Lag
	Targets map[string]int // by state
	// Quarantined is the number of announcements that did not become targets.
	Quarantined int
}

// TargetInfo is a target with the last evidence of its agent.
type TargetInfo struct {
	catalog.TargetStatus
	Evidence      model.Evidence
	EvidenceKnown bool
}

// TargetsReply holds all targets and all announcements that did not become targets.
type TargetsReply struct {
	Targets    []TargetInfo
	Quarantine []catalog.Quarantined
}

// ServicesReply holds all services.
type ServicesReply struct {
	Services []catalog.ServiceStatus
}

// Member is a controller of the replicated log.
type Member = replica.Member

// MembersReply holds the controllers, ordered by name.
type MembersReply struct {
	Members []Member
}

// MemberChange adds or removes a controller.
type MemberChange struct {
	Origin
	Name    string
	Address string // of a new one
}

// MemberChangeReply is the empty answer to a change of members.
type MemberChangeReply struct {
	Members []Member
}

// ExplainRequest asks where packets of a flow go.
type ExplainRequest struct {
	Origin
	Caller, Service netip.AddrPort
}

// ExplainReply says which service a flow belongs to and which targets may own it, in the order in
// which they are asked.
type ExplainReply struct {
	Found      bool
	Service    model.Service
	Generation model.Generation
	Bucket     int
	// New is the order for a packet with SYN, Established that for any other packet.
	New, Established []model.Target
}

// WaitRequest waits until every node has a revision in force.
type WaitRequest struct {
	Origin
	Revision model.Revision
	Timeout  time.Duration
}

// WaitReply says how far a revision has come.
type WaitReply struct {
	Done    bool
	Nodes   int
	InForce int
	Lagging []membership.Lag
}
