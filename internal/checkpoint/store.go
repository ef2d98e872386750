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
	incoming incomingReport
	// refusedUntil is the time before which no further list is asked for, after one was dropped because the store was full.
	refusedUntil time.Duration
}

// list is the list of the flows of one relay process.
type list struct {
	_       struct{} `cbor:",toarray"`
	Process uint64
	Target  Target
	Number  uint32        // of the last report included
	Packed  []byte        // in the order of the keys
	updated time.Duration // of the last report
}

// incomingReport is a report of which some parts are missing.
type incomingReport struct {
	process      uint64
	number, base uint32
	parts        []*Part
	missing      int
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{relays: map[hop.IP]*record{}} }

// RecordPart records a part of the report of a relay. A report takes effect once all of its parts have arrived: one of
// all flows replaces the list of the same relay process, a difference changes it. RecordPart returns true if the list to
// which a difference refers is missing, so that the relay has to report all flows.
func (s *Store) RecordPart(now time.Duration, relay hop.IP, p *Part) (resync bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.relays[relay]
	if r == nil {
		r = &record{}
		s.relays[relay] = r
	}
	if !r.incoming.add(p) {
		return false
	}
	defer s.dropOldest(now)
	packed, closed := r.incoming.content()
	if p.Base == 0 {
		s.replace(now, r, list{Process: p.Process, Target: p.Target, Number: p.Number, Packed: packed, updated: now})
		return false
	}
	i := slices.IndexFunc(r.lists, func(l list) bool { return l.Process == p.Process })
	switch {
	case i < 0 || r.lists[i].Number < p.Base:
		return now >= r.refusedUntil
	case r.lists[i].Number > p.Base:
		return false // a delayed report
	}
	l := &r.lists[i]
	s.bytes -= len(l.Packed)
	l.Packed = applyDifference(l.Packed, packed, closed)
	s.bytes += len(l.Packed)
	l.Number, l.updated = p.Number, now
	if len(packed)+len(closed) > 0 {
		s.change++
	}
	return false
}

// add adds a part, and reports whether the report is now complete.
func (i *incomingReport) add(p *Part) bool {
	if i.process != p.Process || i.number != p.Number || i.base != p.Base || len(i.parts) != int(p.Parts) {
		if i.process == p.Process && int32(p.Number-i.number) < 0 {
			return false // a delayed part of an earlier report
		}
		*i = incomingReport{process: p.Process, number: p.Number, base: p.Base, parts: make([]*Part, p.Parts), missing: int(p.Parts)}
	}
	if i.missing == 0 || i.parts[p.Part] != nil {
		return false
	}
	i.parts[p.Part] = p
	i.missing--
	return i.missing == 0
}

// content returns the flows and the closed keys of a complete report, and releases its parts.
func (i *incomingReport) content() (packed, closed []byte) {
	for at, p := range i.parts {
		packed, closed = append(packed, p.Packed...), append(closed, p.Closed...)
		i.parts[at] = nil
	}
	return packed, closed
}

// replace stores a list in place of the earlier one of the same process.
func (s *Store) replace(now time.Duration, r *record, next list) {
	i := slices.IndexFunc(r.lists, func(l list) bool { return l.Process == next.Process })
	switch {
	case i >= 0:
		if r.lists[i].Target == next.Target && slices.Equal(r.lists[i].Packed, next.Packed) {
			r.lists[i].Number, r.lists[i].updated = next.Number, now
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
func (s *Store) dropOldest(now time.Duration) {
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
		oldest.refusedUntil = now + retention
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
				parts = append(parts, Split(Part{Process: l.Process, Target: l.Target}, l.Packed, nil)...)
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
