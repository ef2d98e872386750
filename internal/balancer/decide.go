// Package balancer forwards the packets of services to the agents of their targets. The Decider
// holds the decision for each packet, the Balancer the sockets and goroutines around it.
package balancer

import (
	"net/netip"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/placement"
)

// HintCacheSize is the number of flows whose owners a balancer remembers.
const HintCacheSize = 65536

// Reasons for which a Decider drops a packet, beside those of flow.Summary.
const (
	DropNoService flow.DropReason = "no_service"
	DropNoTarget  flow.DropReason = "no_target"
	DropSYNData   flow.DropReason = "syn_data"
)

// Decision says what becomes of a packet.
type Decision struct {
	Drop     flow.DropReason
	Datagram []byte         // refers to the buffer of the packet
	To       netip.AddrPort // agent of the first candidate
	SYN      bool
	Hinted   bool // the chain was reordered by a hint
	Hash     uint64
	ISN      uint32 // of the caller, valid for a SYN
}

// Decider decides for one packet at a time. It is not safe for concurrent use.
type Decider struct {
	key    encap.Key
	hints  *simplelru.LRU[uint64, owner] // by flow.Key.Hash; a collision only costs hops
	header encap.Header
}

// owner is what is kept of a hint.
type owner struct {
	service   model.ServiceID
	candidate encap.EncodedCandidate
}

// NewDecider returns a decider without hints. The ingress address is where agents send hints to.
func NewDecider(key encap.Key, ingress netip.AddrPort) (*Decider, error) {
	hints, err := simplelru.NewLRU[uint64, owner](HintCacheSize, nil)
	if err != nil {
		return nil, err
	}
	header := encap.Header{BestWait: encap.NoWait, Ingress: ingress}
	return &Decider{key: key, hints: hints, header: header}, nil
}

// AddHint remembers the owner of a flow.
func (d *Decider) AddHint(hint encap.Hint) {
	d.hints.Add(hint.Flow.Hash(), owner{service: hint.Service, candidate: hint.Owner.Encode()})
}

// Decide encapsulates the packet in buf[offset:] in place, where offset is at least
// encap.MaxHeaderBytes, for the agent of its first candidate. The control age is that of
// encap.Header.
func (d *Decider) Decide(table *placement.Table, buf []byte, offset int, controlAge uint8) Decision {
	packet := buf[offset:]
	var summary flow.Summary
	if drop := summary.Parse(packet); drop != flow.DropNone {
		return Decision{Drop: drop}
	}
	if summary.SYN && summary.HasPayload {
		// Data in a SYN could run twice if two targets answer; see RFC 7413, section 6.1.
		return Decision{Drop: DropSYNData}
	}
	service := table.LookupKey(summary.Destination)
	if service == nil {
		return Decision{Drop: DropNoService}
	}
	kind := placement.ChainOf(summary.SYN)
	var candidates [encap.MaxCandidates]encap.EncodedCandidate
	count := service.Candidates(kind, placement.BucketOf(summary.Hash), &candidates)
	if count == 0 {
		return Decision{Drop: DropNoTarget}
	}
	hinted := d.applyHint(summary.Hash, service, candidates[:count])
	d.header.Service = service.ID
	d.header.Generation = service.Generation
	d.header.ControlAge = controlAge
	return Decision{
		Datagram: d.header.PrependEncoded(buf[:offset+summary.Length], offset, &d.key, candidates[:count]),
		To:       candidates[0].Agent(),
		SYN:      summary.SYN,
		Hinted:   hinted,
		Hash:     summary.Hash,
		ISN:      summary.Seq,
	}
}

// applyHint moves the owner of a flow to the front of its candidates and reports whether it did.
// It never adds a candidate: one that is not among the first positions of the chain would push out
// another, and a stale hint could then hide the real owner.
func (d *Decider) applyHint(hash uint64, service *placement.Service, candidates []encap.EncodedCandidate) bool {
	if d.hints.Len() == 0 || len(candidates) < 2 {
		return false
	}
	hint, ok := d.hints.Get(hash)
	if !ok || hint.service != service.ID {
		return false
	}
	for i, c := range candidates {
		if c == hint.candidate {
			copy(candidates[1:i+1], candidates[:i])
			candidates[0] = c
			return i > 0
		}
	}
	return false
}

// ControlAge encodes the time since the last contact to control for encap.Header.
func ControlAge(age time.Duration) uint8 {
	if age < 0 || age >= encap.MaxControlAge*encap.ControlAgeUnit {
		return encap.MaxControlAge
	}
	return uint8(age / encap.ControlAgeUnit)
}
