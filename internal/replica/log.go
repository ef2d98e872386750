package replica

import (
	"context"
	"time"

	"github.com/greengagelock/greengagelock/internal/consensus"
)

// Log is the replicated log as its users see it.
type Log interface {
	// Run drives the log until ctx is done. It hands everything that is committed to m, in order.
	Run(ctx context.Context, m Machine) error
	// Propose appends an entry at the leader. It returns the place that the entry has if it is
	// committed; another entry may be committed there instead after a change of leader.
	Propose(ctx context.Context, data []byte) (consensus.Position, error)
	// ReadBarrier confirms with a quorum who leads. It returns the index that a state must have
	// reached to contain everything that was acknowledged before the call.
	ReadBarrier(ctx context.Context) (uint64, error)
	// Step takes in messages of another member.
	Step(ctx context.Context, messages []consensus.Message) error
	Status() Status
	// ChangeMember starts a change of one member and waits until it is committed.
	ChangeMember(ctx context.Context, change consensus.MemberChange) error
	// Transfer hands leadership to another member if this one is the leader.
	Transfer(ctx context.Context) error
}

// Machine is the state machine behind a log. The log calls it from one goroutine.
type Machine interface {
	Apply(c Committed) error
	// Snapshot returns the state after the last entry that was applied.
	Snapshot() ([]byte, error)
}

// Committed is a committed entry, or a snapshot that replaces all entries up to its index. An
// entry of the log's own, such as a change of members, has no data.
type Committed struct {
	consensus.Position
	Data     []byte
	Snapshot []byte
	// Replayed is set if this member knew that the entry was committed before it was started.
	Replayed bool
}

// Status is the state of the log at this member.
type Status struct {
	Leader   string // empty if unknown
	IsLeader bool
	Term     uint64
	Commit   uint64
	// QuorumAge is how long ago a leader known to this member was in contact with a quorum.
	// Without any contact it is the time since the start, and Contact is false.
	QuorumAge time.Duration
	Contact   bool
	Members   []Member
}

// Member is a member of the replicated log.
type Member struct {
	Name    string
	Address string
	Learner bool // receives the log and does not vote
	Leader  bool
	// Match is the last log entry that the member is known to hold; known only to the leader.
	Match uint64
	// ContactAge is the time since the leader last heard from the member; known only to the leader,
	// zero for the leader itself.
	ContactAge time.Duration `json:"-"`
}
