package consensus_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/wal"
)

// BenchmarkCatchUp measures how long a restarted member takes to catch up with 500 entries of 256 B, as
// CPU time of all members and as simulated time with a latency of 1.5 ms between members.
func BenchmarkCatchUp(b *testing.B) {
	const missed = 500
	for _, way := range []string{"log", "snapshot"} {
		b.Run(way, func(b *testing.B) {
			var simulated time.Duration
			for b.Loop() {
				b.StopTimer()
				c := newCluster(b, 1, 3, consensus.Config{})
				c.segmentSize = wal.DefaultSegmentSize
				l := c.waitForLeader()
				lagging := c.members[1+l.id%3]
				lagging.crash()
				for i := range missed {
					_, _ = l.propose(fmt.Sprintf("%d,%s", i, strings.Repeat("x", 256)))
					c.run(ms, nil)
				}
				c.run(time.Second, nil)
				if way == "snapshot" {
					l.compact(0)
				}
				start := c.now
				b.StartTimer()
				lagging.restart()
				if !c.run(10*time.Second, func() bool { return lagging.appliedIndex >= c.lastCommitted }) {
					b.Fatalf("no catch-up%s", c.describe())
				}
				simulated += c.now - start
			}
			b.ReportMetric(float64(simulated.Milliseconds())/float64(b.N), "simulated-ms/op")
		})
	}
}
