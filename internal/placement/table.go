package placement

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/model"
)

// unusedPosition fills up positions of a chain with fewer than encap.MaxCandidates targets.
const unusedPosition = 0xff

// positions holds the first positions of a chain as indexes into Service.targets.
type positions [encap.MaxCandidates]uint8

// Service holds a service, its targets, and the first positions of both chains of each bucket. It is
// immutable once built.
type Service struct {
	model.Service
	// Omitted is the number of targets beyond model.MaxTargetsPerService, which are in no chain. The
	// configuration check rejects services with more targets, so it is normally zero.
	Omitted            int
	targets            []model.Target           // sorted by ID
	encodedTargets     []encap.EncodedCandidate // in the order of targets
	activeCount        int
	admittingPositions []positions // per bucket
	ownerPositions     []positions // per bucket; shared with admittingPositions if all targets are active
}

// Targets returns the targets, sorted by ID. The caller must not modify them.
func (s *Service) Targets() []model.Target {
	return s.targets
}

// Candidates writes the first positions of a chain, encoded for a header, to candidates and returns
// how many there are.
func (s *Service) Candidates(kind Chain, bucket Bucket, candidates *[encap.MaxCandidates]encap.EncodedCandidate) int {
	chain := &s.ownerPositions[bucket]
	if kind == Admitting {
		chain = &s.admittingPositions[bucket]
	}
	for i, index := range chain {
		if index == unusedPosition {
			return i
		}
		candidates[i] = s.encodedTargets[index]
	}
	return len(chain)
}

// Table holds the services of a view. It is immutable once built.
type Table struct {
	generation model.Generation
	byID       map[model.ServiceID]*Service
	byAddress  map[uint64]*Service // by flow.AddressKey
}

// Build returns the table of a view. It reuses services from prev, which may be nil, if their
// generation has not changed. The second result is the number of services that were rebuilt.
func Build(prev *Table, v *model.View) (*Table, int) {
	t := &Table{
		generation: v.Generation,
		byID:       make(map[model.ServiceID]*Service, len(v.Services)),
		byAddress:  make(map[uint64]*Service, len(v.Services)),
	}
	changed := map[model.ServiceID]*Service{}
	for id, service := range v.Services {
		entry := prev.Service(id)
		if entry == nil || entry.Generation != service.Generation {
			entry = &Service{Service: service}
			changed[id] = entry
		}
		t.byID[id] = entry
		t.indexAddress(entry)
	}
	if len(changed) == 0 {
		return t, 0
	}
	for _, target := range v.Targets {
		if s, ok := changed[target.Service]; ok {
			s.targets = append(s.targets, target)
		}
	}
	for _, s := range changed {
		s.buildChains()
	}
	return t, len(changed)
}

// indexAddress adds a service to byAddress. If two services share an address, the one with the
// higher ID is used, which was created later.
func (t *Table) indexAddress(s *Service) {
	key, ok := flow.AddressKey(s.Address)
	if !ok {
		return
	}
	if other := t.byAddress[key]; other == nil || other.ID < s.ID {
		t.byAddress[key] = s
	}
}

// buildChains sorts the targets and computes the positions of both chains in every bucket.
func (s *Service) buildChains() {
	slices.SortFunc(s.targets, func(a, b model.Target) int { return cmp.Compare(a.ID, b.ID) })
	if n := len(s.targets); n > model.MaxTargetsPerService {
		s.Omitted = n - model.MaxTargetsPerService
		s.targets = s.targets[:model.MaxTargetsPerService]
	}
	s.targets = slices.Clip(s.targets)
	s.encodedTargets = make([]encap.EncodedCandidate, 0, len(s.targets))
	for i := range s.targets {
		s.encodedTargets = append(s.encodedTargets, encap.CandidateOf(&s.targets[i]).Encode())
		if s.targets[i].State == model.TargetActive {
			s.activeCount++
		}
	}
	s.ownerPositions = make([]positions, BucketCount)
	s.admittingPositions = s.ownerPositions
	if s.activeCount != len(s.targets) {
		s.admittingPositions = make([]positions, BucketCount)
	}
	var rankingBuffer [model.MaxTargetsPerService]rankedTarget
	for bucket := range Bucket(BucketCount) {
		ranking := s.rank(bucket, rankingBuffer[:0])
		s.ownerPositions[bucket] = s.firstPositions(Owners, ranking)
		if s.activeCount != len(s.targets) {
			s.admittingPositions[bucket] = s.firstPositions(Admitting, ranking)
		}
	}
}

// firstPositions returns the first positions of a chain, given the ranking of the bucket.
func (s *Service) firstPositions(kind Chain, ranking []rankedTarget) positions {
	var indexes [model.MaxTargetsPerService]uint8
	chain := s.appendChain(kind, ranking, indexes[:0])
	var p positions
	for i := range p {
		p[i] = unusedPosition
	}
	copy(p[:], chain)
	return p
}

// Generation returns the generation of the view.
func (t *Table) Generation() model.Generation {
	if t == nil {
		return 0
	}
	return t.generation
}

// Len returns the number of services.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return len(t.byID)
}

// Omitted returns the sum of Service.Omitted over all services.
func (t *Table) Omitted() int {
	n := 0
	for _, s := range t.byID {
		n += s.Omitted
	}
	return n
}

// Service returns a service by its ID, or nil.
func (t *Table) Service(id model.ServiceID) *Service {
	if t == nil {
		return nil
	}
	return t.byID[id]
}

// Lookup returns the service with this address, or nil.
func (t *Table) Lookup(address netip.AddrPort) *Service {
	key, ok := flow.AddressKey(address)
	if !ok {
		return nil
	}
	return t.LookupKey(key)
}

// LookupKey returns the service whose address has this flow.AddressKey, or nil.
func (t *Table) LookupKey(key uint64) *Service {
	if t == nil {
		return nil
	}
	return t.byAddress[key]
}
