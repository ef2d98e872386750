package consensus

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/result"
)

// Limits of the replicated log.
const (
	// MaxEntrySize is the maximum size of an entry's data in bytes.
	MaxEntrySize = 1 << 20
	// MaxVoters is 7 because at most 7 VMs are reserved for controllers.
	MaxVoters = 7
	// MinVoters is 2 because a three-member log has two voters while one member is being replaced.
	MinVoters = 2
	// MaxLearners is the maximum number of members that catch up at the same time.
	MaxLearners = 2
	// MaxSnapshotSize is the maximum size in bytes of a snapshot that a member accepts from a leader.
	MaxSnapshotSize = 256 << 20
)

// Default values of Config.
const (
	// DefaultElectionTimeout keeps the time without a leader below 2 s: the first election starts at
	// most two timeouts after the last leader contact, and a second attempt takes at most one more.
	DefaultElectionTimeout = 600 * time.Millisecond
	// DefaultHeartbeatInterval tolerates four lost heartbeats in a row without an election.
	DefaultHeartbeatInterval    = 100 * time.Millisecond
	DefaultMaxEntriesPerMessage = 256
	DefaultMaxBytesPerMessage   = 1 << 20
	DefaultMaxInflight          = 16
	DefaultSnapshotChunkSize    = 256 << 10
	// DefaultMaxUncommitted limits the memory in bytes that a leader without a quorum uses.
	DefaultMaxUncommitted = 16 << 20
	// DefaultMaxCommittedPerReady limits the number of entries, and so the time, that one Ready takes to apply.
	DefaultMaxCommittedPerReady = 1024
)

// Config configures a Node. Zero durations and sizes select the defaults.
type Config struct {
	ID MemberID
	// Members and Learners are the initial voters and learners of the log and must be identical on all
	// of them. They are empty on a member that joins later, which receives the members from the leader.
	Members  []MemberID
	Learners []MemberID
	// ElectionTimeout is the minimum time without leader contact after which a follower starts an
	// election, and the maximum time that a leader stays leader without contact with a quorum.
	ElectionTimeout      time.Duration
	HeartbeatInterval    time.Duration
	MaxEntriesPerMessage int
	MaxBytesPerMessage   int
	MaxInflight          int // unacknowledged Append messages per member
	SnapshotChunkSize    int
	MaxUncommitted       int // bytes of uncommitted proposals
	MaxCommittedPerReady int
	// Rand randomizes the election timeouts. Members must not share a seed.
	Rand *rand.Rand
}

func setDefault[T int | time.Duration](value *T, def T) {
	if *value == 0 {
		*value = def
	}
}

func (c Config) withDefaults() Config {
	setDefault(&c.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.MaxEntriesPerMessage, DefaultMaxEntriesPerMessage)
	setDefault(&c.MaxBytesPerMessage, DefaultMaxBytesPerMessage)
	setDefault(&c.MaxInflight, DefaultMaxInflight)
	setDefault(&c.SnapshotChunkSize, DefaultSnapshotChunkSize)
	setDefault(&c.MaxUncommitted, DefaultMaxUncommitted)
	setDefault(&c.MaxCommittedPerReady, DefaultMaxCommittedPerReady)
	c.Members = slices.Sorted(slices.Values(c.Members))
	c.Learners = slices.Sorted(slices.Values(c.Learners))
	return c
}

func (c Config) validate() error {
	if c.ID == 0 {
		return result.New(result.SettingsInvalid, "the member ID must not be 0")
	}
	if c.Rand == nil {
		return result.New(result.SettingsInvalid, "member %d has no source of randomness", c.ID)
	}
	switch len(c.Members) {
	case 0, 1, 3, 5, 7:
	default:
		return result.New(result.SettingsInvalid, "%d members given, want 1, 3, 5 or 7", len(c.Members))
	}
	ids := Members{Voters: c.Members, Learners: c.Learners}.all()
	if len(slices.Compact(slices.Clone(ids))) != len(ids) || slices.Contains(ids, 0) {
		return result.New(result.SettingsInvalid, "the member IDs %v are not unique and positive", ids)
	}
	if len(c.Learners) > MaxLearners {
		return result.New(result.SettingsInvalid, "%d learners given, want at most %d", len(c.Learners), MaxLearners)
	}
	if c.ElectionTimeout < 2*c.HeartbeatInterval || c.HeartbeatInterval < 0 {
		return result.New(result.SettingsInvalid,
			"election timeout %s is shorter than two heartbeat intervals of %s", c.ElectionTimeout, c.HeartbeatInterval)
	}
	for _, size := range []int{
		c.MaxEntriesPerMessage, c.MaxBytesPerMessage, c.MaxInflight,
		c.SnapshotChunkSize, c.MaxUncommitted, c.MaxCommittedPerReady,
	} {
		if size < 0 {
			return result.New(result.SettingsInvalid, "a size limit of the replicated log is negative")
		}
	}
	return nil
}
