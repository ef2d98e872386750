package consensus

import (
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/result"
)

// leadership is the volatile state of a leader.
type leadership struct {
	peers             map[MemberID]*progress
	electedAt         time.Duration
	heartbeatDeadline time.Duration
	quorumDeadline    time.Duration
	termStartIndex    uint64 // index of the first entry of the leader's term
	heartbeatRound    uint64
	pendingReads      []pendingRead
	uncommittedBytes  int // entry data that is not committed

	transferee       MemberID
	transferDeadline time.Duration
}

func (n *Node) becomeLeader() {
	votes := n.votes
	n.counters.Leaderships++
	n.role = Leader
	n.leader, n.hasSeenLeader = n.cfg.ID, true
	n.votes = nil
	n.leadership = leadership{peers: map[MemberID]*progress{}, electedAt: n.now}
	n.updatePeers()
	for id, p := range n.leadership.peers {
		if votes[id] {
			p.contactAt = n.campaignStartedAt
		}
	}
	for _, e := range n.log.after(n.log.commit, n.log.last().Index) {
		n.leadership.uncommittedBytes += len(e.Data)
	}
	n.leadership.quorumDeadline = n.now + n.cfg.ElectionTimeout
	n.leadership.termStartIndex = n.appendTermStart().Index
	n.scheduleHeartbeat()
}

// appendTermStart appends the first entry of the leader's term. It restates a transition, which would no longer be in effect
// otherwise.
func (n *Node) appendTermStart() Position {
	if t := n.transition(); t != nil {
		return n.appendMembers(n.Members().Clone(), t)
	}
	return n.appendEntry(EntryNoOp, nil)
}

// updatePeers adds and removes tracked peers according to the current members.
func (n *Node) updatePeers() {
	members := n.Members()
	for _, id := range members.all() {
		if p := n.leadership.peers[id]; p != nil && p.removalIndex != 0 {
			p.removalIndex, p.trackedAt = 0, n.now
		} else if p == nil && id != n.cfg.ID {
			n.leadership.peers[id] = newProgress(n.log.last().Index+1, n.now)
		}
	}
	for id, p := range n.leadership.peers {
		if !members.Contains(id) && p.removalIndex == 0 {
			p.removalIndex = n.memberships[len(n.memberships)-1].Index
			p.removalDeadline = n.now + removalNoticeTimeouts*n.cfg.ElectionTimeout
		}
	}
}

// peerIDs returns the tracked peers in ascending order, so that runs with the same seed are
// identical.
func (n *Node) peerIDs() []MemberID {
	ids := make([]MemberID, 0, len(n.leadership.peers))
	for id := range n.leadership.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (n *Node) tickLeader() {
	if n.now >= n.leadership.quorumDeadline && !n.checkQuorum() {
		n.counters.QuorumLosses++
		n.becomeFollower(n.term, 0)
		return
	}
	if n.leadership.transferee != 0 && n.now >= n.leadership.transferDeadline {
		n.leadership.transferee = 0
	}
	for _, id := range n.peerIDs() {
		p := n.leadership.peers[id]
		if p.removalIndex != 0 && n.now >= p.removalDeadline {
			delete(n.leadership.peers, id)
		}
	}
	if n.now >= n.leadership.heartbeatDeadline {
		n.scheduleHeartbeat()
	}
}

// checkQuorum reports whether the leader had contact with a quorum within the last election timeout, and
// sets the deadline of the next check.
func (n *Node) checkQuorum() bool {
	contactAt := max(n.quorumContact(), n.leadership.electedAt)
	n.leadership.quorumDeadline = contactAt + n.cfg.ElectionTimeout
	return n.now < n.leadership.quorumDeadline
}

// quorumContact returns the latest time T such that a quorum of voters, the leader included, has
// answered messages sent at T or later.
func (n *Node) quorumContact() time.Duration {
	return majorityValue(n.voterGroups(), func(id MemberID) time.Duration {
		if id == n.cfg.ID {
			return n.now
		}
		return n.leadership.peers[id].contactAt
	})
}

// Propose appends a command to the leader's log. The command is executed if and when the entry at the
// returned position is committed. data must not be modified afterwards.
func (n *Node) Propose(data []byte) (Position, error) {
	if err := n.checkProposal(len(data)); err != nil {
		n.counters.ProposalsRefused++
		return Position{}, err
	}
	n.counters.ProposalsAppended++
	return n.appendEntry(EntryCommand, data), nil
}

func (n *Node) checkProposal(size int) error {
	if err := n.requireLeader(); err != nil {
		return err
	}
	if size > MaxEntrySize {
		return result.New(result.Internal, "entry of %d bytes exceeds the limit of %d bytes", size, MaxEntrySize)
	}
	if n.leadership.uncommittedBytes+size > n.cfg.MaxUncommitted && n.leadership.uncommittedBytes > 0 {
		return result.New(result.Overloaded, "%d bytes of uncommitted proposals wait for a quorum", n.leadership.uncommittedBytes)
	}
	return nil
}

// requireLeader returns an error unless the member is a leader that accepts proposals.
func (n *Node) requireLeader() error {
	if n.halted {
		return result.New(result.StorageFailed, "member %d is halted because its storage failed", n.cfg.ID)
	}
	if n.role != Leader {
		return result.New(result.NotLeader, "member %d is %s, the leader is %d", n.cfg.ID, n.role, n.leader)
	}
	if n.leadership.transferee != 0 {
		return result.New(result.NotLeader, "leadership is being transferred to member %d", n.leadership.transferee)
	}
	return nil
}

func (n *Node) appendEntry(kind EntryKind, data []byte) Position {
	e := Entry{Index: n.log.last().Index + 1, Term: n.term, Kind: kind, Data: data}
	n.log.entries = append(n.log.entries, e)
	n.leadership.uncommittedBytes += len(data)
	n.replicationDue = true
	return Position{Index: e.Index, Term: e.Term}
}

// handleReply handles replies to messages of the leader.
func (n *Node) handleReply(m Message) {
	p := n.leadership.peers[m.From]
	if n.role != Leader || p == nil {
		return
	}
	n.recordContact(p, m.Contact)
	switch {
	case m.AppendReply != nil:
		n.handleAppendReply(m.From, p, m.AppendReply)
	case m.SnapshotReply != nil:
		n.handleSnapshotReply(p, m.SnapshotReply)
	case m.HeartbeatReply != nil:
		n.handleHeartbeatReply(p, m)
	}
	n.replicationDue = true
}

func (n *Node) recordContact(p *progress, c Contact) {
	if c.Sent.Boot != p.lastStamp.Boot || c.Sent.At > p.lastStamp.At {
		p.lastStamp = c.Sent
	}
	if c.Echo.Boot != n.boot || c.Echo.At > n.now {
		return
	}
	p.contactAt = max(p.contactAt, c.Echo.At)
	if c.Round > p.answeredRound && c.Round <= n.leadership.heartbeatRound {
		p.answeredRound = c.Round
		n.answerReads()
	}
}

func (n *Node) handleAppendReply(from MemberID, p *progress, r *AppendReply) {
	if r.Rejected {
		n.handleRejection(p, r)
		return
	}
	if r.Match > n.log.last().Index {
		return // the sender has entries of another leader; impossible for members that follow the protocol
	}
	p.acknowledge(r.Match)
	n.advanceCommit()
	if n.role != Leader {
		return // it was removed and stepped down
	}
	n.continueTransfer(from, p)
	if p.removalIndex != 0 && p.match >= p.removalIndex && n.log.commit >= p.removalIndex {
		n.sendAppend(from, p, nil) // sends the commit index
		delete(n.leadership.peers, from)
	}
}

// handleRejection skips back by whole terms, so that a long conflict is resolved in few messages.
func (n *Node) handleRejection(p *progress, r *AppendReply) {
	isStale := r.RejectedIndex <= p.match || p.state == snapshotting ||
		(p.state == probing && p.next-1 != r.RejectedIndex)
	if isStale {
		return
	}
	n.counters.AppendsRejected++
	next := r.Hint.Index
	if next >= n.log.base.Index {
		next = n.log.conflictHint(r.Hint.Index, r.Hint.Term).Index
	}
	p.startProbing(min(next+1, r.RejectedIndex))
}

func (n *Node) handleHeartbeatReply(p *progress, m Message) {
	answeredAt := m.Contact.Echo
	if answeredAt.Boot != n.boot || !p.isLost(answeredAt.At) {
		return
	}
	switch {
	case p.state != replicating:
		p.isPaused = false
	case len(p.inflight) > 0:
		n.counters.AppendsRepeated++
		p.startProbing(p.match + 1)
	}
}

// advanceCommit commits the entries that a quorum of voters has synced. Only an entry of the current
// term can be committed by counting: an entry of an older term may be overwritten even if a quorum has it.
func (n *Node) advanceCommit() {
	index := majorityValue(n.voterGroups(), func(id MemberID) uint64 {
		if id == n.cfg.ID {
			return n.log.stable
		}
		return n.leadership.peers[id].match
	})
	if term, ok := n.log.term(index); index <= n.log.commit || !ok || term != n.term {
		return
	}
	for _, e := range n.log.after(n.log.commit, index) {
		n.leadership.uncommittedBytes -= len(e.Data)
	}
	n.log.commit = index
	n.replicationDue = true
	n.answerReads()
	n.stepDownIfRemoved()
}
