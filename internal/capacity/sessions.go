package capacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/operator"
)

// steadyLoad is the traffic and processor time of the cluster while nothing changes.
type steadyLoad struct {
	nodeKBPerSecond, peerKBPerSecond float64
	cpuPercent                       float64 // of one core
}

// measureSteadyLoad measures the steady load over a window. Processor time is that of the whole process:
// controllers, sessions, and both ends of every connection.
func (c *cluster) measureSteadyLoad(window time.Duration) steadyLoad {
	runtime.GC()
	nodeBytes, peerBytes := c.meter.totals()
	spent, start := cpuTime(), time.Now()
	time.Sleep(window)
	nodeBytesAfter, peerBytesAfter := c.meter.totals()
	elapsed := time.Since(start).Seconds()
	return steadyLoad{
		nodeKBPerSecond: float64(nodeBytesAfter-nodeBytes) / 1e3 / elapsed,
		peerKBPerSecond: float64(peerBytesAfter-peerBytes) / 1e3 / elapsed,
		cpuPercent:      (cpuTime() - spent).Seconds() / elapsed * 100,
	}
}

// measureSessions measures sessions of agents with one controller. That controller is a follower, so
// that its reports to the leader pass over the network.
func measureSessions(r *recorder) error {
	c, err := newCluster(r.folder)
	if err != nil {
		return err
	}
	err = r.recordSessions(c)
	if closed := c.close(); err == nil {
		err = closed
	}
	return err
}

func (r *recorder) recordSessions(c *cluster) error {
	ctl, err := c.newOperator(c.addresses()...)
	if err != nil {
		return err
	}
	maxSessions := r.sizes.Sessions[len(r.sizes.Sessions)-1]
	services := max(maxSessions*designServices/designTargets, 1)
	if _, _, err := c.edit(ctl, 0, fleetDocument(services, maxSessions, 10)); err != nil {
		return err
	}
	followerName, err := c.pickFollower(ctl)
	if err != nil {
		return err
	}
	memoryBefore := heapAndStackBytes()
	running := 0
	for _, count := range r.sizes.Sessions {
		for ; running < count; running++ {
			agent := newFakeAgent(running, services)
			if err := c.startSession(model.RoleAgent, string(vmName(running)), agent, c.addressByName[followerName]); err != nil {
				return err
			}
		}
		if err := c.waitForActiveTargets(ctl, count); err != nil {
			return err
		}
		s, x := c.measureSteadyLoad(r.sizes.Window), float64(count)
		r.record("session-bytes", x, s.nodeKBPerSecond)
		r.record("session-processor", x, s.cpuPercent)
		r.record("report-bytes", x, s.peerKBPerSecond)
		r.record("session-memory", x, (heapAndStackBytes()-memoryBefore)/bytesPerMB)
	}
	return nil
}

// waitForActiveTargets waits until the given number of targets is active.
func (c *cluster) waitForActiveTargets(ctl *operator.Client, targets int) error {
	return waitFor("active targets", func() bool {
		time.Sleep(20 * waitPollInterval)
		status, err := ctl.Status(c.ctx)
		return err == nil && status.Targets[model.TargetActive.String()] == targets
	})
}

// measureInForce measures the steady load and edits with different numbers of balancers at three controllers.
func measureInForce(r *recorder) error {
	c, err := newCluster(r.folder)
	if err != nil {
		return err
	}
	err = r.recordInForce(c)
	if closed := c.close(); err == nil {
		err = closed
	}
	return err
}

func (r *recorder) recordInForce(c *cluster) error {
	ctl, err := c.newOperator(c.addresses()...)
	if err != nil {
		return err
	}
	if _, _, err := c.edit(ctl, 0, fleetDocument(r.sizes.FleetServices, r.sizes.FleetVMs, 10)); err != nil {
		return err
	}
	revision := model.Revision(1)
	var nodes []*fakeNode
	for _, count := range r.sizes.Nodes {
		for len(nodes) < count {
			n := newFakeNode(model.Announcement{Zone: zoneName(len(nodes))})
			if err := c.startSession(model.RoleBalancer, fmt.Sprintf("balancer-%d", len(nodes)), n, c.addresses()...); err != nil {
				return err
			}
			nodes = append(nodes, n)
		}
		if err := waitForInForce(nodes, revision); err != nil {
			return err
		}
		s := c.measureSteadyLoad(r.sizes.Window)
		r.record("balancer-session-bytes", float64(count), s.nodeKBPerSecond)
		r.record("balancer-session-processor", float64(count), s.cpuPercent)
		if revision, err = r.recordEditTimes(c, ctl, nodes, revision); err != nil {
			return err
		}
	}
	return nil
}

func (r *recorder) recordEditTimes(c *cluster, ctl *operator.Client, nodes []*fakeNode, revision model.Revision) (model.Revision, error) {
	var fromSending, fromAcceptance, acceptance []time.Duration
	for range r.sizes.Edits {
		sent, accepted, err := c.edit(ctl, revision, fleetDocument(r.sizes.FleetServices, r.sizes.FleetVMs, 10+int(revision)))
		if err != nil {
			return revision, err
		}
		revision++
		if err := waitForInForce(nodes, revision); err != nil {
			return revision, err
		}
		acceptance = append(acceptance, accepted.Sub(sent))
		for _, n := range nodes {
			at := n.appliedAt(revision)
			fromSending = append(fromSending, at.Sub(sent))
			// A node may apply the edit before the reply reaches the operator's client.
			fromAcceptance = append(fromAcceptance, max(at.Sub(accepted), 0))
		}
	}
	x := float64(len(nodes))
	r.record("accepted", x, quantile(acceptance, 0.5).Seconds())
	r.record("in-force-median", x, quantile(fromSending, 0.5).Seconds())
	r.record("in-force-p99", x, quantile(fromSending, 0.99).Seconds())
	r.record("in-force-accepted-median", x, quantile(fromAcceptance, 0.5).Seconds())
	r.record("in-force-accepted-p99", x, quantile(fromAcceptance, 0.99).Seconds())
	return revision, nil
}

func waitForInForce(nodes []*fakeNode, revision model.Revision) error {
	return waitFor(fmt.Sprintf("revision %d at %d nodes", revision, len(nodes)), func() bool {
		for _, n := range nodes {
			if n.appliedAt(revision).IsZero() {
				return false
			}
		}
		return true
	})
}

// measureCatchUp measures how long a restarted follower takes to catch up with the edits it has missed.
func measureCatchUp(r *recorder) error {
	c, err := newCluster(r.folder)
	if err != nil {
		return err
	}
	err = r.recordCatchUp(c)
	if closed := c.close(); err == nil {
		err = closed
	}
	return err
}

func (r *recorder) recordCatchUp(c *cluster) error {
	ctl, err := c.newOperator(c.addresses()...)
	if err != nil {
		return err
	}
	const services, vms = 10, 50
	if _, _, err := c.edit(ctl, 0, fleetDocument(services, vms, 10)); err != nil {
		return err
	}
	lateMember, err := c.pickFollower(ctl)
	if err != nil {
		return err
	}
	lateClient, err := c.newOperator(c.addressByName[lateMember])
	if err != nil {
		return err
	}
	revision := model.Revision(1)
	for _, missed := range r.sizes.Missed {
		c.stopByName[lateMember]()
		for range missed {
			if _, _, err := c.edit(ctl, revision, fleetDocument(services, vms, 10+int(revision)%500)); err != nil {
				return err
			}
			revision++
		}
		start := time.Now()
		if err := c.startController(lateMember, nil); err != nil {
			return err
		}
		err := waitFor("catch-up", func() bool {
			status, err := lateClient.Status(c.ctx)
			return err == nil && status.Current && status.Revision == revision
		})
		if err != nil {
			return err
		}
		r.record("catch-up", float64(missed), time.Since(start).Seconds())
	}
	return nil
}
