// Package placement ranks the targets of every service per bucket and derives the candidate chains
// from the rankings. It is a pure function of the view: nodes with the same view have the same
// chains.
package placement

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/model"
)

// BucketCount is the number of buckets of a service.
const BucketCount = 1024

// Bucket is a class of flows that have the same chains.
type Bucket uint16

// BucketOf returns the bucket of a flow with this hash, see flow.Key.Hash.
func BucketOf(hash uint64) Bucket {
	return Bucket(hash % BucketCount)
}

// BucketOfKey returns the bucket of a flow.
func BucketOfKey(key flow.Key) Bucket {
	return BucketOf(key.Hash())
}

// Chain is one of the two candidate lists of a bucket.
type Chain uint8

// Chains of a bucket.
const (
	// Admitting is for packets that open a connection. It holds the active targets. If a service
	// has none, it holds the draining and ejected ones, whose agents refuse at once.
	Admitting Chain = iota
	// Owners is for all other packets. It holds every target, with lost ones at the end.
	Owners
)

// ChainOf returns the chain for a packet.
func ChainOf(syn bool) Chain {
	if syn {
		return Admitting
	}
	return Owners
}

// score is the rendezvous hash of a target in a bucket.
func score(bucket Bucket, id model.TargetID) uint64 {
	var buf [8]byte
	binary.LittleEndian.PutUint32(buf[0:4], uint32(bucket))
	binary.LittleEndian.PutUint32(buf[4:8], uint32(id))
	return xxhash.Sum64(buf[:])
}

// ranked is a target in the ranking of a bucket, by its index in Service.targets.
type ranked struct {
	score uint64
	index uint8
}

// rank fills order with the ranking of all targets in a bucket.
func (s *Service) rank(bucket Bucket, order []ranked) []ranked {
	order = order[:0]
	for i := range s.targets {
		order = append(order, ranked{score: score(bucket, s.targets[i].ID), index: uint8(i)})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		// Targets are ordered by ID, so the index decides between equal scores alike everywhere.
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.index, b.index))
	})
	return order
}

// admits reports whether a target belongs to the admitting chain.
func (s *Service) admits(t *model.Target) bool {
	if s.active > 0 {
		return t.State == model.TargetActive
	}
	return t.State != model.TargetLost
}

// chain appends the indexes of a chain to dst, from a ranking of the bucket.
func (s *Service) chain(kind Chain, order []ranked, dst []uint8) []uint8 {
	if kind == Admitting {
		for _, r := range order {
			if s.admits(&s.targets[r.index]) {
				dst = append(dst, r.index)
			}
		}
		return dst
	}
	for _, lost := range [...]bool{false, true} {
		for _, r := range order {
			if (s.targets[r.index].State == model.TargetLost) == lost {
				dst = append(dst, r.index)
			}
		}
	}
	return dst
}

// Full returns the whole chain of a bucket. It computes the ranking, so it is for rare packets only.
func (s *Service) Full(kind Chain, bucket Bucket) []model.Target {
	var order [model.MaxTargetsPerService]ranked
	var indexes [model.MaxTargetsPerService]uint8
	chain := s.chain(kind, s.rank(bucket, order[:0]), indexes[:0])
	targets := make([]model.Target, 0, len(chain))
	for _, i := range chain {
		targets = append(targets, s.targets[i])
	}
	return targets
}

// Extension puts the positions 8k to 8k+7 of a chain into the candidates of a header and returns
// how many there are. Extension 0 is the chain that balancers send.
func (s *Service) Extension(kind Chain, bucket Bucket, k int, candidates *[encap.MaxCandidates]encap.Candidate) int {
	if k < 0 || k > encap.MaxExtensions {
		return 0
	}
	var order [model.MaxTargetsPerService]ranked
	var indexes [model.MaxTargetsPerService]uint8
	chain := s.chain(kind, s.rank(bucket, order[:0]), indexes[:0])
	from := min(k*encap.MaxCandidates, len(chain))
	to := min(from+encap.MaxCandidates, len(chain))
	for i, index := range chain[from:to] {
		candidates[i] = encap.CandidateOf(&s.targets[index])
	}
	return to - from
}
