package capacity

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/greengagelock/greengagelock/internal/config"
	"github.com/greengagelock/greengagelock/internal/model"
)

// Limits of a target in today's deployments.
const (
	slotsPerTarget = 5
	connsPerTarget = 2500
)

func serviceName(i int) string { return fmt.Sprintf("service-%03d", i) }

func vmName(i int) model.VM { return model.VM(fmt.Sprintf("vm-%04d", i)) }

func zoneName(i int) model.AvailabilityZone {
	return model.AvailabilityZone(fmt.Sprintf("region-%d-zone-%c", i%2+1, 'a'+rune(i%designZones)))
}

func serviceAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 7001)
}

func agentAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 20, byte(i >> 8), byte(i)}), 6081)
}

// targetsOf returns the number of targets for a number of services, at the ratio of the design size.
func targetsOf(services int) int {
	return (services*designTargets + designServices - 1) / designServices
}

func serviceAt(i int) model.Service {
	return model.Service{
		ID: model.ServiceID(i + 1), Generation: 1, Name: serviceName(i), Workspace: "andinas",
		Address: serviceAddress(i), Ramp: config.DefaultRamp, MaxQueueWait: config.MaxQueueWait,
		Silence: model.Silence{
			Enabled: true, Idle: config.DefaultSilenceIdle, Interval: config.DefaultProbeInterval, Count: config.DefaultProbeCount,
		},
	}
}

func targetAt(i, services int) model.Target {
	service := i % services
	return model.Target{
		ID: model.TargetID(i + 1), Name: config.TargetName(vmName(i), serviceName(service)), VM: vmName(i), Zone: zoneName(i),
		Service: model.ServiceID(service + 1), Agent: agentAddress(i), Slots: slotsPerTarget, MaxConns: connsPerTarget,
	}
}

// fleetView returns the view of a fleet. Equal strings do not share memory, as in a decoded view.
func fleetView(services, targets int) *model.View {
	v := model.NewView()
	v.Generation, v.Revision = 1, 1
	for i := range services {
		s := serviceAt(i)
		v.Services[s.ID] = s
	}
	for i := range targets {
		t := targetAt(i, services)
		v.Targets[t.ID] = t
	}
	return v
}

// lossDelta returns the delta that marks the first targets of a view as lost.
func lossDelta(v *model.View, lost int) *model.Delta {
	d := &model.Delta{From: v.Generation, To: v.Generation + 1, Revision: v.Revision}
	touched := map[model.ServiceID]bool{}
	for id := range model.TargetID(min(lost, len(v.Targets))) {
		t := v.Targets[id+1]
		t.State = model.TargetLost
		d.Targets = append(d.Targets, t)
		if !touched[t.Service] {
			touched[t.Service] = true
			s := v.Services[t.Service]
			s.Generation = d.To
			d.Services = append(d.Services, s)
		}
	}
	next := v.Clone()
	next.Apply(d)
	d.Digest = next.Digest()
	return d
}

// fleetDocument returns the configuration document of a fleet. The ramp of the first service is a
// parameter, in seconds, so that documents with different ramps differ in one service.
func fleetDocument(services, vms, ramp int) []byte {
	var inventory, rules []string
	for i := range vms {
		inventory = append(inventory, fmt.Sprintf(
			`{"name": %q, "zone": %q, "workspace": "andinas", "labels": {"for": %q}}`, vmName(i), zoneName(i), serviceName(i%services)))
	}
	for i := range services {
		seconds := 10
		if i == 0 {
			seconds = ramp
		}
		rules = append(rules, fmt.Sprintf(
			`{"name": %q, "workspace": "andinas", "address": %q, "class": "stream", "ramp": "%ds", "select": {"for": %q}}`,
			serviceName(i), serviceAddress(i), seconds, serviceName(i)))
	}
	return fmt.Appendf(nil, "{\n\"inventory\": {\"vms\": [%s]},\n\"services\": [%s]\n}\n",
		strings.Join(inventory, ",\n"), strings.Join(rules, ",\n"))
}
