package consensus_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/testseed"
)

func TestConsensus(t *testing.T) { testseed.RunSpecs(t, "consensus") }

const ms = time.Millisecond

// group delivers messages between members at once; storage never fails. Runs over a simulated
// network and disk are in package wal.
type group struct {
	now     time.Duration
	nodes   map[consensus.MemberID]*consensus.Node
	order   []consensus.MemberID
	queue   []consensus.Message
	cut     map[consensus.MemberID]bool // neither sends nor receives
	drop    func(m consensus.Message) bool
	sent    int
	batch   int // entries per message, zero is the default
	applied map[consensus.MemberID][]consensus.Entry
	reads   []consensus.ReadState
}

func newGroup(size int) *group {
	g := &group{
		nodes: map[consensus.MemberID]*consensus.Node{}, cut: map[consensus.MemberID]bool{},
		applied: map[consensus.MemberID][]consensus.Entry{},
	}
	var members []consensus.MemberID
	for i := range size {
		members = append(members, consensus.MemberID(i+1))
	}
	for _, id := range members {
		g.add(id, members, consensus.Restored{})
	}
	return g
}

func (g *group) add(id consensus.MemberID, members []consensus.MemberID, r consensus.Restored) {
	node, err := consensus.New(consensus.Config{
		ID: id, Members: members, Rand: rand.New(rand.NewPCG(uint64(id), uint64(g.now))), SnapshotChunkSize: 100, MaxEntriesPerMessage: g.batch,
	}, r)
	Expect(err).NotTo(HaveOccurred())
	g.nodes[id] = node
	g.order = append(g.order, id)
}

// settle handles all work and messages that are due.
func (g *group) settle() {
	for {
		for _, id := range g.order {
			g.handle(id)
		}
		if len(g.queue) == 0 {
			return
		}
		queue := g.queue
		g.queue = nil
		for _, m := range queue {
			if g.cut[m.From] || g.cut[m.To] || g.nodes[m.To] == nil || g.drop != nil && g.drop(m) {
				continue
			}
			g.sent++
			Expect(g.nodes[m.To].Step(m, g.now)).To(Succeed())
		}
	}
}

func (g *group) handle(id consensus.MemberID) {
	for {
		r, ok := g.nodes[id].Ready()
		if !ok {
			return
		}
		g.queue = append(g.queue, r.Messages...)
		g.applied[id] = append(g.applied[id], r.Committed...)
		g.reads = append(g.reads, r.Reads...)
		g.nodes[id].Advance(r)
	}
}

// pass lets time pass in steps of 10 ms.
func (g *group) pass(d time.Duration) {
	for end := g.now + d; g.now < end; {
		g.now += 10 * ms
		for _, id := range g.order {
			g.nodes[id].Tick(g.now)
		}
		g.settle()
	}
}

func (g *group) status(id consensus.MemberID) consensus.Status { return g.nodes[id].Status(g.now) }

// leader returns the connected leader, or 0.
func (g *group) leader() consensus.MemberID {
	for _, id := range g.order {
		if !g.cut[id] && g.status(id).Role == consensus.Leader {
			return id
		}
	}
	return 0
}

// elect waits for a leader.
func (g *group) elect() (consensus.MemberID, *consensus.Node) {
	g.pass(2 * time.Second)
	id := g.leader()
	Expect(id).NotTo(BeZero())
	return id, g.nodes[id]
}

func (g *group) other(than ...consensus.MemberID) consensus.MemberID {
	for _, id := range g.order {
		taken := false
		for _, t := range than {
			taken = taken || id == t
		}
		if !taken {
			return id
		}
	}
	return 0
}

func (g *group) propose(count int) {
	l := g.nodes[g.leader()]
	for range count {
		_, err := l.Propose([]byte("command"))
		Expect(err).NotTo(HaveOccurred())
	}
	g.settle()
}
