package flowtable

import (
	"encoding/binary"
	"net/netip"

	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/model"
)

// state is the state of a flow.
type state uint8

// States of a flow.
const (
	stateFree        state = iota // the record is not in use
	stateQueued                   // the SYN waits for a slot
	stateHalfOpen                 // the SYN was sent to the target
	stateSynAckSeen               // the target has answered with its ISN
	stateProbing                  // unknown flow in recovery, delivered to the target
	stateEstablished              // the caller has acknowledged the ISN
	stateClosing                  // a FIN was seen
	stateClosed                   // both FINs were acknowledged
	stateLingering                // ended; packets of the target are dropped
)

// flag is a property of a flow.
type flag uint16

const (
	flagTaken       flag = 1 << iota // counts against the limits of the target
	flagCallerFIN                    // the caller has sent FIN
	flagTargetFIN                    // the target has sent FIN
	flagUnconfirmed                  // adopted, but the target has not sent a packet
	flagZeroWindow                   // the caller accepts no data
	flagUnacked                      // data of the target is unacknowledged since unackedAt
	flagCheckTarget                  // the caller has sent a RST that may not be valid
	flagHinted                       // a hint was sent at hintedAt
	flagAdopted                      // from before the start of the agent, which may have missed a FIN
	flagUnknown                      // no candidate owned a packet of the flow, first at takenAt
	flagAborted                      // the agent has aborted the handshake at the target
)

// packedKey is a flow.Key in 12 bytes.
type packedKey [12]byte

func pack(k flow.Key) packedKey {
	var p packedKey
	caller, service := k.Caller.Addr().As4(), k.Service.Addr().As4()
	copy(p[0:4], caller[:])
	copy(p[4:8], service[:])
	binary.BigEndian.PutUint16(p[8:10], k.Caller.Port())
	binary.BigEndian.PutUint16(p[10:12], k.Service.Port())
	return p
}

func (p packedKey) unpack() flow.Key {
	return flow.Key{
		Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(p[0:4])), binary.BigEndian.Uint16(p[8:10])),
		Service: netip.AddrPortFrom(netip.AddrFrom4([4]byte(p[4:8])), binary.BigEndian.Uint16(p[10:12])),
	}
}

// millis is a time in milliseconds since the start, modulo 2^32 (49 days). Times are compared by
// their difference, which is below 2^31 for every time that a timer looks at.
type millis uint32

// record is one flow. It holds no pointers, so that the garbage collector does not scan the table.
type record struct {
	key     packedKey
	service model.ServiceID

	// Wheel links, as indexes of records, and the slot of the wheel plus one.
	next, prev uint32
	slot       uint16
	flags      flag
	state      state

	// callerAck is the next sequence number that the caller expects, targetAck the next one that
	// the target expects. callerNext and targetNext are the ends of what each has sent.
	callerAck, targetAck   uint32
	callerNext, targetNext uint32

	deadline   millis
	lastCaller millis // last packet from the caller
	lastTarget millis
	takenAt    millis
	unackedAt  millis
	hintedAt   millis

	// Unanswered probes to each end, and the time of the last one.
	probedCaller, probedTarget millis
	probesCaller, probesTarget uint8
}

func (r *record) has(f flag) bool { return r.flags&f != 0 }

func (r *record) set(f flag) { r.flags |= f }

func (r *record) clear(f flag) { r.flags &^= f }

// after reports whether sequence number a comes after b.
func after(a, b uint32) bool { return int32(a-b) > 0 }

// advance moves a sequence number forward to seq, never back.
func advance(current *uint32, seq uint32) bool {
	if !after(seq, *current) {
		return false
	}
	*current = seq
	return true
}

// sequenceRange is how far the numbers of a packet may lie from those of its connection: more than the
// bytes in flight at 10 Gbit/s and 50 ms. The numbers of another connection lie within it by chance
// in about one of 1,000 cases, as sequence and acknowledgement numbers both have to.
const sequenceRange = 1 << 26

// near reports whether two sequence numbers are at most sequenceRange apart.
func near(a, b uint32) bool { return a-b+sequenceRange <= 2*sequenceRange }

// sameConnection reports whether the numbers of a packet of the caller fit the connection. A caller
// may use its port again for a connection to another target while this target still retransmits
// its last FIN.
func (r *record) sameConnection(p *flow.Packet) bool {
	if !near(p.TCP.Seq, r.callerNext) {
		return false
	}
	return !p.TCP.ACK || near(p.TCP.Ack, r.targetNext)
}

// Records live in chunks, so that the table grows without copying.
const (
	chunkBits = 10
	chunkSize = 1 << chunkBits
)

// store holds the records and finds them by key.
type store struct {
	byKey  map[packedKey]uint32
	chunks []*[chunkSize]record
	free   []uint32
	used   uint32 // records handed out so far, with 0 reserved
}

func newStore() store {
	return store{byKey: map[packedKey]uint32{}, used: 1}
}

// at returns the record with an index.
func (s *store) at(i uint32) *record {
	return &s.chunks[i>>chunkBits][i&(chunkSize-1)]
}

// find returns the index and the record of a flow, or 0 and nil.
func (s *store) find(k packedKey) (uint32, *record) {
	i, ok := s.byKey[k]
	if !ok {
		return 0, nil
	}
	return i, s.at(i)
}

// add returns a new record for a flow that has none.
func (s *store) add(k packedKey) (uint32, *record) {
	var i uint32
	if n := len(s.free); n > 0 {
		i = s.free[n-1]
		s.free = s.free[:n-1]
	} else {
		i = s.used
		s.used++
		if int(i>>chunkBits) >= len(s.chunks) {
			s.chunks = append(s.chunks, new([chunkSize]record))
		}
	}
	s.byKey[k] = i
	r := s.at(i)
	*r = record{key: k}
	return i, r
}

// remove frees a record.
func (s *store) remove(i uint32) {
	r := s.at(i)
	delete(s.byKey, r.key)
	*r = record{}
	s.free = append(s.free, i)
}

// each calls f for every record in use.
func (s *store) each(f func(i uint32, r *record)) {
	for i := uint32(1); i < s.used; i++ {
		if r := s.at(i); r.state != stateFree {
			f(i, r)
		}
	}
}
