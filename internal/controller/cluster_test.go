package controller

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/replica"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/testkit"
)

// quorumLossTimeout is the time of several elections, so that a controller that counts votes wrongly would
// become leader within it.
const quorumLossTimeout = 5 * time.Second

func apply(t testing.TB, ctl *operator.Client, base model.Revision, document []byte) {
	t.Helper()
	reply, err := ctl.Apply(context.Background(), operator.Edit{Base: base, File: "doc", Document: document})
	testkit.Check(t, err)
	testkit.Check(t, reply.Result.Err())
	if reply.Result.Revision != base+1 {
		t.Fatalf("an edit based on revision %d created revision %d", base, reply.Result.Revision)
	}
}

// Guards against accepted edits that are lost when the leader stops, and against a command that runs
// again when it is resent to another leader.
func TestEditsSurviveLeaderChanges(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	c := h.cluster(3)
	ctl := h.operator(c.addresses()...)
	balancer := &fakeNode{}
	h.node(model.RoleBalancer, "b1", balancer, c.addresses()...)
	first := operator.Edit{CommandID: "first", File: "doc", Document: document(1, 1, "")}
	reply, err := ctl.Apply(t.Context(), first)
	testkit.Check(t, err)
	testkit.Check(t, reply.Result.Err())
	for range 2 {
		testkit.Eventually(t, "a leader", func() bool { return c.leader() != "" })
		leader := c.leader()
		c.stop(leader)
		again, err := ctl.Apply(t.Context(), first)
		testkit.Check(t, err)
		if again.Result.Code != result.OK || again.Result.Revision != 1 {
			t.Fatalf("the resent command returned code %d and revision %d, want the first result", again.Result.Code, again.Result.Revision)
		}
		c.start(leader, nil, c.members)
	}
	apply(t, ctl, 1, document(2, 1, ""))
	testkit.Eventually(t, "revision 2 at the balancer", func() bool { return balancer.lastView().Revision == 2 })
	conflict, err := ctl.Apply(t.Context(), operator.Edit{Base: 1, File: "doc", Document: document(3, 1, "")})
	testkit.Check(t, err)
	if conflict.Result.Code != result.RevisionConflict {
		t.Fatalf("an edit based on an old revision returned code %d, want %d", conflict.Result.Code, result.RevisionConflict)
	}
	testkit.Check(t, checkViewOrder(balancer))
}

// checkViewOrder returns an error if a node received an older view after a newer one.
func checkViewOrder(s *fakeNode) error {
	s.Lock()
	defer s.Unlock()
	for i := 1; i < len(s.Views); i++ {
		before, after := s.Views[i-1], s.Views[i]
		if after.Generation < before.Generation || after.Revision < before.Revision {
			return result.New(result.StaleGeneration, "generation %d and revision %d followed %d and %d",
				after.Generation, after.Revision, before.Generation, before.Revision)
		}
	}
	return nil
}

// Guards against two leaders in a term: a controller that lost its data folder has lost its votes, so it
// must not count towards a quorum under its old name.
func TestControllerWithLostDataFolderIsRefused(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	c := h.cluster(3)
	ctl := h.operator(c.addresses()...)
	apply(t, ctl, 0, document(1, 1, ""))
	testkit.Eventually(t, "registration of all data folders", func() bool {
		registered := 0
		for _, running := range c.controllers {
			for name := range c.members {
				if m, _ := running.members.registeredMember(name); m.Folder != "" {
					registered++
				}
			}
		}
		return registered == 9
	})
	c.stop("c1")
	testkit.Check(t, os.RemoveAll(c.folders["c1"]))
	c.folders["c1"] = h.t.TempDir()
	c.start("c1", nil, c.members)
	testkit.Eventually(t, "rejection of c1", func() bool {
		return c.controllers["c2"].members.checkFolder("c1", c.controllers["c1"].log.(*replica.Replica).FolderID()) != nil
	})
	apply(t, ctl, 1, document(2, 1, ""))
	c.stop("c2")
	testkit.Eventually(t, "loss of leadership", func() bool { return c.leader() == "" })
	editCtx, cancel := context.WithTimeout(t.Context(), quorumLossTimeout)
	defer cancel()
	reply, err := ctl.Apply(editCtx, operator.Edit{Base: 2, File: "doc", Document: document(3, 1, "")})
	if err == nil {
		t.Fatalf("an edit was committed without a quorum: %+v", reply.Result)
	}
	c.start("c2", nil, c.members)
	testkit.Eventually(t, "a leader", func() bool { return c.leader() != "" })
	show, err := ctl.Show(t.Context(), 0)
	testkit.Check(t, err)
	if show.Revision < 2 {
		t.Fatalf("revision %d is current after the quorum returned, but revision 2 had been accepted", show.Revision)
	}
}

// Guards against a replacement that does not restore the redundancy: after a lost controller was replaced
// by one with a new name, another controller may fail.
func TestLostControllerIsReplaced(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	c := h.cluster(3)
	ctl := h.operator(c.addresses()...)
	apply(t, ctl, 0, document(1, 1, ""))
	testkit.Eventually(t, "a leader", func() bool { return c.leader() != "" })
	lost := "c1"
	if c.leader() == lost {
		lost = "c2"
	}
	c.stop(lost)
	listener := h.listen()
	others := map[string]string{}
	for name, address := range c.members {
		if name != lost {
			others[name] = address
		}
	}
	c.members["c4"] = listener.Addr().String()
	c.start("c4", listener, others)
	_, err := ctl.AddMember(t.Context(), "c4", c.members["c4"])
	testkit.Check(t, err)
	members, err := ctl.RemoveMember(t.Context(), lost)
	testkit.Check(t, err)
	if len(members) != 3 {
		t.Fatalf("there are %d members after the replacement, want 3", len(members))
	}
	if _, err := ctl.AddMember(t.Context(), lost, c.members[lost]); result.CodeOf(err) != result.ConfigInvalid {
		t.Fatalf("adding a removed name again returned %v, want code %d", err, result.ConfigInvalid)
	}
	c.stop("c3")
	apply(t, h.operator(c.addresses()...), 1, document(2, 1, ""))
}

// Guards against an eighth voter: the log allows one for a moment, while a member is replaced, which operators do not do here.
func TestNoMoreThanSevenVotersAreAdded(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	c := h.cluster(consensus.MaxVoters)
	testkit.Eventually(t, "a leader", func() bool { return c.leader() != "" })
	members, err := h.operator(c.addresses()...).AddMember(t.Context(), "c8", "127.0.0.1:1")
	if result.CodeOf(err) != result.ConfigInvalid {
		t.Fatalf("adding an eighth controller returned %v and %d members, want %v", err, len(members), result.ConfigInvalid)
	}
}
