package config

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"github.com/greengagelock/greengagelock/internal/model"
)

// MaxRemovedPercent is the share of a service's targets that one edit may drain or remove without an
// acknowledgement.
const MaxRemovedPercent = 30

// EffectKind is the kind of an effect, as shown to operators.
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
	// From is, for AddressMoved, the service that had the address before.
	From      string
	Address   netip.AddrPort
	Targets   []string // names of the affected targets
	Count     int      // number of affected targets
	Of        int      // number of targets to compare Count with, usually those of the service that were not leaving before
	OpenFlows int      // number of open flows on the affected targets
	// Acknowledge is the acknowledgement that an edit with this effect has to carry, or empty if it needs none.
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

// KnownTarget is the state of a registered target before an edit.
type KnownTarget struct {
	VM        model.VM
	Service   string
	Admitting bool // admits new flows
	Leaving   bool // already draining
	OpenFlows int
}

// AddressHolder is a service that has an address: one of the document before the edit, or a removed one whose
// flows have not ended.
type AddressHolder struct {
	Service   string
	Workspace model.Workspace
	Address   netip.AddrPort
}

// Plan returns the effects of replacing a document, ordered by service. retiring holds the removed services
// whose flows have not ended. The numbers of open flows do not influence which effects there are.
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

// MissingAcknowledgements returns the acknowledgements that the effects need and that were not given.
func MissingAcknowledgements(effects []Effect, given []string) []string {
	var missing []string
	for _, e := range effects {
		if e.Acknowledge != "" && !slices.Contains(given, e.Acknowledge) && !slices.Contains(missing, e.Acknowledge) {
			missing = append(missing, e.Acknowledge)
		}
	}
	return missing
}

// planner collects the effects of an edit.
type planner struct {
	before, after *Index
	byService     map[string][]KnownTarget
	effects       []Effect
}

// addAddressMoves adds the effects of addresses that move from one service to another, and of removed services
// that return with another address while they still have flows.
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

// addAddressChange adds the effect of a changed address: flows to the old one no longer reach the service.
func (p *planner) addAddressChange(s *Service) {
	known := p.byService[s.Name]
	p.effects = append(p.effects, Effect{
		Kind: AddressChanged, Service: s.Name, Address: s.Address,
		Count: len(known), Of: len(known), OpenFlows: totalOpenFlows(known), Acknowledge: "readdresses:" + s.Name,
	})
}

// addServiceEffects adds the effects on one service of the new document.
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

// samePolicy compares everything but the addresses and the selectors, whose changes have effects of their own.
func samePolicy(a, b *Service) bool {
	return a.Workspace == b.Workspace && a.Class == b.Class && a.MaxQueueWait == b.MaxQueueWait && a.Ramp == b.Ramp &&
		a.DrainTimeout == b.DrainTimeout && a.Silence == b.Silence
}

// addServiceRemoval adds the effects of removing a service.
func (p *planner) addServiceRemoval(s *Service) {
	known := p.byService[s.Name]
	p.effects = append(p.effects, Effect{
		Kind: ServiceRemoved, Service: s.Name, Address: s.Address,
		Count: len(known), Of: len(known), OpenFlows: totalOpenFlows(known),
	})
	p.addGuardedRemoval(s.Name, notLeaving(known), nil, known)
	p.addEmptySelection(s.Name)
}

// addTargetEffects adds the effects on the targets of a service that exists before and after the edit.
func (p *planner) addTargetEffects(service string) {
	known := p.byService[service]
	var drained, removed, returned, remaining []KnownTarget
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
			remaining = append(remaining, t)
		case !t.Leaving:
			remaining = append(remaining, t)
		}
	}
	before := notLeaving(known)
	p.addTargetGroup(TargetsDrained, service, drained, len(before))
	p.addTargetGroup(TargetsRemoved, service, removed, len(before))
	p.addTargetGroup(TargetsReturned, service, returned, len(before))
	p.addGuardedRemoval(service, before, remaining, append(drained, removed...))
	p.addEmptySelection(service)
}

// addEmptySelection adds the effect of an edit that leaves no VM to serve a service. Such a service would stay
// empty, so that this needs an acknowledgement even if none of its targets has announced itself yet.
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

// addGuardedRemoval adds the effect that needs an acknowledgement, if the withdrawn targets are too many. A service
// counts as emptied if it has no target left that admits new flows, even if lost or ejected ones remain.
func (p *planner) addGuardedRemoval(service string, before, remaining, withdrawn []KnownTarget) {
	withdrawn = notLeaving(withdrawn)
	if len(withdrawn) == 0 {
		return
	}
	effect := Effect{Service: service, Targets: targetNames(withdrawn), Count: len(withdrawn), Of: len(before), OpenFlows: totalOpenFlows(withdrawn)}
	if len(remaining) == 0 || (countAdmitting(before) > 0 && countAdmitting(remaining) == 0) {
		effect.Kind, effect.Acknowledge = ServiceEmptied, "empties:"+service
		p.effects = append(p.effects, effect)
		return
	}
	if len(withdrawn)*100 > MaxRemovedPercent*len(before) {
		effect.Kind, effect.Acknowledge = ManyRemoved, "removes:"+service
		p.effects = append(p.effects, effect)
	}
}

// addTargetGroup adds one effect for all given targets, if there are any.
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
