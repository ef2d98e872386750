// Package config parses and checks the configuration document: the inventory of VMs from the asset register,
// and the services with the selectors of their targets. It also computes the effects of an edit, and which of
// them an operator has to acknowledge.
package config

import (
	"net/netip"
	"time"

	"github.com/greengagelock/greengagelock/internal/model"
)

// Limits of the values in a document.
const (
	// MaxDocumentBytes is enough for an inventory of 10,000 VMs.
	MaxDocumentBytes = 4 << 20
	// MaxQueueWait is below the initial TCP retransmission timeout of 1 s, so that a queued SYN
	// and its retransmission do not race.
	MaxQueueWait            = 500 * time.Millisecond
	MaxRamp                 = 10 * time.Minute
	MaxDrainTimeout         = 24 * time.Hour
	MinSilenceIdle          = time.Second
	MaxSilenceIdle          = time.Hour
	MinProbeInterval        = time.Second
	MaxProbeInterval        = time.Minute
	MaxProbeCount           = 10
	MaxSlotsPerTarget       = 1024
	MaxConnectionsPerTarget = 65536
)

// Defaults of optional values in a document.
const (
	DefaultRamp          = 10 * time.Second
	DefaultSilenceIdle   = 30 * time.Second
	DefaultProbeInterval = 5 * time.Second
	DefaultProbeCount    = 3
)

// Document is a parsed and checked configuration.
type Document struct {
	VMs      []VM
	Services []Service
	// Leaving holds the names of VMs and targets ("vm/service") to drain: they admit no new flows.
	Leaving []string
	Limits  Limits
}

// VM is an entry of the inventory.
type VM struct {
	Name      model.VM
	Zone      model.AvailabilityZone
	Workspace model.Workspace
	Labels    map[string]string
}

// Service is the configuration of one service: its address, its policy, and the selector of its targets.
type Service struct {
	Name         string
	Workspace    model.Workspace
	Address      netip.AddrPort
	Class        model.FlowClass
	Select       map[string]string
	MaxQueueWait time.Duration
	Ramp         time.Duration
	DrainTimeout time.Duration
	Silence      model.Silence
}

// Limits caps the capacity that a target may announce.
type Limits struct {
	SlotsPerTarget       int
	ConnectionsPerTarget int
}

// TargetName is the name of the endpoint that a VM offers for a service.
func TargetName(vm model.VM, service string) string {
	return string(vm) + "/" + service
}

// Selects reports whether a VM may serve the service: it belongs to the same workspace and has all labels of
// the selector.
func (s *Service) Selects(vm *VM) bool {
	if vm.Workspace != s.Workspace {
		return false
	}
	for label, value := range s.Select {
		if got, ok := vm.Labels[label]; !ok || got != value {
			return false
		}
	}
	return true
}

// Index looks up the entries of a document by name.
type Index struct {
	Document *Document
	vms      map[model.VM]*VM
	services map[string]*Service
	leaving  map[string]bool
	labels   map[labelKey][]*VM
}

// NewIndex returns the index of a document. The document must not be changed afterwards.
func NewIndex(d *Document) *Index {
	x := &Index{Document: d, vms: map[model.VM]*VM{}, services: map[string]*Service{}, leaving: map[string]bool{}, labels: indexLabels(d)}
	for i := range d.VMs {
		x.vms[d.VMs[i].Name] = &d.VMs[i]
	}
	for i := range d.Services {
		x.services[d.Services[i].Name] = &d.Services[i]
	}
	for _, name := range d.Leaving {
		x.leaving[name] = true
	}
	return x
}

// VM returns the inventory entry of a VM, or nil.
func (x *Index) VM(name model.VM) *VM { return x.vms[name] }

// Service returns the configuration of a service, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Leaving reports whether the document lists a target or its VM as leaving.
func (x *Index) Leaving(vm model.VM, service string) bool {
	return x.leaving[string(vm)] || x.leaving[TargetName(vm, service)]
}

// CountSelected returns the number of VMs that may serve a service and are not leaving.
func (x *Index) CountSelected(service string) int {
	rule := x.services[service]
	if rule == nil {
		return 0
	}
	count := 0
	for _, vm := range selectedVMs(rule, x.labels) {
		if !x.Leaving(vm.Name, service) {
			count++
		}
	}
	return count
}

// DisallowedReason returns why the document does not allow a VM to serve a service, or "" if it allows it.
func (x *Index) DisallowedReason(vm model.VM, service string) string {
	entry, rule := x.vms[vm], x.services[service]
	switch {
	case entry == nil:
		return "the VM is not in the inventory"
	case rule == nil:
		return "the service is not in the configuration"
	case entry.Workspace != rule.Workspace:
		return "the VM belongs to another workspace than the service"
	case !rule.Selects(entry):
		return "the labels of the VM do not match the selector of the service"
	}
	return ""
}
