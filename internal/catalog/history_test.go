package catalog_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/greengagelock/greengagelock/internal/catalog"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/result"
)

const (
	operators = 4
	replicas  = 3
	steps     = 60
)

// request is an operator's operation: an edit based on a revision, or a read.
type request struct {
	read bool
	base model.Revision
	text string
}

// response is what the operator received. An edit whose response was not received may have run or not.
type response struct {
	received bool
	ok       bool
	revision model.Revision
	text     string
}

// register is the sequential specification: a register with compare-and-set on the revision.
type register struct {
	revision model.Revision
	text     string
}

var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, input, output any) []any {
		r, in, out := state.(register), input.(request), output.(response)
		next := register{revision: r.revision + 1, text: in.text}
		switch {
		case in.read && (!out.received || out.revision == r.revision && out.text == r.text):
			return []any{r}
		case in.read:
			return nil
		case !out.received && in.base == r.revision:
			return []any{r, next}
		case !out.received:
			return []any{r}
		case out.ok && in.base == r.revision && out.revision == next.revision:
			return []any{next}
		case !out.ok && in.base != r.revision && out.revision == r.revision:
			return []any{r}
		}
		return nil
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// fakeLog is a replicated log whose entries are all committed. Replicas apply it at different speeds and
// restart from their last snapshot.
type fakeLog struct {
	entries   [][]byte
	replicas  [replicas]*catalog.Catalog
	snapshots [replicas][]byte
	results   map[uint64]catalog.Result
}

func newFakeLog() *fakeLog {
	l := &fakeLog{results: map[uint64]catalog.Result{}}
	for i := range l.replicas {
		l.replicas[i] = catalog.New()
	}
	return l
}

func (l *fakeLog) apply(i int) {
	c := l.replicas[i]
	if at := c.Applied(); at < uint64(len(l.entries)) {
		l.results[at+1] = c.Apply(at+1, l.entries[at])
	}
}

func (l *fakeLog) snapshot(t *rapid.T, i int) {
	data, err := l.replicas[i].Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	l.snapshots[i] = data
}

func (l *fakeLog) restart(t *rapid.T, i int) {
	l.replicas[i] = catalog.New()
	if l.snapshots[i] != nil {
		if err := l.replicas[i].Restore(l.snapshots[i]); err != nil {
			t.Fatal(err)
		}
	}
}

// pending is an operation whose response an operator waits for.
type pending struct {
	request
	command catalog.Command
	call    int64
	index   uint64 // for an edit, the entry with its result (0 if not committed); for a read, the read index
}

// simulation interleaves operations of operators with progress, snapshots and restarts of replicas.
type simulation struct {
	log          *fakeLog
	clock        int64
	pending      [operators]*pending
	sent         []catalog.Command // all commands, any of which can be committed again at any time
	lastRevision [operators]model.Revision
	history      []porcupine.Operation
}

func (s *simulation) tick() int64 {
	s.clock++
	return s.clock
}

func (s *simulation) invoke(t *rapid.T, operator int) {
	p := &pending{call: s.tick()}
	s.pending[operator] = p
	if p.read = rapid.IntRange(0, 2).Draw(t, "read") == 0; p.read {
		// A linearizable read: the replica that answers must have applied all entries committed by now.
		p.index = uint64(len(s.log.entries))
		return
	}
	p.base = s.lastRevision[operator]
	p.text = fmt.Sprintf("{\"inventory\": {\"vms\": []}, \"services\": []} /* %d */", len(s.sent))
	p.command = catalog.Command{
		Kind: catalog.KindApply, ID: fmt.Sprintf("cmd-%d", len(s.sent)), Base: p.base, Document: catalog.Compress([]byte(p.text)),
	}
	s.sent = append(s.sent, p.command)
	if rapid.Bool().Draw(t, "arrives") {
		p.index = s.commit(t, p.command)
	}
}

func (s *simulation) commit(t *rapid.T, cmd catalog.Command) uint64 {
	data, err := catalog.Encode(&cmd)
	if err != nil {
		t.Fatal(err)
	}
	s.log.entries = append(s.log.entries, data)
	return uint64(len(s.log.entries))
}

// proceed tries to finish an operator's operation. The response may get lost, then the operator resends.
func (s *simulation) proceed(t *rapid.T, operator int) {
	p := s.pending[operator]
	replica := s.log.replicas[rapid.IntRange(0, replicas-1).Draw(t, "replica")]
	switch {
	case p.read && replica.Applied() >= p.index:
		text, _ := replica.DocumentText(replica.Revision())
		s.finish(operator, response{received: true, revision: replica.Revision(), text: string(text)})
	case p.read:
	case p.index == 0 || rapid.IntRange(0, 2).Draw(t, "answer lost") == 0:
		p.index = s.commit(t, p.command)
	case s.log.results[p.index].CommandID != "":
		r := s.log.results[p.index]
		s.finish(operator, response{received: true, ok: r.Code == result.OK, revision: r.Revision})
	}
}

func (s *simulation) finish(operator int, a response) {
	p := s.pending[operator]
	s.pending[operator] = nil
	s.lastRevision[operator] = max(s.lastRevision[operator], a.revision)
	s.history = append(s.history, porcupine.Operation{
		ClientId: operator, Input: p.request, Call: p.call, Output: a, Return: s.tick(),
	})
}

func (s *simulation) step(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0:
		s.log.restart(t, rapid.IntRange(0, replicas-1).Draw(t, "restart"))
	case 1:
		s.log.snapshot(t, rapid.IntRange(0, replicas-1).Draw(t, "snapshot"))
	case 2:
		if len(s.sent) > 0 {
			s.commit(t, rapid.SampledFrom(s.sent).Draw(t, "duplicate"))
		}
	case 3, 4, 5:
		s.log.apply(rapid.IntRange(0, replicas-1).Draw(t, "apply"))
	default:
		operator := rapid.IntRange(0, operators-1).Draw(t, "operator")
		if s.pending[operator] == nil {
			s.invoke(t, operator)
		} else {
			s.proceed(t, operator)
		}
	}
}

// Checks linearizability while replicas lag and restart. Guards against two accepted edits of the same
// base revision, a resent command that runs twice or gets another result, and a read that misses an
// accepted edit.
func TestConcurrentOperatorsAreLinearizable(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{log: newFakeLog()}
		for range steps {
			s.step(t)
		}
		end := s.tick()
		for operator, p := range s.pending {
			if p != nil {
				s.history = append(s.history, porcupine.Operation{ClientId: operator, Input: p.request, Call: p.call, Output: response{}, Return: end})
			}
		}
		for _, op := range s.history {
			if op.Output.(response).ok {
				accepted++
			}
		}
		if m := registerModel.ToModel(); !porcupine.CheckOperations(m, s.history) {
			t.Fatalf("history is not linearizable:\n%s", describe(s.history))
		}
	})
	if accepted == 0 {
		t.Fatal("no edit was accepted in any history")
	}
}

func describe(history []porcupine.Operation) string {
	var lines []string
	for _, op := range history {
		lines = append(lines, fmt.Sprintf("%d-%d operator %d: %+v -> %+v", op.Call, op.Return, op.ClientId, op.Input, op.Output))
	}
	return strings.Join(lines, "\n")
}
