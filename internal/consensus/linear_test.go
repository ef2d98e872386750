package consensus_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// operation is a compare-and-set, or a read if set is zero.
type operation struct{ expected, set int }

// outcome of an operation. An unknown one may have run or not.
type outcome struct {
	value   int
	done    bool
	unknown bool
}

var register = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		value, in, out := state.(int), input.(operation), output.(outcome)
		if in.set == 0 {
			return out.value == value, value
		}
		runs := in.expected == value
		next := value
		if runs {
			next = in.set
		}
		return out.unknown || out.done == runs, next
	},
}

// history runs clients against a cluster and records what they see.
type history struct {
	*cluster
	operations []porcupine.Operation
	next       int
	seen       []int // newest value that each client knows
	stop       bool
}

// value replays the commands of a member.
func value(state []string) (current int, ran bool) {
	for _, command := range state {
		var o operation
		if _, err := fmt.Sscanf(command, "%d,%d", &o.expected, &o.set); err != nil {
			panic(err)
		}
		if ran = o.expected == current; ran {
			current = o.set
		}
	}
	return current, ran
}

func (h *history) record(client int, start time.Duration, in operation, out outcome) {
	end := int64(h.now)
	if out.unknown {
		end = math.MaxInt64
	} else {
		h.seen[client] = out.value
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: in, Call: int64(start), Output: out, Return: end,
	})
}

// client starts its next operation after a pause.
func (h *history) client(client int) {
	h.after(time.Duration(1+h.rng.IntN(60))*ms, func() {
		m := h.members[h.ids[h.rng.IntN(len(h.ids))]]
		switch {
		case h.stop:
		case m.node == nil:
			h.client(client)
		case h.rng.IntN(3) == 0:
			h.read(client, m)
		default:
			h.compareAndSet(client, m)
		}
	})
}

// poll calls done every millisecond until it returns true, and lost after 2 s or when the member
// has restarted; then the client goes on.
func (h *history) poll(m *member, done func() bool, lost func(), client int) {
	life, end := m.life, h.now+2*time.Second
	var check func()
	check = func() {
		if m.life != life || h.now > end {
			lost()
		} else if !done() {
			h.after(ms, check)
			return
		}
		h.client(client)
	}
	check()
}

// read records the value at a read barrier.
func (h *history) read(client int, m *member) {
	h.next++
	id, start := uint64(h.next), h.now
	if m.node.ReadIndex(id) != nil {
		h.client(client)
		return
	}
	m.pump()
	h.poll(m, func() bool {
		r, ok := m.answers[id]
		if !ok || !r.Failed && m.applied < r.Index {
			return false
		}
		if !r.Failed {
			current, _ := value(m.state)
			h.record(client, start, operation{}, outcome{value: current})
		}
		return true
	}, func() {}, client)
}

func (h *history) compareAndSet(client int, m *member) {
	h.next++
	in, start := operation{expected: h.seen[client], set: h.next}, h.now
	p, err := m.propose(fmt.Sprintf("%d,%d", in.expected, in.set))
	if err != nil {
		h.client(client)
		return
	}
	h.poll(m, func() bool {
		e, ok := m.outcomes[p.Index]
		if ok && e.term == p.Term { // otherwise it did not run and never will
			current, ran := value(m.state[:e.commands])
			h.record(client, start, in, outcome{value: current, done: ran})
		}
		return ok
	}, func() { h.record(client, start, in, outcome{unknown: true}) }, client)
}

// faults disturbs the cluster until stop.
func (h *history) faults() {
	h.after(time.Duration(100+h.rng.IntN(900))*ms, func() {
		if h.stop {
			return
		}
		l, kind := h.leader(), h.rng.IntN(7)
		switch {
		case kind == 0 || l == nil && kind < 4:
			h.heal()
		case kind == 1:
			h.loss, h.duplicate = 0.1, 0.1
			h.diskDelay = func() time.Duration { return time.Duration(h.rng.IntN(20)) * ms }
		case kind == 2:
			h.members[h.ids[h.rng.IntN(len(h.ids))]].compact(3)
		case l == nil:
		case kind == 3:
			l.crash()
		case kind == 4 && l.node.TransferLeadership(0) == nil:
			l.pump()
		default: // cut off the leader and a minority, in one direction or in both
			for _, id := range h.ids[h.rng.IntN(len(h.ids)/2+1):] {
				h.blocked[link{id, l.id}] = true
				h.blocked[link{l.id, id}] = h.rng.IntN(2) == 0
			}
		}
		h.faults()
	})
}

// Guards against stale reads, lost or repeated compare-and-sets, and acknowledged ones that did
// not run, while leaders crash, hand over and are cut off in one or both directions.
func TestHistoryIsLinearizable(t *testing.T) {
	const clients, seeds = 4, 60
	total, unknown := 0, 0
	for seed := range uint64(seeds) {
		h := &history{cluster: newCluster(t, seed, []int{3, 5}[seed%2], smallSizes), seen: make([]int, clients)}
		for client := range clients {
			h.client(client)
		}
		h.faults()
		h.run(8*time.Second, nil)
		h.stop = true
		h.heal()
		h.run(recoveryBound, nil)
		if !porcupine.CheckOperations(register, h.operations) {
			t.Errorf("seed %d: the history of %d operations is not linearizable", seed, len(h.operations))
		}
		total += len(h.operations)
		for _, o := range h.operations {
			if o.Output.(outcome).unknown {
				unknown++
			}
		}
	}
	if total < 100*seeds {
		t.Errorf("only %d operations in %d histories", total, seeds)
	}
	t.Logf("%d operations, %d of unknown outcome", total, unknown)
}
