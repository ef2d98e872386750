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
	index uint64
	Members
}

// MemberChange is a change of one member. Exactly one field is set.
type MemberChange struct {
	// AddLearner adds a member that receives the log and does not vote.
	AddLearner MemberID
	// Promote turns a learner that has caught up into a voter.
	Promote MemberID
	// Remove removes a voter or a learner.
	Remove MemberID
}

// Members returns the current members, including an uncommitted change.
func (n *Node) Members() Members { return n.memberships[len(n.memberships)-1].Members }

// membersCommitted reports whether the last change of the members is known to be committed.
func (n *Node) membersCommitted() bool {
	return n.memberships[len(n.memberships)-1].index <= n.log.commit
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
		if n.memberships[i].index <= index {
			return n.memberships[i].Members
		}
	}
	return n.memberships[0].Members
}

func (n *Node) recordMembers(e Entry) error {
	if e.Kind != EntryMembers {
		return nil
	}
	m, err := DecodeMembers(e.Data)
	if err != nil || len(m.Voters) == 0 {
		return errors.Wrapf(result.New(result.StorageCorrupt, "entry %d does not contain a valid member list", e.Index), "%v", err)
	}
	n.memberships = append(n.memberships, membership{index: e.Index, Members: m})
	return nil
}

// truncateMemberships discards the changes in entries from the given index on, which were overwritten.
func (n *Node) truncateMemberships(from uint64) {
	n.memberships = slices.DeleteFunc(n.memberships, func(m membership) bool { return m.index >= from && m.index > 0 })
}

// ProposeMemberChange appends a change of one member to the leader's log. It is rejected while another
// change is uncommitted.
func (n *Node) ProposeMemberChange(c MemberChange) (Position, error) {
	if err := n.requireLeader(); err != nil {
		return Position{}, err
	}
	// The leader must have committed an entry of its term. Otherwise it may not know of a change that
	// was committed before, and the quorums of both changes may not overlap.
	if n.memberships[len(n.memberships)-1].index > n.log.commit || n.log.commit < n.leadership.termStartIndex {
		return Position{}, result.New(result.MemberChangeBusy, "another membership change is not committed yet")
	}
	members, err := n.applyChange(c)
	if err != nil {
		return Position{}, err
	}
	position := n.appendEntry(EntryMembers, encodeMembers(members))
	n.memberships = append(n.memberships, membership{index: position.Index, Members: members})
	n.updatePeers()
	return position, nil
}

func (n *Node) applyChange(c MemberChange) (Members, error) {
	m := n.Members().Clone()
	switch {
	case c.AddLearner != 0 && c.Promote == 0 && c.Remove == 0:
		return n.withLearner(m, c.AddLearner)
	case c.Promote != 0 && c.AddLearner == 0 && c.Remove == 0:
		return n.withPromoted(m, c.Promote)
	case c.Remove != 0 && c.AddLearner == 0 && c.Promote == 0:
		return withoutMember(m, c.Remove)
	}
	return m, result.New(result.ConfigInvalid, "a member change names %d, %d and %d, want one member",
		c.AddLearner, c.Promote, c.Remove)
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
	if current.index > n.log.commit || current.IsVoter(n.cfg.ID) {
		return
	}
	n.transferAndStepDown()
}
