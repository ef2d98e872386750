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

// request is an operation of an operator: an edit based on a revision, or a read.
type request struct {
	read bool
	base model.Revision
	text string
}

// answer is what the operator got. An edit without an answer may have run or not.
type answer struct {
	known    bool
	ok       bool
	revision model.Revision
	text     string
}

// register is the sequential specification: a register with compare and set on the revision.
type register struct {
	revision model.Revision
	text     string
}

var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, input, output any) []any {
		r, in, out := state.(register), input.(request), output.(answer)
		next := register{revision: r.revision + 1, text: in.text}
		switch {
		case in.read && (!out.known || out.revision == r.revision && out.text == r.text):
			return []any{r}
		case in.read:
			return nil
		case !out.known && in.base == r.revision:
			return []any{r, next}
		case !out.known:
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

// fakeLog is a replicated log with one order. Replicas apply it at their own pace and restart
// from their last snapshot.
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

// pending is an operation that an operator waits for.
type pending struct {
	request
	command catalog.Command
	call    int64
	index   uint64 // entry whose result is the answer, or that a read has to contain
}

// simulation interleaves operators, replicas and restarts.
type simulation struct {
	log     *fakeLog
	clock   int64
	open    [operators]*pending
	sent    []catalog.Command // all commands, which can arrive once more at any time
	seen    [operators]model.Revision
	history []porcupine.Operation
}

func (s *simulation) tick() int64 {
	s.clock++
	return s.clock
}

func (s *simulation) invoke(t *rapid.T, operator int) {
	p := &pending{call: s.tick()}
	s.open[operator] = p
	if p.read = rapid.IntRange(0, 2).Draw(t, "read") == 0; p.read {
		// The read barrier: the replica that answers must contain all that was committed by now.
		p.index = uint64(len(s.log.entries))
		return
	}
	p.base = s.seen[operator]
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

// proceed tries to end the operation of an operator, who may lose the answer and send again.
func (s *simulation) proceed(t *rapid.T, operator int) {
	p := s.open[operator]
	replica := s.log.replicas[rapid.IntRange(0, replicas-1).Draw(t, "replica")]
	switch {
	case p.read && replica.Applied() >= p.index:
		text, _ := replica.Text(replica.Revision())
		s.finish(operator, answer{known: true, revision: replica.Revision(), text: string(text)})
	case p.read:
	case p.index == 0 || rapid.IntRange(0, 2).Draw(t, "answer lost") == 0:
		p.index = s.commit(t, p.command)
	case s.log.results[p.index].CommandID != "":
		r := s.log.results[p.index]
		s.finish(operator, answer{known: true, ok: r.Code == result.OK, revision: r.Revision})
	}
}

func (s *simulation) finish(operator int, a answer) {
	p := s.open[operator]
	s.open[operator] = nil
	s.seen[operator] = max(s.seen[operator], a.revision)
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
		if s.open[operator] == nil {
			s.invoke(t, operator)
		} else {
			s.proceed(t, operator)
		}
	}
}

// Guards against two operators who are both told that their edit of one revision was accepted,
// against a resent command that runs twice or gets another answer, and against reads that miss an
// accepted edit, while replicas lag and restart.
func TestConcurrentOperatorsAreLinearizable(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{log: newFakeLog()}
		for range steps {
			s.step(t)
		}
		end := s.tick()
		for operator, p := range s.open {
			if p != nil {
				s.history = append(s.history, porcupine.Operation{ClientId: operator, Input: p.request, Call: p.call, Output: answer{}, Return: end})
			}
		}
		for _, op := range s.history {
			if op.Output.(answer).ok {
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
