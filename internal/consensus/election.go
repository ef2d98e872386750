package consensus

import "time"

// resetElectionTimer sets a deadline between one and two election timeouts from now. The random part
// makes split votes rare.
func (n *Node) resetElectionTimer() {
	n.electionDeadline = n.now + n.cfg.ElectionTimeout + n.jitter(n.cfg.ElectionTimeout)
}

// startupPhaseTimeouts is the number of election timeouts after the start during which a member that
// has not heard from a leader campaigns sooner and more often. After that it is more likely partitioned
// than one of many members that start together.
const startupPhaseTimeouts = 4

// setStartupElectionTimer lets a member that has just started campaign early: after an outage of all
// members there is no leader, and if there is one, the pre-vote has no effect.
func (n *Node) setStartupElectionTimer() {
	tenth := n.cfg.ElectionTimeout / 10
	n.electionDeadline = n.now + tenth + n.jitter(tenth)
}

// resetCampaignTimer lets an unsuccessful candidate retry sooner than a follower would campaign.
func (n *Node) resetCampaignTimer() {
	if !n.hasSeenLeader && n.now < startupPhaseTimeouts*n.cfg.ElectionTimeout {
		n.setStartupElectionTimer()
		return
	}
	half := n.cfg.ElectionTimeout / 2
	n.electionDeadline = n.now + half + n.jitter(half)
}

func (n *Node) jitter(d time.Duration) time.Duration {
	return time.Duration(n.cfg.Rand.Int64N(int64(max(d, 1))))
}

// hasLeaderContact reports whether the member is the leader or has heard from it within an election
// timeout.
func (n *Node) hasLeaderContact() bool {
	if n.role == Leader {
		return true
	}
	return n.leader != 0 && n.now-n.leaderContactAt < n.cfg.ElectionTimeout
}

func (n *Node) handleElectionTimeout() {
	if !n.mayCampaign() {
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
	n.leaderContactAt = never
	n.failReads()
	n.campaignStartedAt = n.now
	n.votes = map[MemberID]bool{n.cfg.ID: true}
	n.resetCampaignTimer()
	term := n.term + 1
	if role == PreCandidate {
		n.counters.PreVotes++
	}
	if role == Candidate {
		n.counters.Elections++
		n.term = term
		n.vote = n.cfg.ID
	}
	for _, id := range n.electorate() {
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
	canVote := n.vote == m.From || (n.vote == 0 && n.leader == 0)
	if req.PreVote {
		canVote = canVote || m.Term > n.term
	}
	if !canVote || !upToDate {
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
	if !HasMajorities(n.voterGroups(), func(id MemberID) bool { return n.votes[id] }) {
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
