package flowtable

import (
	"net/netip"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/result"
)

// Kind is the kind of an action.
type Kind uint8

// Kinds of actions.
const (
	// Deliver sends Packet to the target.
	Deliver Kind = iota + 1
	// Forward sends Packet to the agent of Header.Current().
	Forward
	// SendCaller sends Packet to the caller.
	SendCaller
	// SendHint sends Hint to Header.Ingress.
	SendHint
	// SendSignal sends Signal to the agent To.
	SendSignal
	// Drop ends the work on a packet, for Reason.
	Drop
	// Note counts Event.
	Note
)

// Action is what the shell has to do. Packet and Header are valid until the next call of the
// table.
type Action struct {
	Kind   Kind
	Packet []byte
	Header *encap.Header
	Hint   *encap.Hint
	Signal encap.Signal
	To     netip.AddrPort
	Reason flow.DropReason
	Event  Event
	Code   result.Code // of EventRefused
}

// Reasons for which the table drops a packet.
const (
	DropSYNData      flow.DropReason = "syn_data"
	DropSYNQueued    flow.DropReason = "syn_already_queued"
	DropSYNPending   flow.DropReason = "syn_pending"
	DropMalformed    flow.DropReason = "tcp_flags"
	DropNotServed    flow.DropReason = "not_served"
	DropUnknownHeld  flow.DropReason = "unknown_flow_held"
	DropControlAge   flow.DropReason = "unknown_flow_control_age"
	DropGeneration   flow.DropReason = "unknown_flow_generation"
	DropUnknownReset flow.DropReason = "unknown_flow_reset"
	DropLateAnswer   flow.DropReason = "late_answer"
	DropEarlyAnswer  flow.DropReason = "early_answer"
	DropProbeReset   flow.DropReason = "probe_reset"
	DropProbeCopies  flow.DropReason = "probe_copies"
)

// Event is something that happened to a flow. It is a metric label, so its values are few and
// fixed.
type Event string

// Events.
const (
	EventAdmitted        Event = "admitted"
	EventQueued          Event = "queued"
	EventPassed          Event = "syn_passed"
	EventRefused         Event = "refused"
	EventEstablished     Event = "established"
	EventAdopted         Event = "adopted"
	EventEnded           Event = "ended"
	EventHandshakeFailed Event = "handshake_failed"
	EventHalfOpenTimeout Event = "half_open_timeout"
	EventISNMismatch     Event = "isn_mismatch"
	EventProbeFailed     Event = "probe_failed"
	EventUnknownReset    Event = "unknown_flow_reset"
	EventBrokenSilence   Event = "broken_silence"
	EventBrokenDrain     Event = "broken_drain_deadline"
	EventSilenceProbe    Event = "silence_probe"
	EventSuspended       Event = "suspended"
	EventChainExtended   Event = "chain_extended"
	// EventForeign is a packet of another connection with the ports of a known flow.
	EventForeign     Event = "foreign_connection"
	EventSlotOffered Event = "slot_offered"
	EventSYNMoved    Event = "syn_moved"
)

func (t *Table) deliver(packet []byte) {
	t.actions = append(t.actions, Action{Kind: Deliver, Packet: packet})
}

func (t *Table) sendCaller(packet []byte) {
	t.actions = append(t.actions, Action{Kind: SendCaller, Packet: packet})
}

func (t *Table) forward(h *encap.Header, packet []byte) {
	t.actions = append(t.actions, Action{Kind: Forward, Header: h, Packet: packet})
}

func (t *Table) drop(reason flow.DropReason) {
	t.actions = append(t.actions, Action{Kind: Drop, Reason: reason})
}

func (t *Table) note(event Event) {
	t.actions = append(t.actions, Action{Kind: Note, Event: event})
}

// build serializes a segment. Segments of the table hold only fixed fields, which always fit.
func build(s flow.Segment) []byte {
	packet, err := flow.Build(s)
	if err != nil {
		panic("flowtable: " + err.Error())
	}
	return packet
}
