package checkpoint

import (
	"slices"
	"sync"
	"time"

	"github.com/greengagelock/greengagelock/internal/hop"
)

const (
	// retention is the time for which a list is kept without a further report. It is the longest time for which
	// callers keep an idle flow.
	retention = time.Minute
	// maxLists is the number of lists kept for a relay: that of the last process, and that of the process before
	// it, which may not have learned all flows.
	maxLists = 2
	// maxStoredBytes bounds the memory, and the file to about the same size: 1,048,576 flows.
	maxStoredBytes = 16 << 20
)

// Store holds the flows that relays have reported to a controller. Times are durations since the start of the
// controller. It is safe for concurrent use.
type Store struct {
	mu     sync.Mutex
	relays map[hop.IP]*record
	bytes  int    // of all lists
	change uint64 // counts the changes of lists
	stats  Stats
}

// Stats are gauges and counters of a Store.
type Stats struct {
	Relays, Flows int
	// Dropped counts lists that were removed because the store was full.
	Dropped uint64
	// SaveErrors counts attempts to write the file that failed.
	SaveErrors uint64
}

// record is what is known of the flows at a relay.
type record struct {
	lists    []list // oldest first; at most one for each process of the relay
	incoming incomingList
}

// list is a complete list of one relay process.
type list struct {
	_       struct{} `cbor:",toarray"`
	Process uint64
	Target  Target
	Packed  []byte
	updated time.Duration // of the last report
}

// incomingList is a list of which some parts are missing.
type incomingList struct {
	process uint64
	number  uint32
	parts   [][]byte
	missing int
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{relays: map[hop.IP]*record{}} }

// RecordPart records a part of the report of a relay. A report replaces the earlier one of the same relay process
// once all of its parts have arrived.
func (s *Store) RecordPart(now time.Duration, relay hop.IP, p *Part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.relays[relay]
	if r == nil {
		r = &record{}
		s.relays[relay] = r
	}
	if packed, complete := r.incoming.add(p); complete {
		s.replace(now, r, list{Process: p.Process, Target: p.Target, Packed: packed, updated: now})
		s.dropOldest()
	}
}

// add adds a part. It returns the packed flows once all parts of the newest list are there.
func (l *incomingList) add(p *Part) (packed []byte, complete bool) {
	if l.process != p.Process || l.number != p.Number || len(l.parts) != int(p.Parts) {
		if l.process == p.Process && int32(p.Number-l.number) < 0 {
			return nil, false // a delayed part of an earlier list
		}
		*l = incomingList{process: p.Process, number: p.Number, parts: make([][]byte, p.Parts), missing: int(p.Parts)}
	}
	if l.missing == 0 || l.parts[p.Part] != nil {
		return nil, false
	}
	l.parts[p.Part] = append([]byte{}, p.Packed...)
	l.missing--
	if l.missing > 0 {
		return nil, false
	}
	return slices.Concat(l.parts...), true
}

// replace stores a list in place of the earlier one of the same process.
func (s *Store) replace(now time.Duration, r *record, next list) {
	i := slices.IndexFunc(r.lists, func(l list) bool { return l.Process == next.Process })
	switch {
	case i >= 0:
		if r.lists[i].Target == next.Target && slices.Equal(r.lists[i].Packed, next.Packed) {
			r.lists[i].updated = now
			return
		}
		s.remove(r, i)
	case len(r.lists) >= maxLists:
		s.remove(r, 0)
	}
	r.lists = append(r.lists, next)
	s.bytes += len(next.Packed)
	s.change++
}

func (s *Store) remove(r *record, i int) {
	s.bytes -= len(r.lists[i].Packed)
	r.lists = slices.Delete(r.lists, i, i+1)
	s.change++
}

// dropOldest removes the lists with the oldest reports until the store is within its limit.
func (s *Store) dropOldest() {
	for s.bytes > maxStoredBytes {
		var oldest *record
		at := 0
		for _, r := range s.relays {
			for i := range r.lists {
				if oldest == nil || r.lists[i].updated < oldest.lists[at].updated {
					oldest, at = r, i
				}
			}
		}
		s.remove(oldest, at)
		s.stats.Dropped++
	}
}

// Expire removes the lists without a report for the retention time.
func (s *Store) Expire(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for relay, r := range s.relays {
		for i := len(r.lists) - 1; i >= 0; i-- {
			if now-r.lists[i].updated > retention {
				s.remove(r, i)
			}
		}
		if len(r.lists) == 0 && r.incoming.missing == 0 {
			delete(s.relays, relay)
		}
	}
}

// Earlier returns the parts of all lists that processes of a relay other than the given one have reported. There is
// at least one, so that the relay knows that it has got everything.
func (s *Store) Earlier(relay hop.IP, process uint64) []Part {
	s.mu.Lock()
	defer s.mu.Unlock()
	var parts []Part
	if r := s.relays[relay]; r != nil {
		for _, l := range r.lists {
			if l.Process != process {
				parts = append(parts, Split(Part{Process: l.Process, Target: l.Target}, l.Packed)...)
			}
		}
	}
	if len(parts) == 0 {
		parts = []Part{{}}
	}
	parts = parts[:min(len(parts), maxParts)]
	for i := range parts {
		parts[i].Part, parts[i].Parts = uint16(i), uint16(len(parts))
	}
	return parts
}

// Stats returns the gauges and counters.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Relays, stats.Flows = len(s.relays), s.bytes/flowBytes
	return stats
}
