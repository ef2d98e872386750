package main

import (
	"context"
	"fmt"
	"net/netip"
	"path/filepath"
	"time"

	"github.com/greengagelock/greengagelock/internal/config"
	"github.com/greengagelock/greengagelock/internal/daemon"
	"github.com/greengagelock/greengagelock/internal/jsonc"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/settings"
	"github.com/greengagelock/greengagelock/internal/standin"
)

const (
	// serviceTime is the time that a target takes for a request.
	serviceTime  = 60 * time.Millisecond
	lineInterval = 200 * time.Millisecond
	// maxConnections is the connection limit of every target in both deployments.
	maxConnections  = 2000
	shutdownTimeout = 15 * time.Second
)

// balancerNode is a balancer that has been started.
type balancerNode struct {
	name      string
	ingress   netip.AddrPort
	daemon    *daemon.Process
	component *component
}

// targetNode is a target that has been started, with an agent in front of it.
type targetNode struct {
	vm       config.VM
	services []string
	target   *standin.Target
}

// startDaemon runs a daemon as greengagelockd does, with a new certificate and the settings that all
// daemons share.
func (d *demo) startDaemon(phase int, s *settings.Settings) (*daemon.Process, *component, error) {
	files, err := d.authority.Issue(s.Roles[0], s.Name)
	if err != nil {
		return nil, nil, err
	}
	s.TLS = settings.TLS{Cert: files.Cert, Key: files.Key, CA: files.CA}
	s.InheritIdentity()
	s.FleetKey = d.fleetKey
	s.Telemetry.LogLevel = d.logLevel
	s.Telemetry.Trace.Exporter = "none"
	s.ShutdownTimeout = jsonc.Duration(shutdownTimeout)
	if d.telemetryURLs != nil {
		if s.Telemetry.Listen, err = d.addresses.NextTCP(); err != nil {
			return nil, nil, err
		}
		d.telemetryURLs[s.Name] = "http://" + s.Telemetry.Listen.String()
	}
	p, err := daemon.New(s)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	running := d.start(phase, s.Name, func(ctx context.Context) error {
		outcome, err := p.Run(ctx)
		if err == nil && outcome != daemon.OutcomeClean {
			err = fmt.Errorf("exit status %d", outcome)
		}
		return err
	})
	return p, running, nil
}

func (d *demo) startControllers() error {
	for i := range controllerCount {
		address, err := d.addresses.NextTCP()
		if err != nil {
			return err
		}
		d.controllers = append(d.controllers, settings.Peer{Name: fmt.Sprintf("control-%d", i+1), Address: address})
	}
	for _, c := range d.controllers {
		_, _, err := d.startDaemon(phaseControllers, &settings.Settings{
			Name: c.Name, VM: model.VM(c.Name), Roles: []model.Role{model.RoleController},
			Controller: &settings.Controller{
				Listen: c.Address, DataDir: filepath.Join(d.folder, c.Name), Members: d.controllers,
			},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) startBalancer(number int) error {
	ports, err := d.addresses.NextUDP(2)
	if err != nil {
		return err
	}
	b := &balancerNode{name: fmt.Sprintf("balancer-%d", number), ingress: ports[0]}
	b.daemon, b.component, err = d.startDaemon(phaseBalancers, &settings.Settings{
		Name: b.name, VM: model.VM(b.name), Roles: []model.Role{model.RoleBalancer}, Controllers: d.controllers,
		Balancer: &settings.Balancer{
			Ingress: settings.PacketConnection{Kind: settings.KindUDP, Listen: ports[0]}, Egress: ports[1],
		},
	})
	d.balancers = append(d.balancers, b)
	return err
}

// startTarget starts a target with an endpoint for every service that selects the VM, and its agent.
func (d *demo) startTarget(doc *config.Document, vm config.VM) error {
	var endpoints []standin.Endpoint
	var services []string
	for _, s := range doc.Services {
		if s.Selects(&vm) {
			endpoints = append(endpoints, standin.Endpoint{Service: s.Name, Address: s.Address})
			services = append(services, s.Name)
		}
	}
	slots := slotsOf(vm.Workspace)
	t, err := standin.NewTarget(standin.TargetConfig{
		Instance: string(vm.Name), Endpoints: endpoints, Slots: slots,
		ServiceTime: serviceTime, LineInterval: lineInterval, Ledger: d.ledger,
	})
	if err != nil {
		return err
	}
	ports, err := d.addresses.NextUDP(3)
	if err != nil {
		return err
	}
	t.SetAgent(ports[1])
	d.start(phaseTargets, "target "+string(vm.Name), t.Run)
	_, _, err = d.startDaemon(phaseAgents, &settings.Settings{
		Name: string(vm.Name), VM: vm.Name, Zone: vm.Zone, Roles: []model.Role{model.RoleAgent}, Controllers: d.controllers,
		Agent: &settings.Agent{
			Data:     ports[0],
			Target:   settings.PacketConnection{Kind: settings.KindUDP, Listen: ports[1], Peer: t.Addr()},
			Gateway:  settings.PacketConnection{Kind: settings.KindUDP, Listen: ports[2], Peer: d.fabric.GatewayAddr()},
			Services: services, Slots: slots, Connections: maxConnections,
			HealthURL: t.URL() + "/health", LoadURL: t.URL() + "/load",
		},
	})
	d.targets = append(d.targets, &targetNode{vm: vm, services: services, target: t})
	return err
}
