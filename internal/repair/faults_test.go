package repair_test

import (
	"strings"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/repair"
)

// fault is a fault of earlier builds that a world puts back.
type fault int

const (
	noFault fault = iota
	// growOnPlannedReplacement lets every learner become a voter, also in a complete group.
	growOnPlannedReplacement
	// askSeedsOnly keeps a controller from asking those that a reply names, and others from forwarding requests.
	askSeedsOnly
	// forgetFirstNames loses the names of the first members with the process, and removes members by their names.
	forgetFirstNames
	// productionRules decides as the production build does: the voters that are gone are removed before a learner is promoted,
	// all of them for the first learner, and every learner becomes a voter.
	productionRules
	// leaveOnPromotion ends a stopping controller once no learner is left that can replace it.
	leaveOnPromotion
	// pauseAfterChange looks for the next change of the members only at the next interval.
	pauseAfterChange
	// removeFirst removes the voter that a learner replaces before the learner is promoted.
	removeFirst
	// singleChanges promotes the learner that replaces a voter, or one of two, and looks for the next change after that.
	singleChanges
	// replaceTwo does so with every voter that is lost, also if there is one learner for two of them.
	replaceTwo
)

// has reports whether the process has a fault of earlier builds.
func (p *proc) has(f fault) bool {
	return p.w.fault == f || p.old && (f == askSeedsOnly || f == forgetFirstNames || f == productionRules)
}

// stays reports whether a process that is stopping stays.
func (p *proc) stays(l *repair.Leaver) bool {
	status := p.node.Status(p.clock())
	learners := len(status.Members.Learners)
	if p.has(leaveOnPromotion) {
		return p.isVoter() && learners > 0
	}
	return l.Stays(p.isVoter() || !(status.MembersIndex <= status.Commit), len(status.Members.Voters), learners)
}

// decide returns the change that is due by the rules of the build.
func (p *proc) decide(g repair.Group) repair.Change {
	switch {
	case p.has(productionRules):
		return decideAsProduction(&g)
	case p.w.fault == removeFirst:
		return removeBeforePromotion(&g, repair.Decide(g), 2*g.Losses)
	case p.w.fault == replaceTwo:
		return removeBeforePromotion(&g, repair.Decide(g), 2)
	}
	c := repair.Decide(g)
	if p.has(singleChanges) || p.has(leaveOnPromotion) || p.has(pauseAfterChange) {
		return asSingleChange(c)
	}
	return c
}

// asSingleChange turns a change of two voters into the promotion of a learner.
func asSingleChange(c repair.Change) repair.Change {
	if c.Kind == repair.Replace || c.Kind == repair.PromoteTwo {
		c.Kind, c.Other = repair.Promote, 0
	}
	return c
}

// removeBeforePromotion turns the promotion of a learner into the removal of the voter that it replaces, as long as a number of
// voters and a majority of them are left.
func removeBeforePromotion(g *repair.Group, c repair.Change, left int) repair.Change {
	replaced, ok := strings.CutPrefix(c.Reason, "it replaces ")
	var member repair.Member
	voters, alive := 0, 0
	for _, m := range g.Members {
		switch {
		case !m.Voter:
		case m.Name == replaced:
			member = m
		default:
			voters++
			if m.Self || m.ContactAge <= repair.LostAfter {
				alive++
			}
		}
	}
	if !ok || member.Leaving || voters < left || alive <= voters/2 {
		return c
	}
	return repair.Change{Kind: repair.Remove, ID: member.ID, Name: replaced}
}

// decideAsProduction is the decision of the production build.
func decideAsProduction(g *repair.Group) repair.Change {
	isLost := func(m *repair.Member) bool { return !m.Self && m.ContactAge > repair.LostAfter }
	remove := func(m *repair.Member) repair.Change {
		return repair.Change{Kind: repair.Remove, ID: m.ID, Name: m.Name}
	}
	var learner, lost, onVM *repair.Member
	voters, learners, alive := 0, 0, 0
	known := map[string]bool{}
	for i := range g.Members {
		m := &g.Members[i]
		known[m.Name] = true
		switch {
		case m.Voter:
			voters++
			if isLost(m) {
				lost = m
			} else {
				alive++
			}
		case isLost(m):
			return remove(m)
		default:
			learners++
			if learner == nil && m.Match >= g.Commit {
				learner = m
			}
		}
	}
	for _, j := range g.Joining {
		if learners < consensus.MaxLearners && voters+learners < consensus.MaxVoters+consensus.MaxLearners && !known[j.Name] {
			return repair.Change{Kind: repair.AddLearner, ID: j.ID, Name: j.Name}
		}
	}
	for i := range g.Members {
		if m := &g.Members[i]; m.Voter && learner != nil && m.Address == learner.Address {
			onVM = m
		}
	}
	hasQuorumWithout := func(m *repair.Member) bool {
		rest := alive
		if !isLost(m) {
			rest--
		}
		return voters >= 3 && rest > (voters-1)/2
	}
	replaced := onVM
	if replaced == nil {
		replaced = lost
	}
	switch {
	case learner != nil && replaced != nil:
		if hasQuorumWithout(replaced) {
			return remove(replaced)
		}
	case learner != nil && voters < consensus.MaxVoters:
		return repair.Change{Kind: repair.Promote, ID: learner.ID, Name: learner.Name}
	case lost != nil && voters >= 4 && voters%2 == 0 && hasQuorumWithout(lost):
		return remove(lost)
	}
	return repair.Change{}
}
