package controller

import (
	"context"
	"time"

	"github.com/greengagelock/greengagelock/internal/operator"
)

// Log is the replicated log as the controller uses it.
type Log interface {
	// Run drives the log until ctx is done.
	Run(ctx context.Context) error
	// Propose appends an entry at the leader. It returns the place that the entry has if it is
	// committed; another entry may be committed there instead after a change of leader.
	Propose(ctx context.Context, data []byte) (Position, error)
	// Committed delivers what is committed, in order.
	Committed() <-chan Committed
	// Compact says that a snapshot holds the effects of all entries up to an index.
	Compact(index uint64, snapshot []byte) error
	// ReadBarrier confirms leadership with a quorum. It returns the index that a state must have
	// reached to contain everything that was acknowledged before the call.
	ReadBarrier(ctx context.Context) (uint64, error)
	Status() LogStatus
	AddMember(ctx context.Context, name, address string) error
	RemoveMember(ctx context.Context, name string) error
	// Transfer hands leadership to another member if this one is the leader.
	Transfer(ctx context.Context) error
}

// Position is the place of an entry.
type Position struct {
	Index, Term uint64
}

// Committed is a committed entry, or a snapshot that replaces all entries up to its index. An
// entry of the log's own, such as a change of members, has no data.
type Committed struct {
	Position
	Data     []byte
	Snapshot []byte
}

// LogStatus is the state of the log at this member.
type LogStatus struct {
	Leader   string // empty if unknown
	IsLeader bool
	Term     uint64
	Commit   uint64
	// QuorumAge is how long ago this member knew to be in contact with a quorum, by itself or
	// through the leader.
	QuorumAge time.Duration
	Members   []operator.Member
}
