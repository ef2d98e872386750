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

// Guards against elections that take longer than the stated goal at the default timeouts, with
// 1.5 ms between availability zones.
func TestTimeWithoutLeader(t *testing.T) {
	const seeds = 200
	for _, size := range []int{3, 5, 7} {
		var times []time.Duration
		for seed := range uint64(seeds) {
			times = append(times, leaderless(t, seed, size))
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
