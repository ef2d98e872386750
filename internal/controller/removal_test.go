package controller

import (
	"context"
	"testing"
	"time"

	"github.com/greengagelock/greengagelock/internal/catalog"
	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/replica"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/testkit"
)

// waitForRegistration waits until the leader has registered the data folders of all controllers.
func (c *cluster) waitForRegistration() {
	testkit.Eventually(c.h.t, "registration of all data folders", func() bool {
		for name := range c.members {
			for _, running := range c.controllers {
				if m, _ := running.members.registeredMember(name); m.Folder == "" {
					return false
				}
			}
		}
		return true
	})
}

// followers returns the names of all controllers but the leader.
func (c *cluster) followers() (names []string) {
	testkit.Eventually(c.h.t, "a leader", func() bool { return c.leader() != "" })
	leader := c.leader()
	for name := range c.controllers {
		if name != leader {
			names = append(names, name)
		}
	}
	return names
}

// Guards against a removal that takes the majority for good: with one of three controllers lost, an operator removes one
// that runs by mistake.
func TestRemovalThatTakesTheMajorityIsRefused(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	c := h.cluster(3)
	ctl := h.operator(c.addresses()...)
	apply(t, ctl, 0, document(1, 1, ""))
	c.waitForRegistration()
	followers := c.followers()
	c.stop(followers[0])
	ctx, cancel := context.WithTimeout(t.Context(), quorumLossTimeout)
	defer cancel()
	if _, err := ctl.RemoveMember(ctx, followers[1]); result.CodeOf(err) != result.RedundancyReduced {
		t.Errorf("the removal of one of the last two running controllers returned %v, want %v", err, result.RedundancyReduced)
	}
	if _, err := ctl.Apply(t.Context(), operator.Edit{Base: 1, File: "doc", Document: document(2, 1, "")}); err != nil {
		t.Fatalf("no edit is accepted after the removal: %v", err)
	}
}

// Guards against a running controller that nobody reaches any more, because its name was given with another address.
func TestAddressOfARunningControllerStays(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	c := h.cluster(3)
	ctl := h.operator(c.addresses()...)
	follower := c.followers()[0]
	apply(t, ctl, 0, document(1, 1, ""))
	c.waitForRegistration()
	if _, err := ctl.AddMember(t.Context(), follower, "127.0.0.1:1"); result.CodeOf(err) != result.ConfigInvalid {
		t.Errorf("another address for a running controller: %v, want %v", err, result.ConfigInvalid)
	}
	if m, _ := c.controllers[c.leader()].members.registeredMember(follower); m.Address != c.members[follower] {
		t.Errorf("the address of %s is %s, want %s", follower, m.Address, c.members[follower])
	}
}

// uncommittedChange is the log of a leader that commits one more command, and shows members that are not committed.
type uncommittedChange struct {
	replica.Log
	state   *state
	members []replica.Member
	index   uint64
}

func (l *uncommittedChange) Status() replica.Status {
	return replica.Status{Leader: "a", IsLeader: true, Term: 1, Members: l.members}
}

func (l *uncommittedChange) Propose(_ context.Context, data []byte) (consensus.Position, error) {
	l.index++
	position := consensus.Position{Index: l.index, Term: 1}
	if l.index > 1 {
		return position, nil
	}
	return position, l.state.Apply(replica.Committed{Position: position, Data: data})
}

// Guards against a change of the members that is reported as done before it is committed: the next leader may undo it, after
// the operator has deleted the data folder of a controller that still votes.
func TestMemberChangesAreReportedOnceCommitted(t *testing.T) {
	t.Parallel()
	changes := map[string]func(ctx context.Context, m *members) error{
		"add": func(ctx context.Context, m *members) error { return m.add(ctx, "b", "127.0.0.1:1") },
		"remove again": func(ctx context.Context, m *members) error {
			testkit.Check(t, m.commit(ctx, catalog.Member{Name: "d", Address: "127.0.0.1:4", Retired: true}))
			return m.remove(ctx, "d", false)
		},
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			c, err := newWithoutLog(Config{Name: "a"}, testkit.LoadCredentials(t, h.files(model.RoleController, "a")), h.telemetry())
			testkit.Check(t, err)
			log := &uncommittedChange{state: c.state, members: group("Lrr")}
			log.members[1].Address = "127.0.0.1:1"
			c.setLog(log, "folder")
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			if err := change(ctx, c.members); result.CodeOf(err) != result.OutcomeUnknown {
				t.Errorf("a change that is not committed returned %v, want %v", err, result.OutcomeUnknown)
			}
		})
	}
}
