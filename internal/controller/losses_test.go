package controller

import (
	"testing"

	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/testkit"
)

// Guards against a group whose next loss takes the majority while its status shows nothing.
func TestLossesOfAGroup(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		members             string
		size, borne, wanted int
	}{
		{"Lrrrr", 5, 2, 2},
		{"Lrrr", 5, 1, 2}, // one newcomer took the place of two
		{"Llrr", 5, 0, 2},
		{"Lrrre", 5, 1, 2}, // a learner does not vote
		{"Llrrr", 5, 1, 2},
		{"Lllrr", 5, 0, 2},
		{"Lrrrrr", 5, 2, 2},
		{"Lnnrr", 5, 2, 2}, // not heard yet since the election
		{"Lrrrr", 3, 2, 2}, // enlarged after the first start
		{"Lrrr", 3, 1, 1},
		{"Lr", 3, 0, 1},
		{"Lrr", 2, 1, 1}, // a controller that joined lists only the others
	} {
		l := lossesOf(group(c.members), c.size)
		if l.Borne != c.borne || l.Wanted != c.wanted {
			t.Errorf("%s of %d bears %d losses of %d, want %d of %d", c.members, c.size, l.Borne, l.Wanted, c.borne, c.wanted)
		}
	}
}

// Guards against a lost controller that the status of the others does not show.
func TestStatusShowsALostController(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	c := h.cluster(3)
	ctl := h.operator(c.addresses()...)
	lost := c.followers()[0]
	shows := func(borne int, names ...string) func() bool {
		return func() bool {
			s, err := ctl.Status(t.Context())
			if err != nil || s.Losses == nil || s.Losses.Borne != borne || s.Losses.Wanted != 1 || len(s.Losses.Lost) != len(names) {
				return false
			}
			gauge := c.controllers[s.Leader].lossGauge(func(l *operator.Losses) int { return l.Borne })
			return len(names) == 0 || s.Losses.Lost[0].Name == names[0] && gauge == float64(borne)
		}
	}
	testkit.Eventually(t, "one loss borne", shows(1))
	c.stop(lost)
	testkit.Eventually(t, "no loss borne", shows(0, lost))
	c.start(lost, nil, c.members)
	testkit.Eventually(t, "one loss borne again", shows(1))
}
