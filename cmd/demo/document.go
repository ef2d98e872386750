package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/tailscale/hujson"

	"github.com/greengagelock/greengagelock/examples"
	"github.com/greengagelock/greengagelock/internal/config"
	"github.com/greengagelock/greengagelock/internal/model"
)

// demoRamp replaces the ramps of the examples, which are longer than a run.
const demoRamp = "2s"

// document is a configuration document that the demo edits.
type document struct {
	Inventory struct {
		VMs []vmEntry `json:"vms"`
	} `json:"inventory"`
	Services []map[string]any `json:"services"`
	Leaving  []string         `json:"leaving"`
	Limits   map[string]int   `json:"limits"`
}

type vmEntry struct {
	Name      string            `json:"name"`
	Zone      string            `json:"zone"`
	Workspace string            `json:"workspace"`
	Labels    map[string]string `json:"labels"`
}

// deployment is the folder of an example and the number of slots of each of its targets.
type deployment struct {
	folder string
	slots  int
}

var deployments = []deployment{{examples.MigracionesAndinas, 2}, {examples.BaenatimiLabs, 5}}

// readDocuments returns one document with the VMs, services and limits of both deployments.
func readDocuments() (*document, error) {
	all := &document{Leaving: []string{}, Limits: map[string]int{}}
	for _, d := range deployments {
		one, err := readDocument(d.folder)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", d.folder, err)
		}
		all.Inventory.VMs = append(all.Inventory.VMs, one.Inventory.VMs...)
		all.Services = append(all.Services, one.Services...)
		for name, limit := range one.Limits {
			all.Limits[name] = max(all.Limits[name], limit)
		}
	}
	for _, s := range all.Services {
		s["ramp"] = demoRamp
	}
	return all, nil
}

func readDocument(folder string) (*document, error) {
	text, err := examples.Configuration(folder)
	if err != nil {
		return nil, err
	}
	if text, err = hujson.Standardize(text); err != nil {
		return nil, err
	}
	d := &document{}
	return d, json.Unmarshal(text, d)
}

// text returns the document as JSON, as an operator applies it.
func (d *document) text() ([]byte, error) { return json.MarshalIndent(d, "", "\t") }

// parse returns the document as the controllers parse it.
func (d *document) parse() (*config.Document, error) {
	text, err := d.text()
	if err != nil {
		return nil, err
	}
	return config.Parse("demo.json", text)
}

// addVM adds a VM that copies the inventory entry of template.
func (d *document) addVM(template, name string) error {
	i := slices.IndexFunc(d.Inventory.VMs, func(v vmEntry) bool { return v.Name == template })
	if i < 0 {
		return fmt.Errorf("no VM %q in the inventory", template)
	}
	added := d.Inventory.VMs[i]
	added.Name, added.Labels = name, maps.Clone(added.Labels)
	d.Inventory.VMs = append(d.Inventory.VMs, added)
	return nil
}

// setServiceField sets one field of a service.
func (d *document) setServiceField(service, key string, value any) error {
	for _, s := range d.Services {
		if s["name"] == service {
			s[key] = value
			return nil
		}
	}
	return fmt.Errorf("no service %q in the document", service)
}

// slotsOf returns the number of slots of each target of a workspace.
func slotsOf(workspace model.Workspace) int {
	for _, d := range deployments {
		if d.folder == string(workspace) {
			return d.slots
		}
	}
	return 0
}
