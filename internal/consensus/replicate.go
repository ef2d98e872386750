package consensus

// requestRound makes the next Ready carry a heartbeat to every member.
func (n *Node) requestRound() {
	n.roundWanted = true
	n.lead.heartbeatDeadline = n.now + n.cfg.HeartbeatInterval
}

// flush queues the messages that a leader owes its members. It runs once per Ready, so that
// proposals and reads that arrive together share messages.
func (n *Node) flush() {
	if n.role != Leader {
		n.roundWanted, n.sendWanted = false, false
		return
	}
	if n.roundWanted {
		n.startRound()
	}
	if n.sendWanted {
		for _, id := range n.peerIDs() {
			n.sendTo(id, n.lead.peers[id])
		}
	}
	n.roundWanted, n.sendWanted = false, false
}

func (n *Node) startRound() {
	n.lead.round++
	for _, id := range n.peerIDs() {
		p := n.lead.peers[id]
		n.sendLeading(id, p, Message{Heartbeat: &Heartbeat{Commit: min(p.match, n.log.commit)}})
	}
}

// sendLeading queues a message of a leader with what both ends need to bound the age of their
// contact.
func (n *Node) sendLeading(to MemberID, p *progress, m Message) {
	m.To = to
	m.Contact.Echo = p.lastStamp
	m.Contact.Round = n.lead.round
	m.Contact.QuorumAge = unknownAge
	if contact := n.quorumContact(); contact != never {
		m.Contact.QuorumAge = n.now - contact
	}
	n.send(m)
}

func (n *Node) sendTo(id MemberID, p *progress) {
	switch p.state {
	case probing:
		n.sendProbe(id, p)
	case replicating:
		n.sendWindow(id, p)
	case snapshotting:
		n.sendChunk(id, p)
	}
}

func (n *Node) sendProbe(id MemberID, p *progress) {
	if p.paused {
		return
	}
	if p.next <= n.log.base.Index {
		n.startSnapshot(id, p)
		return
	}
	p.paused = true
	n.sendAppend(id, p, n.log.batch(p.next-1, n.cfg.MaxEntriesPerMessage, n.cfg.MaxBytesPerMessage))
}

func (n *Node) sendWindow(id MemberID, p *progress) {
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
	n.sendLeading(id, p, Message{Append: &Append{
		Previous: Position{Index: previous, Term: term}, Entries: entries, Commit: n.log.commit,
	}})
}
