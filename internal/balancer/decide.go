// Package balancer forwards packets of callers to the agents of a service's targets. A Decider chooses the
// candidates for each packet and encapsulates it. A Balancer runs the sockets and goroutines around it.
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

// HintCacheSize is the number of flows whose owners a balancer caches.
const HintCacheSize = 65536

// Reasons why a Decider drops a packet, in addition to those of flow.Summary.
const (
	DropNoService flow.DropReason = "no_service"
	DropNoTarget  flow.DropReason = "no_target"
	DropSYNData   flow.DropReason = "syn_data"
)

// Decision is the outcome for a packet: a drop reason, or a datagram and its destination.
type Decision struct {
	Drop     flow.DropReason
	Datagram []byte         // refers to the buffer of the packet
	To       netip.AddrPort // agent of the first candidate
	SYN      bool
	Hinted   bool // a hint moved the owner to the front of the candidates
	Hash     uint64
	ISN      uint32 // initial sequence number of the caller; valid only if SYN is true
}

// Decider chooses the candidates for one packet at a time. It is not safe for concurrent use.
type Decider struct {
	key    encap.Key
	hints  *simplelru.LRU[uint64, cachedHint] // by flow.Key.Hash; a collision only causes more hops
	header encap.Header
}

// cachedHint holds the service and the owner of a hint.
type cachedHint struct {
	service model.ServiceID
	owner   encap.EncodedCandidate
}

// NewDecider returns a decider without hints. Agents send hints to the ingress address.
func NewDecider(key encap.Key, ingress netip.AddrPort) (*Decider, error) {
	hints, err := simplelru.NewLRU[uint64, cachedHint](HintCacheSize, nil)
	if err != nil {
		return nil, err
	}
	header := encap.Header{BestWait: encap.NoBestWait, Ingress: ingress}
	return &Decider{key: key, hints: hints, header: header}, nil
}

// AddHint caches the owner of a flow.
func (d *Decider) AddHint(hint encap.Hint) {
	d.hints.Add(hint.Flow.Hash(), cachedHint{service: hint.Service, owner: hint.Owner.Encode()})
}

// Decide chooses the candidates for the packet in buf[offset:] and encapsulates it in place for the agent
// of the first one. The offset must be at least encap.MaxHeaderBytes. The control age is in
// encap.ControlAgeUnit, see EncodeControlAge.
func (d *Decider) Decide(table *placement.Table, buf []byte, offset int, controlAge uint8) Decision {
	packet := buf[offset:]
	var summary flow.Summary
	if drop := summary.Parse(packet); drop != flow.DropNone {
		return Decision{Drop: drop}
	}
	if summary.SYN && summary.HasPayload {
		// If two targets receive the SYN, its data could be processed twice; see RFC 7413, section 6.1.
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
	hinted := d.moveOwnerToFront(summary.Hash, service, candidates[:count])
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

// moveOwnerToFront moves the hinted owner of a flow to the front of the candidates and reports whether
// their order changed. It never adds an owner that is not among the candidates: the owner would replace
// another candidate, and a stale hint could thus remove the real owner.
func (d *Decider) moveOwnerToFront(hash uint64, service *placement.Service, candidates []encap.EncodedCandidate) bool {
	if d.hints.Len() == 0 || len(candidates) < 2 {
		return false
	}
	hint, ok := d.hints.Get(hash)
	if !ok || hint.service != service.ID {
		return false
	}
	for i, c := range candidates {
		if c == hint.owner {
			copy(candidates[1:i+1], candidates[:i])
			candidates[0] = c
			return i > 0
		}
	}
	return false
}

// EncodeControlAge converts the time since the last contact to a controller to encap.ControlAgeUnit. It
// returns encap.MaxControlAge for a longer or negative time.
func EncodeControlAge(age time.Duration) uint8 {
	if age < 0 || age >= encap.MaxControlAge*encap.ControlAgeUnit {
		return encap.MaxControlAge
	}
	return uint8(age / encap.ControlAgeUnit)
}
