package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/telemetry"
	"github.com/greengagelock/greengagelock/internal/wal"
	"github.com/greengagelock/greengagelock/internal/wal/memfs"
)

const ms = time.Millisecond

type event struct {
	at  time.Duration
	run func()
}

type link struct{ from, to consensus.MemberID }

// testingT is implemented by *testing.T, *testing.B and *rapid.T.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// cluster runs members on a simulated network and checks the safety properties of the log at every step.
type cluster struct {
	t             testingT
	rng           *rand.Rand
	now           time.Duration
	events        []event // ordered by time
	ids           []consensus.MemberID
	members       map[consensus.MemberID]*member
	blocked       map[link]bool
	lossRate      float64
	duplicateRate float64
	delay         func() time.Duration
	diskDelay     func() time.Duration           // nil for none
	drop          func(m consensus.Message) bool // reports whether to lose m; nil for none
	delivered     int                            // number of messages
	settings      consensus.Config               // without ID, members and randomness
	segmentSize   int64                          // in bytes, of the write-ahead log

	leaders         map[uint64]consensus.MemberID
	votes           map[[2]uint64]consensus.MemberID
	committed       map[uint64]consensus.Entry
	lastCommitted   uint64
	termCommittedAt map[uint64]time.Duration // time at which an entry of the term was first applied
	contentAt       map[consensus.Position]string
}

// member is a simulated process that hosts a Node on a simulated disk.
type member struct {
	c              *cluster
	id             consensus.MemberID
	initialMembers []consensus.MemberID
	isOld          bool // of a build that does not know transitions
	fs             *memfs.FS
	log            *wal.Log
	node           *consensus.Node
	incarnation    int
	startedAt      time.Duration // of this incarnation; the clock of a process starts at zero
	durable        consensus.Restored
	checkedCommit  uint64 // commit index at the last checkCommit
	appliedIndex   uint64
	commands       []string // applied so far
	softState      consensus.SoftState

	// Results that clients of this incarnation wait for.
	readStates map[uint64]consensus.ReadState
	outcomes   map[uint64]appliedEntry
}

type appliedEntry struct {
	term         uint64
	commandCount int // commands applied up to this entry
}

// smallSizes makes messages, windows and snapshots reach their limits with little data.
var smallSizes = consensus.Config{MaxEntriesPerMessage: 4, MaxInflight: 3, SnapshotChunkSize: 64}

func newCluster(t testingT, seed uint64, size int, settings consensus.Config) *cluster {
	c := &cluster{
		t: t, settings: settings, segmentSize: 2048, rng: rand.New(rand.NewPCG(seed, 1)), members: map[consensus.MemberID]*member{}, blocked: map[link]bool{},
		leaders: map[uint64]consensus.MemberID{}, votes: map[[2]uint64]consensus.MemberID{},
		committed: map[uint64]consensus.Entry{}, contentAt: map[consensus.Position]string{}, termCommittedAt: map[uint64]time.Duration{},
	}
	c.delay = func() time.Duration { return 1500 * time.Microsecond }
	initialMembers := voters(size)
	for _, id := range initialMembers {
		c.addMember(id, initialMembers)
	}
	return c
}

func voters(size int) []consensus.MemberID {
	var ids []consensus.MemberID
	for i := range size {
		ids = append(ids, consensus.MemberID(i+1))
	}
	return ids
}

func (c *cluster) addMember(id consensus.MemberID, initialMembers []consensus.MemberID) *member {
	m := &member{c: c, id: id, initialMembers: initialMembers, fs: memfs.New(rand.New(rand.NewPCG(c.rng.Uint64(), 2)))}
	c.members[id] = m
	c.ids = append(c.ids, id)
	m.restart()
	return m
}

func (c *cluster) after(d time.Duration, run func()) {
	e := event{at: c.now + d, run: run}
	i := sort.Search(len(c.events), func(i int) bool { return c.events[i].at > e.at })
	c.events = slices.Insert(c.events, i, e)
}

// run advances simulated time by d or until done, which may be nil, returns true. It reports whether done
// did.
func (c *cluster) run(d time.Duration, done func() bool) bool {
	end := c.now + d
	for {
		if done != nil && done() {
			return true
		}
		if len(c.events) == 0 || c.events[0].at > end {
			c.now = end
			return false
		}
		e := c.events[0]
		c.events = c.events[1:]
		c.now = max(c.now, e.at)
		e.run()
	}
}

func (c *cluster) send(msg consensus.Message) {
	copies := 1
	if c.rng.Float64() < c.duplicateRate {
		copies = 2
	}
	for range copies {
		if c.blocked[link{msg.From, msg.To}] || c.rng.Float64() < c.lossRate {
			continue
		}
		c.after(c.delay(), func() {
			m := c.members[msg.To]
			if m == nil || m.node == nil || c.blocked[link{msg.From, msg.To}] || c.drop != nil && c.drop(msg) {
				return
			}
			c.delivered++
			m.requireNoError(m.node.Step(msg, m.clock()))
			m.limitToBuild()
			m.processReady()
		})
	}
}

func (c *cluster) leader() *member {
	var newest *member
	for _, id := range c.ids {
		m := c.members[id]
		if m.node != nil && m.softState.Role == consensus.Leader && (newest == nil || m.softState.Term > newest.softState.Term) {
			newest = m
		}
	}
	return newest
}

// waitForLeader runs the cluster for 2 s and returns the leader.
func (c *cluster) waitForLeader() *member {
	c.run(2*time.Second, nil)
	if c.leader() == nil {
		c.t.Fatalf("no leader%s", c.describe())
	}
	return c.leader()
}

// addCaughtUpLearner adds a learner and waits until it has the log.
func (c *cluster) addCaughtUpLearner(l *member, id consensus.MemberID) {
	c.addMember(id, nil)
	_, err := l.node.ProposeMemberChange(consensus.MemberChange{AddLearner: id})
	l.requireNoError(err)
	l.processReady()
	c.run(time.Second, nil)
}

// isolate partitions members from the rest. They can still reach each other.
func (c *cluster) isolate(isolated ...consensus.MemberID) {
	for _, id := range isolated {
		for _, other := range c.ids {
			if !slices.Contains(isolated, other) {
				c.blocked[link{id, other}], c.blocked[link{other, id}] = true, true
			}
		}
	}
}

// heal repairs network and disks, and restarts crashed members.
func (c *cluster) heal() {
	c.lossRate, c.duplicateRate, c.diskDelay = 0, 0, nil
	clear(c.blocked)
	for _, id := range c.ids {
		m := c.members[id]
		m.fs.FailNth(0, nil)
		if m.node == nil {
			m.restart()
		}
	}
}

func (m *member) clock() time.Duration { return m.c.now - m.startedAt }

func (m *member) crash() {
	m.incarnation++
	m.node, m.log = nil, nil
	m.softState = consensus.SoftState{}
	m.fs.Crash()
}

func (m *member) requireNoError(err error) {
	if err != nil {
		m.c.t.Fatalf("member %d: %v", m.id, err)
	}
}

func (m *member) restart() {
	storage := wal.Config{Identity: wal.Identity{Cluster: "test", Member: m.id}, SegmentSize: m.c.segmentSize, FS: m.fs}
	log, err := wal.New(storage, telemetry.Discard())
	m.requireNoError(err)
	restored, err := log.Restored()
	m.requireNoError(err)
	m.checkRestored(restored)
	m.incarnation++
	m.startedAt, m.log, m.durable = m.c.now, log, restored
	m.commands, m.readStates, m.outcomes = nil, map[uint64]consensus.ReadState{}, map[uint64]appliedEntry{}
	m.Restore(restored.Snapshot)
	settings := m.c.settings
	settings.ID, settings.Members = m.id, m.initialMembers
	settings.Rand = rand.New(rand.NewPCG(m.c.rng.Uint64(), 3))
	m.node, err = consensus.New(settings, restored)
	m.requireNoError(err)
	m.limitToBuild()
	m.schedule()
}

// limitToBuild hides from a member of an older build what that does not know.
func (m *member) limitToBuild() {
	if m.isOld {
		m.node.ForgetTransitions()
	}
}

// restartWithState persists r as if the member had done so before, and restarts the member.
func (m *member) restartWithState(r consensus.Ready) {
	r.MustSync = true
	m.requireNoError(m.log.Persist(r))
	m.crash()
	m.restart()
}

func (m *member) schedule() {
	incarnation := m.incarnation
	m.c.after(max(m.node.Deadline()-m.clock(), 0), func() {
		if m.incarnation != incarnation {
			return
		}
		if m.clock() >= m.node.Deadline() {
			m.node.Tick(m.clock())
			m.processReady()
		}
		if m.incarnation == incarnation {
			m.schedule()
		}
	})
}

// processReady handles the node's pending work after the disk delay. Messages and ticks can arrive in
// between.
func (m *member) processReady() {
	if m.node == nil {
		return
	}
	m.checkCommit()
	r, ok := m.node.Ready()
	if !ok {
		return
	}
	incarnation := m.incarnation
	handle := func() {
		if m.incarnation == incarnation && m.handleReady(r) {
			m.processReady()
		}
	}
	if m.c.diskDelay == nil {
		handle()
		return
	}
	m.c.after(m.c.diskDelay(), handle)
}

// handleReady handles r and reports whether the node keeps running.
func (m *member) handleReady(r consensus.Ready) bool {
	err := m.node.Handle(r, m, m)
	switch {
	case m.fs.Crashed():
		m.crash()
	case err != nil:
		m.softState = consensus.SoftState{}
	default:
		m.checkQuorumAge()
	}
	return err == nil
}

// Persist implements consensus.Storage.
func (m *member) Persist(r consensus.Ready) error {
	err := m.log.Persist(r)
	if err == nil {
		m.recordSynced(r)
	}
	return err
}

// Send implements consensus.Host.
func (m *member) Send(messages []consensus.Message) {
	for _, msg := range messages {
		m.checkSent(msg)
		if !m.fs.Crashed() {
			m.c.send(msg)
		}
	}
}

// Answer implements consensus.Host.
func (m *member) Answer(r consensus.ReadState) { m.readStates[r.ID] = r }

// Restore implements consensus.Host.
func (m *member) Restore(s consensus.Snapshot) {
	m.appliedIndex = s.Index
	if s.Index > 0 {
		m.commands = strings.Fields(string(s.Data))
	}
}

// Apply implements consensus.Host.
func (m *member) Apply(e consensus.Entry) {
	m.c.checkCommitted(m, e)
	m.appliedIndex = e.Index
	if e.Kind == consensus.EntryCommand {
		m.commands = append(m.commands, string(e.Data))
	}
	m.outcomes[e.Index] = appliedEntry{term: e.Term, commandCount: len(m.commands)}
}

// compact takes a snapshot and discards all but the last trailing entries.
func (m *member) compact(trailing uint64) {
	installing := m.node != nil && m.appliedIndex+1 < m.status().First
	if m.node == nil || m.log.Err() != nil || m.appliedIndex == 0 || installing {
		return
	}
	s, err := m.node.NewSnapshot([]byte(strings.Join(m.commands, "\n")))
	m.requireNoError(err)
	keep := s.Index - min(trailing, s.Index)
	if err := m.log.SaveSnapshot(s, keep); err != nil {
		if m.fs.Crashed() {
			m.crash()
		}
		return
	}
	m.requireNoError(m.node.Compact(keep, s))
	m.durable.Snapshot = s
}

func (m *member) propose(data string) (consensus.Position, error) {
	p, err := m.node.Propose([]byte(data))
	m.processReady()
	return p, err
}

func (m *member) status() consensus.Status { return m.node.Status(m.clock()) }

func (c *cluster) describe() string {
	s := ""
	for _, id := range c.ids {
		m := c.members[id]
		if m.node != nil {
			s += fmt.Sprintf("\n%d: %+v", id, m.status())
		}
	}
	return s
}
