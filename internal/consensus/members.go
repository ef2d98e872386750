package consensus

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/result"
)

// removalNoticeTimeouts is the number of election timeouts for which a leader keeps replicating to a
// removed member, so that it learns of its removal.
const removalNoticeTimeouts = 10

// membership is the set of members that is effective from the entry at index on. A change takes effect
// when its entry is appended to the log, not when it is committed.
type membership struct {
	Position
	Members
	transition *Transition
}

// MemberChange is a change of the members. One field is set, or Promote and one of PromoteToo and Remove: those two members
// change in one step, which has to be followed by Finish or Revert. See Transition.
type MemberChange struct {
	// AddLearner adds a member that receives the log and does not vote.
	AddLearner MemberID
	// Promote turns a learner that has caught up into a voter.
	Promote MemberID
	// PromoteToo is a second learner that becomes a voter.
	PromoteToo MemberID
	// Remove removes a voter or a learner.
	Remove MemberID
	// Finish ends the transition that is in effect: the group has its new voters only.
	Finish bool
	// Revert ends the transition that is in effect: the group has its old voters only, and the new ones are learners.
	Revert bool
}

// Members returns the current members, including an uncommitted change.
func (n *Node) Members() Members { return n.memberships[len(n.memberships)-1].Members }

// membersCommitted reports whether the last change of the members is known to be committed.
func (n *Node) membersCommitted() bool {
	return n.memberships[len(n.memberships)-1].Index <= n.log.commit
}

// mayCampaign reports whether the member may be a candidate: a voter, or one whose removal is not known to be committed. If the
// leader is gone, the latter may be the only one with the entry of its removal. It grants no votes then, because the logs of
// the others are shorter.
func (n *Node) mayCampaign() bool {
	if n.Members().IsVoter(n.cfg.ID) {
		return true
	}
	return !n.membersCommitted() && len(n.memberships) > 1 && n.memberships[len(n.memberships)-2].IsVoter(n.cfg.ID)
}

func (n *Node) membersAt(index uint64) Members {
	for i := len(n.memberships) - 1; i > 0; i-- {
		if n.memberships[i].Index <= index {
			return n.memberships[i].Members
		}
	}
	return n.memberships[0].Members
}

func (n *Node) recordMembers(e Entry) error {
	if e.Kind != EntryMembers {
		return nil
	}
	m, t, err := DecodeMembers(e.Data)
	if err != nil || len(m.Voters) == 0 || t != nil && !t.isWithin(m) {
		return errors.Wrapf(result.New(result.StorageCorrupt, "entry %d does not contain a valid member list", e.Index), "%v", err)
	}
	n.memberships = append(n.memberships, membership{Position: Position{Index: e.Index, Term: e.Term}, Members: m, transition: t})
	return nil
}

// truncateMemberships discards the changes in entries from the given index on, which were overwritten.
func (n *Node) truncateMemberships(from uint64) {
	n.memberships = slices.DeleteFunc(n.memberships, func(m membership) bool { return m.Index >= from && m.Index > 0 })
}

// ProposeMemberChange appends a change of the members to the leader's log. It is rejected while another
// change is uncommitted, and any but the end of a transition while that is in effect.
func (n *Node) ProposeMemberChange(c MemberChange) (Position, error) {
	if err := n.requireLeader(); err != nil {
		return Position{}, err
	}
	// The leader must have committed an entry of its term. Otherwise it may not know of a change that
	// was committed before, and the quorums of both changes may not overlap.
	if !n.membersCommitted() || n.log.commit < n.leadership.termStartIndex {
		return Position{}, result.New(result.MemberChangeBusy, "another membership change is not committed yet")
	}
	members, transition, err := n.applyChange(c)
	if err != nil {
		return Position{}, err
	}
	return n.appendMembers(members, transition), nil
}

func (n *Node) appendMembers(members Members, transition *Transition) Position {
	position := n.appendEntry(EntryMembers, encodeMembers(members, transition))
	n.memberships = append(n.memberships, membership{Position: position, Members: members, transition: transition})
	n.updatePeers()
	return position
}

func (n *Node) applyChange(c MemberChange) (m Members, t *Transition, err error) {
	m, t = n.Members().Clone(), n.transition()
	switch {
	case c == MemberChange{Finish: true} && t != nil:
		return t.end(m, t.New), nil, nil
	case c == MemberChange{Revert: true} && t != nil:
		return t.end(m, t.Old), nil, nil
	case t != nil:
		return m, nil, result.New(result.MemberChangeBusy, "the last change of the members has not been finished")
	case c.Promote != 0 && c == MemberChange{Promote: c.Promote, PromoteToo: c.PromoteToo, Remove: c.Remove} && (c.PromoteToo == 0) != (c.Remove == 0):
		return n.withTransition(m, c)
	case c.AddLearner != 0 && c == MemberChange{AddLearner: c.AddLearner}:
		m, err = n.withLearner(m, c.AddLearner)
	case c.Promote != 0 && c == MemberChange{Promote: c.Promote}:
		m, err = n.withPromoted(m, c.Promote)
	case c.Remove != 0 && c == MemberChange{Remove: c.Remove}:
		m, err = withoutMember(m, c.Remove)
	default:
		err = result.New(result.ConfigInvalid, "the member change %+v is not supported", c)
	}
	return m, nil, err
}

func (n *Node) withLearner(m Members, id MemberID) (Members, error) {
	if m.Contains(id) {
		return m, result.New(result.ConfigInvalid, "member %d already exists", id)
	}
	if len(m.Learners) >= MaxLearners {
		return m, result.New(result.ConfigInvalid, "there are already %d learners", len(m.Learners))
	}
	m.Learners = append(m.Learners, id)
	slices.Sort(m.Learners)
	return m, nil
}

func (n *Node) withPromoted(m Members, id MemberID) (Members, error) {
	if !m.IsLearner(id) {
		return m, result.New(result.PeerUnknown, "member %d is not a learner", id)
	}
	if len(m.Voters) > MaxVoters { // one more only until the voter that this one replaces is removed
		return m, result.New(result.ConfigInvalid, "there are already %d voters", len(m.Voters))
	}
	p := n.leadership.peers[id]
	if p.match < n.log.commit || n.now-p.contactAt > n.cfg.ElectionTimeout {
		return m, result.New(result.MemberChangeBusy,
			"learner %d has the log up to %d of %d and has not caught up", id, p.match, n.log.commit)
	}
	m.Learners = slices.DeleteFunc(m.Learners, func(l MemberID) bool { return l == id })
	m.Voters = append(m.Voters, id)
	slices.Sort(m.Voters)
	return m, nil
}

func withoutMember(m Members, id MemberID) (Members, error) {
	if !m.Contains(id) {
		return m, result.New(result.PeerUnknown, "member %d does not exist", id)
	}
	if m.IsVoter(id) && len(m.Voters) <= MinVoters {
		return m, result.New(result.ConfigInvalid, "cannot remove one of the last %d voters", len(m.Voters))
	}
	isRemoved := func(l MemberID) bool { return l == id }
	m.Voters = slices.DeleteFunc(m.Voters, isRemoved)
	m.Learners = slices.DeleteFunc(m.Learners, isRemoved)
	return m, nil
}

// stepDownIfRemoved makes a leader transfer its leadership and step down once its removal is committed.
func (n *Node) stepDownIfRemoved() {
	current := n.memberships[len(n.memberships)-1]
	if current.Index > n.log.commit || current.IsVoter(n.cfg.ID) {
		return
	}
	n.transferAndStepDown()
}
