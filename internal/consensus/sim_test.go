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

// fatal is implemented by *testing.T, *testing.B and *rapid.T.
type fatal interface {
	Helper()
	Fatalf(format string, args ...any)
}

// cluster runs members over a simulated network and checks the safety of the log at every step.
type cluster struct {
	t         fatal
	rng       *rand.Rand
	now       time.Duration
	events    []event // in order of time
	ids       []consensus.MemberID
	members   map[consensus.MemberID]*member
	blocked   map[link]bool
	loss      float64
	duplicate float64
	delay     func() time.Duration
	diskDelay func() time.Duration           // nil means none
	drop      func(m consensus.Message) bool // loses more messages; nil means none
	arrived   int                            // messages
	settings  consensus.Config               // without ID, members and randomness
	segment   int64                          // size of segments

	leaders   map[uint64]consensus.MemberID
	votes     map[[2]uint64]consensus.MemberID
	committed map[uint64]consensus.Entry
	top       uint64
	termAt    map[uint64]time.Duration // when an entry of the term was first applied
	content   map[consensus.Position]string
}

// member is a shell: it persists, sends, applies and advances.
type member struct {
	c       *cluster
	id      consensus.MemberID
	first   []consensus.MemberID
	fs      *memfs.FS
	log     *wal.Log
	node    *consensus.Node
	life    int
	start   time.Duration // of this life; the clock of a process starts at zero
	durable consensus.Restored
	commit  uint64 // as last checked
	applied uint64
	state   []string // the commands applied so far
	soft    consensus.SoftState

	// What clients of this life wait for.
	answers  map[uint64]consensus.ReadState
	outcomes map[uint64]applied
}

type applied struct {
	term     uint64
	commands int // applied up to it
}

// smallSizes make messages, windows and snapshots reach their limits with little data.
var smallSizes = consensus.Config{MaxEntriesPerMessage: 4, MaxInflight: 3, SnapshotChunkSize: 64}

func newCluster(t fatal, seed uint64, size int, settings consensus.Config) *cluster {
	c := &cluster{
		t: t, settings: settings, segment: 2048, rng: rand.New(rand.NewPCG(seed, 1)), members: map[consensus.MemberID]*member{}, blocked: map[link]bool{},
		leaders: map[uint64]consensus.MemberID{}, votes: map[[2]uint64]consensus.MemberID{},
		committed: map[uint64]consensus.Entry{}, content: map[consensus.Position]string{}, termAt: map[uint64]time.Duration{},
	}
	c.delay = func() time.Duration { return 1500 * time.Microsecond }
	first := voters(size)
	for _, id := range first {
		c.addMember(id, first)
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

func (c *cluster) addMember(id consensus.MemberID, first []consensus.MemberID) *member {
	m := &member{c: c, id: id, first: first, fs: memfs.New(rand.New(rand.NewPCG(c.rng.Uint64(), 2)))}
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

// run lets simulated time pass until done, which may be nil, and reports whether it was done.
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
	if c.rng.Float64() < c.duplicate {
		copies = 2
	}
	for range copies {
		if c.blocked[link{msg.From, msg.To}] || c.rng.Float64() < c.loss {
			continue
		}
		c.after(c.delay(), func() {
			m := c.members[msg.To]
			if m == nil || m.node == nil || c.blocked[link{msg.From, msg.To}] || c.drop != nil && c.drop(msg) {
				return
			}
			c.arrived++
			m.must(m.node.Step(msg, m.clock()))
			m.pump()
		})
	}
}

func (c *cluster) leader() *member {
	var newest *member
	for _, id := range c.ids {
		m := c.members[id]
		if m.node != nil && m.soft.Role == consensus.Leader && (newest == nil || m.soft.Term > newest.soft.Term) {
			newest = m
		}
	}
	return newest
}

// elect waits for a leader.
func (c *cluster) elect() *member {
	c.run(2*time.Second, nil)
	if c.leader() == nil {
		c.t.Fatalf("no leader%s", c.describe())
	}
	return c.leader()
}

// isolate cuts off members; they reach each other.
func (c *cluster) isolate(lost ...consensus.MemberID) {
	for _, id := range lost {
		for _, other := range c.ids {
			if !slices.Contains(lost, other) {
				c.blocked[link{id, other}], c.blocked[link{other, id}] = true, true
			}
		}
	}
}

// heal repairs network and members.
func (c *cluster) heal() {
	c.loss, c.duplicate, c.diskDelay = 0, 0, nil
	clear(c.blocked)
	for _, id := range c.ids {
		m := c.members[id]
		m.fs.FailNth(0, nil)
		if m.node == nil {
			m.restart()
		}
	}
}

func (m *member) clock() time.Duration { return m.c.now - m.start }

func (m *member) crash() {
	m.life++
	m.node, m.log = nil, nil
	m.soft = consensus.SoftState{}
	m.fs.Crash()
}

func (m *member) must(err error) {
	if err != nil {
		m.c.t.Fatalf("member %d: %v", m.id, err)
	}
}

func (m *member) restart() {
	storage := wal.Config{Identity: wal.Identity{Cluster: "test", Member: m.id}, SegmentSize: m.c.segment, FS: m.fs}
	log, err := wal.New(storage, telemetry.Discard())
	m.must(err)
	restored, err := log.Restored()
	m.must(err)
	m.checkRestored(restored)
	m.life++
	m.start, m.log, m.durable = m.c.now, log, restored
	m.state, m.answers, m.outcomes = nil, map[uint64]consensus.ReadState{}, map[uint64]applied{}
	m.Restore(restored.Snapshot)
	settings := m.c.settings
	settings.ID, settings.Members = m.id, m.first
	settings.Rand = rand.New(rand.NewPCG(m.c.rng.Uint64(), 3))
	m.node, err = consensus.New(settings, restored)
	m.must(err)
	m.schedule()
}

// store restarts a member after r was persisted behind its back.
func (m *member) store(r consensus.Ready) {
	r.MustSync = true
	m.must(m.log.Persist(r))
	m.crash()
	m.restart()
}

func (m *member) schedule() {
	life := m.life
	m.c.after(max(m.node.Deadline()-m.clock(), 0), func() {
		if m.life != life {
			return
		}
		if m.clock() >= m.node.Deadline() {
			m.node.Tick(m.clock())
			m.pump()
		}
		if m.life == life {
			m.schedule()
		}
	})
}

// pump takes the next work of the node. The disk may take its time; messages and ticks arrive
// meanwhile.
func (m *member) pump() {
	if m.node == nil {
		return
	}
	m.checkCommit()
	r, ok := m.node.Ready()
	if !ok {
		return
	}
	life := m.life
	work := func() {
		if m.life == life && m.work(r) {
			m.pump()
		}
	}
	if m.c.diskDelay == nil {
		work()
		return
	}
	m.c.after(m.c.diskDelay(), work)
}

// work handles r and reports whether the node goes on.
func (m *member) work(r consensus.Ready) bool {
	err := m.node.Handle(r, m, m)
	switch {
	case m.fs.Crashed():
		m.crash()
	case err != nil:
		m.soft = consensus.SoftState{}
	default:
		m.checkAge()
	}
	return err == nil
}

// Persist implements consensus.Storage.
func (m *member) Persist(r consensus.Ready) error {
	err := m.log.Persist(r)
	if err == nil {
		m.note(r)
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
func (m *member) Answer(r consensus.ReadState) { m.answers[r.ID] = r }

// Restore implements consensus.Host.
func (m *member) Restore(s consensus.Snapshot) {
	m.applied = s.Index
	if s.Index > 0 {
		m.state = strings.Fields(string(s.Data))
	}
}

// Apply implements consensus.Host.
func (m *member) Apply(e consensus.Entry) {
	m.c.checkCommitted(m, e)
	m.applied = e.Index
	if e.Kind == consensus.EntryCommand {
		m.state = append(m.state, string(e.Data))
	}
	m.outcomes[e.Index] = applied{term: e.Term, commands: len(m.state)}
}

// compact makes a snapshot and forgets the entries but the last few.
func (m *member) compact(trailing uint64) {
	installing := m.node != nil && m.applied+1 < m.status().First
	if m.node == nil || m.log.Err() != nil || m.applied == 0 || installing {
		return
	}
	s, err := m.node.NewSnapshot([]byte(strings.Join(m.state, "\n")))
	m.must(err)
	keep := s.Index - min(trailing, s.Index)
	if err := m.log.SaveSnapshot(s, keep); err != nil {
		if m.fs.Crashed() {
			m.crash()
		}
		return
	}
	m.must(m.node.Compact(keep, s))
	m.durable.Snapshot = s
}

func (m *member) propose(data string) (consensus.Position, error) {
	p, err := m.node.Propose([]byte(data))
	m.pump()
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
