package consensus

import "time"

// resetElectionTimer spreads the timeouts over one election timeout, so that members rarely ask
// for votes at the same time.
func (n *Node) resetElectionTimer() {
	n.electionDeadline = n.now + n.cfg.ElectionTimeout + n.spread(n.cfg.ElectionTimeout)
}

// startPhase is the time after its start, in election timeouts, in which a member that has heard no
// leader asks for an election sooner and more often. Afterwards it is rather cut off than one of many that
// start at the same time.
const startPhase = 4

// startElectionTimer lets a member that has just started ask for an election sooner: after the loss of
// all members nobody leads, and if somebody does, the pre-vote changes nothing.
func (n *Node) startElectionTimer() {
	tenth := n.cfg.ElectionTimeout / 10
	n.electionDeadline = n.now + tenth + n.spread(tenth)
}

// resetRetryTimer lets an unsuccessful candidate try again sooner than a follower would start.
func (n *Node) resetRetryTimer() {
	if !n.ledOnce && n.now < startPhase*n.cfg.ElectionTimeout {
		n.startElectionTimer()
		return
	}
	half := n.cfg.ElectionTimeout / 2
	n.electionDeadline = n.now + half + n.spread(half)
}

func (n *Node) spread(d time.Duration) time.Duration {
	return time.Duration(n.cfg.Rand.Int64N(int64(max(d, 1))))
}

// hasLeaderContact reports whether the member leads or has heard its leader lately.
func (n *Node) hasLeaderContact() bool {
	if n.role == Leader {
		return true
	}
	return n.leader != 0 && n.now-n.leaderContact < n.cfg.ElectionTimeout
}

func (n *Node) electionTimeout() {
	if !n.Members().IsVoter(n.cfg.ID) {
		n.leader = 0
		n.resetElectionTimer()
		return
	}
	n.campaign(PreCandidate, false)
}

func (n *Node) campaign(role Role, transfer bool) {
	n.role = role
	n.leader = 0
	n.incoming = nil
	n.leaderContact = never
	n.failReads()
	n.campaignAt = n.now
	n.transfer = transfer
	n.votes = map[MemberID]bool{n.cfg.ID: true}
	n.resetRetryTimer()
	term := n.term + 1
	if role == PreCandidate {
		n.counters.PreVotes++
	}
	if role == Candidate {
		n.counters.Elections++
		n.term = term
		n.vote = n.cfg.ID
	}
	for _, id := range n.Members().Voters {
		if id == n.cfg.ID {
			continue
		}
		n.send(Message{To: id, Term: term, VoteRequest: &VoteRequest{
			PreVote: role == PreCandidate, Transfer: transfer, Last: n.log.last(),
		}})
	}
}

func (n *Node) handleVoteRequest(m Message) {
	req := m.VoteRequest
	last := n.log.last()
	upToDate := req.Last.Term > last.Term || (req.Last.Term == last.Term && req.Last.Index >= last.Index)
	free := n.vote == m.From || (n.vote == 0 && n.leader == 0)
	if req.PreVote {
		free = free || m.Term > n.term
	}
	if !free || !upToDate {
		n.send(Message{To: m.From, VoteReply: &VoteReply{PreVote: req.PreVote}})
		return
	}
	if !req.PreVote {
		n.vote = m.From
		n.resetElectionTimer()
	}
	n.send(Message{To: m.From, Term: m.Term, VoteReply: &VoteReply{PreVote: req.PreVote, Granted: true}})
}

func (n *Node) handleVoteReply(m Message) {
	reply := m.VoteReply
	if !reply.Granted {
		return
	}
	switch {
	case n.role == PreCandidate && reply.PreVote && m.Term == n.term+1:
	case n.role == Candidate && !reply.PreVote:
	default:
		return
	}
	n.votes[m.From] = true
	members := n.Members()
	granted := 0
	for _, id := range members.Voters {
		if n.votes[id] {
			granted++
		}
	}
	if granted < members.Quorum() {
		return
	}
	if n.role == PreCandidate {
		n.campaign(Candidate, false)
		return
	}
	n.becomeLeader()
}

func (n *Node) handleTimeoutNow(m Message) {
	if !n.Members().IsVoter(n.cfg.ID) || n.role == Leader || n.leader != m.From {
		return
	}
	n.campaign(Candidate, true)
}
