package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/greengagelock/greengagelock/internal/model"
)

// Parse reads a document and returns all of its problems at once, as Problems. file is the name
// of the document in messages.
func Parse(file string, text []byte) (*Document, error) {
	d := &decoder{file: file, text: text}
	if len(text) > MaxDocumentBytes {
		d.reportAt(0, "document", fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("at most %d bytes", MaxDocumentBytes))
		return nil, d.problems
	}
	root, err := hujson.Parse(text)
	if err != nil {
		d.syntax(err)
		return nil, d.problems
	}
	p := &parser{decoder: d, doc: &Document{Limits: Limits{SlotsPerTarget: MaxSlots, ConnectionsPerTarget: MaxConnections}}}
	p.document(&root)
	p.check()
	if len(d.problems) > 0 {
		return nil, d.sorted()
	}
	return p.doc, nil
}

var syntaxPosition = regexp.MustCompile(`line (\d+), column (\d+): (.*)`)

func (d *decoder) syntax(err error) {
	problem := Problem{File: d.file, Line: 1, Column: 1, Path: "document", Value: err.Error(), Expected: "JSON, comments allowed"}
	if m := syntaxPosition.FindStringSubmatch(err.Error()); m != nil {
		problem.Line, _ = strconv.Atoi(m[1])
		problem.Column, _ = strconv.Atoi(m[2])
		problem.Value = m[3]
	}
	d.problems = append(d.problems, problem)
}

// parser reads the parts of a document and keeps where they stand, for the checks across parts.
type parser struct {
	*decoder
	doc     *Document
	vms     []place
	rules   []place
	leaving []place
}

// place is the position of an entry in the document.
type place struct {
	path  string
	entry *hujson.Value // the whole entry
	name  *hujson.Value
	// address and selector belong to services only.
	address, selector *hujson.Value
}

func (p *parser) document(v *hujson.Value) {
	p.object(v, "", map[string]field{
		"inventory": p.inventory,
		"services":  func(v *hujson.Value, path string) { p.array(v, path, p.service) },
		"leaving":   func(v *hujson.Value, path string) { p.array(v, path, p.leavingName) },
		"limits":    p.limits,
	}, "inventory", "services")
}

func (p *parser) inventory(v *hujson.Value, path string) {
	p.object(v, path, map[string]field{
		"vms": func(v *hujson.Value, path string) { p.array(v, path, p.vm) },
	}, "vms")
}

func (p *parser) vm(v *hujson.Value, path string) {
	var vm VM
	at := place{path: path, entry: v}
	p.object(v, path, map[string]field{
		"name": func(v *hujson.Value, path string) {
			name, _ := p.name(v, path)
			vm.Name, at.name = model.VM(name), v
		},
		"zone":     func(v *hujson.Value, path string) { vm.Zone = model.AvailabilityZone(p.label(v, path)) },
		"customer": func(v *hujson.Value, path string) { vm.Customer = model.Customer(p.label(v, path)) },
		"labels":   func(v *hujson.Value, path string) { vm.Labels = p.labels(v, path) },
	}, "name", "zone", "customer")
	p.doc.VMs = append(p.doc.VMs, vm)
	p.vms = append(p.vms, at)
}

func (p *parser) service(v *hujson.Value, path string) {
	s := Service{MaxQueueWait: MaxQueueWait, Ramp: DefaultRamp}
	s.Silence = model.Silence{Idle: DefaultSilenceIdle, Interval: DefaultProbeInterval, Count: DefaultProbeCount}
	at := place{path: path, entry: v}
	silenceSet := false
	p.object(v, path, map[string]field{
		"name":     func(v *hujson.Value, path string) { s.Name, _ = p.name(v, path); at.name = v },
		"customer": func(v *hujson.Value, path string) { s.Customer = model.Customer(p.label(v, path)) },
		"address": func(v *hujson.Value, path string) {
			s.Address, _ = p.decoder.address(v, path)
			at.address = v
		},
		"class":          func(v *hujson.Value, path string) { s.Class = p.class(v, path) },
		"select":         func(v *hujson.Value, path string) { s.Select = p.selector(v, path); at.selector = v },
		"max_queue_wait": func(v *hujson.Value, path string) { s.MaxQueueWait = p.duration(v, path, 0, MaxQueueWait) },
		"ramp":           func(v *hujson.Value, path string) { s.Ramp = p.duration(v, path, 0, MaxRamp) },
		"drain_timeout":  func(v *hujson.Value, path string) { s.DrainTimeout = p.duration(v, path, 0, MaxDrainTimeout) },
		"silence":        func(v *hujson.Value, path string) { silenceSet = p.silence(v, path, &s.Silence) },
	}, "name", "customer", "address", "class", "select")
	if !silenceSet {
		s.Silence.Enabled = s.Class == model.ClassStream
	}
	p.doc.Services = append(p.doc.Services, s)
	p.rules = append(p.rules, at)
}

func (p *parser) class(v *hujson.Value, path string) model.FlowClass {
	literal, ok := v.Value.(hujson.Literal)
	if ok && literal.Kind() == '"' {
		switch literal.String() {
		case "stream":
			return model.ClassStream
		case "request":
			return model.ClassRequest
		}
	}
	p.report(v, path, `"stream" or "request"`)
	return model.ClassStream
}

// selector reads the labels that a service selects. An empty selector would select every VM of a
// customer, which is more often a slip than a wish.
func (p *parser) selector(v *hujson.Value, path string) map[string]string {
	labels := p.labels(v, path)
	if labels != nil && len(labels) == 0 {
		p.report(v, path, "at least one label")
	}
	return labels
}

// silence reports whether the document says if the check is enabled.
func (p *parser) silence(v *hujson.Value, path string, s *model.Silence) bool {
	set := false
	p.object(v, path, map[string]field{
		"enabled":  func(v *hujson.Value, path string) { s.Enabled, set = p.boolean(v, path), true },
		"idle":     func(v *hujson.Value, path string) { s.Idle = p.duration(v, path, MinSilenceIdle, MaxSilenceIdle) },
		"interval": func(v *hujson.Value, path string) { s.Interval = p.duration(v, path, MinProbePause, MaxProbePause) },
		"count":    func(v *hujson.Value, path string) { s.Count = p.integer(v, path, 1, MaxProbes) },
	})
	return set
}

func (p *parser) leavingName(v *hujson.Value, path string) {
	name, _ := p.text1(v, path, `"vm" or "vm/service"`)
	p.doc.Leaving = append(p.doc.Leaving, name)
	p.leaving = append(p.leaving, place{path: path, entry: v, name: v})
}

func (p *parser) limits(v *hujson.Value, path string) {
	p.object(v, path, map[string]field{
		"slots_per_target": func(v *hujson.Value, path string) {
			p.doc.Limits.SlotsPerTarget = p.integer(v, path, 1, MaxSlots)
		},
		"connections_per_target": func(v *hujson.Value, path string) {
			p.doc.Limits.ConnectionsPerTarget = p.integer(v, path, 1, MaxConnections)
		},
	})
}

// check finds the problems that involve more than one value.
func (p *parser) check() {
	p.checkVMs()
	p.checkServices()
	p.checkLeaving()
}

func (p *parser) checkVMs() {
	first := map[model.VM]int{}
	for i, vm := range p.doc.VMs {
		if vm.Name == "" {
			continue
		}
		if j, repeated := first[vm.Name]; repeated {
			p.report(p.vms[i].name, p.vms[i].path+".name", "a unique name; %s has it too", p.vms[j].path)
			continue
		}
		first[vm.Name] = i
	}
}

// labelKey finds the VMs of a customer that carry a label.
type labelKey struct {
	customer     model.Customer
	label, value string
}

// indexLabels spares comparing every service with every VM: 750 times 4,100 at the target size.
func (p *parser) indexLabels() map[labelKey][]*VM {
	index := map[labelKey][]*VM{}
	for i := range p.doc.VMs {
		vm := &p.doc.VMs[i]
		for label, value := range vm.Labels {
			key := labelKey{customer: vm.Customer, label: label, value: value}
			index[key] = append(index[key], vm)
		}
	}
	return index
}

func (p *parser) checkServices() {
	labels := p.indexLabels()
	names, addresses := map[string]int{}, map[netip.AddrPort]int{}
	for i := range p.doc.Services {
		s, at := &p.doc.Services[i], p.rules[i]
		if j, repeated := names[s.Name]; repeated && s.Name != "" {
			p.report(at.name, at.path+".name", "a unique name; %s has it too", p.rules[j].path)
		}
		if j, repeated := addresses[s.Address]; repeated && s.Address.IsValid() {
			p.report(at.address, at.path+".address", "a unique address; %s has it too", p.rules[j].path)
		}
		names[s.Name], addresses[s.Address] = i, i
		p.checkSelector(s, at, labels)
	}
}

func (p *parser) checkSelector(s *Service, at place, labels map[labelKey][]*VM) {
	if at.selector == nil || len(s.Select) == 0 {
		return
	}
	selected := 0
	for label, value := range s.Select {
		for _, vm := range labels[labelKey{customer: s.Customer, label: label, value: value}] {
			if s.Selects(vm) {
				selected++
			}
		}
		break // Selects compares the other labels
	}
	switch {
	case selected == 0:
		p.report(at.selector, at.path+".select", "labels of at least one VM of customer %q", s.Customer)
	case selected > model.MaxTargetsPerService:
		p.report(at.selector, at.path+".select", "at most %d VMs per service; this selects %d", model.MaxTargetsPerService, selected)
	}
}

func (p *parser) checkLeaving() {
	index := NewIndex(p.doc)
	seen := map[string]bool{}
	for i, name := range p.doc.Leaving {
		at := p.leaving[i]
		vm, service, isTarget := strings.Cut(name, "/")
		switch {
		case name == "":
		case seen[name]:
			p.report(at.name, at.path, "each name only once")
		case index.VM(model.VM(vm)) == nil:
			p.report(at.name, at.path, "a VM of the inventory")
		case isTarget && index.Service(service) == nil:
			p.report(at.name, at.path, "a service of the configuration after the slash")
		case isTarget && index.Refusal(model.VM(vm), service) != "":
			p.report(at.name, at.path, "a VM that the service selects")
		}
		seen[name] = true
	}
}

// SetLeaving returns the text of a document with names added to and removed from its leaving
// list. Comments and layout of the rest of the document are kept.
func SetLeaving(text []byte, add, remove []string) ([]byte, error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, err
	}
	list := leavingList(&root)
	if list == nil {
		return nil, Problems{{File: "document", Line: 1, Column: 1, Path: "leaving", Value: "another type", Expected: "an array"}}
	}
	list.Elements = slices.DeleteFunc(list.Elements, func(v hujson.Value) bool {
		literal, ok := v.Value.(hujson.Literal)
		return ok && literal.Kind() == '"' && (slices.Contains(remove, literal.String()) || slices.Contains(add, literal.String()))
	})
	for _, name := range add {
		list.Elements = append(list.Elements, hujson.Value{Value: hujson.String(name)})
	}
	return root.Pack(), nil
}

func leavingList(root *hujson.Value) *hujson.Array {
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		return nil
	}
	for i := range object.Members {
		if object.Members[i].Name.Value.(hujson.Literal).String() == "leaving" {
			list, _ := object.Members[i].Value.Value.(*hujson.Array)
			return list
		}
	}
	list := &hujson.Array{}
	object.Members = append(object.Members, hujson.ObjectMember{
		Name: hujson.Value{Value: hujson.String("leaving")}, Value: hujson.Value{Value: list},
	})
	return list
}
