package consensus

import "time"

// Status is the state of a member for operators and metrics.
type Status struct {
	ID MemberID
	SoftState
	Vote          MemberID
	Halted        bool // storage failed
	First         uint64
	Last          uint64
	Commit        uint64
	Applied       uint64
	SnapshotIndex uint64
	Members       Members
	// MembersIndex is the index of the entry that contains Members, zero for the initial ones. It is above Commit until the
	// change is committed.
	MembersIndex uint64
	// Transition is the change of two voters that is in effect, or nil.
	Transition *Transition
	// Peers is set only on the leader.
	Peers    []PeerStatus
	Counters Counters
}

// Counters count events since the Node was created.
type Counters struct {
	PreVotes           uint64 // pre-votes started
	Elections          uint64 // elections started
	Leaderships        uint64 // elections won
	QuorumLosses       uint64 // times stepped down for lack of contact with a quorum
	Transfers          uint64 // TimeoutNow messages sent
	ProposalsAppended  uint64
	ProposalsRefused   uint64
	AppendsRejected    uint64 // by peers whose logs did not match
	AppendsRepeated    uint64 // windows of Append messages that were presumed lost
	SnapshotsSent      uint64 // transmissions started as leader
	SnapshotsInstalled uint64
	ReadsFailed        uint64
	OldTerms           uint64 // messages with an outdated term
}

// PeerStatus is the leader's view of another member.
type PeerStatus struct {
	ID           MemberID
	Match        uint64
	Snapshotting bool
	// ContactAge is the time since the last contact, or since the member was added or the leader was elected if that is
	// later: a member that could not answer yet is not lost.
	ContactAge time.Duration
	Heard      bool // there was contact in the leader's term
}

// Status returns the state at now.
func (n *Node) Status(now time.Duration) Status {
	n.setTime(now)
	s := Status{
		ID: n.cfg.ID, SoftState: n.softState(), Vote: n.vote, Halted: n.halted,
		First: n.log.base.Index + 1, Last: n.log.last().Index, Commit: n.log.commit, Applied: n.log.applied,
		SnapshotIndex: n.snapshot.Index, Members: n.Members().Clone(), MembersIndex: n.memberships[len(n.memberships)-1].Index,
		Transition: n.transition(), Counters: n.counters,
	}
	for _, id := range n.peerIDs() {
		p := n.leadership.peers[id]
		peer := PeerStatus{ID: id, Match: p.match, Snapshotting: p.state == snapshotting, ContactAge: n.now - max(p.contactAt, p.trackedAt), Heard: p.contactAt >= p.trackedAt}
		s.Peers = append(s.Peers, peer)
	}
	return s
}

// QuorumAge returns an upper bound on the time since a leader known to this member had contact with a
// quorum, and false if there has been no such contact since the start. The state of a member with a
// large age may be stale.
func (n *Node) QuorumAge(now time.Duration) (time.Duration, bool) {
	n.setTime(now)
	if n.halted {
		return 0, false
	}
	at := n.knownQuorumAt
	if n.role == Leader {
		at = max(at, n.quorumContact())
	}
	if at == never {
		return 0, false
	}
	return n.now - at, true
}
