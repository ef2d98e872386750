package consensus_test

import (
	"slices"
	"testing"
	"time"

	"github.com/greengagelock/greengagelock/internal/consensus"
)

// maxLeaderlessTime is the upper bound for the time without a leader.
const maxLeaderlessTime = 2 * time.Second

// recoveryAfterLeaderCrash crashes the leader and returns the time until a new leader has committed an
// entry.
func recoveryAfterLeaderCrash(t testingT, seed uint64, size int) time.Duration {
	c := newCluster(t, seed, size, consensus.Config{})
	c.run(10*time.Second, func() bool { return c.leader() != nil })
	c.run(time.Duration(1+c.rng.IntN(1000))*ms, nil)
	c.leader().crash()
	lost, committed := c.now, c.lastCommitted
	if !c.run(10*time.Second, func() bool { return c.leader() != nil && c.lastCommitted > committed }) {
		t.Fatalf("seed %d: no new leader%s", seed, c.describe())
	}
	return c.now - lost
}

// recoveryAfterFullOutage crashes all members, restarts them within 200 ms of each other, and returns the
// time from the last restart until an entry is committed.
func recoveryAfterFullOutage(t testingT, seed uint64, size int) time.Duration {
	c := newCluster(t, seed, size, consensus.Config{})
	c.run(10*time.Second, func() bool { return c.leader() != nil })
	c.run(time.Duration(1+c.rng.IntN(1000))*ms, nil)
	for _, id := range c.ids {
		c.members[id].crash()
	}
	committed := c.lastCommitted
	c.run(time.Second, nil)
	var last time.Duration
	for _, id := range c.ids {
		start := time.Duration(c.rng.IntN(200)) * ms
		last = max(last, c.now+start)
		c.after(start, c.members[id].restart)
	}
	if !c.run(10*time.Second, func() bool { return c.leader() != nil && c.lastCommitted > committed }) {
		t.Fatalf("seed %d: no leader%s", seed, c.describe())
	}
	return max(c.now-last, 0)
}

// Guards against elections that take 2 s or longer with the default timeouts and a latency of 1.5 ms
// between availability zones.
func TestTimeWithoutLeaderAfterLeaderCrash(t *testing.T) {
	checkTimeWithoutLeader(t, recoveryAfterLeaderCrash)
}

// Guards against a slow recovery after all controllers lose power at once and restart.
func TestTimeWithoutLeaderAfterFullOutage(t *testing.T) {
	checkTimeWithoutLeader(t, recoveryAfterFullOutage)
}

func checkTimeWithoutLeader(t *testing.T, measure func(t testingT, seed uint64, size int) time.Duration) {
	t.Helper()
	const seeds = 200
	for _, size := range []int{3, 5, 7} {
		var times []time.Duration
		for seed := range uint64(seeds) {
			times = append(times, measure(t, seed, size))
		}
		slices.Sort(times)
		at := func(percent int) time.Duration { return times[(seeds-1)*percent/100].Round(ms) }
		t.Logf("%d members, %d seeds: min %s, median %s, 90%% %s, 99%% %s, max %s",
			size, seeds, at(0), at(50), at(90), at(99), at(100))
		if at(100) >= maxLeaderlessTime {
			t.Errorf("%d members: %s without a leader, want less than %s", size, at(100), maxLeaderlessTime)
		}
	}
}

// Guards against members that a new leader takes for lost because they have not answered it yet, and that are then removed.
func TestMembersAreNotLostRightAfterAnElection(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, 3, consensus.Config{})
		c.run(10*time.Second, func() bool { return c.leader() != nil })
		c.run(5*time.Second, nil)
		c.leader().crash()
		if !c.run(10*time.Second, func() bool { return c.leader() != nil }) {
			t.Fatalf("seed %d: no new leader%s", seed, c.describe())
		}
		leader := c.leader()
		heard := 0
		for _, p := range leader.node.Status(c.now - leader.startedAt).Peers {
			if p.ContactAge > 100*ms {
				t.Errorf("seed %d: member %d was not heard for %v right after the election", seed, p.ID, p.ContactAge)
			}
			if p.Heard {
				heard++
			}
		}
		if heard > 1 {
			t.Errorf("seed %d: %d members were heard, one of which is down", seed, heard)
		}
	}
}
