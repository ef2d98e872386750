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

// outcome is the result of an operation. If it is unknown, the operation may or may not have been executed.
type outcome struct {
	value   int
	swapped bool
	unknown bool
}

var registerModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		value, in, out := state.(int), input.(operation), output.(outcome)
		if in.set == 0 {
			return out.value == value, value
		}
		swaps := in.expected == value
		next := value
		if swaps {
			next = in.set
		}
		return out.unknown || out.swapped == swaps, next
	},
}

// history runs clients against a cluster and records their operations.
type history struct {
	*cluster
	operations []porcupine.Operation
	lastID     int
	lastSeen   []int // latest value that each client has seen
	stopped    bool
}

// replayCommands returns the register value after commands, and whether the last one set it.
func replayCommands(commands []string) (current int, swapped bool) {
	for _, command := range commands {
		var o operation
		if _, err := fmt.Sscanf(command, "%d,%d", &o.expected, &o.set); err != nil {
			panic(err)
		}
		if swapped = o.expected == current; swapped {
			current = o.set
		}
	}
	return current, swapped
}

func (h *history) record(client int, start time.Duration, in operation, out outcome) {
	end := int64(h.now)
	if out.unknown {
		end = math.MaxInt64
	} else {
		h.lastSeen[client] = out.value
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: in, Call: int64(start), Output: out, Return: end,
	})
}

// scheduleClient starts the client's next operation after a random delay of at most 60 ms.
func (h *history) scheduleClient(client int) {
	h.after(time.Duration(1+h.rng.IntN(60))*ms, func() {
		m := h.members[h.ids[h.rng.IntN(len(h.ids))]]
		switch {
		case h.stopped:
		case m.node == nil:
			h.scheduleClient(client)
		case h.rng.IntN(3) == 0:
			h.read(client, m)
		default:
			h.compareAndSet(client, m)
		}
	})
}

// poll calls done every millisecond until it returns true. After 2 s, or if the member has restarted, it
// calls onTimeout instead. Then the client continues.
func (h *history) poll(m *member, done func() bool, onTimeout func(), client int) {
	incarnation, end := m.incarnation, h.now+2*time.Second
	var check func()
	check = func() {
		if m.incarnation != incarnation || h.now > end {
			onTimeout()
		} else if !done() {
			h.after(ms, check)
			return
		}
		h.scheduleClient(client)
	}
	check()
}

// read performs a linearizable read and records its value.
func (h *history) read(client int, m *member) {
	h.lastID++
	id, start := uint64(h.lastID), h.now
	if m.node.ReadIndex(id) != nil {
		h.scheduleClient(client)
		return
	}
	m.processReady()
	h.poll(m, func() bool {
		r, ok := m.readStates[id]
		if !ok || !r.Failed && m.appliedIndex < r.Index {
			return false
		}
		if !r.Failed {
			current, _ := replayCommands(m.commands)
			h.record(client, start, operation{}, outcome{value: current})
		}
		return true
	}, func() {}, client)
}

func (h *history) compareAndSet(client int, m *member) {
	h.lastID++
	in, start := operation{expected: h.lastSeen[client], set: h.lastID}, h.now
	p, err := m.propose(fmt.Sprintf("%d,%d", in.expected, in.set))
	if err != nil {
		h.scheduleClient(client)
		return
	}
	h.poll(m, func() bool {
		e, ok := m.outcomes[p.Index]
		if ok && e.term == p.Term { // otherwise it was not executed and never will be
			current, swapped := replayCommands(m.commands[:e.commandCount])
			h.record(client, start, in, outcome{value: current, swapped: swapped})
		}
		return ok
	}, func() { h.record(client, start, in, outcome{unknown: true}) }, client)
}

// injectFaults injects random faults until the history is stopped.
func (h *history) injectFaults() {
	h.after(time.Duration(100+h.rng.IntN(900))*ms, func() {
		if h.stopped {
			return
		}
		l, kind := h.leader(), h.rng.IntN(7)
		switch {
		case kind == 0 || l == nil && kind < 4:
			h.heal()
		case kind == 1:
			h.lossRate, h.duplicateRate = 0.1, 0.1
			h.diskDelay = func() time.Duration { return time.Duration(h.rng.IntN(20)) * ms }
		case kind == 2:
			h.members[h.ids[h.rng.IntN(len(h.ids))]].compact(3)
		case l == nil:
		case kind == 3:
			l.crash()
		case kind == 4 && l.node.TransferLeadership(0) == nil:
			l.processReady()
		default: // partition the leader from a minority, in one or both directions
			for _, id := range h.ids[h.rng.IntN(len(h.ids)/2+1):] {
				h.blocked[link{id, l.id}] = true
				h.blocked[link{l.id, id}] = h.rng.IntN(2) == 0
			}
		}
		h.injectFaults()
	})
}

// Guards against stale reads, and against compare-and-sets that are lost, executed twice or acknowledged
// without being executed, while leaders crash, transfer leadership and are partitioned in one or both
// directions.
func TestHistoryIsLinearizable(t *testing.T) {
	const clients, seeds = 4, 60
	total, unknown := 0, 0
	for seed := range uint64(seeds) {
		h := &history{cluster: newCluster(t, seed, []int{3, 5}[seed%2], smallSizes), lastSeen: make([]int, clients)}
		for client := range clients {
			h.scheduleClient(client)
		}
		h.injectFaults()
		h.run(8*time.Second, nil)
		h.stopped = true
		h.heal()
		h.run(maxRecoveryTime, nil)
		if !porcupine.CheckOperations(registerModel, h.operations) {
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
	t.Logf("%d operations, %d with unknown outcome", total, unknown)
}
