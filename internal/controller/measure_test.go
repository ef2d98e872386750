package controller

import (
	"fmt"
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/testkit"
)

// Size of the measured deployment: as many balancers as at the design size, but fewer targets.
const (
	measuredNodes    = 460
	measuredServices = 150
	measuredVMs      = 5
	measuredEdits    = 20
	// inForceLimit is the maximum time until a change has to be in force on every node.
	inForceLimit = 4 * time.Second
)

// timedNode records when it applied each revision.
type timedNode struct {
	fakeNode
	applied sync.Map // time.Time by model.Revision
}

func (n *timedNode) ApplyView(v *model.View) {
	n.Lock()
	n.Views = []*model.View{v}
	n.Unlock()
	n.applied.LoadOrStore(v.Revision, time.Now())
}

func (n *timedNode) appliedAt(revision model.Revision) (time.Time, bool) {
	value, ok := n.applied.Load(revision)
	if !ok {
		return time.Time{}, false
	}
	return value.(time.Time), true
}

// BenchmarkInForce measures the time from sending an edit until it is in force on every node, and the cost
// of the polls when nothing changes.
func BenchmarkInForce(b *testing.B) {
	for b.Loop() {
		measure(b)
	}
}

func measure(b *testing.B) {
	m := &meter{}
	h := newHarness(b)
	h.wrapListener = m.listener
	c := h.cluster(3)
	ctl := h.operator(c.addresses()...)
	testkit.Eventually(b, "a leader", func() bool { return c.leader() != "" })
	idle := m.measureRates()
	nodes := make([]*timedNode, measuredNodes)
	for i := range nodes {
		nodes[i] = &timedNode{}
		h.node(model.RoleBalancer, fmt.Sprintf("b%d", i), nodes[i], c.addresses()...)
	}
	apply(b, ctl, 0, document(measuredServices, measuredVMs, ""))
	waitForRevision(b, nodes, 1)
	var times []time.Duration
	for edit := range measuredEdits {
		revision := model.Revision(edit + 1)
		sent := time.Now()
		apply(b, ctl, revision, document(measuredServices, measuredVMs, fmt.Sprintf(`, "limits": {"slots_per_target": %d}`, edit+1)))
		waitForRevision(b, nodes, revision+1)
		for _, n := range nodes {
			at, _ := n.appliedAt(revision + 1)
			times = append(times, at.Sub(sent))
		}
	}
	slices.Sort(times)
	report(b, "in-force-median-ms", times[len(times)/2])
	report(b, "in-force-p99-ms", times[len(times)*99/100])
	report(b, "in-force-max-ms", times[len(times)-1])
	reportSteadyState(b, idle, m.measureRates())
	if times[len(times)-1] > inForceLimit {
		b.Errorf("an edit took %v to be in force on every node, the limit is %v", times[len(times)-1], inForceLimit)
	}
}

func report(b *testing.B, name string, d time.Duration) {
	b.ReportMetric(float64(d.Microseconds())/1000, name)
}

func waitForRevision(b *testing.B, nodes []*timedNode, revision model.Revision) {
	for deadline := time.Now().Add(testkit.WaitTimeout); ; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			b.Fatalf("revision %d is not in force on every node", revision)
		}
		if !slices.ContainsFunc(nodes, func(n *timedNode) bool { _, ok := n.appliedAt(revision); return !ok }) {
			return
		}
	}
}

// reportSteadyState reports the cost of one node that polls: the rates with all nodes minus those of idle
// controllers, per node. The process runs the nodes too, so the CPU time is an upper bound for a
// controller.
func reportSteadyState(b *testing.B, idle, withNodes rates) {
	b.ReportMetric((withNodes.bytesPerSecond-idle.bytesPerSecond)/measuredNodes, "bytes/s/node")
	b.ReportMetric((withNodes.cpuMicrosPerSecond-idle.cpuMicrosPerSecond)/measuredNodes, "cpu-µs/s/node")
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	b.ReportMetric(float64(mem.HeapAlloc)/(1<<20), "heap-MB")
}

// rates are the traffic and the CPU time per second.
type rates struct {
	bytesPerSecond, cpuMicrosPerSecond float64
}

// meter counts the bytes that pass through the listeners of controllers, including TLS.
type meter struct {
	bytes atomic.Int64
}

// measureRates measures the rates over 10 s.
func (m *meter) measureRates() rates {
	const period = 10 * time.Second
	bytes, processor := m.bytes.Load(), cpuTime()
	time.Sleep(period)
	return rates{
		bytesPerSecond:     float64(m.bytes.Load()-bytes) / period.Seconds(),
		cpuMicrosPerSecond: float64((cpuTime() - processor).Microseconds()) / period.Seconds(),
	}
}

func (m *meter) listener(l net.Listener) net.Listener { return &meteredListener{Listener: l, meter: m} }

type meteredListener struct {
	net.Listener
	meter *meter
}

func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, meter: l.meter}, nil
}

type meteredConn struct {
	net.Conn
	meter *meter
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.bytes.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.bytes.Add(int64(n))
	return n, err
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage with RUSAGE_SELF does not fail.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
