package consensus

import "time"

// Stamp is a time on the clock of the member that created it. Boot is a random number per process
// start: the clock restarts at zero with each process.
type Stamp struct {
	Boot uint64
	At   time.Duration
}

// Contact lets a leader and a member each compute an upper bound for the age of their last round trip
// without synchronized clocks.
type Contact struct {
	Sent Stamp // time of the sender
	Echo Stamp // latest Sent that the sender has received from the other side
	// Round is the leader's latest heartbeat round. Replies echo it.
	Round uint64
	// QuorumAge is the age of the leader's last contact with a quorum when the message was sent. It
	// is negative if the leader has had no such contact in its term.
	QuorumAge time.Duration
}

// unknownAge is the QuorumAge of a leader that has had no contact with a quorum.
const unknownAge = time.Duration(-1)

// Message is sent between members. Exactly one of the pointers is set.
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

// VoteRequest requests a vote. In a pre-vote, the term of the message is the one in which the sender
// would campaign, and the receiver does not change its state.
type VoteRequest struct {
	PreVote bool
	// Transfer is set if the leader requested the election by TimeoutNow.
	Transfer bool
	Last     Position
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	PreVote bool
	Granted bool
}

// Append replicates entries that follow Previous.
type Append struct {
	Previous Position
	Entries  []Entry
	Commit   uint64
}

// AppendReply answers an Append.
type AppendReply struct {
	// Match is the last index up to which the log matches the leader's.
	Match    uint64
	Rejected bool
	// RejectedIndex is the index of Previous in the rejected Append.
	RejectedIndex uint64
	// Hint is the last position at which the logs can match.
	Hint Position
}

// Heartbeat maintains the leader's authority between Append messages.
type Heartbeat struct {
	// Commit is the commit index, limited to the entries that the receiver is known to have.
	Commit uint64
}

// HeartbeatReply answers a Heartbeat.
type HeartbeatReply struct {
	// LastIndex is the last index of the sender's log.
	LastIndex uint64
}

// SnapshotChunk contains a part of a snapshot.
type SnapshotChunk struct {
	Meta     SnapshotMeta
	Size     uint64
	Checksum uint32 // CRC32C of the whole snapshot
	Offset   uint64
	Data     []byte
}

// SnapshotReply requests the chunk at the byte offset Next of the snapshot at Index.
type SnapshotReply struct {
	Index uint64
	Next  uint64
}

// TimeoutNow tells the receiver to start an election immediately (leadership transfer).
type TimeoutNow struct {
	Last Position // last log position of the leader
}

// ReadRequest asks the leader for a read index.
type ReadRequest struct {
	ID uint64
}

// ReadReply answers a ReadRequest.
type ReadReply struct {
	ID     uint64
	Index  uint64
	Failed bool
}

// isFromLeader reports whether only a leader sends messages of this type.
func (m *Message) isFromLeader() bool {
	return m.Append != nil || m.Heartbeat != nil || m.SnapshotChunk != nil
}
