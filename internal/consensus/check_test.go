package consensus_test

import (
	"github.com/greengagelock/greengagelock/internal/consensus"
)

// entryAt returns the stored entry at index. known is false if the entry has been compacted.
func entryAt(r consensus.Restored, index uint64) (e consensus.Entry, found, known bool) {
	if index <= r.Snapshot.Index {
		return e, false, false
	}
	if len(r.Entries) == 0 || index < r.Entries[0].Index || index-r.Entries[0].Index >= uint64(len(r.Entries)) {
		return e, false, true
	}
	return r.Entries[index-r.Entries[0].Index], true, true
}

// recordSynced records what the member has synced, and checks log matching and election safety.
func (m *member) recordSynced(r consensus.Ready) {
	c, d := m.c, &m.durable
	if r.MustSync {
		d.HardState = r.HardState
	}
	if r.Snapshot != nil {
		d.Snapshot, d.Entries = *r.Snapshot, nil
	}
	for _, e := range r.Entries {
		if len(d.Entries) > 0 {
			d.Entries = d.Entries[: e.Index-d.Entries[0].Index : e.Index-d.Entries[0].Index]
		}
		d.Entries = append(d.Entries, e)
		c.checkMatching(m, e)
	}
	if r.SoftState.Role == consensus.Leader && (m.softState.Role != consensus.Leader || m.softState.Term != r.SoftState.Term) {
		c.checkElection(m, r.SoftState.Term)
	}
	m.softState = r.SoftState
}

// checkMatching checks that an entry with the same index and term, and the same term before it, has the
// same content on all members (log matching).
func (c *cluster) checkMatching(m *member, e consensus.Entry) {
	previous := uint64(0)
	if before, found, _ := entryAt(m.durable, e.Index-1); found {
		previous = before.Term
	} else if m.durable.Snapshot.Index == e.Index-1 {
		previous = m.durable.Snapshot.Term
	}
	p := consensus.Position{Index: e.Index, Term: e.Term}
	content := string(append([]byte{byte(e.Kind), byte(previous)}, e.Data...))
	if known, ok := c.contentAt[p]; ok && known != content {
		c.t.Fatalf("log matching: member %d has different content at %+v", m.id, p)
	}
	c.contentAt[p] = content
}

// checkElection checks that a term has one leader (election safety), and that its log contains every
// committed entry (leader completeness).
func (c *cluster) checkElection(m *member, term uint64) {
	if other, ok := c.leaders[term]; ok && other != m.id {
		c.t.Fatalf("election safety: members %d and %d lead term %d", other, m.id, term)
	}
	c.leaders[term] = m.id
	for index, want := range c.committed {
		e, found, known := entryAt(m.durable, index)
		if known && want.Term < term && (!found || e.Term != want.Term) {
			c.t.Fatalf("leader completeness: leader %d of term %d lacks entry %d of term %d", m.id, term, index, want.Term)
		}
	}
}

// checkSent checks that everything msg states was synced before, and that the member votes once per term
// across restarts.
func (m *member) checkSent(msg consensus.Message) {
	c, d := m.c, m.durable
	preVote := msg.VoteRequest != nil && msg.VoteRequest.PreVote || msg.VoteReply != nil && msg.VoteReply.PreVote
	if !preVote && msg.Term > d.HardState.Term {
		c.t.Fatalf("term: member %d uses term %d but has synced %+v", m.id, msg.Term, d.HardState)
	}
	if r := msg.AppendReply; r != nil && !r.Rejected && r.Match > 0 {
		if _, found, known := entryAt(d, r.Match); known && !found {
			c.t.Fatalf("acknowledgement: member %d acknowledges entry %d but has not synced it", m.id, r.Match)
		}
	}
	if msg.VoteReply == nil || msg.VoteReply.PreVote || !msg.VoteReply.Granted {
		return
	}
	// A member that has synced a later term never votes in this one again, whether or not it has synced the vote.
	if d.HardState.Term < msg.Term || d.HardState.Term == msg.Term && d.HardState.Vote != msg.To {
		c.t.Fatalf("votes: member %d votes for %d in term %d but has synced %+v", m.id, msg.To, msg.Term, d.HardState)
	}
	key := [2]uint64{uint64(msg.From), msg.Term}
	if other, ok := c.votes[key]; ok && other != msg.To {
		c.t.Fatalf("votes: member %d votes for %d and %d in term %d", msg.From, other, msg.To, msg.Term)
	}
	c.votes[key] = msg.To
}

// checkCommitted checks that committed entries are applied in order and never change.
func (c *cluster) checkCommitted(m *member, e consensus.Entry) {
	if e.Index != m.appliedIndex+1 {
		c.t.Fatalf("order: member %d applies entry %d after %d", m.id, e.Index, m.appliedIndex)
	}
	known, ok := c.committed[e.Index]
	if ok && (known.Term != e.Term || string(known.Data) != string(e.Data)) {
		c.t.Fatalf("committed entry %d changed from term %d to term %d", e.Index, known.Term, e.Term)
	}
	if ok {
		return
	}
	c.committed[e.Index] = e
	c.lastCommitted = max(c.lastCommitted, e.Index)
	if _, ok := c.termCommittedAt[e.Term]; !ok {
		c.termCommittedAt[e.Term] = c.now
	}
}

// checkCommit checks that a leader commits only what a majority of the current voters has synced. It has
// to run right after every call that can commit, because a later membership change changes the majority.
func (m *member) checkCommit() {
	s := m.status()
	if s.Role != consensus.Leader || s.Commit <= m.checkedCommit {
		m.checkedCommit = s.Commit
		return
	}
	m.checkedCommit = s.Commit
	var holders []consensus.MemberID
	holds := func(id consensus.MemberID) bool {
		stored, found, known := entryAt(m.c.members[id].durable, s.Commit)
		if !known || found && stored.Term == s.Term {
			holders = append(holders, id)
			return true
		}
		return false
	}
	if groups := consensus.VoterGroups(s.Members, s.Transition); !consensus.HasMajorities(groups, holds) {
		m.c.t.Fatalf("durability: entry %d is committed but synced by %d only, of %d", s.Commit, holders, groups)
	}
}

// checkQuorumAge checks that a member knows every term in which an entry was committed before the time
// up to which the member claims to be current.
func (m *member) checkQuorumAge() {
	age, known := m.node.QuorumAge(m.clock())
	for term, at := range m.c.termCommittedAt {
		if known && term > m.softState.Term && at < m.c.now-age {
			m.c.t.Fatalf("age: member %d in term %d claims to be current up to %s, but term %d committed at %s", m.id, m.softState.Term, m.c.now-age, term, at)
		}
	}
}

// checkRestored checks that a restart finds everything that was reported as synced.
func (m *member) checkRestored(r consensus.Restored) {
	t, d := m.c.t, m.durable
	if r.HardState.Term < d.HardState.Term || r.HardState.Term == d.HardState.Term && d.HardState.Vote != 0 && r.HardState.Vote != d.HardState.Vote {
		t.Fatalf("restart: member %d lost %+v, has %+v", m.id, d.HardState, r.HardState)
	}
	if r.Snapshot.Index < d.Snapshot.Index {
		t.Fatalf("restart: member %d lost the snapshot at %d, has %d", m.id, d.Snapshot.Index, r.Snapshot.Index)
	}
	if e, found, _ := entryAt(d, r.Snapshot.Index); found && e.Term != r.Snapshot.Term {
		return // a snapshot that was stored but not reported conflicts with the log and replaces it
	}
	for _, want := range d.Entries {
		e, found, known := entryAt(r, want.Index)
		if !known || found && e.Term == want.Term && string(e.Data) == string(want.Data) {
			continue
		}
		if found && e.Term > want.Term {
			return // an entry that was written but not reported overwrites the rest
		}
		t.Fatalf("restart: member %d lost entry %d of term %d", m.id, want.Index, want.Term)
	}
}
