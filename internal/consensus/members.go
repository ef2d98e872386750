package consensus

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/result"
)

// removalNotice is the number of election timeouts for which a leader tries to tell a member that
// it was removed.
const removalNotice = 10

// membersAt are the members in force from the entry at index on. A change is in force as soon as
// its entry is in the log, not when it is committed.
type membersAt struct {
	index uint64
	Members
}

// MemberChange is a change of one member. Exactly one field is set.
type MemberChange struct {
	// AddLearner adds a member that gets the log and does not vote.
	AddLearner MemberID
	// Promote makes a learner that has caught up a voter.
	Promote MemberID
	// Remove removes a voter or a learner.
	Remove MemberID
}

// Members returns the members in force.
func (n *Node) Members() Members { return n.history[len(n.history)-1].Members }

func (n *Node) membersAt(index uint64) Members {
	for i := len(n.history) - 1; i > 0; i-- {
		if n.history[i].index <= index {
			return n.history[i].Members
		}
	}
	return n.history[0].Members
}

func (n *Node) noteMembers(e Entry) error {
	if e.Kind != EntryMembers {
		return nil
	}
	m, err := DecodeMembers(e.Data)
	if err != nil || len(m.Voters) == 0 {
		return errors.Wrapf(result.New(result.StorageCorrupt, "entry %d holds no list of members", e.Index), "%v", err)
	}
	n.history = append(n.history, membersAt{index: e.Index, Members: m})
	return nil
}

// forgetMembers forgets changes whose entries were replaced.
func (n *Node) forgetMembers(from uint64) {
	n.history = slices.DeleteFunc(n.history, func(m membersAt) bool { return m.index >= from && m.index > 0 })
}

// ProposeMemberChange appends a change of one member to the log of the leader. A change is
// refused while another one is not committed.
func (n *Node) ProposeMemberChange(c MemberChange) (Position, error) {
	if err := n.checkLeading(); err != nil {
		return Position{}, err
	}
	// The leader must have committed an entry of its term: otherwise it may not know of a change
	// that was committed before, and the majorities of both changes may not overlap.
	if n.history[len(n.history)-1].index > n.log.commit || n.log.commit < n.lead.termStart {
		return Position{}, result.New(result.MemberChangeBusy, "another change of members is not committed")
	}
	members, err := n.changed(c)
	if err != nil {
		return Position{}, err
	}
	position := n.appendEntry(EntryMembers, encodeMembers(members))
	n.history = append(n.history, membersAt{index: position.Index, Members: members})
	n.syncPeers()
	return position, nil
}

func (n *Node) changed(c MemberChange) (Members, error) {
	m := n.Members().Clone()
	switch {
	case c.AddLearner != 0 && c.Promote == 0 && c.Remove == 0:
		return n.withLearner(m, c.AddLearner)
	case c.Promote != 0 && c.AddLearner == 0 && c.Remove == 0:
		return n.withPromoted(m, c.Promote)
	case c.Remove != 0 && c.AddLearner == 0 && c.Promote == 0:
		return without(m, c.Remove)
	}
	return m, result.New(result.ConfigInvalid, "a member change names %d, %d and %d, want one member",
		c.AddLearner, c.Promote, c.Remove)
}

func (n *Node) withLearner(m Members, id MemberID) (Members, error) {
	if m.Contains(id) {
		return m, result.New(result.ConfigInvalid, "member %d exists", id)
	}
	if len(m.Learners) >= MaxLearners {
		return m, result.New(result.ConfigInvalid, "there are %d learners already", len(m.Learners))
	}
	m.Learners = append(m.Learners, id)
	slices.Sort(m.Learners)
	return m, nil
}

func (n *Node) withPromoted(m Members, id MemberID) (Members, error) {
	if !m.IsLearner(id) {
		return m, result.New(result.PeerUnknown, "member %d is no learner", id)
	}
	if len(m.Voters) >= MaxVoters {
		return m, result.New(result.ConfigInvalid, "there are %d voters already", len(m.Voters))
	}
	p := n.lead.peers[id]
	if p.match < n.log.commit || n.now-p.contact > n.cfg.ElectionTimeout {
		return m, result.New(result.MemberChangeBusy,
			"learner %d has the log up to %d of %d and has not caught up", id, p.match, n.log.commit)
	}
	m.Learners = slices.DeleteFunc(m.Learners, func(l MemberID) bool { return l == id })
	m.Voters = append(m.Voters, id)
	slices.Sort(m.Voters)
	return m, nil
}

func without(m Members, id MemberID) (Members, error) {
	if !m.Contains(id) {
		return m, result.New(result.PeerUnknown, "there is no member %d", id)
	}
	if m.IsVoter(id) && len(m.Voters) <= MinVoters {
		return m, result.New(result.ConfigInvalid, "only %d voters are left", len(m.Voters))
	}
	other := func(l MemberID) bool { return l == id }
	m.Voters = slices.DeleteFunc(m.Voters, other)
	m.Learners = slices.DeleteFunc(m.Learners, other)
	return m, nil
}

// noteMembersCommitted makes a leader that has been removed pass its leadership on.
func (n *Node) noteMembersCommitted() {
	current := n.history[len(n.history)-1]
	if current.index > n.log.commit || current.IsVoter(n.cfg.ID) {
		return
	}
	n.handOver()
}
