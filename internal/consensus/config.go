package consensus

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/result"
)

// Bounds of the replicated log.
const (
	// MaxEntrySize bounds the data of one entry.
	MaxEntrySize = 1 << 20
	// MaxVoters bounds the voters; at most 7 VMs are set aside for control.
	MaxVoters = 7
	// MinVoters is reached for a short time when a member of three is replaced.
	MinVoters = 2
	// MaxLearners bounds the members that are catching up.
	MaxLearners = 2
	// MaxSnapshotSize bounds the snapshot that a member accepts from a leader.
	MaxSnapshotSize = 256 << 20
)

// Defaults of Config.
const (
	// DefaultElectionTimeout keeps the time without a leader below 2 s: the first election starts
	// at most two timeouts after the last contact, and one more try takes at most one timeout.
	DefaultElectionTimeout = 600 * time.Millisecond
	// DefaultHeartbeatInterval lets four heartbeats in a row get lost without an election.
	DefaultHeartbeatInterval    = 100 * time.Millisecond
	DefaultMaxEntriesPerMessage = 256
	DefaultMaxBytesPerMessage   = 1 << 20
	DefaultMaxInflight          = 16
	DefaultSnapshotChunkSize    = 256 << 10
	// DefaultMaxUncommitted bounds the memory that a leader without a quorum uses.
	DefaultMaxUncommitted = 16 << 20
	// DefaultMaxCommittedPerReady bounds the time that one Ready takes to apply.
	DefaultMaxCommittedPerReady = 1024
)

// Config holds the settings of a Node. Zero durations and sizes mean the defaults.
type Config struct {
	ID MemberID
	// Members and Learners are the first members of the log, the same at each of them. They are
	// empty at a member that joins later; it learns the members from the leader.
	Members  []MemberID
	Learners []MemberID
	// ElectionTimeout is the shortest time without contact after which a follower asks for an
	// election, and the longest that a leader stays one without contact to a quorum.
	ElectionTimeout      time.Duration
	HeartbeatInterval    time.Duration
	MaxEntriesPerMessage int
	MaxBytesPerMessage   int
	MaxInflight          int // unanswered Append messages per member
	SnapshotChunkSize    int
	MaxUncommitted       int // bytes of proposals that are not committed
	MaxCommittedPerReady int
	// Rand spreads the election timeouts. Members must not share its seed.
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

func (c Config) check() error {
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
			return result.New(result.SettingsInvalid, "a size of the replicated log is negative")
		}
	}
	return nil
}
