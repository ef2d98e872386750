// Package confstore is the replicated configuration store. Operators choose the version of a
// configuration; the highest accepted version is in force and is never reverted. Each store VM runs
// one Controller. Controllers find each other through seed addresses and replace lost members
// without an operator.
//
// Messages between controllers, over RPC: Step carries messages of the replicated log, Replace and Evacuate
// forward an edit and an evacuation to the leader, Join asks for membership. Any process may call Fetch for the
// configuration in force and Status for the state of a controller. Over UDP, every process sends a
// roster.Announcement at an interval and receives a roster.Answer; controllers also push an Answer to
// all entry VMs when the configuration or the list of targets changes.
//
// A controller is joining, a learner, or a voter of the log, and a voter is the leader or a follower.
// The replicated state is the configuration in force, the evacuated availability zones, the names of the members and
// the protocol level.
package confstore

import (
	"bytes"
	"compress/flate"
	"io"
	"maps"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/replica"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/roster"
)

// maxBodyBytes is the largest uncompressed configuration.
const maxBodyBytes = 8 << 20

// Content is a configuration with its version.
type Content struct {
	Version uint64
	// Packed is the body as the operator sent it, compressed with DEFLATE.
	Packed []byte
}

// Body decompresses the bytes that the operator sent.
func (c *Content) Body() ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(c.Packed))
	body, err := io.ReadAll(io.LimitReader(reader, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes {
		return nil, result.New(result.StorageCorrupt, "configuration %d cannot be unpacked: %v", c.Version, err)
	}
	return body, nil
}

// Pack compresses a body into a Content.
func Pack(version uint64, body []byte) (*Content, error) {
	if len(body) > maxBodyBytes {
		return nil, result.New(result.ConfigInvalid, "the configuration has %d bytes, want at most %d", len(body), maxBodyBytes)
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress a configuration")
	}
	if _, err = w.Write(body); err == nil {
		err = w.Close()
	}
	return &Content{Version: version, Packed: out.Bytes()}, errors.Wrap(err, "compress a configuration")
}

// command is the data of a log entry. Exactly one field is set.
type command struct {
	Replace *Content
	// Members are the names of all members. A controller that starts resolves member IDs with them.
	Members []string
	// Evacuate is an entry of roster.LevelEvacuation or later.
	Evacuate *evacuationOrder `cbor:",omitempty"`
}

// snapshot is the whole replicated state.
type snapshot struct {
	Content *Content
	Members []string
	// Zones is part of snapshots of roster.LevelEvacuation or later.
	Zones map[string]zoneRecord `cbor:",omitempty"`
}

// stateMachine holds the replicated state. It implements replica.StateMachine.
type stateMachine struct {
	mu      sync.Mutex
	content *Content
	members []string
	zones   map[string]zoneRecord // by availability zone; those that were evacuated once
	// level is the highest protocol level of the applied entries. A build of a lower level cannot apply them.
	level   uint8
	applied consensus.Position
	waiters map[uint64][]waiter // by index
	changed chan struct{}       // closed and replaced whenever an entry or a snapshot is applied
	// onContent and onMembers are called after a change, with the lock released.
	onContent     func(version uint64, replayed bool)
	onMembers     func(names []string)
	onEvacuations func(e roster.Evacuations, replayed bool)
}

// waiter waits for the entry of a term at the index that it is listed under.
type waiter struct {
	term    uint64
	applied chan bool // false if an entry of another term was applied at the index
}

func newStateMachine() *stateMachine {
	return &stateMachine{zones: map[string]zoneRecord{}, waiters: map[uint64][]waiter{}, changed: make(chan struct{})}
}

// Apply implements replica.StateMachine.
func (s *stateMachine) Apply(c replica.Committed) error {
	change, err := decodeCommitted(&c)
	if err != nil {
		return err
	}
	s.mu.Lock()
	if c.Index <= s.applied.Index {
		s.mu.Unlock()
		return nil // after its storage was reopened, the log replays entries from its start
	}
	content := change.content
	if content != nil && (s.content == nil || content.Version > s.content.Version) {
		s.content = content
	} else {
		content = nil
	}
	if change.members != nil {
		s.members = change.members
	}
	s.level = max(s.level, change.level)
	evacuations := s.applyZones(c.Index, &change)
	s.applied = c.Position
	s.notifyWaiters(c.Position)
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	if content != nil && s.onContent != nil {
		s.onContent(content.Version, c.Replayed)
	}
	if change.members != nil && s.onMembers != nil {
		s.onMembers(change.members)
	}
	if evacuations != nil && s.onEvacuations != nil {
		s.onEvacuations(*evacuations, c.Replayed)
	}
	return nil
}

// committedChange is what a snapshot or an entry changes; nil fields are not changed.
type committedChange struct {
	level    uint8
	content  *Content
	members  []string
	zones    map[string]zoneRecord // of a snapshot
	evacuate *evacuationOrder      // of an entry
}

// decodeCommitted decodes a snapshot or an entry.
func decodeCommitted(c *replica.Committed) (committedChange, error) {
	if c.Snapshot != nil {
		var snap snapshot
		level, err := decodeLeveled(c.Snapshot, &snap)
		if err != nil {
			return committedChange{}, errors.Wrapf(err, "decode the snapshot at entry %d", c.Index)
		}
		return committedChange{level: level, content: snap.Content, members: snap.Members, zones: snap.Zones}, nil
	}
	if c.Data == nil {
		return committedChange{}, nil
	}
	var cmd command
	level, err := decodeLeveled(c.Data, &cmd)
	if err != nil {
		return committedChange{}, errors.Wrapf(err, "decode entry %d", c.Index)
	}
	return committedChange{level: level, content: cmd.Replace, members: cmd.Members, evacuate: cmd.Evacuate}, nil
}

// notifyWaiters notifies the waiters for all entries up to p. A waiter gets false if its entry was
// replaced by one of another term.
func (s *stateMachine) notifyWaiters(p consensus.Position) {
	for index, waiting := range s.waiters {
		if index > p.Index {
			continue
		}
		for _, w := range waiting {
			w.applied <- index == p.Index && w.term == p.Term
		}
		delete(s.waiters, index)
	}
}

// Snapshot implements replica.StateMachine.
func (s *stateMachine) Snapshot() ([]byte, error) {
	s.mu.Lock()
	level, snap := s.level, snapshot{Content: s.content, Members: s.members, Zones: maps.Clone(s.zones)}
	s.mu.Unlock()
	return encodeLeveled(level, snap)
}

// waitApplied returns a channel that receives true once the entry at p is applied, or false once an
// entry of another term has taken its place.
func (s *stateMachine) waitApplied(p consensus.Position) <-chan bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	done := make(chan bool, 1)
	if s.applied.Index >= p.Index {
		// Entries are applied one by one, so a later position of the same term includes this one.
		done <- s.applied.Term == p.Term
		return done
	}
	s.waiters[p.Index] = append(s.waiters[p.Index], waiter{term: p.Term, applied: done})
	return done
}

// latest returns the content in force, nil before the first, and the index of the last applied entry.
func (s *stateMachine) latest() (*Content, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content, s.applied.Index
}

// version returns the version in force, zero before the first.
func (s *stateMachine) version() uint64 {
	if c, _ := s.latest(); c != nil {
		return c.Version
	}
	return 0
}

// memberNames returns the names of all members as last committed.
func (s *stateMachine) memberNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.members)
}

// nextChange returns a channel that is closed when the next entry or snapshot is applied.
func (s *stateMachine) nextChange() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}
