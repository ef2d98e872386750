package daemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"

	"github.com/greengagelock/greengagelock/internal/agent"
	"github.com/greengagelock/greengagelock/internal/balancer"
	"github.com/greengagelock/greengagelock/internal/controller"
	"github.com/greengagelock/greengagelock/internal/fabric"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/node"
	"github.com/greengagelock/greengagelock/internal/rpc"
	"github.com/greengagelock/greengagelock/internal/settings"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

var errNoView = errors.New("no view received from a controller yet")

var controllerRole = fx.Module("controller role",
	provideTelemetryHandle(model.RoleController),
	fx.Provide(controllerConfig, fx.Private),
	controller.Module,
	fx.Invoke(func(lc fx.Lifecycle, p *Process, c *controller.Controller) {
		p.addComponent(lc, "controller", c.Run)
	}),
)

func controllerConfig(s *settings.Settings) controller.Config {
	members := map[string]string{}
	for _, m := range s.Controller.Members {
		members[m.Name] = m.Address.String()
	}
	return controller.Config{
		Name: s.Controller.Name, Members: members, Listen: s.Controller.Listen.String(), DataDir: s.Controller.DataDir,
		TLS: tlsFiles(s.Controller.Identity),
	}
}

var balancerRole = fx.Module("balancer role",
	provideTelemetryHandle(model.RoleBalancer),
	fx.Provide(balancerConfig, fx.Private),
	balancer.Module,
	fx.Invoke(startBalancer),
)

func balancerConfig(s *settings.Settings) (balancer.Config, error) {
	ingress, err := openPacketConnection(s.Balancer.Ingress)
	if err != nil {
		return balancer.Config{}, err
	}
	egress, err := fabric.ListenUDP(s.Balancer.Egress)
	if err != nil {
		return balancer.Config{}, errors.CombineErrors(err, ingress.Close())
	}
	return balancer.Config{
		Name: s.Balancer.Name, VM: s.VM, Zone: s.Zone, Incarnation: incarnation(), FleetKey: s.FleetKey,
		Ingress: ingress, Egress: egress, SampleOneIn: sampleOneIn(s.Telemetry.Trace),
	}, nil
}

func startBalancer(lc fx.Lifecycle, p *Process, t *telemetry.Telemetry, h telemetry.Handle, b *balancer.Balancer) error {
	p.balancerView = &viewTracker{Handler: b}
	session, err := node.New(sessionConfig(p.settings, model.RoleBalancer, p.settings.Balancer.Identity), p.balancerView, h)
	if err != nil {
		return err
	}
	b.SetControlAge(session.ControlAge)
	t.Readiness.Add("balancer", viewCheck(session))
	p.addComponent(lc, "balancer", b.Run)
	p.addComponent(lc, "session of the balancer", session.Run)
	return nil
}

var agentRole = fx.Module("agent role",
	provideTelemetryHandle(model.RoleAgent),
	fx.Provide(agentConfig, fx.Private),
	agent.Module,
	fx.Invoke(startAgent),
)

func agentConfig(s *settings.Settings) (cfg agent.Config, err error) {
	var opened []fabric.Conn
	defer func() {
		for _, conn := range opened {
			if err != nil {
				_ = conn.Close()
			}
		}
	}()
	data := settings.PacketConnection{Kind: settings.KindUDP, Listen: s.Agent.Data}
	for _, c := range []settings.PacketConnection{data, s.Agent.Target, s.Agent.Gateway} {
		conn, err := openPacketConnection(c)
		if err != nil {
			return cfg, err
		}
		opened = append(opened, conn)
	}
	return agent.Config{
		Name: s.Agent.Name, VM: s.VM, Zone: s.Zone, Incarnation: incarnation(), FleetKey: s.FleetKey,
		Data: opened[0], Advertise: s.Agent.Data,
		Target: opened[1], TargetAddr: s.Agent.Target.Peer,
		Outbound: opened[2], Gateway: s.Agent.Gateway.Peer,
		Services: s.Agent.Services, Slots: s.Agent.Slots, MaxConns: s.Agent.Connections,
		HealthURL: s.Agent.HealthURL, LoadURL: s.Agent.LoadURL,
		Extend: Extend, SampleOneIn: sampleOneIn(s.Telemetry.Trace),
	}, nil
}

func startAgent(lc fx.Lifecycle, p *Process, t *telemetry.Telemetry, h telemetry.Handle, a *agent.Agent) error {
	tracker := &viewTracker{Handler: a}
	session, err := node.New(sessionConfig(p.settings, model.RoleAgent, p.settings.Agent.Identity), tracker, h)
	if err != nil {
		return err
	}
	a.SetControlAge(session.ControlAge)
	d := &drainer{agent: a, session: session, address: p.settings.Agent.Data, viewTracker: tracker, process: p}
	t.Readiness.Add("agent", viewCheck(session))
	p.addComponent(lc, "agent", a.Run)
	p.addComponent(lc, "session of the agent", session.Run)
	lc.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		d.drain(ctx)
		return nil
	}})
	return nil
}

// viewCheck returns a readiness check that fails until the session has received its first view.
func viewCheck(s *node.Session) func() error {
	return func() error {
		if s.Generation() == 0 {
			return errNoView
		}
		return nil
	}
}

func sessionConfig(s *settings.Settings, role model.Role, identity settings.Identity) node.Config {
	var controllers []string
	for _, c := range s.Controllers {
		controllers = append(controllers, c.Address.String())
	}
	return node.Config{Name: identity.Name, Role: role, Controllers: controllers, TLS: tlsFiles(identity)}
}

func tlsFiles(identity settings.Identity) rpc.TLSFiles {
	return rpc.TLSFiles{Cert: identity.TLS.Cert, Key: identity.TLS.Key, CA: identity.TLS.CA}
}

// incarnation distinguishes successive processes that run under the same name: it is the start time in
// Unix nanoseconds.
func incarnation() uint64 { return uint64(time.Now().UnixNano()) }

// openPacketConnection opens a TUN device or a UDP socket, as the settings of the connection say.
func openPacketConnection(p settings.PacketConnection) (fabric.Conn, error) {
	if p.Kind == settings.KindTUN {
		return fabric.OpenTUN(fabric.TUNConfig{Name: p.Device})
	}
	return fabric.ListenUDP(netip.AddrPortFrom(p.Listen.Addr().Unmap(), p.Listen.Port()))
}
