package consensus

import (
	"github.com/greengagelock/greengagelock/internal/result"
)

// recordLeader records contact from the leader of this term.
func (n *Node) recordLeader(m Message) {
	if n.role != Follower || n.leader == 0 {
		n.becomeFollower(n.term, m.From)
	}
	n.leaderContactAt, n.hasSeenLeader = n.now, true
	n.resetElectionTimer()
	echo := m.Contact.Echo
	if echo.Boot == n.boot && echo.At <= n.now && m.Contact.QuorumAge >= 0 {
		n.knownQuorumAt = max(n.knownQuorumAt, echo.At-m.Contact.QuorumAge)
	}
}

// reply answers a message from the leader.
func (n *Node) reply(to Message, m Message) {
	m.To = to.From
	m.Contact.Echo = to.Contact.Sent
	m.Contact.Round = to.Contact.Round
	n.send(m)
}

func (n *Node) handleHeartbeat(m Message) {
	n.commitTo(min(m.Heartbeat.Commit, n.log.last().Index))
	n.reply(m, Message{HeartbeatReply: &HeartbeatReply{LastIndex: n.log.last().Index}})
}

func (n *Node) handleAppend(m Message) error {
	a := m.Append
	for i, e := range a.Entries {
		if e.Index != a.Previous.Index+uint64(i)+1 || e.Term > m.Term {
			return result.New(result.Internal, "member %d sent entry %d of term %d out of order", m.From, e.Index, e.Term)
		}
	}
	if a.Previous.Index < n.log.commit {
		// Committed entries match the log of every later leader.
		n.reply(m, Message{AppendReply: &AppendReply{Match: n.log.commit}})
		return nil
	}
	if !n.log.matches(a.Previous) {
		n.reply(m, Message{AppendReply: &AppendReply{
			Rejected: true, RejectedIndex: a.Previous.Index,
			Hint: n.log.conflictHint(a.Previous.Index, a.Previous.Term),
		}})
		return nil
	}
	if err := n.appendFromLeader(a.Entries); err != nil {
		return err
	}
	match := a.Previous.Index + uint64(len(a.Entries))
	n.commitTo(min(a.Commit, match))
	n.reply(m, Message{AppendReply: &AppendReply{Match: match}})
	return nil
}

// appendFromLeader appends the entries that are missing, after truncating the log at the first
// conflicting entry.
func (n *Node) appendFromLeader(entries []Entry) error {
	for len(entries) > 0 && n.log.matches(Position{Index: entries[0].Index, Term: entries[0].Term}) {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	if first <= n.log.commit {
		return result.New(result.Internal, "entry %d of term %d conflicts with a committed entry", first, entries[0].Term)
	}
	if first <= n.log.last().Index {
		n.log.truncate(first)
		n.truncateMemberships(first)
	}
	for _, e := range entries {
		if err := n.recordMembers(e); err != nil {
			return err
		}
		n.log.entries = append(n.log.entries, e)
	}
	return nil
}

func (n *Node) commitTo(index uint64) {
	if index > n.log.commit {
		n.log.commit = index
	}
}
