package consensus

import "github.com/greengagelock/greengagelock/internal/result"

// maxPendingReads limits the reads that wait for confirmation by a quorum.
const maxPendingReads = 4096

// pendingRead is a read index request at the leader.
type pendingRead struct {
	id           uint64
	from         MemberID // zero for the leader's own reads
	requestStamp Stamp    // stamp of the ReadRequest
	index        uint64
	round        uint64 // heartbeat round that a quorum has to answer
}

// ReadIndex requests a read index for a linearizable read. Ready.Reads later contains an index with the
// same ID; once it is applied, the state machine reflects everything that was committed when ReadIndex
// was called. A follower forwards the request to its leader. The reply can be lost, so the caller needs
// a timeout. IDs must be unique within a process.
func (n *Node) ReadIndex(id uint64) error {
	if n.halted {
		return result.New(result.StorageFailed, "member %d is halted because its storage failed", n.cfg.ID)
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
	if len(n.leadership.pendingReads) >= maxPendingReads {
		return result.New(result.Overloaded, "%d reads are already waiting for a quorum", len(n.leadership.pendingReads))
	}
	// A leader does not know the commit index of earlier terms until it has committed an entry of its
	// own term, so the read index is at least that entry.
	r.index = max(n.log.commit, n.leadership.termStartIndex)
	r.round = n.leadership.heartbeatRound + 1
	n.leadership.pendingReads = append(n.leadership.pendingReads, r)
	n.scheduleHeartbeat()
	return nil
}

func (n *Node) handleReadRequest(m Message) {
	r := pendingRead{id: m.ReadRequest.ID, from: m.From, requestStamp: m.Contact.Sent}
	if n.role != Leader || n.addRead(r) != nil {
		n.answerRead(r, true)
	}
}

func (n *Node) handleReadReply(m Message) {
	if m.Contact.Echo.Boot != n.boot {
		return // the reply belongs to an earlier start of this process, which used the same ID
	}
	r := m.ReadReply
	n.answeredReads = append(n.answeredReads, ReadState{ID: r.ID, Index: r.Index, Failed: r.Failed})
}

// answerReads answers the reads whose heartbeat round was answered by a quorum.
func (n *Node) answerReads() {
	if len(n.leadership.pendingReads) == 0 || n.log.commit < n.leadership.termStartIndex {
		return
	}
	confirmed := n.quorumRound()
	answered := 0
	for answered < len(n.leadership.pendingReads) && n.leadership.pendingReads[answered].round <= confirmed {
		n.answerRead(n.leadership.pendingReads[answered], false)
		answered++
	}
	n.leadership.pendingReads = n.leadership.pendingReads[answered:]
}

func (n *Node) quorumRound() uint64 {
	return majorityValue(n.voterGroups(), func(id MemberID) uint64 {
		if id == n.cfg.ID {
			return n.leadership.heartbeatRound
		}
		return n.leadership.peers[id].answeredRound
	})
}

func (n *Node) answerRead(r pendingRead, failed bool) {
	if r.from == 0 {
		n.answeredReads = append(n.answeredReads, ReadState{ID: r.id, Index: r.index, Failed: failed})
		return
	}
	n.send(Message{
		To: r.from, Contact: Contact{Echo: r.requestStamp},
		ReadReply: &ReadReply{ID: r.id, Index: r.index, Failed: failed},
	})
}

// failReads fails the pending reads of a leader that steps down.
func (n *Node) failReads() {
	for _, r := range n.leadership.pendingReads {
		n.counters.ReadsFailed++
		n.answerRead(r, true)
	}
	n.leadership.pendingReads = nil
}
