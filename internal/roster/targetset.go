package roster

import (
	"bytes"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagelock/greengagelock/internal/hop"
)

// targetSet is a set of targets, one for each relay, with a digest that does not depend on the order of the
// changes. Two controllers that have heard the same announcements have the same digest.
type targetSet struct {
	byRelay map[hop.IP]Target
	digest  uint64 // sum of the hashes of the targets
	sorted  []hop.IP
}

func newTargetSet() targetSet { return targetSet{byRelay: map[hop.IP]Target{}} }

func (s *targetSet) clone() targetSet {
	return targetSet{byRelay: maps.Clone(s.byRelay), digest: s.digest, sorted: s.sorted}
}

// put adds a target, or replaces the one of the same relay.
func (s *targetSet) put(t Target) {
	old, known := s.byRelay[t.Relay]
	if known {
		s.digest -= old.Digest()
	} else {
		s.sorted = nil
	}
	s.byRelay[t.Relay] = t
	s.digest += t.Digest()
}

// remove removes the target of a relay, and reports whether there was one.
func (s *targetSet) remove(relay hop.IP) bool {
	old, known := s.byRelay[relay]
	if known {
		s.digest -= old.Digest()
		s.sorted = nil
		delete(s.byRelay, relay)
	}
	return known
}

// relays returns the relays in ascending order. The result must not be changed.
func (s *targetSet) relays() []hop.IP {
	if s.sorted == nil {
		s.sorted = slices.SortedFunc(maps.Keys(s.byRelay), compareIPs)
	}
	return s.sorted
}

func compareIPs(a, b hop.IP) int { return bytes.Compare(a[:], b[:]) }

// Digest returns a hash of all fields.
func (t *Target) Digest() uint64 {
	b := append(make([]byte, 0, 64), t.Relay[:]...)
	b = binary.BigEndian.AppendUint64(b, uint64(t.Service))
	b = binary.BigEndian.AppendUint64(b, uint64(t.Born))
	b = binary.BigEndian.AppendUint16(b, t.Slots)
	cold := byte(0)
	if t.Cold {
		cold = 1
	}
	b = append(b, byte(t.State), cold, byte(len(t.Zone)))
	b = append(append(b, t.Zone...), t.ID...)
	return xxhash.Sum64(b)
}

// AnnouncedDigest returns the digest by which a controller confirms an announcement of a relay process.
func (t *Target) AnnouncedDigest(process uint64) uint64 { return max(t.Digest()^process, 1) }
