package controller

import (
	"slices"
	"testing"
	"time"

	"github.com/greengagelock/greengagelock/internal/testkit"
)

// Guards against a second, empty log: the removed controllers are a majority of the first ones, their data folders were
// deleted, and they start again with their old settings.
func TestRemovedControllersFormNoSecondLog(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	c := h.cluster(3)
	ctl := h.operator(c.addresses()...)
	apply(t, ctl, 0, document(1, 1, ""))
	first := map[string]string{"c1": c.members["c1"], "c2": c.members["c2"], "c3": c.members["c3"]}
	c.replace(ctl, "c1", "c4")
	c.replace(ctl, "c2", "c5")
	for _, removed := range []string{"c1", "c2"} {
		delete(c.folders, removed)
		c.start(removed, nil, first)
	}
	deadline := time.Now().Add(quorumLossTimeout)
	for time.Now().Before(deadline) {
		for _, removed := range []string{"c1", "c2"} {
			if age, err := c.controllers[removed].quorumAge(); err == nil {
				t.Fatalf("%s, which was removed and has an empty data folder, claims contact with a majority %v ago", removed, age)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	apply(t, h.operator(c.members["c3"], c.members["c4"], c.members["c5"]), 1, document(2, 1, ""))
}

// Guards against the loss of an acknowledged configuration right after the first start: two of five controllers lose their
// disks before the list of controllers is committed everywhere, and vote again with two that were off and have nothing.
func TestFirstControllersWithEmptiedFoldersDoNotVote(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	c := h.cluster(5)
	ctl := h.operator(c.addresses()...)
	apply(t, ctl, 0, document(1, 1, ""))
	lost := c.followers()[:2]
	for _, name := range lost {
		c.stop(name)
		delete(c.folders, name)
		c.start(name, nil, c.members)
	}
	for name, running := range c.controllers {
		if slices.Contains(lost, name) {
			continue
		}
		for _, emptied := range lost {
			if running.members.checkFolder(emptied, c.controllers[emptied].founders.folder) == nil {
				t.Errorf("%s accepts messages of %s, whose folder was emptied", name, emptied)
			}
		}
	}
	apply(t, ctl, 1, document(2, 1, ""))
	if c.controllers[lost[0]].founders.ready.Load() || c.controllers[lost[1]].founders.ready.Load() {
		t.Error("a controller whose folder was emptied may vote")
	}
}

// Guards against a first controller that waits for ever because one of the others is gone: it was stopped before it had
// heard all of them, and one that has formed the log knows its folder.
func TestInterruptedFirstStartIsContinued(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	c := h.cluster(3)
	ctl := h.operator(c.addresses()...)
	apply(t, ctl, 0, document(1, 1, ""))
	names := c.followers()
	c.stop(names[0])
	// The state of a data folder before the answers of the others.
	testkit.Check(t, (&founders{dataDir: c.folders[names[0]]}).save(nil))
	c.stop(names[1])
	c.start(names[0], nil, c.members)
	apply(t, ctl, 1, document(2, 1, ""))
}
