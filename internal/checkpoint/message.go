// Package checkpoint keeps the open flows of all targets on the disks of the controllers. A relay reports the flows
// of its target to a few controllers. After a loss of power nothing else remembers them: a relay that finds another
// target beside it than its predecessor reported asks for these flows and resets them at their callers, which would
// otherwise send their next request on a flow that no target has.
//
// A checkpoint is advice. It is never needed for correctness, may be lost, and gives way to everything else that
// uses the disk.
package checkpoint

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/result"
)

const (
	// Copies is the number of controllers that a relay reports its flows to, and Confirmations the number that have to
	// return a flow: one alone may have missed the newest reports. Of five or seven controllers, two or three may
	// lose their disks.
	Copies        = 5
	Confirmations = 2
	// flowBytes is the size of an encoded flow.
	flowBytes = packet.KeyBytes + 4
	// flowsPerPart keeps a part below the MTU of an Ethernet link.
	flowsPerPart = 64
	// maxParts bounds the memory that a damaged part can claim. A relay has at most 32,768 flows.
	maxParts = 512
)

// Flow is an open flow of a target.
type Flow struct {
	Key packet.Key
	// Ack is the last acknowledgement number of the caller, which a reset needs.
	Ack uint32
}

// Target is the incarnation of a target that has the flows.
type Target struct {
	_    struct{} `cbor:",toarray"`
	ID   string
	Born int64 // start of the target, Unix time in ms; zero if unknown
}

// Part is a part of a report of a relay, or of the answer of a controller to a request. All flows of a part belong to
// the same target.
type Part struct {
	_       struct{} `cbor:",toarray"`
	Process uint64   // random number of the relay process that reported the flows
	Target  Target
	Number  uint32 // number of the report; increases with each report of a relay process
	Part    uint16 // from 0
	Parts   uint16 // of the report, or of the answer to a request
	Packed  []byte // flows, see Flows
	// Base is the number of the report to which this one is the difference: Packed holds the flows that have opened or
	// changed since, and Closed the keys of those that have ended. The target is left out, as it is the same. Zero for a
	// report of all flows.
	Base   uint32
	Closed []byte
}

// Resync asks a relay to report all flows, because the controller lacks the report to which a difference refers.
type Resync struct {
	_       struct{} `cbor:",toarray"`
	Process uint64   // of the relay
}

// Request asks a controller for the flows that other processes of the sending relay reported.
type Request struct {
	_       struct{} `cbor:",toarray"`
	Process uint64
}

// Flows returns the flows of the part.
func (p *Part) Flows() []Flow {
	flows := make([]Flow, 0, len(p.Packed)/flowBytes)
	for b := p.Packed; len(b) >= flowBytes; b = b[flowBytes:] {
		flows = append(flows, Flow{Key: packet.ParseKey(b), Ack: binary.BigEndian.Uint32(b[packet.KeyBytes:])})
	}
	return flows
}

// Pack encodes flows in the form of Part.Packed.
func Pack(flows []Flow) []byte {
	packed := make([]byte, 0, len(flows)*flowBytes)
	for _, f := range flows {
		packed = binary.BigEndian.AppendUint32(f.Key.Append(packed), f.Ack)
	}
	return packed
}

// Split returns the parts of packed flows and packed keys of closed ones that have the other fields of template; at
// least one.
func Split(template Part, packed, closed []byte) []Part {
	var parts []Part
	for len(parts) == 0 || (len(packed)+len(closed) > 0 && len(parts) < maxParts) {
		p := template
		p.Packed = packed[:min(flowsPerPart*flowBytes, len(packed))]
		p.Closed = closed[:min((flowsPerPart-len(p.Packed)/flowBytes)*packet.KeyBytes, len(closed))]
		packed, closed = packed[len(p.Packed):], closed[len(p.Closed):]
		parts = append(parts, p)
	}
	for i := range parts {
		parts[i].Part, parts[i].Parts = uint16(i), uint16(len(parts))
	}
	return parts
}

// IsMessage reports whether a datagram is a message of this package.
func IsMessage(b []byte) bool {
	return len(b) > 0 && b[0] >= hop.KindCheckpointPart && b[0] <= hop.KindCheckpointResync
}

// Encode returns the part as a datagram.
func (p *Part) Encode() ([]byte, error) { return encode(hop.KindCheckpointPart, p) }

// Encode returns the request as a datagram.
func (r *Request) Encode() ([]byte, error) { return encode(hop.KindCheckpointRequest, r) }

// Encode returns the message as a datagram.
func (r *Resync) Encode() ([]byte, error) { return encode(hop.KindCheckpointResync, r) }

func encode(kind byte, message any) ([]byte, error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode a flow checkpoint message")
	}
	return append([]byte{kind}, body...), nil
}

// Decode decodes a datagram into a *Part, a *Request or a *Resync. Errors carry result.PacketInvalid.
func Decode(b []byte) (any, error) {
	if !IsMessage(b) {
		return nil, result.New(result.PacketInvalid, "datagram is not a flow checkpoint message")
	}
	var message any
	switch b[0] {
	case hop.KindCheckpointRequest:
		message = &Request{}
	case hop.KindCheckpointResync:
		message = &Resync{}
	default:
		message = &Part{}
	}
	if err := cbor.Unmarshal(b[1:], message); err != nil {
		return nil, result.New(result.PacketInvalid, "decode a flow checkpoint message of kind %d: %v", b[0], err)
	}
	p, isPart := message.(*Part)
	if isPart && (p.Parts == 0 || p.Parts > maxParts || p.Part >= p.Parts || len(p.Packed)%flowBytes != 0 || len(p.Closed)%packet.KeyBytes != 0) {
		return nil, result.New(result.PacketInvalid, "invalid part %d of %d of a list of flows, %d and %d bytes", p.Part, p.Parts, len(p.Packed), len(p.Closed))
	}
	return message, nil
}
