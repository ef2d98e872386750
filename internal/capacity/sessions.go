package capacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/operator"
)

// sample is what passed and ran per second while nothing changed.
type sample struct {
	nodes, peers float64 // KB
	processor    float64 // percent of a core
}

// steady measures for a while. Processor time is that of the whole process: controllers, sessions,
// and both ends of every connection.
func (c *cluster) steady(window time.Duration) sample {
	runtime.GC()
	nodes, peers := c.meter.take()
	spent, start := processorTime(), time.Now()
	time.Sleep(window)
	nodesNow, peersNow := c.meter.take()
	elapsed := time.Since(start).Seconds()
	return sample{
		nodes:     float64(nodesNow-nodes) / 1e3 / elapsed,
		peers:     float64(peersNow-peers) / 1e3 / elapsed,
		processor: (processorTime() - spent).Seconds() / elapsed * 100,
	}
}

// measureSessions measures agents that hold sessions with one controller, a follower, so that its
// reports to the leader pass over the network.
func measureSessions(r *recorder) error {
	c, err := newCluster(r.folder)
	if err != nil {
		return err
	}
	err = r.sessions(c)
	if closed := c.close(); err == nil {
		err = closed
	}
	return err
}

func (r *recorder) sessions(c *cluster) error {
	ctl, err := c.operator(c.addresses()...)
	if err != nil {
		return err
	}
	most := r.sizes.Sessions[len(r.sizes.Sessions)-1]
	services := max(most*targetServices/targetTargets, 1)
	if _, _, err := c.edit(ctl, 0, fleetDocument(services, most, 10)); err != nil {
		return err
	}
	holder, err := c.follower(ctl)
	if err != nil {
		return err
	}
	memory := heapAndStacks()
	running := 0
	for _, count := range r.sizes.Sessions {
		for ; running < count; running++ {
			agent := standinAgent(running, services)
			if err := c.session(model.RoleAgent, string(vmName(running)), agent, c.members[holder]); err != nil {
				return err
			}
		}
		if err := c.joined(ctl, count); err != nil {
			return err
		}
		s, x := c.steady(r.sizes.Window), float64(count)
		r.point("session-bytes", x, s.nodes)
		r.point("session-processor", x, s.processor)
		r.point("report-bytes", x, s.peers)
		r.point("session-memory", x, (heapAndStacks()-memory)/megabyte)
	}
	return nil
}

// joined waits until the targets of all agents are active.
func (c *cluster) joined(ctl *operator.Client, targets int) error {
	return await("active targets", func() bool {
		time.Sleep(20 * waitStep)
		status, err := ctl.Status(c.ctx)
		return err == nil && status.Targets[model.TargetActive.String()] == targets
	})
}

// measureInForce measures edits with different numbers of balancers at three controllers.
func measureInForce(r *recorder) error {
	c, err := newCluster(r.folder)
	if err != nil {
		return err
	}
	err = r.inForce(c)
	if closed := c.close(); err == nil {
		err = closed
	}
	return err
}

func (r *recorder) inForce(c *cluster) error {
	ctl, err := c.operator(c.addresses()...)
	if err != nil {
		return err
	}
	if _, _, err := c.edit(ctl, 0, fleetDocument(r.sizes.FleetServices, r.sizes.FleetVMs, 10)); err != nil {
		return err
	}
	revision := model.Revision(1)
	var nodes []*standinNode
	for _, count := range r.sizes.Nodes {
		for len(nodes) < count {
			n := newStandinNode(model.Announcement{Zone: zoneName(len(nodes))})
			if err := c.session(model.RoleBalancer, fmt.Sprintf("balancer-%d", len(nodes)), n, c.addresses()...); err != nil {
				return err
			}
			nodes = append(nodes, n)
		}
		if err := inForceEverywhere(nodes, revision); err != nil {
			return err
		}
		s := c.steady(r.sizes.Window)
		r.point("balancer-session-bytes", float64(count), s.nodes)
		r.point("balancer-session-processor", float64(count), s.processor)
		if revision, err = r.timedEdits(c, ctl, nodes, revision); err != nil {
			return err
		}
	}
	return nil
}

func (r *recorder) timedEdits(c *cluster, ctl *operator.Client, nodes []*standinNode, revision model.Revision) (model.Revision, error) {
	var fromSending, fromAcceptance, acceptance []time.Duration
	for range r.sizes.Edits {
		sent, accepted, err := c.edit(ctl, revision, fleetDocument(r.sizes.FleetServices, r.sizes.FleetVMs, 10+int(revision)))
		if err != nil {
			return revision, err
		}
		revision++
		if err := inForceEverywhere(nodes, revision); err != nil {
			return revision, err
		}
		acceptance = append(acceptance, accepted.Sub(sent))
		for _, n := range nodes {
			at := n.at(revision)
			fromSending = append(fromSending, at.Sub(sent))
			// Some nodes have the edit before its author has the answer.
			fromAcceptance = append(fromAcceptance, max(at.Sub(accepted), 0))
		}
	}
	x := float64(len(nodes))
	r.point("accepted", x, quantile(acceptance, 0.5).Seconds())
	r.point("in-force-median", x, quantile(fromSending, 0.5).Seconds())
	r.point("in-force-p99", x, quantile(fromSending, 0.99).Seconds())
	r.point("in-force-accepted-median", x, quantile(fromAcceptance, 0.5).Seconds())
	r.point("in-force-accepted-p99", x, quantile(fromAcceptance, 0.99).Seconds())
	return revision, nil
}

func inForceEverywhere(nodes []*standinNode, revision model.Revision) error {
	return await(fmt.Sprintf("revision %d at %d nodes", revision, len(nodes)), func() bool {
		for _, n := range nodes {
			if n.at(revision).IsZero() {
				return false
			}
		}
		return true
	})
}

// measureCatchUp measures a follower that comes back after edits it has missed.
func measureCatchUp(r *recorder) error {
	c, err := newCluster(r.folder)
	if err != nil {
		return err
	}
	err = r.catchUps(c)
	if closed := c.close(); err == nil {
		err = closed
	}
	return err
}

func (r *recorder) catchUps(c *cluster) error {
	ctl, err := c.operator(c.addresses()...)
	if err != nil {
		return err
	}
	const services, vms = 10, 50
	if _, _, err := c.edit(ctl, 0, fleetDocument(services, vms, 10)); err != nil {
		return err
	}
	late, err := c.follower(ctl)
	if err != nil {
		return err
	}
	one, err := c.operator(c.members[late])
	if err != nil {
		return err
	}
	revision := model.Revision(1)
	for _, missed := range r.sizes.Missed {
		c.stops[late]()
		for range missed {
			if _, _, err := c.edit(ctl, revision, fleetDocument(services, vms, 10+int(revision)%500)); err != nil {
				return err
			}
			revision++
		}
		start := time.Now()
		if err := c.start(late, nil); err != nil {
			return err
		}
		err := await("catch-up", func() bool {
			status, err := one.Status(c.ctx)
			return err == nil && status.Current && status.Revision == revision
		})
		if err != nil {
			return err
		}
		r.point("catch-up", float64(missed), time.Since(start).Seconds())
	}
	return nil
}
