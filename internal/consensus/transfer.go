package consensus

import "github.com/greengagelock/greengagelock/internal/result"

// TransferLeadership starts a leadership transfer to a voter. If to is zero, the leader selects the
// reachable voter with the longest log. Proposals are rejected during the transfer, which is aborted
// after an election timeout. The host calls it before a planned shutdown.
func (n *Node) TransferLeadership(to MemberID) error {
	if err := n.requireLeader(); err != nil {
		return err
	}
	if to == 0 {
		to = n.bestTransferee()
	}
	if to == n.cfg.ID || !n.Members().IsVoter(to) {
		return result.New(result.PeerUnknown, "cannot transfer leadership to member %d", to)
	}
	n.leadership.transferee = to
	n.leadership.transferDeadline = n.now + n.cfg.ElectionTimeout
	p := n.leadership.peers[to]
	n.continueTransfer(to, p)
	n.replicationDue = true
	return nil
}

// bestTransferee returns the reachable voter with the longest log, or zero if there is none.
func (n *Node) bestTransferee() MemberID {
	var best MemberID
	for _, id := range n.Members().Voters {
		p := n.leadership.peers[id]
		if p == nil || n.now-p.contactAt > n.cfg.ElectionTimeout {
			continue
		}
		if best == 0 || p.match > n.leadership.peers[best].match {
			best = id
		}
	}
	return best
}

// continueTransfer tells the transferee to start an election once it has the complete log.
func (n *Node) continueTransfer(from MemberID, p *progress) {
	if n.leadership.transferee != from || p.match < n.log.last().Index {
		return
	}
	n.sendTimeoutNow(from)
}

func (n *Node) sendTimeoutNow(to MemberID) {
	n.counters.Transfers++
	n.send(Message{To: to, TimeoutNow: &TimeoutNow{Last: n.log.last()}})
}

// transferAndStepDown tells the best transferee to start an election and becomes a follower.
func (n *Node) transferAndStepDown() {
	best := n.bestTransferee()
	if best != 0 {
		n.sendTimeoutNow(best)
	}
	n.becomeFollower(n.term, 0)
}

// PersistFailed tells the node that the last Ready could not be persisted and is void. The node gives up
// its leadership and halts, because it can no longer keep its votes and acknowledgements. The returned
// messages do not rely on persisted state and may be sent. Pending reads and proposals get no result.
// The host reopens the storage and creates a new Node.
func (n *Node) PersistFailed() []Message {
	n.messages, n.answeredReads = nil, nil
	if n.role == Leader {
		n.transferAndStepDown()
	}
	n.becomeFollower(n.term, 0)
	messages := n.messages
	n.messages = nil
	n.halted = true
	n.knownQuorumAt = never
	return messages
}
