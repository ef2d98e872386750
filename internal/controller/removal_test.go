package controller

import (
	"context"
	"testing"

	"github.com/greengagelock/greengagelock/internal/operator"
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
