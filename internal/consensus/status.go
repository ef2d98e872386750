package consensus

import (
	"slices"
	"time"
)

// Status describes a member for operators and metrics.
type Status struct {
	ID MemberID
	SoftState
	Vote          MemberID
	Halted        bool // storage has failed
	First         uint64
	Last          uint64
	Commit        uint64
	Applied       uint64
	SnapshotIndex uint64
	Members       Members
	// Peers is set at the leader.
	Peers    []PeerStatus
	Counters Counters
}

// Counters count what a member has done since it started.
type Counters struct {
	PreVotes           uint64 // pre-votes that this member has asked for
	Elections          uint64 // votes that this member has asked for
	Leaderships        uint64 // elections that it has won
	QuorumLosses       uint64 // leaderships that it gave up without contact to a quorum
	Transfers          uint64 // leaderships that it has offered to another member
	ProposalsAppended  uint64
	ProposalsRefused   uint64
	AppendsRejected    uint64 // by members whose logs did not agree
	AppendsRepeated    uint64 // windows of Append messages that were taken for lost
	SnapshotsSent      uint64 // begun at the leader
	SnapshotsInstalled uint64
	ReadsFailed        uint64
	OldTerms           uint64 // messages of an older term
}

// PeerStatus is what the leader knows about another member.
type PeerStatus struct {
	ID           MemberID
	Match        uint64
	Snapshotting bool
	ContactAge   time.Duration
	ContactKnown bool
}

// Status returns the status at now.
func (n *Node) Status(now time.Duration) Status {
	n.setTime(now)
	s := Status{
		ID: n.cfg.ID, SoftState: n.softState(), Vote: n.vote, Halted: n.halted,
		First: n.log.base.Index + 1, Last: n.log.last().Index, Commit: n.log.commit, Applied: n.log.applied,
		SnapshotIndex: n.snapshot.Index, Members: n.Members().Clone(), Counters: n.counters,
	}
	for _, id := range n.peerIDs() {
		p := n.lead.peers[id]
		peer := PeerStatus{ID: id, Match: p.match, Snapshotting: p.state == snapshotting, ContactKnown: p.contact != never}
		if peer.ContactKnown {
			peer.ContactAge = n.now - p.contact
		}
		s.Peers = append(s.Peers, peer)
	}
	return s
}

// QuorumAge returns an upper bound on the time since a leader known to this member had contact
// to a quorum, and false if there was none since the process started. A member whose age is
// large cannot say whether its state is current.
func (n *Node) QuorumAge(now time.Duration) (time.Duration, bool) {
	n.setTime(now)
	if n.halted {
		return 0, false
	}
	at := n.currentAt
	if n.role == Leader {
		at = max(at, n.quorumContact())
	}
	if at == never {
		return 0, false
	}
	return n.now - at, true
}

// quorumValue returns the largest value that a quorum of the values reaches.
func quorumValue[T uint64 | time.Duration](values []T, quorum int) T {
	slices.Sort(values)
	return values[len(values)-quorum]
}
