package config

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"github.com/greengagelock/greengagelock/internal/model"
)

// MaxRemovedPercent is the share of a service's targets that one edit may take away without an
// acknowledgement.
const MaxRemovedPercent = 30

// EffectKind is what an effect does.
type EffectKind string

// Kinds of effects.
const (
	ServiceAdded    EffectKind = "service added"
	ServiceRemoved  EffectKind = "service removed"
	ServiceChanged  EffectKind = "service changed"
	ServiceEmptied  EffectKind = "service emptied"
	AddressMoved    EffectKind = "address moved"
	AddressChanged  EffectKind = "address changed"
	TargetsDrained  EffectKind = "targets drained"
	TargetsRemoved  EffectKind = "targets removed"
	TargetsReturned EffectKind = "targets returned"
	ManyRemoved     EffectKind = "many targets removed"
)

// Effect is one consequence of an edit.
type Effect struct {
	Kind    EffectKind
	Service string
	// From is the service that held the address before, for AddressMoved.
	From      string
	Address   netip.AddrPort
	Targets   []string // names
	Count     int      // of targets that the effect touches
	Of        int      // targets of the service before the edit that were not leaving
	OpenFlows int      // flows open on these targets
	// Acknowledge is the string that an edit with this effect has to carry; empty if none.
	Acknowledge string
}

// String returns the effect on one line.
func (e Effect) String() string {
	text := fmt.Sprintf("%s: %s", e.Kind, e.Service)
	if e.From != "" {
		text += fmt.Sprintf(" takes %v from %s", e.Address, e.From)
	} else if e.Address.IsValid() {
		text += fmt.Sprintf(" at %v", e.Address)
	}
	if e.Count > 0 {
		text += fmt.Sprintf(", %d of %d targets, %d open flows", e.Count, e.Of, e.OpenFlows)
	}
	return text
}

// KnownTarget is a registered target at the time of an edit.
type KnownTarget struct {
	VM        model.VM
	Service   string
	Admitting bool // takes new flows now
	Leaving   bool // drains already
	OpenFlows int
}

// AddressHolder is a service that still holds an address, because it is in the old document or because
// flows of a removed service have not ended.
type AddressHolder struct {
	Service   string
	Workspace model.Workspace
	Address   netip.AddrPort
}

// Plan returns the effects of replacing a document, ordered by service. Which effects there are
// depends on the documents, the targets and the holders; open flows are only reported.
func Plan(before, after *Document, targets []KnownTarget, retiring []AddressHolder) []Effect {
	p := &planner{before: NewIndex(before), after: NewIndex(after), byService: map[string][]KnownTarget{}}
	for _, t := range targets {
		p.byService[t.Service] = append(p.byService[t.Service], t)
	}
	p.addAddressMoves(retiring)
	for i := range after.Services {
		p.addServiceEffects(&after.Services[i])
	}
	for i := range before.Services {
		if s := &before.Services[i]; p.after.Service(s.Name) == nil {
			p.addServiceRemoval(s)
		}
	}
	slices.SortStableFunc(p.effects, func(a, b Effect) int { return cmp.Compare(a.Service, b.Service) })
	return p.effects
}

// Missing returns the acknowledgements that the effects need and that are not given.
func Missing(effects []Effect, given []string) []string {
	var missing []string
	for _, e := range effects {
		if e.Acknowledge != "" && !slices.Contains(given, e.Acknowledge) && !slices.Contains(missing, e.Acknowledge) {
			missing = append(missing, e.Acknowledge)
		}
	}
	return missing
}

type planner struct {
	before, after *Index
	byService     map[string][]KnownTarget
	effects       []Effect
}

// addAddressMoves reports the addAddressMoves that pass from one service to another, and the removed services
// that come back at another address while they still have flows.
func (p *planner) addAddressMoves(retiring []AddressHolder) {
	holders := map[netip.AddrPort]AddressHolder{}
	for _, h := range retiring {
		holders[h.Address] = h
		if s := p.after.Service(h.Service); s != nil && s.Address != h.Address {
			p.addAddressChange(s)
		}
	}
	for i := range p.before.Document.Services {
		s := &p.before.Document.Services[i]
		holders[s.Address] = AddressHolder{Service: s.Name, Workspace: s.Workspace, Address: s.Address}
	}
	for i := range p.after.Document.Services {
		s := &p.after.Document.Services[i]
		holder, held := holders[s.Address]
		if !held || (holder.Service == s.Name && holder.Workspace == s.Workspace) {
			continue
		}
		known := p.byService[holder.Service]
		p.effects = append(p.effects, Effect{
			Kind: AddressMoved, Service: s.Name, From: holder.Service, Address: s.Address,
			Count: len(known), Of: len(known), OpenFlows: totalOpenFlows(known),
			Acknowledge: fmt.Sprintf("moves:%v:%s:%s", s.Address, holder.Service, s.Name),
		})
	}
}

// addAddressChange reports that flows to the old address cannot reach the service any more.
func (p *planner) addAddressChange(s *Service) {
	known := p.byService[s.Name]
	p.effects = append(p.effects, Effect{
		Kind: AddressChanged, Service: s.Name, Address: s.Address,
		Count: len(known), Of: len(known), OpenFlows: totalOpenFlows(known), Acknowledge: "readdresses:" + s.Name,
	})
}

func (p *planner) addServiceEffects(after *Service) {
	before := p.before.Service(after.Name)
	if before == nil {
		p.effects = append(p.effects, Effect{Kind: ServiceAdded, Service: after.Name, Address: after.Address})
		return
	}
	p.addServiceChanges(before, after)
	p.addTargetEffects(after.Name)
}

func (p *planner) addServiceChanges(before, after *Service) {
	if before.Address != after.Address {
		p.addAddressChange(after)
	}
	if !samePolicy(before, after) {
		p.effects = append(p.effects, Effect{Kind: ServiceChanged, Service: after.Name})
	}
}

func samePolicy(a, b *Service) bool {
	return a.Workspace == b.Workspace && a.Class == b.Class && a.MaxQueueWait == b.MaxQueueWait && a.Ramp == b.Ramp &&
		a.DrainTimeout == b.DrainTimeout && a.Silence == b.Silence
}

func (p *planner) addServiceRemoval(s *Service) {
	known := p.byService[s.Name]
	p.effects = append(p.effects, Effect{
		Kind: ServiceRemoved, Service: s.Name, Address: s.Address,
		Count: len(known), Of: len(known), OpenFlows: totalOpenFlows(known),
	})
	p.addGuardedRemoval(s.Name, notLeaving(known), nil, known)
	p.addEmptySelection(s.Name)
}

// addTargetEffects reports what happens to the addTargetEffects of a service that stays.
func (p *planner) addTargetEffects(service string) {
	known := p.byService[service]
	var drained, removed, returned, rest []KnownTarget
	for _, t := range known {
		switch {
		case p.after.DisallowedReason(t.VM, service) != "":
			if !t.Leaving {
				removed = append(removed, t)
			}
		case p.after.Leaving(t.VM, service):
			if !t.Leaving {
				drained = append(drained, t)
			}
		case t.Leaving && (p.before.Leaving(t.VM, service) || p.before.DisallowedReason(t.VM, service) != ""):
			returned = append(returned, t)
			rest = append(rest, t)
		case !t.Leaving:
			rest = append(rest, t)
		}
	}
	before := notLeaving(known)
	p.addTargetGroup(TargetsDrained, service, drained, len(before))
	p.addTargetGroup(TargetsRemoved, service, removed, len(before))
	p.addTargetGroup(TargetsReturned, service, returned, len(before))
	p.addGuardedRemoval(service, before, rest, append(drained, removed...))
	p.addEmptySelection(service)
}

// addEmptySelection adds the effect of an edit that leaves no VM to serve a service, even if none of
// its targets has announced itself yet: the service would stay empty without a word.
func (p *planner) addEmptySelection(service string) {
	before := p.before.CountSelected(service)
	if before == 0 || p.after.CountSelected(service) > 0 {
		return
	}
	acknowledge := "empties:" + service
	if slices.ContainsFunc(p.effects, func(e Effect) bool { return e.Acknowledge == acknowledge }) {
		return
	}
	p.effects = append(p.effects, Effect{Kind: ServiceEmptied, Service: service, Acknowledge: acknowledge})
}

// addGuardedRemoval adds the effects that need an acknowledgement. A service counts as emptied when no target
// that takes new flows now is left, even if lost or ejected ones are.
func (p *planner) addGuardedRemoval(service string, before, rest, taken []KnownTarget) {
	taken = notLeaving(taken)
	if len(taken) == 0 {
		return
	}
	effect := Effect{Service: service, Targets: targetNames(taken), Count: len(taken), Of: len(before), OpenFlows: totalOpenFlows(taken)}
	if len(rest) == 0 || (countAdmitting(before) > 0 && countAdmitting(rest) == 0) {
		effect.Kind, effect.Acknowledge = ServiceEmptied, "empties:"+service
		p.effects = append(p.effects, effect)
		return
	}
	if len(taken)*100 > MaxRemovedPercent*len(before) {
		effect.Kind, effect.Acknowledge = ManyRemoved, "removes:"+service
		p.effects = append(p.effects, effect)
	}
}

func (p *planner) addTargetGroup(kind EffectKind, service string, targets []KnownTarget, of int) {
	if len(targets) > 0 {
		p.effects = append(p.effects, Effect{
			Kind: kind, Service: service, Targets: targetNames(targets), Count: len(targets), Of: of, OpenFlows: totalOpenFlows(targets),
		})
	}
}

func notLeaving(targets []KnownTarget) []KnownTarget {
	var list []KnownTarget
	for _, t := range targets {
		if !t.Leaving {
			list = append(list, t)
		}
	}
	return list
}

func countAdmitting(targets []KnownTarget) int {
	count := 0
	for _, t := range targets {
		if t.Admitting {
			count++
		}
	}
	return count
}

func targetNames(targets []KnownTarget) []string {
	var names []string
	for _, t := range targets {
		names = append(names, TargetName(t.VM, t.Service))
	}
	slices.Sort(names)
	return names
}

func totalOpenFlows(targets []KnownTarget) int {
	total := 0
	for _, t := range targets {
		total += t.OpenFlows
	}
	return total
}
