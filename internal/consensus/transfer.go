package consensus

import "github.com/greengagelock/greengagelock/internal/result"

// TransferLeadership lets the leader pass its leadership to a voter, or to the one with the
// longest log among those that answer if to is zero. Proposals are refused until the transfer ends; after an election
// timeout it is given up. The shell calls it before a planned stop.
func (n *Node) TransferLeadership(to MemberID) error {
	if err := n.checkLeading(); err != nil {
		return err
	}
	if to == 0 {
		to = n.bestSuccessor()
	}
	if to == n.cfg.ID || !n.Members().IsVoter(to) {
		return result.New(result.PeerUnknown, "member %d cannot become the leader", to)
	}
	n.lead.transferee = to
	n.lead.transferDeadline = n.now + n.cfg.ElectionTimeout
	p := n.lead.peers[to]
	n.finishTransfer(to, p)
	n.sendWanted = true
	return nil
}

// bestSuccessor returns the voter with the longest log among those that answer, or zero.
func (n *Node) bestSuccessor() MemberID {
	var best MemberID
	for _, id := range n.Members().Voters {
		p := n.lead.peers[id]
		if p == nil || n.now-p.contact > n.cfg.ElectionTimeout {
			continue
		}
		if best == 0 || p.match > n.lead.peers[best].match {
			best = id
		}
	}
	return best
}

// finishTransfer asks the transferee for an election once it has the whole log.
func (n *Node) finishTransfer(from MemberID, p *progress) {
	if n.lead.transferee != from || p.match < n.log.last().Index {
		return
	}
	n.offerLeadership(from)
}

func (n *Node) offerLeadership(to MemberID) {
	n.counters.Transfers++
	n.send(Message{To: to, TimeoutNow: &TimeoutNow{Last: n.log.last()}})
}

// handOver gives up the leadership and asks the best successor for an election at once.
func (n *Node) handOver() {
	best := n.bestSuccessor()
	if best != 0 {
		n.offerLeadership(best)
	}
	n.becomeFollower(n.term, 0)
}

// PersistFailed tells the node that Persist has failed for the last Ready, which is void. The
// node gives up its leadership and takes no further part, because it cannot keep promises. The
// returned messages promise nothing and may be sent. Reads and proposals that wait get no answer.
// The shell opens the storage anew and starts a new Node.
func (n *Node) PersistFailed() []Message {
	n.messages, n.reads = nil, nil
	if n.role == Leader {
		n.handOver()
	}
	n.becomeFollower(n.term, 0)
	messages := n.messages
	n.messages = nil
	n.halted = true
	n.currentAt = never
	return messages
}
