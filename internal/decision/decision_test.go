package decision

import (
	"bytes"
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/result"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

// Guards against a log that grows with the load, and against decisions that are left out without a report.
func TestLinesPerSecondAreLimited(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	l := New(&log.Logger{Writer: log.IOWriter{Writer: &out}})
	for range 1000 {
		l.Record(0, Decision{Kind: Offered})
		l.Record(0, Decision{Kind: Refused, Code: result.NoTarget})
	}
	l.writeQueued()
	g.Expect(bytes.Count(out.Bytes(), []byte("flow offered"))).To(Equal(5))
	g.Expect(bytes.Count(out.Bytes(), []byte("flow refused"))).To(Equal(50))
	g.Expect(l.LeftOut(Offered)).To(Equal(uint64(995)))
	l.Record(time.Second, Decision{Kind: Offered})
	l.writeQueued()
	g.Expect(bytes.Count(out.Bytes(), []byte("flow offered"))).To(Equal(6))
	l.reportLeftOut(&[kindCount]uint64{})
	g.Expect(out.String()).To(ContainSubstring(`"lines":995`))
}

// Guards against a data path that blocks on its log: without a writer the queue fills up, and further decisions
// must be left out.
func TestRecordNeverBlocks(t *testing.T) {
	l := New(&log.Logger{Writer: log.IOWriter{Writer: &bytes.Buffer{}}})
	for second := range time.Duration(100) {
		for range 100 {
			l.Record(second*time.Second, Decision{Kind: Reset})
		}
	}
	if l.LeftOut(Reset) == 0 {
		t.Fatal("no decision was left out although nothing empties the queue")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := l.Run(ctx); err != nil {
		t.Fatal(err)
	}
}

// Guards against an allocation per decision, and so garbage for each flow.
func TestRecordAllocatesNothing(t *testing.T) {
	l := New(&log.Logger{Writer: log.IOWriter{Writer: &bytes.Buffer{}}})
	d := Decision{Kind: Reset, Flow: packet.Key{}}
	if n := testing.AllocsPerRun(1000, func() { l.Record(0, d) }); n != 0 {
		t.Fatalf("Record makes %g allocations, want none", n)
	}
}
