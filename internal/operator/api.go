// Package operator defines the operator API of controllers: the request and reply types of its RPC service,
// and a client that retries a call at other controllers. A revision of the configuration is in force on a
// node when the node has applied a view with that revision or a later one.
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

// MaxWaitPerCall is the longest time that a controller holds one WaitInForce call. The client repeats the
// call until its own timeout.
const MaxWaitPerCall = 2 * time.Second

// Origin identifies the operator who makes a call. Controllers set it when they forward a call to the leader;
// from other peers it is ignored.
type Origin struct {
	Author    string
	Forwarded bool
}

// Edit is a change of the configuration. Kind determines which of the fields are used.
type Edit struct {
	Origin
	Kind catalog.Kind
	// CommandID makes the edit idempotent: a retry with the same ID returns the result of the first run.
	CommandID    string
	Base         model.Revision // the revision that the edit is based on
	Acknowledged []string
	File         string         // name of the document in error messages
	Document     []byte         // for KindApply
	Revision     model.Revision // for KindRollback
	Names        []string       // for KindDrain and KindUndrain: VMs, or targets as "vm/service"
}

// EditReply is the reply of Edit and of Plan.
type EditReply struct {
	// Result is the result of the edit. Its code is not OK if the edit was rejected.
	Result catalog.Result
	// Problems are the errors of an invalid document.
	Problems jsonc.Problems
	Effects  []config.Effect
	// Base is the revision that the effects were computed for.
	Base model.Revision
}

// CheckRequest requests the problems of a document that do not depend on the current state.
type CheckRequest struct {
	File     string
	Document []byte
}

// CheckReply contains the problems of a document; none if it is valid.
type CheckReply struct {
	Problems jsonc.Problems
}

// Query is a request without parameters.
type Query struct {
	Origin
}

// HistoryReply contains the revisions that are still stored, oldest first.
type HistoryReply struct {
	Revisions []catalog.RevisionInfo
}

// ShowRequest requests the document of a revision; 0 selects the current one.
type ShowRequest struct {
	Origin
	Revision model.Revision
}

// ShowReply contains a document and its revision.
type ShowReply struct {
	Revision model.Revision
	Document []byte
}

// StatusReply is the state of the control plane as one controller sees it.
type StatusReply struct {
	Controller string
	Leader     string // empty if there is none
	Term       uint64
	// Current is false if the controller has lost contact with a quorum. Age is the time since the last
	// contact.
	Current    bool
	Age        time.Duration
	Revision   model.Revision
	Generation model.Generation
	// Settled is true if the controller is the leader and has been so for the time of a lease. Otherwise
	// Nodes, InForce and Lagging are incomplete or empty.
	Settled bool
	Nodes   int
	InForce int
	Lagging []membership.Lag
	Targets map[string]int // by state
	// Quarantined is the number of announcements that did not become targets.
	Quarantined int
	Losses      *Losses // set only by the leader
}

// Losses is what the leader knows of the controllers that the group can lose.
type Losses struct {
	// Borne is the number of controllers that may be lost now without the loss of the majority, Wanted the number that
	// should be.
	Borne, Wanted int
	Lost          []LostController
}

// LostController is a controller that the leader does not hear.
type LostController struct {
	Name string
	For  time.Duration // since the last contact
}

// TargetInfo is a target with the latest evidence of its agent.
type TargetInfo struct {
	catalog.TargetStatus
	Evidence      model.Evidence
	EvidenceKnown bool
}

// TargetsReply contains all targets and all announcements that did not become targets.
type TargetsReply struct {
	Targets    []TargetInfo
	Quarantine []catalog.Quarantined
}

// ServicesReply contains all services.
type ServicesReply struct {
	Services []catalog.ServiceStatus
}

// Member is a member of the replicated log, which is a controller.
type Member = replica.Member

// MembersReply contains the members of the replicated log, ordered by name.
type MembersReply struct {
	Members []Member
}

// MemberChange is the request of AddMember and RemoveMember.
type MemberChange struct {
	Origin
	Name    string
	Address string // for AddMember
	// Force lets RemoveMember leave a group that bears fewer losses.
	Force bool
}

// MemberChangeReply contains the members after a change.
type MemberChangeReply struct {
	Members []Member
}

// ExplainRequest requests the targets that may own a flow.
type ExplainRequest struct {
	Origin
	Caller, Service netip.AddrPort
}

// ExplainReply contains the service of a flow and the targets that may own the flow, in the order in which
// they are tried.
type ExplainReply struct {
	Found      bool
	Service    model.Service
	Generation model.Generation
	Bucket     int
	// New is the order for packets with SYN, Established the order for all other packets.
	New, Established []model.Target
}

// WaitRequest is the request of WaitInForce.
type WaitRequest struct {
	Origin
	Revision model.Revision
	Timeout  time.Duration
}

// WaitReply contains the number of nodes, and of those on which the revision is in force. Done is true if it
// is in force on all nodes.
type WaitReply struct {
	Done    bool
	Nodes   int
	InForce int
	Lagging []membership.Lag
}
