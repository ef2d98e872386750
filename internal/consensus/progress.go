package consensus

import "time"

// progressState says how entries are sent to a member.
type progressState uint8

const (
	// probing sends one Append at a time until the logs are known to agree.
	probing progressState = iota
	// replicating sends a window of Append messages without waiting.
	replicating
	// snapshotting sends a snapshot, one chunk at a time.
	snapshotting
)

// progress is what a leader knows about another member.
type progress struct {
	state      progressState
	match      uint64 // last index known to be in its storage
	next       uint64 // next index to send
	paused     bool   // probing or snapshotting, and waiting for a reply
	inflight   []uint64
	sentAt     time.Duration // last Append with entries, probe or chunk
	sentCommit uint64        // commit index that it was told last
	snapshot   *outgoing

	contact   time.Duration // send time of the newest message that was answered
	round     uint64        // newest heartbeat round that was answered
	lastStamp Stamp         // newest stamp received from it

	// leaving is the index of the entry that removed the member. It gets the log up to there, so
	// that it learns of its removal.
	leaving      uint64
	leavingUntil time.Duration
}

func newProgress(next uint64) *progress {
	return &progress{next: next, contact: never, sentAt: never}
}

func (p *progress) probe(next uint64) {
	p.state = probing
	p.next = max(next, p.match+1)
	p.paused = false
	p.inflight = nil
	p.snapshot = nil
}

// acknowledge notes that the member holds the log up to match.
func (p *progress) acknowledge(match uint64) {
	p.match = max(p.match, match)
	p.next = max(p.next, p.match+1)
	done := 0
	for done < len(p.inflight) && p.inflight[done] <= p.match {
		done++
	}
	p.inflight = p.inflight[done:]
	switch p.state {
	case probing:
		p.state = replicating
		p.paused = false
		p.next = p.match + 1
	case snapshotting:
		if p.snapshot == nil || p.match >= p.snapshot.Index {
			p.probe(p.match + 1)
			p.state = replicating
		}
	}
}

// overdue reports whether an Append must have been lost: a heartbeat that was sent after it has
// been answered, and it has not.
func (p *progress) overdue(answered time.Duration) bool { return p.sentAt < answered }
