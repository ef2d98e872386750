package config

import (
	"net/netip"
	"strings"

	"github.com/greengagelock/greengagelock/internal/jsonc"
	"github.com/greengagelock/greengagelock/internal/model"
)

// checker checks a decoded document and adds its problems to those that decoding found.
type checker struct {
	*jsonc.Document
	doc *Document
}

func vmPath(i int) string { return jsonc.Index("inventory.vms", i) }

func servicePath(i int) string { return jsonc.Index("services", i) }

// check reports missing values, and problems that involve more than one value.
func (c *checker) check() {
	c.checkRequired()
	c.checkVMs()
	c.checkServices()
	c.checkLeaving()
}

func (c *checker) checkRequired() {
	c.require("", "inventory", "services")
	c.require("inventory", "vms")
	for i := range c.doc.VMs {
		c.require(vmPath(i), "name", "zone", "workspace")
	}
	for i := range c.doc.Services {
		c.require(servicePath(i), "name", "workspace", "address", "class", "select")
	}
}

// require reports the keys that the object at path lacks. It does nothing if the value at path is not an
// object, since decoding has already reported that.
func (c *checker) require(path string, keys ...string) {
	if c.Kind(path) != '{' {
		return
	}
	for _, key := range keys {
		if at := jsonc.Key(path, key); !c.Has(at) {
			c.Report(at, "a value for the key %q", key)
		}
	}
}

func (c *checker) checkVMs() {
	first := map[model.VM]int{}
	for i, vm := range c.doc.VMs {
		if vm.Name == "" {
			continue
		}
		if j, repeated := first[vm.Name]; repeated {
			c.Report(jsonc.Key(vmPath(i), "name"), "a unique name; %s has it too", vmPath(j))
			continue
		}
		first[vm.Name] = i
	}
}

// labelKey identifies a label with its value in a workspace.
type labelKey struct {
	workspace    model.Workspace
	label, value string
}

// indexLabels returns the VMs by workspace and label. Comparing every service with every VM instead would take
// about 3 million comparisons for 750 services and 4,100 VMs.
func indexLabels(d *Document) map[labelKey][]*VM {
	index := map[labelKey][]*VM{}
	for i := range d.VMs {
		vm := &d.VMs[i]
		for label, value := range vm.Labels {
			key := labelKey{workspace: vm.Workspace, label: label, value: value}
			index[key] = append(index[key], vm)
		}
	}
	return index
}

// selectedVMs returns the VMs that a service selects. It returns none for an empty selector, which is not
// valid.
func selectedVMs(s *Service, labels map[labelKey][]*VM) []*VM {
	var selected []*VM
	for label, value := range s.Select {
		for _, vm := range labels[labelKey{workspace: s.Workspace, label: label, value: value}] {
			if s.Selects(vm) {
				selected = append(selected, vm)
			}
		}
		break // one label is enough to find candidates; Selects compares them all
	}
	return selected
}

func (c *checker) checkServices() {
	labels := indexLabels(c.doc)
	names, addresses := map[string]int{}, map[netip.AddrPort]int{}
	for i := range c.doc.Services {
		s, path := &c.doc.Services[i], servicePath(i)
		if j, repeated := names[s.Name]; repeated && s.Name != "" {
			c.Report(jsonc.Key(path, "name"), "a unique name; %s has it too", servicePath(j))
		}
		if j, repeated := addresses[s.Address]; repeated && s.Address.IsValid() {
			c.Report(jsonc.Key(path, "address"), "a unique address; %s has it too", servicePath(j))
		}
		names[s.Name], addresses[s.Address] = i, i
		c.checkSelector(s, path, labels)
	}
}

func (c *checker) checkSelector(s *Service, path string, labels map[labelKey][]*VM) {
	at := jsonc.Key(path, "select")
	if len(s.Select) == 0 {
		// An empty selector would select every VM of a workspace, which is more likely a mistake than intended.
		if c.Kind(at) == '{' {
			c.Report(at, "at least one label")
		}
		return
	}
	selected := len(selectedVMs(s, labels))
	switch {
	case selected == 0:
		c.Report(at, "labels of at least one VM of workspace %q", s.Workspace)
	case selected > model.MaxTargetsPerService:
		c.Report(at, "at most %d VMs per service; this selects %d", model.MaxTargetsPerService, selected)
	}
}

func (c *checker) checkLeaving() {
	index := NewIndex(c.doc)
	seen := map[string]bool{}
	for i, name := range c.doc.Leaving {
		path := jsonc.Index("leaving", i)
		vm, service, isTarget := strings.Cut(name, "/")
		switch {
		case name == "":
		case seen[name]:
			c.Report(path, "each name only once")
		case index.VM(model.VM(vm)) == nil:
			c.Report(path, "a VM of the inventory")
		case isTarget && index.Service(service) == nil:
			c.Report(path, "a service of the configuration after the slash")
		case isTarget && index.DisallowedReason(model.VM(vm), service) != "":
			c.Report(path, "a VM that the service selects")
		}
		seen[name] = true
	}
}
