// Package confstore is the replicated store of a configuration whose version its operators choose:
// the highest version that was accepted is in force and never reverts. Its controllers find each
// other from seed addresses, replace lost members by themselves, and tell all other processes which
// version is in force and which targets there are.
package confstore

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/replica"
	"github.com/greengagelock/greengagelock/internal/result"
)

// maxBody bounds a configuration when it is unpacked.
const maxBody = 8 << 20

// Content is a configuration as its operator sent it.
type Content struct {
	Version uint64
	// Packed is the compressed body.
	Packed []byte
}

// Body returns the bytes that the operator sent.
func (c *Content) Body() ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(c.Packed))
	body, err := io.ReadAll(io.LimitReader(reader, maxBody+1))
	if err != nil || len(body) > maxBody {
		return nil, result.New(result.StorageCorrupt, "configuration %d cannot be unpacked: %v", c.Version, err)
	}
	return body, nil
}

// Pack returns the content of a body.
func Pack(version uint64, body []byte) (*Content, error) {
	if len(body) > maxBody {
		return nil, result.New(result.ConfigInvalid, "the configuration has %d bytes, want at most %d", len(body), maxBody)
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

// command is an entry of the log. Exactly one field is set.
type command struct {
	Replace *Content
	// Members are the names of all members, so that a controller that starts can resolve them.
	Members []string
}

// snapshot is the whole state.
type snapshot struct {
	Content *Content
	Members []string
}

// state is the state machine.
type state struct {
	mu      sync.Mutex
	content *Content
	members []string
	applied consensus.Position
	waiters map[uint64][]waiter // by index
	changed chan struct{}       // closed and replaced when something was applied
	// onContent and onMembers are called after a change, without the lock.
	onContent func(version uint64, replayed bool)
	onMembers func(names []string)
}

type waiter struct {
	term uint64
	done chan bool // receives whether the entry of this term was applied
}

func newState() *state {
	return &state{waiters: map[uint64][]waiter{}, changed: make(chan struct{})}
}

// Apply implements replica.Machine.
func (s *state) Apply(c replica.Committed) error {
	content, members, err := decodeCommitted(&c)
	if err != nil {
		return err
	}
	s.mu.Lock()
	if c.Index <= s.applied.Index {
		s.mu.Unlock()
		return nil // the log begins again after its storage was opened anew
	}
	if content != nil && (s.content == nil || content.Version > s.content.Version) {
		s.content = content
	} else {
		content = nil
	}
	if members != nil {
		s.members = members
	}
	s.applied = c.Position
	s.release(c.Position)
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	if content != nil && s.onContent != nil {
		s.onContent(content.Version, c.Replayed)
	}
	if members != nil && s.onMembers != nil {
		s.onMembers(members)
	}
	return nil
}

func decodeCommitted(c *replica.Committed) (*Content, []string, error) {
	if c.Snapshot != nil {
		var snap snapshot
		if err := cbor.Unmarshal(c.Snapshot, &snap); err != nil {
			return nil, nil, result.New(result.StorageCorrupt, "snapshot at entry %d: %v", c.Index, err)
		}
		return snap.Content, snap.Members, nil
	}
	if c.Data == nil {
		return nil, nil, nil
	}
	var cmd command
	if err := cbor.Unmarshal(c.Data, &cmd); err != nil {
		return nil, nil, result.New(result.StorageCorrupt, "entry %d: %v", c.Index, err)
	}
	return cmd.Replace, cmd.Members, nil
}

// release answers the waiters for entries up to p. An entry of another term has taken the place of
// the one that they wait for.
func (s *state) release(p consensus.Position) {
	for index, waiting := range s.waiters {
		if index > p.Index {
			continue
		}
		for _, w := range waiting {
			w.done <- index == p.Index && w.term == p.Term
		}
		delete(s.waiters, index)
	}
}

// Snapshot implements replica.Machine.
func (s *state) Snapshot() ([]byte, error) {
	s.mu.Lock()
	snap := snapshot{Content: s.content, Members: s.members}
	s.mu.Unlock()
	data, err := cbor.Marshal(snap)
	return data, errors.Wrap(err, "encode a snapshot")
}

// await returns a channel that receives whether the entry at p was applied.
func (s *state) await(p consensus.Position) <-chan bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	done := make(chan bool, 1)
	if s.applied.Index >= p.Index {
		// Entries are applied one by one, so a later position of the same term includes this one.
		done <- s.applied.Term == p.Term
		return done
	}
	s.waiters[p.Index] = append(s.waiters[p.Index], waiter{term: p.Term, done: done})
	return done
}

// current returns the content in force, nil before the first, and the index applied so far.
func (s *state) current() (*Content, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content, s.applied.Index
}

// version returns the version in force, zero before the first.
func (s *state) version() uint64 {
	if c, _ := s.current(); c != nil {
		return c.Version
	}
	return 0
}

func (s *state) memberNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.members)
}

// next returns a channel that is closed when the next entry was applied.
func (s *state) next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}
