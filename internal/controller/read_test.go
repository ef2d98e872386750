package controller

import (
	"context"
	"testing"

	"github.com/greengagelock/greengagelock/internal/catalog"
	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/replica"
	"github.com/greengagelock/greengagelock/internal/rpc"
	"github.com/greengagelock/greengagelock/internal/testkit"
)

// lateLog is the log of a leader that has not applied the newest committed entry until a read index is asked
// for.
type lateLog struct {
	replica.Log
	state   *state
	pending []replica.Committed
}

func (l *lateLog) Status() replica.Status {
	return replica.Status{Leader: "c1", IsLeader: true, Term: 2}
}

func (l *lateLog) ReadIndex(context.Context) (uint64, error) {
	for _, c := range l.pending {
		if err := l.state.Apply(c); err != nil {
			return 0, err
		}
	}
	l.pending = nil
	return 2, nil
}

// committedDocument returns the log entry of an edit that creates the revision after base.
func committedDocument(t *testing.T, index uint64, base model.Revision) replica.Committed {
	t.Helper()
	data, err := catalog.Encode(&catalog.Command{
		Kind: catalog.KindApply, ID: string(rune('a' + index)), Base: base, Document: catalog.Compress(document(int(index), 1, "")),
	})
	testkit.Check(t, err)
	return replica.Committed{Position: consensus.Position{Index: index, Term: 1}, Data: data}
}

// Guards against an operator who is shown an older revision than the accepted one: a new leader has not
// applied the entries of earlier terms yet.
func TestNewLeaderAnswersWithAcceptedEdits(t *testing.T) {
	t.Parallel()
	reads := map[string]func(o *Operator) (model.Revision, error){
		"Show": func(o *Operator) (model.Revision, error) {
			var reply operator.ShowReply
			err := o.Show(&operator.ShowRequest{}, &reply)
			return reply.Revision, err
		},
		"Plan": func(o *Operator) (model.Revision, error) {
			var reply operator.EditReply
			err := o.Plan(&operator.Edit{Kind: catalog.KindApply, File: "doc", Document: document(3, 1, "")}, &reply)
			return reply.Base, err
		},
		"Status": func(o *Operator) (model.Revision, error) {
			var reply operator.StatusReply
			err := o.Status(&operator.Query{}, &reply)
			return reply.Revision, err
		},
		"History": func(o *Operator) (model.Revision, error) {
			var reply operator.HistoryReply
			err := o.History(&operator.Query{}, &reply)
			return model.Revision(len(reply.Revisions)), err
		},
		"Services": func(o *Operator) (model.Revision, error) {
			var reply operator.ServicesReply
			err := o.Services(&operator.Query{}, &reply)
			return model.Revision(len(reply.Services)), err // revision n has n services
		},
	}
	for name, read := range reads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			c, err := newWithoutLog(Config{Name: "c1"}, testkit.LoadCredentials(t, h.files(model.RoleController, "c1")), h.telemetry())
			testkit.Check(t, err)
			testkit.Check(t, c.state.Apply(committedDocument(t, 1, 0)))
			c.setLog(&lateLog{state: c.state, pending: []replica.Committed{committedDocument(t, 2, 1)}}, "folder")
			t.Cleanup(h.run(func(ctx context.Context) error { c.reads.run(ctx); return nil }))
			peer := &rpc.Peer{Identity: rpc.Identity{Role: model.RoleOperator, Name: "ana"}, Context: t.Context()}
			revision, err := read(&Operator{c: c, peer: peer})
			testkit.Check(t, err)
			if revision != 2 {
				t.Fatalf("revision %d was read, but revision 2 had been accepted", revision)
			}
		})
	}
}

// Guards against the same fault on the whole path: two of three controllers restart after each edit, and the
// operator reads as soon as there is a leader.
func TestReadsRightAfterElections(t *testing.T) {
	t.Parallel()
	const rounds = 12
	h := newHarness(t)
	c := h.cluster(3)
	ctl := h.operator(c.addresses()...)
	for round := range model.Revision(rounds) {
		apply(t, ctl, round, document(1, 1, ""))
		for _, name := range []string{"c1", "c2"} {
			c.stop(name)
		}
		for _, name := range []string{"c1", "c2"} {
			c.start(name, nil, c.members)
		}
		testkit.Eventually(t, "a leader", func() bool { return c.leader() != "" })
		show, err := ctl.Show(t.Context(), 0)
		testkit.Check(t, err)
		if show.Revision != round+1 {
			t.Fatalf("revision %d was read in round %d, but revision %d had been accepted", show.Revision, round, round+1)
		}
	}
}
