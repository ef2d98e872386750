package consensus

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/result"
)

// Node is one member of the replicated log.
type Node struct {
	cfg  Config
	boot uint64
	now  time.Duration

	role    Role
	term    uint64
	vote    MemberID
	leader  MemberID
	log     *entryLog
	history []membersAt
	halted  bool

	snapshot Snapshot // newest own snapshot, for members that are too far behind
	incoming *incoming
	install  *Snapshot // received and not yet handed out

	electionDeadline time.Duration
	leaderContact    time.Duration // last message of the leader of this term
	ledOnce          bool          // it has led or heard a leader since its start
	currentAt        time.Duration // last time at which a leader is known to have had a quorum

	campaignAt time.Duration
	transfer   bool // this election was asked for by the leader
	votes      map[MemberID]bool

	lead leadership

	counters Counters

	messages    []Message
	reads       []ReadState
	saved       HardState // as of the last Ready
	softSaved   SoftState
	outstanding bool
	roundWanted bool
	sendWanted  bool
}

// New returns a member in the state that was restored from its storage.
func New(cfg Config, r Restored) (*Node, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	log, err := newEntryLog(r)
	if err != nil {
		return nil, err
	}
	n := &Node{
		cfg: cfg, boot: cfg.Rand.Uint64(), log: log,
		term: r.HardState.Term, vote: r.HardState.Vote,
		snapshot: r.Snapshot, leaderContact: never, currentAt: never,
	}
	if n.term < r.Snapshot.Term {
		// The snapshot was synced and the hard state was not; no vote was given in its term.
		n.term, n.vote = r.Snapshot.Term, 0
	}
	if last := log.last().Term; n.term < last {
		return nil, result.New(result.StorageCorrupt, "the log ends in term %d, the hard state in term %d", last, n.term)
	}
	n.history = []membersAt{{Members: Members{Voters: cfg.Members, Learners: cfg.Learners}}}
	if r.Snapshot.Index > 0 {
		n.history = []membersAt{{index: r.Snapshot.Index, Members: r.Snapshot.Members}}
	}
	for _, e := range log.entries {
		if e.Index <= r.Snapshot.Index {
			continue
		}
		if err := n.noteMembers(e); err != nil {
			return nil, err
		}
	}
	n.saved = n.hardState()
	n.softSaved = n.softState()
	n.startElectionTimer()
	return n, nil
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
}

func (n *Node) softState() SoftState {
	return SoftState{Role: n.role, Leader: n.leader, Term: n.term}
}

func (n *Node) setTime(now time.Duration) { n.now = max(n.now, now) }

// Tick does what is due at now.
func (n *Node) Tick(now time.Duration) {
	n.setTime(now)
	if n.halted {
		return
	}
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now >= n.electionDeadline {
		n.electionTimeout()
	}
}

// Deadline returns the time at which Tick has something to do.
func (n *Node) Deadline() time.Duration {
	if n.halted {
		return n.now + time.Hour
	}
	if n.role == Leader {
		return min(n.lead.heartbeatDeadline, n.lead.quorumDeadline)
	}
	return n.electionDeadline
}

// Step handles a message of another member. An error means that the message was invalid and had
// no effect.
func (n *Node) Step(m Message, now time.Duration) error {
	n.setTime(now)
	if n.halted {
		return nil
	}
	if m.To != n.cfg.ID || m.From == n.cfg.ID || m.From == 0 {
		return result.New(result.PeerUnknown, "message from member %d to %d reached member %d", m.From, m.To, n.cfg.ID)
	}
	if m.Term < n.term {
		n.counters.OldTerms++
		n.answerOldTerm(m)
		return nil
	}
	if m.VoteRequest != nil && !m.VoteRequest.Transfer && n.hasLeaderContact() {
		// A member that hears its leader gives no vote, so that a member that was removed or is
		// cut off in one direction cannot disturb the rest.
		return nil
	}
	if m.Term > n.term && !m.isPreVote() {
		n.becomeFollower(m.Term, 0)
	}
	if m.leads() {
		if n.role == Leader || (n.leader != 0 && n.leader != m.From) {
			return result.New(result.Internal, "members %d and %d both lead term %d", n.leader, m.From, m.Term)
		}
		n.noteLeader(m)
	}
	return n.dispatch(m)
}

// isPreVote reports whether the term of m is proposed and not in use. A refused pre-vote carries
// the term of the sender.
func (m *Message) isPreVote() bool {
	if m.VoteRequest != nil {
		return m.VoteRequest.PreVote
	}
	return m.VoteReply != nil && m.VoteReply.PreVote && m.VoteReply.Granted
}

func (n *Node) dispatch(m Message) error {
	switch {
	case m.VoteRequest != nil:
		n.handleVoteRequest(m)
	case m.VoteReply != nil:
		n.handleVoteReply(m)
	case m.Append != nil:
		return n.handleAppend(m)
	case m.Heartbeat != nil:
		n.handleHeartbeat(m)
	case m.SnapshotChunk != nil:
		return n.handleSnapshotChunk(m)
	case m.TimeoutNow != nil:
		n.handleTimeoutNow(m)
	case m.ReadRequest != nil:
		n.handleReadRequest(m)
	case m.ReadReply != nil:
		n.handleReadReply(m)
	case m.AppendReply != nil || m.HeartbeatReply != nil || m.SnapshotReply != nil:
		n.handleReply(m)
	default:
		return result.New(result.Internal, "message from member %d has no content", m.From)
	}
	return nil
}

// answerOldTerm tells the sender about the newer term. Otherwise a member that has a newer term
// could never follow the leader again.
func (n *Node) answerOldTerm(m Message) {
	switch {
	case m.leads():
		n.send(Message{To: m.From, HeartbeatReply: &HeartbeatReply{LastIndex: n.log.last().Index}})
	case m.VoteRequest != nil:
		n.send(Message{To: m.From, VoteReply: &VoteReply{PreVote: m.VoteRequest.PreVote}})
	}
}

func (n *Node) becomeFollower(term uint64, leader MemberID) {
	if term > n.term {
		n.term, n.vote = term, 0
	}
	if n.role == Leader {
		n.currentAt = max(n.currentAt, n.quorumContact())
	}
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.incoming = nil
	n.leaderContact = never
	n.failReads()
	n.lead = leadership{}
	n.resetElectionTimer()
}

// send queues a message with the term of the sender.
func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	m.Contact.Sent = Stamp{Boot: n.boot, At: n.now}
	n.messages = append(n.messages, m)
}
