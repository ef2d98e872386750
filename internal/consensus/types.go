package consensus

import (
	"encoding/json"
	"slices"
	"time"
)

// MemberID identifies a member of the replicated log. Zero means none. An ID is never reused for
// another data folder, because a member that forgets its votes can cause two leaders in a term.
type MemberID uint64

// Role is what a member does in its term.
type Role uint8

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

var roleNames = [...]string{"follower", "pre-candidate", "candidate", "leader"}

// String returns the name of the role.
func (r Role) String() string {
	if int(r) < len(roleNames) {
		return roleNames[r]
	}
	return "unknown"
}

// EntryKind says what an entry contains.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryCommand carries a command of the state machine.
	EntryCommand EntryKind = iota
	// EntryBarrier is empty; a new leader appends one to commit the entries of earlier terms.
	EntryBarrier
	// EntryMembers carries the members after a change.
	EntryMembers
)

// Position is the place of an entry in the log. Two logs that hold an entry at the same position
// are equal up to it.
type Position struct {
	Index uint64
	Term  uint64
}

// Entry is one entry of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is what a member must not forget.
type HardState struct {
	Term   uint64
	Vote   MemberID
	Commit uint64
}

// Members are the members of the log, each list in ascending order.
type Members struct {
	Voters   []MemberID
	Learners []MemberID
}

// IsVoter reports whether id is a voter.
func (m Members) IsVoter(id MemberID) bool { return slices.Contains(m.Voters, id) }

// IsLearner reports whether id is a learner.
func (m Members) IsLearner(id MemberID) bool { return slices.Contains(m.Learners, id) }

// Contains reports whether id is a voter or a learner.
func (m Members) Contains(id MemberID) bool { return m.IsVoter(id) || m.IsLearner(id) }

// Quorum returns the number of voters that form a majority.
func (m Members) Quorum() int { return len(m.Voters)/2 + 1 }

// Clone returns a copy that shares no memory.
func (m Members) Clone() Members {
	return Members{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

func (m Members) all() []MemberID {
	ids := slices.Concat(m.Voters, m.Learners)
	slices.Sort(ids)
	return ids
}

func encodeMembers(m Members) []byte {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // lists of integers always encode
	}
	return data
}

// DecodeMembers returns the members in an entry of kind EntryMembers.
func DecodeMembers(data []byte) (Members, error) {
	var m Members
	err := json.Unmarshal(data, &m)
	return m, err
}

// SnapshotMeta describes a snapshot.
type SnapshotMeta struct {
	Index   uint64
	Term    uint64
	Members Members
}

// Snapshot is the state of the state machine after the entry at Index. Data must not be changed
// after the snapshot was handed over.
type Snapshot struct {
	SnapshotMeta
	Data []byte
}

// Restored is what a member reads from its storage when it starts.
type Restored struct {
	HardState HardState
	// Snapshot is the newest snapshot; an Index of zero means that there is none.
	Snapshot Snapshot
	// Entries are contiguous and may start before the end of the snapshot.
	Entries []Entry
}

// SoftState is the part of the state that needs no storage.
type SoftState struct {
	Role   Role
	Leader MemberID // zero if unknown
	Term   uint64
}

// ReadState is the answer to ReadIndex.
type ReadState struct {
	ID uint64
	// Index must be applied before the read is answered.
	Index uint64
	// Failed means that the barrier was not reached; the caller may ask again.
	Failed bool
}

// Ready is the work of the shell after one or more calls. See the package comment for the order.
type Ready struct {
	HardState HardState
	// MustSync is false if nothing but the commit index of HardState has changed.
	MustSync bool
	// Snapshot replaces the log and the state machine.
	Snapshot *Snapshot
	// Entries are appended to storage; they replace stored entries from the first index on.
	Entries []Entry
	// Messages are sent after the items above have been synced.
	Messages []Message
	// Committed entries are applied in order.
	Committed []Entry
	Reads     []ReadState
	SoftState SoftState
}

// never is a point in time before the start of the process.
const never = time.Duration(-1 << 62)
