package consensus

import (
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/result"
)

// leadership is the state of a leader.
type leadership struct {
	peers             map[MemberID]*progress
	electedAt         time.Duration
	heartbeatDeadline time.Duration
	quorumDeadline    time.Duration
	termStart         uint64 // index of the first entry of the term
	round             uint64
	reads             []pendingRead
	uncommitted       int // bytes of data in the log that are not committed

	transferee       MemberID
	transferDeadline time.Duration
}

func (n *Node) becomeLeader() {
	granted := n.votes
	n.counters.Leaderships++
	n.role = Leader
	n.leader, n.ledOnce = n.cfg.ID, true
	n.votes = nil
	n.lead = leadership{peers: map[MemberID]*progress{}, electedAt: n.now}
	n.syncPeers()
	for id, p := range n.lead.peers {
		if granted[id] {
			p.contact = n.campaignAt
		}
	}
	for _, e := range n.log.after(n.log.commit, n.log.last().Index) {
		n.lead.uncommitted += len(e.Data)
	}
	n.lead.quorumDeadline = n.now + n.cfg.ElectionTimeout
	n.lead.termStart = n.appendEntry(EntryBarrier, nil).Index
	n.requestRound()
}

// syncPeers makes the tracked members agree with the members in force.
func (n *Node) syncPeers() {
	members := n.Members()
	for _, id := range members.all() {
		if p := n.lead.peers[id]; p != nil {
			p.leaving = 0
		} else if id != n.cfg.ID {
			n.lead.peers[id] = newProgress(n.log.last().Index + 1)
		}
	}
	for id, p := range n.lead.peers {
		if !members.Contains(id) && p.leaving == 0 {
			p.leaving = n.history[len(n.history)-1].index
			p.leavingUntil = n.now + removalNotice*n.cfg.ElectionTimeout
		}
	}
}

// peerIDs returns the tracked members in ascending order, so that runs with the same seed are
// equal.
func (n *Node) peerIDs() []MemberID {
	ids := make([]MemberID, 0, len(n.lead.peers))
	for id := range n.lead.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (n *Node) tickLeader() {
	if n.now >= n.lead.quorumDeadline && !n.checkQuorum() {
		n.counters.QuorumLosses++
		n.becomeFollower(n.term, 0)
		return
	}
	if n.lead.transferee != 0 && n.now >= n.lead.transferDeadline {
		n.lead.transferee = 0
	}
	for _, id := range n.peerIDs() {
		p := n.lead.peers[id]
		if p.leaving != 0 && n.now >= p.leavingUntil {
			delete(n.lead.peers, id)
		}
	}
	if n.now >= n.lead.heartbeatDeadline {
		n.requestRound()
	}
}

// checkQuorum reports whether the leader had contact to a quorum within an election timeout, and
// sets the time of the next check.
func (n *Node) checkQuorum() bool {
	contact := max(n.quorumContact(), n.lead.electedAt)
	n.lead.quorumDeadline = contact + n.cfg.ElectionTimeout
	return n.now < n.lead.quorumDeadline
}

// quorumContact returns the latest time since which a quorum of voters is known to have answered.
func (n *Node) quorumContact() time.Duration {
	members := n.Members()
	times := make([]time.Duration, 0, len(members.Voters))
	for _, id := range members.Voters {
		if id == n.cfg.ID {
			times = append(times, n.now)
		} else {
			times = append(times, n.lead.peers[id].contact)
		}
	}
	return quorumValue(times, members.Quorum())
}

// Propose appends a command to the log of the leader. The command ran if an entry with the
// returned position is committed. data must not be changed afterwards.
func (n *Node) Propose(data []byte) (Position, error) {
	if err := n.checkProposal(len(data)); err != nil {
		n.counters.ProposalsRefused++
		return Position{}, err
	}
	n.counters.ProposalsAppended++
	return n.appendEntry(EntryCommand, data), nil
}

func (n *Node) checkProposal(size int) error {
	if err := n.checkLeading(); err != nil {
		return err
	}
	if size > MaxEntrySize {
		return result.New(result.Internal, "entry of %d bytes, at most %d are allowed", size, MaxEntrySize)
	}
	if n.lead.uncommitted+size > n.cfg.MaxUncommitted && n.lead.uncommitted > 0 {
		return result.New(result.Overloaded, "%d bytes wait for a quorum", n.lead.uncommitted)
	}
	return nil
}

func (n *Node) checkLeading() error {
	if n.halted {
		return result.New(result.StorageFailed, "member %d cannot write its storage", n.cfg.ID)
	}
	if n.role != Leader {
		return result.New(result.NotLeader, "member %d is %s, the leader is %d", n.cfg.ID, n.role, n.leader)
	}
	if n.lead.transferee != 0 {
		return result.New(result.NotLeader, "leadership is passing to member %d", n.lead.transferee)
	}
	return nil
}

func (n *Node) appendEntry(kind EntryKind, data []byte) Position {
	e := Entry{Index: n.log.last().Index + 1, Term: n.term, Kind: kind, Data: data}
	n.log.entries = append(n.log.entries, e)
	n.lead.uncommitted += len(data)
	n.sendWanted = true
	return Position{Index: e.Index, Term: e.Term}
}

// handleReply handles what members answer to a leader.
func (n *Node) handleReply(m Message) {
	p := n.lead.peers[m.From]
	if n.role != Leader || p == nil {
		return
	}
	n.noteContact(p, m.Contact)
	switch {
	case m.AppendReply != nil:
		n.handleAppendReply(m.From, p, m.AppendReply)
	case m.SnapshotReply != nil:
		n.handleSnapshotReply(p, m.SnapshotReply)
	case m.HeartbeatReply != nil:
		n.handleHeartbeatReply(p, m)
	}
	n.sendWanted = true
}

func (n *Node) noteContact(p *progress, c Contact) {
	if c.Sent.Boot != p.lastStamp.Boot || c.Sent.At > p.lastStamp.At {
		p.lastStamp = c.Sent
	}
	if c.Echo.Boot != n.boot || c.Echo.At > n.now {
		return
	}
	p.contact = max(p.contact, c.Echo.At)
	if c.Round > p.round && c.Round <= n.lead.round {
		p.round = c.Round
		n.answerReads()
	}
}

func (n *Node) handleAppendReply(from MemberID, p *progress, r *AppendReply) {
	if r.Rejected {
		n.handleRejection(p, r)
		return
	}
	if r.Match > n.log.last().Index {
		return // the sender counts entries of another leader; never true for correct members
	}
	p.acknowledge(r.Match)
	n.advanceCommit()
	if n.role != Leader {
		return // it was removed from the members
	}
	n.finishTransfer(from, p)
	if p.leaving != 0 && p.match >= p.leaving && n.log.commit >= p.leaving {
		n.sendAppend(from, p, nil) // carries the commit index
		delete(n.lead.peers, from)
	}
}

// handleRejection goes back by whole terms, so that a long conflict costs few messages.
func (n *Node) handleRejection(p *progress, r *AppendReply) {
	stale := r.RejectedIndex <= p.match || p.state == snapshotting ||
		(p.state == probing && p.next-1 != r.RejectedIndex)
	if stale {
		return
	}
	n.counters.AppendsRejected++
	next := r.Hint.Index
	if next >= n.log.base.Index {
		next = n.log.hint(r.Hint.Index, r.Hint.Term).Index
	}
	p.probe(min(next+1, r.RejectedIndex))
}

func (n *Node) handleHeartbeatReply(p *progress, m Message) {
	answered := m.Contact.Echo
	if answered.Boot != n.boot || !p.overdue(answered.At) {
		return
	}
	switch {
	case p.state != replicating:
		p.paused = false
	case len(p.inflight) > 0:
		n.counters.AppendsRepeated++
		p.probe(p.match + 1)
	}
}

// advanceCommit commits what a quorum of voters has synced. Only entries of the own term are
// counted: an entry of an older term on a quorum can still be replaced.
func (n *Node) advanceCommit() {
	members := n.Members()
	matches := make([]uint64, 0, len(members.Voters))
	for _, id := range members.Voters {
		if id == n.cfg.ID {
			matches = append(matches, n.log.stable)
		} else {
			matches = append(matches, n.lead.peers[id].match)
		}
	}
	index := quorumValue(matches, members.Quorum())
	if term, ok := n.log.term(index); index <= n.log.commit || !ok || term != n.term {
		return
	}
	for _, e := range n.log.after(n.log.commit, index) {
		n.lead.uncommitted -= len(e.Data)
	}
	n.log.commit = index
	n.sendWanted = true
	n.answerReads()
	n.noteMembersCommitted()
}
