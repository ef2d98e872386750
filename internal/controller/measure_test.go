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

// Size of the measured deployment: the balancers of the target size, with a part of its targets.
const (
	measuredNodes    = 460
	measuredServices = 150
	measuredVMs      = 5
	measuredEdits    = 20
	// inForceLimit is the stated target for a change to be in force everywhere.
	inForceLimit = 4 * time.Second
)

// timedNode notes when it has a revision in force.
type timedNode struct {
	standin
	applied sync.Map // model.Revision to time.Time
}

func (n *timedNode) ApplyView(v *model.View) {
	n.Lock()
	n.Views = []*model.View{v}
	n.Unlock()
	n.applied.LoadOrStore(v.Revision, time.Now())
}

func (n *timedNode) at(revision model.Revision) (time.Time, bool) {
	value, ok := n.applied.Load(revision)
	if !ok {
		return time.Time{}, false
	}
	return value.(time.Time), true
}

// BenchmarkInForce measures the time from sending an edit until it is in force on every
// node, and what a steady state costs.
func BenchmarkInForce(b *testing.B) {
	for b.Loop() {
		measure(b)
	}
}

func measure(b *testing.B) {
	m := &meter{}
	h := newHarness(b)
	h.wrap = m.listener
	c := h.cluster(3)
	ctl := h.operator(c.addresses()...)
	testkit.Eventually(b, "a leader", func() bool { return c.leader() != "" })
	idle := m.take()
	nodes := make([]*timedNode, measuredNodes)
	for i := range nodes {
		nodes[i] = &timedNode{}
		h.node(model.RoleBalancer, fmt.Sprintf("b%d", i), nodes[i], c.addresses()...)
	}
	apply(b, ctl, 0, document(measuredServices, measuredVMs, ""))
	awaitAll(b, nodes, 1)
	var times []time.Duration
	for edit := range measuredEdits {
		revision := model.Revision(edit + 1)
		sent := time.Now()
		apply(b, ctl, revision, document(measuredServices, measuredVMs, fmt.Sprintf(`, "limits": {"slots_per_target": %d}`, edit+1)))
		awaitAll(b, nodes, revision+1)
		for _, n := range nodes {
			at, _ := n.at(revision + 1)
			times = append(times, at.Sub(sent))
		}
	}
	slices.Sort(times)
	report(b, "in-force-median-ms", times[len(times)/2])
	report(b, "in-force-p99-ms", times[len(times)*99/100])
	report(b, "in-force-max-ms", times[len(times)-1])
	steady(b, idle, m.take())
	if times[len(times)-1] > inForceLimit {
		b.Errorf("an edit took %v to be in force everywhere, the target is %v", times[len(times)-1], inForceLimit)
	}
}

func report(b *testing.B, name string, d time.Duration) {
	b.ReportMetric(float64(d.Microseconds())/1000, name)
}

func awaitAll(b *testing.B, nodes []*timedNode, revision model.Revision) {
	for deadline := time.Now().Add(testkit.Patience); ; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			b.Fatalf("revision %d is not in force everywhere", revision)
		}
		if !slices.ContainsFunc(nodes, func(n *timedNode) bool { _, ok := n.at(revision); return !ok }) {
			return
		}
	}
}

// steady reports what a poll costs: what passes and runs with nodes, less what the controllers
// need among themselves. The process runs the nodes as well, so the processor time is an upper
// bound for a controller.
func steady(b *testing.B, idle, with sample) {
	b.ReportMetric((with.bytes-idle.bytes)/measuredNodes, "bytes/s/node")
	b.ReportMetric((with.processor-idle.processor)/measuredNodes, "cpu-µs/s/node")
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	b.ReportMetric(float64(mem.HeapAlloc)/(1<<20), "heap-MB")
}

// sample is traffic and processor time per second.
type sample struct {
	bytes, processor float64
}

// meter counts the bytes that pass through the controllers' listeners, TLS included.
type meter struct {
	bytes atomic.Int64
}

// take measures for a while.
func (m *meter) take() sample {
	const period = 10 * time.Second
	bytes, processor := m.bytes.Load(), processorTime()
	time.Sleep(period)
	return sample{
		bytes:     float64(m.bytes.Load()-bytes) / period.Seconds(),
		processor: float64((processorTime() - processor).Microseconds()) / period.Seconds(),
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

func processorTime() time.Duration {
	var usage syscall.Rusage
	// The call does not fail for the own process.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
