package consensus

import "time"

// progressState selects how the log is sent to a peer.
type progressState uint8

const (
	// probing sends one Append at a time until the position where the logs match is known.
	probing progressState = iota
	// replicating pipelines a window of Append messages.
	replicating
	// snapshotting sends a snapshot, one chunk at a time.
	snapshotting
)

// progress is the leader's state for one peer.
type progress struct {
	state      progressState
	match      uint64        // last index that the peer is known to have synced
	next       uint64        // next index to send
	isPaused   bool          // probing or snapshotting, and waiting for a reply
	inflight   []uint64      // last index of each unacknowledged Append
	sentAt     time.Duration // time of the last Append with entries, probe or chunk
	sentCommit uint64        // last commit index sent to the peer
	snapshot   *outgoingSnapshot

	trackedAt     time.Duration // when the peer was added, or the leader was elected
	contactAt     time.Duration // send time of the latest message that was answered
	answeredRound uint64        // latest heartbeat round that was answered
	lastStamp     Stamp         // latest stamp received from the peer

	// removalIndex is the index of the entry that removed the peer, or zero. The peer receives the log up
	// to this entry, so that it learns of its removal.
	removalIndex    uint64
	removalDeadline time.Duration
}

func newProgress(next uint64, now time.Duration) *progress {
	return &progress{next: next, trackedAt: now, contactAt: never, sentAt: never}
}

func (p *progress) startProbing(next uint64) {
	p.state = probing
	p.next = max(next, p.match+1)
	p.isPaused = false
	p.inflight = nil
	p.snapshot = nil
}

// acknowledge records that the peer has the log up to match.
func (p *progress) acknowledge(match uint64) {
	p.match = max(p.match, match)
	p.next = max(p.next, p.match+1)
	acknowledged := 0
	for acknowledged < len(p.inflight) && p.inflight[acknowledged] <= p.match {
		acknowledged++
	}
	p.inflight = p.inflight[acknowledged:]
	switch p.state {
	case probing:
		p.state = replicating
		p.isPaused = false
		p.next = p.match + 1
	case snapshotting:
		if p.snapshot == nil || p.match >= p.snapshot.Index {
			p.startProbing(p.match + 1)
			p.state = replicating
		}
	}
}

// isLost reports whether the last unanswered Append or chunk must have been lost, given that the peer
// has answered a heartbeat sent at answeredAt: the heartbeat was sent after it.
func (p *progress) isLost(answeredAt time.Duration) bool { return p.sentAt < answeredAt }
