package consensus

import "time"

// Stamp is a point in time of the member that sent it. Boot tells apart the lives of a process,
// because time starts again at zero with each.
type Stamp struct {
	Boot uint64
	At   time.Duration
}

// Contact lets both ends of a leader's connection bound the age of the last round trip without
// synchronized clocks.
type Contact struct {
	Sent Stamp // time of the sender
	Echo Stamp // newest Sent that the sender has received from the other end
	// Round is the newest heartbeat round of the leader; replies repeat it.
	Round uint64
	// QuorumAge is the age of the leader's contact with a quorum when it sent the message,
	// negative if there was no contact in its term.
	QuorumAge time.Duration
}

// unknownAge is the QuorumAge of a leader without contact.
const unknownAge = time.Duration(-1)

// Message is sent from member to member. Exactly one of the pointers is set.
type Message struct {
	From    MemberID
	To      MemberID
	Term    uint64
	Contact Contact

	VoteRequest    *VoteRequest
	VoteReply      *VoteReply
	Append         *Append
	AppendReply    *AppendReply
	Heartbeat      *Heartbeat
	HeartbeatReply *HeartbeatReply
	SnapshotChunk  *SnapshotChunk
	SnapshotReply  *SnapshotReply
	TimeoutNow     *TimeoutNow
	ReadRequest    *ReadRequest
	ReadReply      *ReadReply
}

// VoteRequest asks for a vote. In a pre-vote, Term of the message is the term that the sender
// would use, and the receiver changes nothing.
type VoteRequest struct {
	PreVote bool
	// Transfer is set when the leader itself asked for the election.
	Transfer bool
	Last     Position
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	PreVote bool
	Granted bool
}

// Append carries entries that follow Previous.
type Append struct {
	Previous Position
	Entries  []Entry
	Commit   uint64
}

// AppendReply answers an Append.
type AppendReply struct {
	// Match is the last index at which the log agrees with that of the leader.
	Match    uint64
	Rejected bool
	// RejectedIndex is the index of Previous of the rejected Append.
	RejectedIndex uint64
	// Hint is the last position at which the logs may agree.
	Hint Position
}

// Heartbeat tells that the leader is alive.
type Heartbeat struct {
	// Commit never exceeds what the receiver is known to hold.
	Commit uint64
}

// HeartbeatReply answers a Heartbeat.
type HeartbeatReply struct {
	// LastIndex is the last index of the sender's log.
	LastIndex uint64
}

// SnapshotChunk carries a part of a snapshot.
type SnapshotChunk struct {
	Meta     SnapshotMeta
	Size     uint64
	Checksum uint32 // CRC32C of the whole snapshot
	Offset   uint64
	Data     []byte
}

// SnapshotReply asks for the chunk at Next.
type SnapshotReply struct {
	Index uint64
	Next  uint64
}

// TimeoutNow asks the receiver to start an election at once.
type TimeoutNow struct {
	Last Position // of the leader
}

// ReadRequest passes a read barrier on to the leader.
type ReadRequest struct {
	ID uint64
}

// ReadReply answers a ReadRequest.
type ReadReply struct {
	ID     uint64
	Index  uint64
	Failed bool
}

// leads reports whether only a leader sends such messages.
func (m *Message) leads() bool {
	return m.Append != nil || m.Heartbeat != nil || m.SnapshotChunk != nil
}
