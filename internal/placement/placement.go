// Package placement computes, for each bucket of flows of a service, the order in which its targets
// are tried. It ranks the targets by rendezvous hash and filters the ranking by target state into two
// candidate chains. The result depends on the view alone: nodes with the same view compute the same
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

// BucketCount is the number of buckets per service.
const BucketCount = 1024

// Bucket is a class of flows of a service that share their candidate chains.
type Bucket uint16

// BucketOf returns the bucket for a flow hash, see flow.Key.Hash.
func BucketOf(hash uint64) Bucket {
	return Bucket(hash % BucketCount)
}

// BucketOfKey returns the bucket of a flow.
func BucketOfKey(key flow.Key) Bucket {
	return BucketOf(key.Hash())
}

// Chain names one of the two candidate chains of a bucket.
type Chain uint8

// Chains of a bucket.
const (
	// Admitting is for packets that open a connection. It holds the active targets. If a service
	// has none, it holds all targets except lost ones, whose agents refuse at once.
	Admitting Chain = iota
	// Owners is for all other packets. It holds every target, lost ones last.
	Owners
)

// ChainOf returns the chain for a packet; syn tells whether the packet opens a connection.
func ChainOf(syn bool) Chain {
	if syn {
		return Admitting
	}
	return Owners
}

// score returns the rendezvous hash of a target in a bucket. The lowest score ranks first.
func score(bucket Bucket, id model.TargetID) uint64 {
	var buf [8]byte
	binary.LittleEndian.PutUint32(buf[0:4], uint32(bucket))
	binary.LittleEndian.PutUint32(buf[4:8], uint32(id))
	return xxhash.Sum64(buf[:])
}

// rankedTarget is a target in the ranking of a bucket. The index is that in Service.targets.
type rankedTarget struct {
	score uint64
	index uint8
}

// rank returns the ranking of all targets in a bucket. It reuses the memory of ranking.
func (s *Service) rank(bucket Bucket, ranking []rankedTarget) []rankedTarget {
	ranking = ranking[:0]
	for i := range s.targets {
		ranking = append(ranking, rankedTarget{score: score(bucket, s.targets[i].ID), index: uint8(i)})
	}
	slices.SortFunc(ranking, func(a, b rankedTarget) int {
		// Service.targets is sorted by ID, so the index breaks ties the same way on every node.
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.index, b.index))
	})
	return ranking
}

// inAdmittingChain reports whether a target belongs to the admitting chain.
func (s *Service) inAdmittingChain(t *model.Target) bool {
	if s.activeCount > 0 {
		return t.State == model.TargetActive
	}
	return t.State != model.TargetLost
}

// appendChain appends the target indexes of a chain to dst, given the ranking of the bucket.
func (s *Service) appendChain(kind Chain, ranking []rankedTarget, dst []uint8) []uint8 {
	if kind == Admitting {
		for _, r := range ranking {
			if s.inAdmittingChain(&s.targets[r.index]) {
				dst = append(dst, r.index)
			}
		}
		return dst
	}
	for _, lost := range [...]bool{false, true} {
		for _, r := range ranking {
			if (s.targets[r.index].State == model.TargetLost) == lost {
				dst = append(dst, r.index)
			}
		}
	}
	return dst
}

// FullChain returns the whole chain of a bucket. It computes the ranking on each call, which is too slow
// for the path of every packet.
func (s *Service) FullChain(kind Chain, bucket Bucket) []model.Target {
	var order [model.MaxTargetsPerService]rankedTarget
	var indexes [model.MaxTargetsPerService]uint8
	chain := s.appendChain(kind, s.rank(bucket, order[:0]), indexes[:0])
	targets := make([]model.Target, 0, len(chain))
	for _, i := range chain {
		targets = append(targets, s.targets[i])
	}
	return targets
}

// Extension writes positions 8k to 8k+7 of a chain to candidates and returns how many there are.
// Extension 0 holds the candidates that balancers send. Like FullChain, it computes the ranking.
func (s *Service) Extension(kind Chain, bucket Bucket, k int, candidates *[encap.MaxCandidates]encap.Candidate) int {
	if k < 0 || k > encap.MaxExtensions {
		return 0
	}
	var order [model.MaxTargetsPerService]rankedTarget
	var indexes [model.MaxTargetsPerService]uint8
	chain := s.appendChain(kind, s.rank(bucket, order[:0]), indexes[:0])
	from := min(k*encap.MaxCandidates, len(chain))
	to := min(from+encap.MaxCandidates, len(chain))
	for i, index := range chain[from:to] {
		candidates[i] = encap.CandidateOf(&s.targets[index])
	}
	return to - from
}
