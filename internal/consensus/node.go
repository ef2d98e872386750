package consensus

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/result"
)

// Node is one member of the replicated log.
type Node struct {
	cfg  Config
	boot uint64 // random number of this process start
	now  time.Duration

	role        Role
	term        uint64
	vote        MemberID
	leader      MemberID
	log         *entryLog
	memberships []membership
	halted      bool

	snapshot       Snapshot // latest own snapshot, sent to members that lag behind the log
	incoming       *incomingSnapshot
	pendingInstall *Snapshot // received, not yet returned by Ready

	electionDeadline time.Duration
	leaderContactAt  time.Duration // last message from the leader of this term
	hasSeenLeader    bool          // it has been leader or has heard from one since it started
	knownQuorumAt    time.Duration // latest time at which a leader is known to have had a quorum

	campaignStartedAt time.Duration
	votes             map[MemberID]bool

	leadership leadership

	counters Counters

	messages        []Message
	answeredReads   []ReadState
	lastHardState   HardState // returned by the last Ready
	lastSoftState   SoftState
	awaitingAdvance bool
	heartbeatDue    bool
	replicationDue  bool
}

// New returns a follower with the state that was loaded from storage.
func New(cfg Config, r Restored) (*Node, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	log, err := newEntryLog(r)
	if err != nil {
		return nil, err
	}
	n := &Node{
		cfg: cfg, boot: cfg.Rand.Uint64(), log: log,
		term: r.HardState.Term, vote: r.HardState.Vote,
		snapshot: r.Snapshot, leaderContactAt: never, knownQuorumAt: never,
	}
	if n.term < r.Snapshot.Term {
		// The snapshot was synced before the hard state, so the member has not voted in its term.
		n.term, n.vote = r.Snapshot.Term, 0
	}
	if lastTerm := log.last().Term; n.term < lastTerm {
		return nil, result.New(result.StorageCorrupt, "the log ends in term %d, the hard state in term %d", lastTerm, n.term)
	}
	n.memberships = []membership{{Members: Members{Voters: cfg.Members, Learners: cfg.Learners}}}
	if r.Snapshot.Index > 0 {
		n.memberships = []membership{snapshotMembership(&r.Snapshot)}
	}
	for _, e := range log.entries {
		if e.Index <= r.Snapshot.Index {
			continue
		}
		if err := n.recordMembers(e); err != nil {
			return nil, err
		}
	}
	n.lastHardState = n.hardState()
	n.lastSoftState = n.softState()
	n.setStartupElectionTimer()
	return n, nil
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
}

func (n *Node) softState() SoftState {
	return SoftState{Role: n.role, Leader: n.leader, Term: n.term}
}

func (n *Node) setTime(now time.Duration) { n.now = max(n.now, now) }

// Tick handles the timers that have expired at now.
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
		n.handleElectionTimeout()
	}
}

// Deadline returns the time at which Tick has to be called.
func (n *Node) Deadline() time.Duration {
	if n.halted {
		return n.now + time.Hour
	}
	if n.role == Leader {
		return min(n.leadership.heartbeatDeadline, n.leadership.quorumDeadline)
	}
	return n.electionDeadline
}

// Step handles a message from another member. It returns an error if the message is invalid; such a
// message has no effect.
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
		n.rejectOldTerm(m)
		return nil
	}
	if m.VoteRequest != nil && !m.VoteRequest.Transfer && n.hasLeaderContact() {
		// A member in contact with its leader grants no vote, so that a removed or partially
		// partitioned member cannot disrupt the others.
		return nil
	}
	if m.Term > n.term && !m.isPreVote() {
		n.becomeFollower(m.Term, 0)
	}
	if m.isFromLeader() {
		if n.role == Leader || (n.leader != 0 && n.leader != m.From) {
			return result.New(result.Internal, "members %d and %d are both leader in term %d", n.leader, m.From, m.Term)
		}
		n.recordLeader(m)
	}
	return n.dispatch(m)
}

// isPreVote reports whether the term of m is only proposed. A rejected pre-vote contains the actual
// term of the sender.
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
		return result.New(result.Internal, "message from member %d is empty", m.From)
	}
	return nil
}

// rejectOldTerm sends the newer term to the sender of an outdated message. Otherwise a member with a
// newer term could never follow the leader again.
func (n *Node) rejectOldTerm(m Message) {
	switch {
	case m.isFromLeader():
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
		n.knownQuorumAt = max(n.knownQuorumAt, n.quorumContact())
	}
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.incoming = nil
	n.leaderContactAt = never
	n.failReads()
	n.leadership = leadership{}
	n.resetElectionTimer()
}

// send queues a message. Its term defaults to the current term.
func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	m.Contact.Sent = Stamp{Boot: n.boot, At: n.now}
	n.messages = append(n.messages, m)
}
