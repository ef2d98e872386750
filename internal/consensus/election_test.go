package consensus_test

import (
	"slices"
	"testing"
	"time"

	"github.com/greengagelock/greengagelock/internal/consensus"
)

// leaderlessBound is the goal for the time without a leader after the leader is lost.
const leaderlessBound = 2 * time.Second

// leaderless crashes the leader and returns the time until another one has committed an entry.
func leaderless(t fatal, seed uint64, size int) time.Duration {
	c := newCluster(t, seed, size, consensus.Config{})
	c.run(10*time.Second, func() bool { return c.leader() != nil })
	c.run(time.Duration(1+c.rng.IntN(1000))*ms, nil)
	c.leader().crash()
	lost, committed := c.now, c.top
	if !c.run(10*time.Second, func() bool { return c.leader() != nil && c.top > committed }) {
		t.Fatalf("seed %d: no new leader%s", seed, c.describe())
	}
	return c.now - lost
}

// returned crashes all members, starts them again within 200 ms, and returns the time from the start of the
// last one until an entry is committed.
func returned(t fatal, seed uint64, size int) time.Duration {
	c := newCluster(t, seed, size, consensus.Config{})
	c.run(10*time.Second, func() bool { return c.leader() != nil })
	c.run(time.Duration(1+c.rng.IntN(1000))*ms, nil)
	for _, id := range c.ids {
		c.members[id].crash()
	}
	committed := c.top
	c.run(time.Second, nil)
	var last time.Duration
	for _, id := range c.ids {
		start := time.Duration(c.rng.IntN(200)) * ms
		last = max(last, c.now+start)
		c.after(start, c.members[id].restart)
	}
	if !c.run(10*time.Second, func() bool { return c.leader() != nil && c.top > committed }) {
		t.Fatalf("seed %d: no leader%s", seed, c.describe())
	}
	return max(c.now-last, 0)
}

// Guards against elections that take longer than the stated goal at the default timeouts, with
// 1.5 ms between availability zones.
func TestTimeWithoutLeader(t *testing.T) {
	checkTimeWithoutLeader(t, leaderless)
}

// Guards against a service that stays down after all controllers have lost power at once and are back.
func TestTimeWithoutLeaderAfterTheLossOfAll(t *testing.T) { checkTimeWithoutLeader(t, returned) }

func checkTimeWithoutLeader(t *testing.T, lose func(t fatal, seed uint64, size int) time.Duration) {
	t.Helper()
	const seeds = 200
	for _, size := range []int{3, 5, 7} {
		var times []time.Duration
		for seed := range uint64(seeds) {
			times = append(times, lose(t, seed, size))
		}
		slices.Sort(times)
		at := func(percent int) time.Duration { return times[(seeds-1)*percent/100].Round(ms) }
		t.Logf("%d members, %d seeds: min %s, median %s, 90%% %s, 99%% %s, max %s",
			size, seeds, at(0), at(50), at(90), at(99), at(100))
		if at(100) >= leaderlessBound {
			t.Errorf("%d members: %s without a leader, the goal is below %s", size, at(100), leaderlessBound)
		}
	}
}
