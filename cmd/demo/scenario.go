package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/greengagelock/greengagelock/internal/config"
	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/standin"
)

const (
	controllerCount = 3
	balancerCount   = 3
	callerCount     = 4

	// stepPause is the time between two changes, in which the traffic shows the effect of the first.
	stepPause = 4 * time.Second
	// leavingGrace is the time after a drain from which the leaving target must receive no new flow.
	leavingGrace = 5 * time.Second
	// inForceTimeout bounds the wait until an edit is in force. It should take at most 4 s.
	inForceTimeout = 20 * time.Second
	pollInterval   = 10 * time.Millisecond
	// settleTime gives late packets of refused requests the time to reach a target, which would be a fault.
	settleTime = 2 * time.Second
)

// runScenario changes the deployment under traffic. Every change is a planned one, so no flow may break.
func (d *demo) runScenario(ctx context.Context) error {
	if err := d.setUp(ctx); err != nil {
		return err
	}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.workload.run(traffic)
	}()
	go d.imbalance.sample(traffic, slices.Clone(d.targets), d.workload.loads)
	ctxtime.Sleep(ctx, stepPause)
	err := d.makeChanges(ctx)
	stop()
	<-done
	ctxtime.Sleep(ctx, settleTime)
	d.countBrokenAtTargets()
	return err
}

// countBrokenAtTargets counts the flows that the targets saw end otherwise than by the protocol.
func (d *demo) countBrokenAtTargets() {
	for _, l := range d.workload.loads {
		for _, t := range d.targets {
			l.brokenAtTarget += t.target.Stats(l.Service).Failed
		}
	}
}

// setUp starts all components, applies the configuration and waits until all targets take flows.
func (d *demo) setUp(ctx context.Context) error {
	doc, err := d.document.parse()
	if err != nil {
		return err
	}
	if err := d.startControllers(); err != nil {
		return err
	}
	if err := d.connectOperator(); err != nil {
		return err
	}
	if err := d.startTraffic(doc); err != nil {
		return err
	}
	for i := range balancerCount {
		if err := d.startBalancer(i + 1); err != nil {
			return err
		}
	}
	d.setBalancers(d.balancers)
	if err := d.apply(ctx, "the configuration of both deployments"); err != nil {
		return err
	}
	for _, vm := range doc.VMs {
		if err := d.startTarget(doc, vm); err != nil {
			return err
		}
	}
	return d.awaitTargets(ctx, doc)
}

// startTraffic starts the fabric and the callers, and sets up the load of each service without starting it.
func (d *demo) startTraffic(doc *config.Document) (err error) {
	if d.fabric, err = standin.NewFabric(standin.FabricConfig{Seed: d.seed}); err != nil {
		return err
	}
	d.start(phaseNetwork, "fabric", d.fabric.Run)
	d.workload.traffic = d.traffic
	for i := range callerCount {
		c, err := standin.NewCaller(standin.CallerConfig{
			Addresses: []netip.Addr{netip.AddrFrom4([4]byte{198, 51, 100, byte(i + 1)})}, Fabric: d.fabric.CallerAddr(),
		})
		if err != nil {
			return err
		}
		d.start(phaseNetwork, fmt.Sprintf("caller %d", i+1), c.Run)
		d.workload.callers = append(d.workload.callers, c)
	}
	for i := range doc.Services {
		s := &doc.Services[i]
		l := &serviceLoad{
			Endpoint: standin.Endpoint{Service: s.Name, Address: s.Address}, class: s.Class, reasons: map[string]int{},
		}
		for j := range doc.VMs {
			if s.Selects(&doc.VMs[j]) {
				l.slots += slotsOf(s.Workspace)
			}
		}
		d.workload.loads = append(d.workload.loads, l)
	}
	return nil
}

// makeChanges makes the planned changes one after the other.
func (d *demo) makeChanges(ctx context.Context) error {
	steps := []func(context.Context) error{d.addTarget, d.drainTarget, d.stopBalancer, d.changeQueueWait}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
		ctxtime.Sleep(ctx, stepPause)
	}
	return d.countLateFlows()
}

func (d *demo) addTarget(ctx context.Context) error {
	const template, name = "execution-1", "execution-8"
	if err := d.document.addVM(template, name); err != nil {
		return err
	}
	doc, err := d.document.parse()
	if err != nil {
		return err
	}
	// The target announces itself before it is in the inventory.
	if err := d.startTarget(doc, doc.VMs[len(doc.VMs)-1]); err != nil {
		return err
	}
	if err := d.apply(ctx, "the inventory with target "+name); err != nil {
		return err
	}
	return d.awaitTargets(ctx, doc)
}

func (d *demo) drainTarget(ctx context.Context) error {
	const name = "notice-2"
	d.leavingTarget = d.targets[slices.IndexFunc(d.targets, func(t *targetNode) bool { return t.vm.Name == name })]
	d.imbalance.exclude(d.leavingTarget)
	err := d.edit(ctx, "the drain of "+name, func(base model.Revision, id string) (*operator.EditReply, error) {
		return d.operator.Drain(ctx, operator.Edit{Base: base, CommandID: id, Names: []string{name}})
	})
	d.document.Leaving = append(d.document.Leaving, name)
	d.leavingDeadline = time.Now().Add(leavingGrace)
	time.AfterFunc(leavingGrace, func() { d.acceptedAtDeadline.Store(d.leavingTarget.accepted()) })
	return err
}

func (d *demo) stopBalancer(context.Context) error {
	stopped := d.balancers[0]
	d.balancers = d.balancers[1:]
	d.setBalancers(d.balancers)
	d.printLine("stopping %s", stopped.name)
	return stopped.component.stop()
}

func (d *demo) changeQueueWait(ctx context.Context) error {
	if err := d.document.setServiceField("calendar", "max_queue_wait", "400ms"); err != nil {
		return err
	}
	return d.apply(ctx, "a changed rule for calendar")
}

// countLateFlows counts the flows that the leaving target has accepted since leavingDeadline. It runs at
// least 1 s after it.
func (d *demo) countLateFlows() error {
	time.Sleep(time.Until(d.leavingDeadline.Add(time.Second)))
	d.lateFlows = d.leavingTarget.accepted() - d.acceptedAtDeadline.Load()
	return nil
}

// accepted returns the number of flows that the target has accepted, over all its services.
func (t *targetNode) accepted() int64 {
	total := int64(0)
	for _, s := range t.services {
		total += t.target.Stats(s).Accepted
	}
	return total
}

func (t *targetNode) offers(service string) bool { return slices.Contains(t.services, service) }

// setBalancers makes the fabric spread packets over the given balancers.
func (d *demo) setBalancers(balancers []*balancerNode) {
	var ingress []netip.AddrPort
	for _, b := range balancers {
		ingress = append(ingress, b.ingress)
	}
	d.fabric.SetBalancers(ingress...)
}

// apply applies the document as a new revision and waits until it is in force.
func (d *demo) apply(ctx context.Context, what string) error {
	text, err := d.document.text()
	if err != nil {
		return err
	}
	return d.edit(ctx, what, func(base model.Revision, id string) (*operator.EditReply, error) {
		return d.operator.Apply(ctx, operator.Edit{Base: base, CommandID: id, File: "demo.json", Document: text})
	})
}

// edit sends an edit and measures the time until it is in force on every balancer.
func (d *demo) edit(ctx context.Context, what string, send func(model.Revision, string) (*operator.EditReply, error)) error {
	startTime := time.Now()
	id := operator.NewCommandID()
	reply, err := send(d.revision, id)
	if err != nil {
		return fmt.Errorf("%s: %w", what, err)
	}
	if reply.Result.Code != result.OK {
		return fmt.Errorf("%s: %v %s %v", what, reply.Result.Code, reply.Result.Message, reply.Problems)
	}
	d.revision = reply.Result.Revision
	if err := d.waitUntil(ctx, func() bool {
		for _, b := range d.balancers {
			if b.daemon.BalancerView().Revision < d.revision {
				return false
			}
		}
		return true
	}); err != nil {
		return fmt.Errorf("%s is not in force on every balancer: %w", what, err)
	}
	seconds := time.Since(startTime).Seconds()
	d.maxInForceSeconds = max(d.maxInForceSeconds, seconds)
	d.printLine("%s is in force on every balancer as revision %d after %.2f s", what, d.revision, seconds)
	return nil
}

// awaitTargets waits until every balancer has a view in which all targets that the document selects take
// new flows.
func (d *demo) awaitTargets(ctx context.Context, doc *config.Document) error {
	want := 0
	for i := range doc.Services {
		for j := range doc.VMs {
			if doc.Services[i].Selects(&doc.VMs[j]) {
				want++
			}
		}
	}
	err := d.waitUntil(ctx, func() bool {
		for _, b := range d.balancers {
			if b.daemon.BalancerView().CountAdmitting() < want {
				return false
			}
		}
		return true
	})
	if err == nil {
		d.printLine("%d targets take flows at every balancer", want)
	}
	return err
}

// waitUntil polls done for at most inForceTimeout. Its error includes that of a component that has failed.
func (d *demo) waitUntil(ctx context.Context, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	for !done() {
		ctxtime.Sleep(ctx, pollInterval)
		if ctx.Err() != nil {
			return errors.Join(ctx.Err(), d.failure())
		}
	}
	return nil
}
