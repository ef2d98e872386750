package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/phuslu/log"

	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/decision"
	"github.com/greengagelock/greengagelock/internal/flowlog"
	"github.com/greengagelock/greengagelock/internal/hop"
)

// logs collects the logs of all processes of a world.
type logs struct {
	text         bytes.Buffer
	decisionLogs []*decision.Log
}

func (l *logs) logger(process, component string) *log.Logger {
	return &log.Logger{
		Level: log.InfoLevel, TimeFormat: time.RFC3339Nano, Writer: &log.IOWriter{Writer: &l.text},
		Context: log.NewContext(nil).Str("process", process).Str("component", component).Value(),
	}
}

// newDecisionLog returns the decision log of a process that starts, or nil if l is nil.
func (l *logs) newDecisionLog(component string, ip hop.IP) *decision.Log {
	if l == nil {
		return nil
	}
	d := decision.New(l.logger(fmt.Sprintf("%s-%d", component, ip[3]), component))
	l.decisionLogs = append(l.decisionLogs, d)
	return d
}

// explain returns what package flowlog reports about the flow of a caller, and the text of the logs.
func (l *logs) explain(g *WithT, c *caller) (*flowlog.Explanation, string) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for _, d := range l.decisionLogs {
		g.Expect(d.Run(ended)).To(Succeed())
	}
	read := flowlog.New(netip.AddrPortFrom(netip.AddrFrom4(c.addr.IP), c.addr.Port).String(),
		netip.AddrPortFrom(netip.AddrFrom4(serviceAddr.IP), serviceAddr.Port).String())
	text := l.text.String()
	g.Expect(read.Read(bytes.NewBufferString(text))).To(Succeed())
	return read.Between(time.Time{}, time.Time{}), text
}

// newLoggedWorld returns a world whose processes have restarted with logs.
func newLoggedWorld(seed uint64, entries, targets int) *world {
	w := newWorld(seed, entries, targets)
	w.logs = &logs{}
	for _, t := range w.targets {
		t.startRelay()
		t.crash()
		t.startTarget()
	}
	for _, e := range w.entries {
		e.start()
	}
	w.run(time.Second)
	return w
}

// The tests below cause the failures described in docs/OPERATIONS.md, and check for the log lines that the
// page shows. They guard against failures whose cause cannot be found in the logs.

func TestLogsExplainRefusedFlow(t *testing.T) {
	g := NewWithT(t)
	w := newLoggedWorld(20, 1, 3)
	w.rosterPaused = true // the entry VM learns too late that the targets drain
	for _, v := range w.targets {
		v.draining = true
	}
	w.run(time.Second)
	c := w.openFlow()
	w.run(2 * time.Second)
	s, text := w.logs.explain(g, c)
	g.Expect(s.Outcome).To(Equal(flowlog.Refused))
	g.Expect(s.Code).To(Equal("GGL-2005"))
	g.Expect(s.Causes).To(ContainElements(
		ContainSubstring("refused the SYN after"), ContainSubstring("passed the SYN on: GGL-2004 TargetDraining")))
	g.Expect(text).To(MatchRegexp(`"kind":"refused",.*"code":"GGL-2005"`))
	g.Expect(text).To(MatchRegexp(`"kind":"passed",.*"code":"GGL-2004"`))
}

func TestLogsExplainBrokenFlow(t *testing.T) {
	g := NewWithT(t)
	w := newLoggedWorld(21, 2, 3)
	c := w.openFlow()
	w.run(time.Second)
	g.Expect(c.state).To(Equal("open"))
	c.target.crash()
	c.target.startTarget()
	w.run(time.Second)
	s, text := w.logs.explain(g, c)
	g.Expect(s.Lines).To(ContainElement(HaveField("Code", "GGL-1007")), "the relay resets the flow")
	g.Expect(s.Causes).To(ContainElement(ContainSubstring("ended or was followed by another")))
	g.Expect(text).To(MatchRegexp(`"component":"relay","kind":"reset",.*"code":"GGL-1007"`))
}

func TestLogsExplainFlowWithoutOwner(t *testing.T) {
	g := NewWithT(t)
	w := newLoggedWorld(22, 1, 3)
	for _, store := range w.stores {
		store.stopped = true // the restarted relay learns of no flows that it could reset
	}
	c := w.openFlow()
	w.run(time.Second)
	g.Expect(c.state).To(Equal("open"))
	c.target.losePower()
	w.run(2 * time.Second)
	s, text := w.logs.explain(g, c)
	g.Expect(s.Causes).To(ContainElement(ContainSubstring("asked all relays, and none has the flow (GGL-2010")))
	g.Expect(text).To(MatchRegexp(`"component":"entry","kind":"reset",.*"code":"GGL-2010"`))
}

func TestLogsExplainFlowOfEarlierProcess(t *testing.T) {
	g := NewWithT(t)
	w := newLoggedWorld(24, 1, 3)
	c := w.openFlow()
	w.run(3 * reportInterval)
	g.Expect(c.state).To(Equal("open"))
	c.target.losePower()
	w.run(time.Second)
	s, text := w.logs.explain(g, c)
	g.Expect(s.Causes).To(ContainElement(ContainSubstring("had reported to the controllers (GGL-2011")))
	g.Expect(text).To(MatchRegexp(`"component":"relay","kind":"reset",.*"code":"GGL-2011"`))
}

func TestLogsExplainOutdatedConfiguration(t *testing.T) {
	g := NewWithT(t)
	w := newLoggedWorld(23, 1, 3)
	w.logs.logger("store-1", "store").Info().Uint64("version", 2).Msg(decision.ConfigCommitted)
	c := w.openFlow() // the entry VM still has configuration 1
	w.run(time.Second)
	s, text := w.logs.explain(g, c)
	g.Expect(s.Outcome).To(Equal(flowlog.Admitted))
	g.Expect(s.Causes).To(ContainElements(
		ContainSubstring("by configuration 1"), MatchRegexp("configuration 2 had been committed for .* and was not in force at entry-1")))
	g.Expect(text).To(MatchRegexp(`"kind":"offered",.*"version":1,"list_age_ms":`))
}
