package placement

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/model"
)

// noPosition marks the end of a chain with less than encap.MaxCandidates positions.
const noPosition = 0xff

// positions are the first positions of a chain, as indexes of targets.
type positions [encap.MaxCandidates]uint8

// Service holds a service with its targets and the start of the chains of its buckets. It is not
// modified once built.
type Service struct {
	model.Service
	// Omitted counts targets beyond model.MaxTargetsPerService, which take no part. The
	// configuration check keeps it at zero.
	Omitted    int
	targets    []model.Target // ordered by ID
	candidates []encap.EncodedCandidate
	active     int
	admitting  []positions // per bucket
	owners     []positions // per bucket, the same slice as admitting while they agree
}

// Targets returns the targets, ordered by ID. The caller must not modify them.
func (s *Service) Targets() []model.Target {
	return s.targets
}

// Candidates puts the start of a chain, encoded for a header, into candidates and returns how many
// there are.
func (s *Service) Candidates(kind Chain, bucket Bucket, candidates *[encap.MaxCandidates]encap.EncodedCandidate) int {
	chain := &s.owners[bucket]
	if kind == Admitting {
		chain = &s.admitting[bucket]
	}
	for i, index := range chain {
		if index == noPosition {
			return i
		}
		candidates[i] = s.candidates[index]
	}
	return len(chain)
}

// Table holds the services of a view. It is not modified once built.
type Table struct {
	generation model.Generation
	byID       map[model.ServiceID]*Service
	byAddress  map[uint64]*Service // by flow.AddressKey
}

// Build returns the table of a view. It takes the services whose generation has not changed over
// from prev, which may be nil. The second result counts the services that were rebuilt.
func Build(prev *Table, v *model.View) (*Table, int) {
	t := &Table{
		generation: v.Generation,
		byID:       make(map[model.ServiceID]*Service, len(v.Services)),
		byAddress:  make(map[uint64]*Service, len(v.Services)),
	}
	changed := map[model.ServiceID]*Service{}
	for id, service := range v.Services {
		old := prev.Service(id)
		if old == nil || old.Generation != service.Generation {
			old = &Service{Service: service}
			changed[id] = old
		}
		t.byID[id] = old
		t.addAddress(old)
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
		s.build()
	}
	return t, len(changed)
}

// addAddress registers the address of a service. Should two services have one address, the one
// with the higher ID has it, because it was created later.
func (t *Table) addAddress(s *Service) {
	key, ok := flow.AddressKey(s.Address)
	if !ok {
		return
	}
	if other := t.byAddress[key]; other == nil || other.ID < s.ID {
		t.byAddress[key] = s
	}
}

// build fills the tables of a service from its targets.
func (s *Service) build() {
	slices.SortFunc(s.targets, func(a, b model.Target) int { return cmp.Compare(a.ID, b.ID) })
	if n := len(s.targets); n > model.MaxTargetsPerService {
		s.Omitted = n - model.MaxTargetsPerService
		s.targets = s.targets[:model.MaxTargetsPerService]
	}
	s.targets = slices.Clip(s.targets)
	s.candidates = make([]encap.EncodedCandidate, 0, len(s.targets))
	for i := range s.targets {
		s.candidates = append(s.candidates, encap.CandidateOf(&s.targets[i]).Encode())
		if s.targets[i].State == model.TargetActive {
			s.active++
		}
	}
	s.owners = make([]positions, BucketCount)
	s.admitting = s.owners
	if s.active != len(s.targets) {
		s.admitting = make([]positions, BucketCount)
	}
	var order [model.MaxTargetsPerService]ranked
	for bucket := range Bucket(BucketCount) {
		ranking := s.rank(bucket, order[:0])
		s.owners[bucket] = s.start(Owners, ranking)
		if s.active != len(s.targets) {
			s.admitting[bucket] = s.start(Admitting, ranking)
		}
	}
}

// start returns the first positions of a chain.
func (s *Service) start(kind Chain, ranking []ranked) positions {
	var indexes [model.MaxTargetsPerService]uint8
	chain := s.chain(kind, ranking, indexes[:0])
	var p positions
	for i := range p {
		p[i] = noPosition
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

// Omitted returns the number of targets beyond model.MaxTargetsPerService in all services.
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

// Lookup returns the service with an address, or nil.
func (t *Table) Lookup(address netip.AddrPort) *Service {
	key, ok := flow.AddressKey(address)
	if !ok {
		return nil
	}
	return t.LookupKey(key)
}

// LookupKey returns the service with the address of a flow.AddressKey, or nil.
func (t *Table) LookupKey(key uint64) *Service {
	if t == nil {
		return nil
	}
	return t.byAddress[key]
}
