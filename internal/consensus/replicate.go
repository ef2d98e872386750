package consensus

// scheduleHeartbeat makes the next Ready include a heartbeat to every peer.
func (n *Node) scheduleHeartbeat() {
	n.heartbeatDue = true
	n.leadership.heartbeatDeadline = n.now + n.cfg.HeartbeatInterval
}

// queueLeaderMessages queues the heartbeats and log messages that are due. It runs once per Ready, so
// that proposals and reads that arrive together are batched.
func (n *Node) queueLeaderMessages() {
	if n.role != Leader {
		n.heartbeatDue, n.replicationDue = false, false
		return
	}
	if n.heartbeatDue {
		n.broadcastHeartbeat()
	}
	if n.replicationDue {
		for _, id := range n.peerIDs() {
			n.replicateTo(id, n.leadership.peers[id])
		}
	}
	n.heartbeatDue, n.replicationDue = false, false
}

func (n *Node) broadcastHeartbeat() {
	n.leadership.heartbeatRound++
	for _, id := range n.peerIDs() {
		p := n.leadership.peers[id]
		n.sendFromLeader(id, p, Message{Heartbeat: &Heartbeat{Commit: min(p.match, n.log.commit)}})
	}
}

// sendFromLeader queues a message of the leader together with the times from which both sides compute
// the age of their contact.
func (n *Node) sendFromLeader(to MemberID, p *progress, m Message) {
	m.To = to
	m.Contact.Echo = p.lastStamp
	m.Contact.Round = n.leadership.heartbeatRound
	m.Contact.QuorumAge = unknownAge
	if contact := n.quorumContact(); contact != never {
		m.Contact.QuorumAge = n.now - contact
	}
	n.send(m)
}

func (n *Node) replicateTo(id MemberID, p *progress) {
	switch p.state {
	case probing:
		n.sendProbingAppend(id, p)
	case replicating:
		n.sendAppendWindow(id, p)
	case snapshotting:
		n.sendChunk(id, p)
	}
}

func (n *Node) sendProbingAppend(id MemberID, p *progress) {
	if p.isPaused {
		return
	}
	if p.next <= n.log.base.Index {
		n.startSnapshot(id, p)
		return
	}
	p.isPaused = true
	n.sendAppend(id, p, n.log.batch(p.next-1, n.cfg.MaxEntriesPerMessage, n.cfg.MaxBytesPerMessage))
}

func (n *Node) sendAppendWindow(id MemberID, p *progress) {
	if p.next <= n.log.base.Index {
		n.startSnapshot(id, p)
		return
	}
	last := n.log.last().Index
	for p.next <= last && len(p.inflight) < n.cfg.MaxInflight {
		entries := n.log.batch(p.next-1, n.cfg.MaxEntriesPerMessage, n.cfg.MaxBytesPerMessage)
		n.sendAppend(id, p, entries)
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, p.next-1)
	}
	if p.sentCommit < min(n.log.commit, p.next-1) {
		n.sendAppend(id, p, nil)
	}
}

func (n *Node) sendAppend(id MemberID, p *progress, entries []Entry) {
	previous := p.next - 1
	term, _ := n.log.term(previous)
	if len(entries) > 0 || p.state == probing {
		p.sentAt = n.now
	}
	p.sentCommit = min(n.log.commit, previous+uint64(len(entries)))
	n.sendFromLeader(id, p, Message{Append: &Append{
		Previous: Position{Index: previous, Term: term}, Entries: entries, Commit: n.log.commit,
	}})
}
