package replica

import (
	"context"
	"time"

	"github.com/greengagelock/greengagelock/internal/consensus"
)

// Log is the interface of a replicated log.
type Log interface {
	// Run runs the log until ctx is done. It applies everything that is committed to m, in log order.
	Run(ctx context.Context, m StateMachine) error
	// Propose appends an entry to the log if this member is the leader. It returns the position that the
	// entry has if it is committed. After a change of leader another entry may be committed at its index.
	Propose(ctx context.Context, data []byte) (consensus.Position, error)
	// ReadIndex has a quorum confirm the leader and returns the read index: a state machine that has
	// applied it reflects everything that was acknowledged before the call.
	ReadIndex(ctx context.Context) (uint64, error)
	// Step handles messages from another member.
	Step(ctx context.Context, messages []consensus.Message) error
	Status() Status
	// ChangeMember proposes a change of one member and waits until it is committed.
	ChangeMember(ctx context.Context, change consensus.MemberChange) error
	// TransferLeadership transfers leadership to another member if this member is the leader.
	TransferLeadership(ctx context.Context) error
}

// StateMachine is the state machine of a log. It is called from one goroutine.
type StateMachine interface {
	Apply(c Committed) error
	// Snapshot returns the encoded state after the last applied entry.
	Snapshot() ([]byte, error)
}

// Committed is a committed entry, or a snapshot that replaces all entries up to its index. An internal
// entry of the log, such as a membership change, has no data.
type Committed struct {
	consensus.Position
	Data     []byte
	Snapshot []byte
	// Replayed is set if this member had already stored the entry as committed when it started.
	Replayed bool
}

// Status is the state of the log on this member.
type Status struct {
	Leader   string // empty if unknown
	IsLeader bool
	Term     uint64
	Commit   uint64
	// QuorumAge is an upper bound on the time since a leader known to this member had contact with a
	// quorum. If there has been no such contact, it is the time since the start, and Contact is false.
	QuorumAge time.Duration
	Contact   bool
	Members   []Member
	// MembersCommitted is set if the entry with Members is known to be committed. Until then another leader may undo it.
	MembersCommitted bool
	// Transition is the change of two voters that is in effect, or nil.
	Transition *consensus.Transition
}

// Member is a member of the replicated log.
type Member struct {
	ID      consensus.MemberID `json:"-"`
	Name    string
	Address string
	Learner bool // receives the log and does not vote
	Leader  bool
	// Match is the index of the last entry that the member is known to have; set only on the leader.
	Match uint64
	// ContactAge is the time since the leader last had contact with the member, or since the member was added or the leader
	// was elected; set only on the leader, and zero for the leader itself.
	ContactAge time.Duration `json:"-"`
	Heard      bool          `json:"-"` // there was contact in the leader's term; set only on the leader
}
