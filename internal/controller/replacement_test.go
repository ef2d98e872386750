package controller

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"sync"
	"testing"

	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/testkit"
)

// join starts a controller that joins the running ones.
func (c *cluster) join(name string) {
	c.h.t.Helper()
	running := map[string]string{}
	for other := range c.controllers {
		running[other] = c.members[other]
	}
	listener := c.blackhole(name).listener(c.h.listen())
	c.members[name] = listener.Addr().String()
	c.start(name, listener, running)
}

// replace replaces a controller in the order of docs/OPERATIONS.md.
func (c *cluster) replace(ctl *operator.Client, old, next string) {
	c.h.t.Helper()
	c.join(next)
	_, err := ctl.AddMember(c.h.t.Context(), next, c.members[next])
	testkit.Check(c.h.t, err)
	_, err = ctl.RemoveMember(c.h.t.Context(), old)
	testkit.Check(c.h.t, err)
	if c.controllers[old] != nil {
		c.stop(old)
	}
}

// restartAll stops all running controllers at the same time, empties the data folders of lost, and starts all again.
func (c *cluster) restartAll(lost ...string) {
	c.h.t.Helper()
	names := slices.Sorted(maps.Keys(c.controllers))
	var stopping sync.WaitGroup
	for _, name := range names {
		stopping.Go(c.stops[name])
	}
	stopping.Wait()
	for _, name := range lost {
		testkit.Check(c.h.t, os.RemoveAll(c.folders[name]))
		delete(c.folders, name)
	}
	for _, name := range names {
		// The settings of each still list five controllers: itself, and first ones of which some were removed.
		members := map[string]string{name: c.members[name]}
		for i := 1; len(members) < 5; i++ {
			first := fmt.Sprintf("c%d", i)
			members[first] = c.members[first]
		}
		c.start(name, nil, members)
	}
}

// Guards against a group that no longer bears two losses after controllers were replaced one after the other: an
// acknowledged configuration survives two lost disks while all others lose power.
func TestReplacedGroupBearsTwoLostDisks(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	c := h.cluster(5)
	ctl := h.operator(c.addresses()...)
	apply(t, ctl, 0, document(1, 1, ""))
	for i, old := range []string{"c1", "c2", "c3"} {
		if i%2 == 0 { // every second one is lost before it is replaced
			c.stop(old)
		}
		c.replace(ctl, old, fmt.Sprintf("c%d", i+6))
	}
	ctl = h.operator(c.addresses()...)
	apply(t, ctl, 1, document(2, 1, ""))
	other := "c8"
	leader := c.leader()
	if leader == other {
		other = "c7"
	}
	c.restartAll(leader, other)
	testkit.Eventually(t, "revision 2 after the restart", func() bool {
		shown, err := ctl.Show(t.Context(), 0)
		return err == nil && shown.Revision == 2
	})
	apply(t, ctl, 2, document(3, 1, ""))
}
