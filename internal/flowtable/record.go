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
	stateFree        state = iota // the record is unused
	stateQueued                   // the SYN waits for a slot
	stateHalfOpen                 // the SYN was sent to the target
	stateSynAckSeen               // the target has answered with its ISN
	stateProbing                  // unknown to a recovering agent; a packet was delivered to the target
	stateEstablished              // the caller has acknowledged the ISN
	stateClosing                  // at least one FIN was seen
	stateClosed                   // both FINs were acknowledged
	stateLingering                // ended or unowned; packets of the target are dropped
)

// flag is a property of a flow.
type flag uint16

const (
	flagAcquired    flag = 1 << iota // counts against the limits of the target
	flagCallerFIN                    // the caller has sent FIN
	flagTargetFIN                    // the target has sent FIN
	flagUnconfirmed                  // to be adopted once the target sends a packet
	flagZeroWindow                   // the caller's receive window is closed
	flagUnacked                      // data of the target has been unacknowledged since unackedAt
	flagCheckTarget                  // the target may have ignored a RST of the caller
	flagHinted                       // the last hint was sent at hintedAt
	flagAdopted                      // from before the start of the agent, so a FIN may have been missed
	flagUnknown                      // no candidate owns the flow, since startedAt
	flagAborted                      // the agent has reset the handshake at the target
)

// packedKey is a flow.Key in 12 bytes without pointers.
type packedKey [12]byte

func packKey(k flow.Key) packedKey {
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

// millis is a time in milliseconds since the start, modulo 2^32 (49 days). Times are compared by their
// difference, which is below 2^31 for all times that timers compare.
type millis uint32

// record is the state of one flow. It has no pointers, so that the garbage collector skips the table.
type record struct {
	key     packedKey
	service model.ServiceID

	// Neighbours in a list of the timing wheel, as record indexes, and the index of the list plus one.
	next, prev uint32
	wheelSlot  uint16
	flags      flag
	state      state

	// callerAck and targetAck are the next sequence numbers that the caller and the target expect.
	// callerNext and targetNext are those that follow what each of them has sent.
	callerAck, targetAck   uint32
	callerNext, targetNext uint32

	deadline       millis
	lastFromCaller millis // time of the last packet from the caller
	lastFromTarget millis // time of the last packet from the target; while queued, start of the wait
	startedAt      millis // acquired, or with flagUnknown first seen without an owner
	unackedAt      millis
	hintedAt       millis

	// Time of the last keep-alive probe to each end, and the number of unanswered probes.
	callerProbedAt, targetProbedAt millis
	callerProbes, targetProbes     uint8
}

func (r *record) has(f flag) bool { return r.flags&f != 0 }

func (r *record) set(f flag) { r.flags |= f }

func (r *record) clear(f flag) { r.flags &^= f }

// seqAfter reports whether sequence number a comes after b.
func seqAfter(a, b uint32) bool { return int32(a-b) > 0 }

// advanceSeq sets a sequence number to seq if that moves it forward, and reports whether it did.
func advanceSeq(current *uint32, seq uint32) bool {
	if !seqAfter(seq, *current) {
		return false
	}
	*current = seq
	return true
}

// maxSequenceDistance is how far the numbers of a packet may be from those of its connection: more than
// the bytes in flight at 10 Gbit/s and 50 ms. The numbers of another connection fit by chance in about
// one of 1,000 cases, because both the sequence and the acknowledgement number have to fit.
const maxSequenceDistance = 1 << 26

// seqNear reports whether two sequence numbers are at most maxSequenceDistance apart.
func seqNear(a, b uint32) bool { return a-b+maxSequenceDistance <= 2*maxSequenceDistance }

// sameConnection reports whether the sequence numbers of a packet of the caller fit the connection. A
// caller may reuse its port for a connection to another target while this target still retransmits its
// last FIN.
func (r *record) sameConnection(p *flow.Packet) bool {
	if !seqNear(p.TCP.Seq, r.callerNext) {
		return false
	}
	return !p.TCP.ACK || seqNear(p.TCP.Ack, r.targetNext)
}

// Records are allocated in chunks, so that the table grows without copying.
const (
	chunkBits = 10
	chunkSize = 1 << chunkBits
)

// store holds the records and finds them by key.
type store struct {
	byKey     map[packedKey]uint32
	chunks    []*[chunkSize]record
	free      []uint32
	allocated uint32 // indexes handed out so far; index 0 is reserved for none
}

func newStore() store {
	return store{byKey: map[packedKey]uint32{}, allocated: 1}
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
		i = s.allocated
		s.allocated++
		if int(i>>chunkBits) >= len(s.chunks) {
			s.chunks = append(s.chunks, new([chunkSize]record))
		}
	}
	s.byKey[k] = i
	r := s.at(i)
	*r = record{key: k}
	return i, r
}

// remove frees the record with an index.
func (s *store) remove(i uint32) {
	r := s.at(i)
	delete(s.byKey, r.key)
	*r = record{}
	s.free = append(s.free, i)
}

// each calls f for every record in use.
func (s *store) each(f func(i uint32, r *record)) {
	for i := uint32(1); i < s.allocated; i++ {
		if r := s.at(i); r.state != stateFree {
			f(i, r)
		}
	}
}
