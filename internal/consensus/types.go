package consensus

import (
	"encoding/json"
	"slices"
	"time"
)

// MemberID identifies a member of the replicated log. Zero means none. An ID must not be reused with
// another data folder: a member that has lost its vote may vote twice in a term and so elect two leaders.
type MemberID uint64

// Role is the state of a member within its term.
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

// EntryKind is the type of an entry's content.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryCommand contains a command for the state machine.
	EntryCommand EntryKind = iota
	// EntryNoOp is empty. A new leader appends one in order to commit the entries of earlier terms.
	EntryNoOp
	// EntryMembers contains the complete member lists after a membership change.
	EntryMembers
)

// Position identifies an entry by index and term. Two logs that contain an entry at the same position
// are identical up to it (log matching).
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

// HardState is the state that a member has to persist.
type HardState struct {
	Term   uint64
	Vote   MemberID
	Commit uint64
}

// Members lists the voters and learners of the log, each in ascending order.
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

// Clone returns a deep copy.
func (m Members) Clone() Members {
	return Members{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

func (m Members) all() []MemberID {
	ids := slices.Concat(m.Voters, m.Learners)
	slices.Sort(ids)
	return ids
}

// memberEntry is the content of an entry of kind EntryMembers. Builds that do not know Transition pass over it.
type memberEntry struct {
	Members
	Transition *Transition `json:",omitempty"`
}

func encodeMembers(m Members, t *Transition) []byte {
	data, err := json.Marshal(memberEntry{Members: m, Transition: t})
	if err != nil {
		panic(err) // lists of integers always encode
	}
	return data
}

// DecodeMembers decodes the data of an entry of kind EntryMembers: the members, and the transition that the entry begins or
// restates, or nil.
func DecodeMembers(data []byte) (Members, *Transition, error) {
	var e memberEntry
	err := json.Unmarshal(data, &e)
	return e.Members, e.Transition, err
}

// SnapshotMeta is the position of the last entry that a snapshot covers, and the members at that point.
type SnapshotMeta struct {
	Index   uint64
	Term    uint64
	Members Members
}

// Snapshot is the state of the state machine after the entry at Index. Data must not be modified
// once the snapshot has been passed on.
type Snapshot struct {
	SnapshotMeta
	Data []byte
}

// Restored is the persisted state that a member loads at startup.
type Restored struct {
	HardState HardState
	// Snapshot is the latest snapshot. Its Index is zero if there is none.
	Snapshot Snapshot
	// Entries are contiguous and may overlap the snapshot.
	Entries []Entry
}

// SoftState is the volatile state that is not persisted.
type SoftState struct {
	Role   Role
	Leader MemberID // zero if unknown
	Term   uint64
}

// ReadState is the result of ReadIndex.
type ReadState struct {
	ID uint64
	// Index is the read index: the read may be served once it has been applied.
	Index uint64
	// Failed is set if the leader could not confirm its leadership. The caller may retry.
	Failed bool
}

// Ready is the pending work for the host. The package comment gives the order of the steps.
type Ready struct {
	HardState HardState
	// MustSync is false if at most the commit index of HardState has changed.
	MustSync bool
	// Snapshot replaces the log and the state of the state machine.
	Snapshot *Snapshot
	// Entries are appended to storage and overwrite stored entries from the first index on.
	Entries []Entry
	// Messages must not be sent before the items above are synced.
	Messages []Message
	// Committed entries have to be applied in order.
	Committed []Entry
	Reads     []ReadState
	SoftState SoftState
}

// never is a time before the start of the process. It means that an event has not happened yet.
const never = time.Duration(-1 << 62)
