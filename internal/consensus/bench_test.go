package consensus_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/wal"
)

// BenchmarkCatchUp measures a member that has missed 500 entries of 256 B, in processor time of
// all members and in simulated time with 1.5 ms between members.
func BenchmarkCatchUp(b *testing.B) {
	const missed = 500
	for _, way := range []string{"log", "snapshot"} {
		b.Run(way, func(b *testing.B) {
			var simulated time.Duration
			for b.Loop() {
				b.StopTimer()
				c := newCluster(b, 1, 3, consensus.Config{})
				c.segment = wal.DefaultSegmentSize
				l := c.elect()
				late := c.members[1+l.id%3]
				late.crash()
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
				late.restart()
				if !c.run(10*time.Second, func() bool { return late.applied >= c.top }) {
					b.Fatalf("no catch-up%s", c.describe())
				}
				simulated += c.now - start
			}
			b.ReportMetric(float64(simulated.Milliseconds())/float64(b.N), "simulated-ms/op")
		})
	}
}
