package consensus

import "github.com/greengagelock/greengagelock/internal/result"

// maxPendingReads bounds the reads that wait for a quorum.
const maxPendingReads = 4096

// pendingRead is a read barrier at the leader.
type pendingRead struct {
	id    uint64
	from  MemberID // zero for the leader's own reads
	asked Stamp    // of the message of from
	index uint64
	round uint64 // must be answered by a quorum
}

// ReadIndex asks for a read barrier. Ready.Reads later holds an index with the same ID; once it
// is applied, the state machine holds everything that was committed when ReadIndex was called. A
// follower asks its leader; the answer can get lost, so the caller sets a deadline. IDs are unique
// since the process started.
func (n *Node) ReadIndex(id uint64) error {
	if n.halted {
		return result.New(result.StorageFailed, "member %d cannot write its storage", n.cfg.ID)
	}
	if n.role == Leader {
		return n.addRead(pendingRead{id: id})
	}
	if n.leader == 0 {
		return result.New(result.NoQuorum, "member %d knows no leader", n.cfg.ID)
	}
	n.send(Message{To: n.leader, ReadRequest: &ReadRequest{ID: id}})
	return nil
}

func (n *Node) addRead(r pendingRead) error {
	if len(n.lead.reads) >= maxPendingReads {
		return result.New(result.Overloaded, "%d reads wait for a quorum", len(n.lead.reads))
	}
	// A leader knows the commit index of earlier terms only after it has committed an entry of
	// its own, so the read covers at least that entry.
	r.index = max(n.log.commit, n.lead.termStart)
	r.round = n.lead.round + 1
	n.lead.reads = append(n.lead.reads, r)
	n.requestRound()
	return nil
}

func (n *Node) handleReadRequest(m Message) {
	r := pendingRead{id: m.ReadRequest.ID, from: m.From, asked: m.Contact.Sent}
	if n.role != Leader || n.addRead(r) != nil {
		n.answerRead(r, true)
	}
}

func (n *Node) handleReadReply(m Message) {
	if m.Contact.Echo.Boot != n.boot {
		return // it answers a read of an earlier life of this process, which used the same ID
	}
	r := m.ReadReply
	n.reads = append(n.reads, ReadState{ID: r.ID, Index: r.Index, Failed: r.Failed})
}

// answerReads answers the reads whose round was confirmed by a quorum.
func (n *Node) answerReads() {
	if len(n.lead.reads) == 0 || n.log.commit < n.lead.termStart {
		return
	}
	confirmed := n.confirmedRound()
	done := 0
	for done < len(n.lead.reads) && n.lead.reads[done].round <= confirmed {
		n.answerRead(n.lead.reads[done], false)
		done++
	}
	n.lead.reads = n.lead.reads[done:]
}

func (n *Node) confirmedRound() uint64 {
	members := n.Members()
	rounds := make([]uint64, 0, len(members.Voters))
	for _, id := range members.Voters {
		if id == n.cfg.ID {
			rounds = append(rounds, n.lead.round)
		} else {
			rounds = append(rounds, n.lead.peers[id].round)
		}
	}
	return quorumValue(rounds, members.Quorum())
}

func (n *Node) answerRead(r pendingRead, failed bool) {
	if r.from == 0 {
		n.reads = append(n.reads, ReadState{ID: r.id, Index: r.index, Failed: failed})
		return
	}
	n.send(Message{
		To: r.from, Contact: Contact{Echo: r.asked},
		ReadReply: &ReadReply{ID: r.id, Index: r.index, Failed: failed},
	})
}

// failReads fails the reads of a leader that steps down.
func (n *Node) failReads() {
	for _, r := range n.lead.reads {
		n.counters.ReadsFailed++
		n.answerRead(r, true)
	}
	n.lead.reads = nil
}
