package flowtable

import (
	"net/netip"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/result"
)

// Kind selects what the caller of the table does with an action.
type Kind uint8

// Kinds of actions.
const (
	// Deliver sends Packet to the agent's own target.
	Deliver Kind = iota + 1
	// Forward sends Packet with Header to the agent of Header.Current().
	Forward
	// SendToCaller sends Packet to the caller of the flow.
	SendToCaller
	// SendHint sends Hint to Header.Ingress.
	SendHint
	// SendSignal sends Signal to the agent at To.
	SendSignal
	// Drop counts a dropped packet under Reason.
	Drop
	// CountEvent counts Event; for EventRefused with Code.
	CountEvent
)

// Action is something that the caller of the table has to do. Packet and Header are valid until the next
// call of a method of the table.
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
	DropTCPFlags     flow.DropReason = "tcp_flags"
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

// Event is something that happened to a flow or in the queue. It is a metric label, so the set of values
// is small and fixed.
type Event string

// Events.
const (
	EventAdmitted        Event = "admitted"
	EventQueued          Event = "queued"
	EventSYNPassed       Event = "syn_passed"
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
	// EventForeignConnection is a packet of another connection that uses the ports of a known flow.
	EventForeignConnection Event = "foreign_connection"
	EventSlotOffered       Event = "slot_offered"
	EventSYNMoved          Event = "syn_moved"
)

func (t *Table) deliver(packet []byte) {
	t.actions = append(t.actions, Action{Kind: Deliver, Packet: packet})
}

func (t *Table) sendToCaller(packet []byte) {
	t.actions = append(t.actions, Action{Kind: SendToCaller, Packet: packet})
}

func (t *Table) forward(h *encap.Header, packet []byte) {
	t.actions = append(t.actions, Action{Kind: Forward, Header: h, Packet: packet})
}

func (t *Table) drop(reason flow.DropReason) {
	t.actions = append(t.actions, Action{Kind: Drop, Reason: reason})
}

func (t *Table) countEvent(event Event) {
	t.actions = append(t.actions, Action{Kind: CountEvent, Event: event})
}

// mustBuild serializes a segment that the table sends. Such segments have neither options nor payload, so
// serializing them cannot fail.
func mustBuild(s flow.Segment) []byte {
	packet, err := flow.Build(s)
	if err != nil {
		panic("flowtable: " + err.Error())
	}
	return packet
}
