package catalog

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/greengagelock/greengagelock/internal/config"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/result"
)

// configure runs a command that changes the configuration, once per command ID.
func (c *Catalog) configure(index uint64, cmd *Command) Result {
	if cmd.ID == "" {
		return c.refuse(cmd, result.ConfigInvalid, "the command has no ID")
	}
	text, err := Decompress(cmd.Document)
	if cmd.Kind == KindApply && err != nil {
		text = nil
	}
	fingerprint := cmd.fingerprint(text)
	if first, ok := c.results[cmd.ID]; ok {
		if first.Fingerprint != fingerprint {
			return c.refuse(cmd, result.RevisionConflict, "the command ID was used for another command before")
		}
		return first.Result
	}
	r := c.decide(index, cmd, text)
	if len(r.Message) > maxMessage {
		r.Message = r.Message[:maxMessage]
	}
	c.keep(r, fingerprint)
	return r
}

func (c *Catalog) refuse(cmd *Command, code result.Code, format string, args ...any) Result {
	return Result{
		CommandID: cmd.ID, Code: code, Message: fmt.Sprintf(format, args...),
		Revision: c.history.revision(), Generation: c.view.Generation,
	}
}

func (c *Catalog) keep(r Result, fingerprint uint64) {
	c.results[r.CommandID] = storedResult{Result: r, Fingerprint: fingerprint}
	c.order = append(c.order, r.CommandID)
	if len(c.order) > MaxResults {
		delete(c.results, c.order[0])
		c.order = slices.Clone(c.order[1:])
	}
}

func (c *Catalog) decide(index uint64, cmd *Command, text []byte) Result {
	if cmd.Base != c.history.revision() {
		return c.refuse(cmd, result.RevisionConflict,
			"the edit is based on revision %d, the current one is %d", cmd.Base, c.history.revision())
	}
	text, refused := c.document(cmd, text)
	if refused != nil {
		return *refused
	}
	doc, effects, err := c.Evaluate("configuration", text)
	if err != nil {
		return c.refuse(cmd, result.ConfigInvalid, "%s", err.Error())
	}
	if missing := config.Missing(effects, cmd.Acknowledged); len(missing) > 0 {
		r := c.refuse(cmd, result.AcknowledgeRequired, "the edit needs the acknowledgements %s", strings.Join(missing, ", "))
		r.Missing = missing
		return r
	}
	return c.accept(model.Generation(index), cmd, text, doc)
}

// document returns the text that a command puts in force.
func (c *Catalog) document(cmd *Command, text []byte) ([]byte, *Result) {
	refuse := func(code result.Code, format string, args ...any) *Result {
		r := c.refuse(cmd, code, format, args...)
		return &r
	}
	switch cmd.Kind {
	case KindApply:
		return text, nil
	case KindRollback:
		old, ok := c.history.text(cmd.Revision)
		if !ok {
			return nil, refuse(result.RevisionNotFound, "revision %d is not kept", cmd.Revision)
		}
		return old, nil
	case KindDrain, KindUndrain:
		if name := c.unknownName(cmd.Names); name != "" {
			return nil, refuse(result.TargetNotFound, "%q is neither a VM nor a target of the configuration", name)
		}
		edited, err := c.leavingText(cmd)
		if err != nil {
			return nil, refuse(result.ConfigInvalid, "%s", err.Error())
		}
		return edited, nil
	}
	return nil, refuse(result.Internal, "command kind %d is unknown", cmd.Kind)
}

func (c *Catalog) leavingText(cmd *Command) ([]byte, error) {
	if cmd.Kind == KindDrain {
		return config.SetLeaving(c.history.Text, cmd.Names, nil)
	}
	return config.SetLeaving(c.history.Text, nil, cmd.Names)
}

func (c *Catalog) unknownName(names []string) string {
	for _, name := range names {
		vm, service, isTarget := strings.Cut(name, "/")
		if c.index.VM(model.VM(vm)) == nil || (isTarget && c.index.Refusal(model.VM(vm), service) != "") {
			return name
		}
	}
	return ""
}

// LeavingText returns the document that a drain or undrain of the names would put in force.
func (c *Catalog) LeavingText(kind Kind, names []string) ([]byte, error) {
	text, refused := c.document(&Command{Kind: kind, Names: names}, nil)
	if refused != nil {
		return nil, refused.Err()
	}
	return text, nil
}

// Evaluate checks a document against the current state and returns what it would change. The
// number of open flows is not known here, see config.KnownTarget.
func (c *Catalog) Evaluate(file string, text []byte) (*config.Document, []config.Effect, error) {
	return c.EvaluateWithFlows(file, text, nil)
}

// EvaluateWithFlows is Evaluate with the number of open flows per target in the effects.
func (c *Catalog) EvaluateWithFlows(file string, text []byte, flows map[model.TargetID]int) (*config.Document, []config.Effect, error) {
	doc, err := config.Parse(file, text)
	if err != nil {
		return nil, nil, err
	}
	return doc, config.Plan(c.index.Document, doc, c.knownTargets(flows), c.holders()), nil
}

func (c *Catalog) knownTargets(flows map[model.TargetID]int) []config.KnownTarget {
	known := make([]config.KnownTarget, 0, len(c.targets))
	for _, id := range slices.Sorted(maps.Keys(c.targets)) {
		t := c.targets[id]
		known = append(known, config.KnownTarget{
			VM: t.Registration.VM, Service: t.Registration.Service,
			Admitting: c.view.Targets[id].State == model.TargetActive,
			Leaving:   t.DrainingSince != 0, OpenFlows: flows[id],
		})
	}
	return known
}

func (c *Catalog) accept(generation model.Generation, cmd *Command, text []byte, doc *config.Document) Result {
	revision := c.history.revision() + 1
	info := RevisionInfo{
		Revision: revision, CommandID: cmd.ID, Kind: cmd.Kind, Author: cmd.Author, Time: cmd.Time, Generation: generation,
	}
	if cmd.Kind == KindRollback {
		info.Source = cmd.Revision
	}
	c.history.add(info, text)
	c.index = config.NewIndex(doc)
	c.dirty.config = true
	c.placeServices()
	c.review(generation)
	c.publish(generation)
	return Result{CommandID: cmd.ID, Revision: revision, Generation: generation}
}

// placeServices brings the services in line with the document. A service that is gone waits for
// its flows unless another one takes its address; one that comes back before that goes on under
// its number.
func (c *Catalog) placeServices() {
	var retiring []*service
	for _, id := range slices.Sorted(maps.Keys(c.services)) {
		s := c.services[id]
		if !s.Retiring && c.index.Service(s.Model.Name) == nil {
			s.Retiring = true
			c.dirty.services[id] = true
		}
		if s.Retiring {
			retiring = append(retiring, s)
		}
	}
	for i := range c.index.Document.Services {
		c.removeRivals(&c.index.Document.Services[i], retiring)
	}
	names := map[string]*service{}
	for _, s := range c.services {
		names[s.Model.Name] = s
	}
	for i := range c.index.Document.Services {
		rule := &c.index.Document.Services[i]
		c.placeService(rule, names[rule.Name])
	}
	c.removeIdleServices()
}

// removeRivals drops the retiring services that a new one replaces: two services cannot share an
// address or a name, and the edit was acknowledged.
func (c *Catalog) removeRivals(rule *config.Service, retiring []*service) {
	for _, s := range retiring {
		clash := s.Model.Address == rule.Address || s.Model.Name == rule.Name
		if clash && !s.returns(rule) && c.services[s.Model.ID] != nil {
			c.removeService(s.Model.ID)
		}
	}
}

// returns reports whether a rule brings back the service as it was.
func (s *service) returns(rule *config.Service) bool {
	return s.Model.Name == rule.Name && s.Model.Address == rule.Address && s.Model.Workspace == rule.Workspace
}

func (c *Catalog) placeService(rule *config.Service, s *service) {
	if s == nil {
		c.nextService++
		s = &service{Model: model.Service{ID: c.nextService}}
		c.services[s.Model.ID] = s
	}
	want := model.Service{
		ID: s.Model.ID, Generation: s.Model.Generation, Name: rule.Name, Workspace: rule.Workspace, Address: rule.Address,
		Class: rule.Class, MaxQueueWait: rule.MaxQueueWait, Ramp: rule.Ramp, DrainTimeout: rule.DrainTimeout, Silence: rule.Silence,
	}
	if want != s.Model || s.Retiring {
		s.Model, s.Retiring = want, false
		c.dirty.services[s.Model.ID] = true
	}
	if _, published := c.view.Services[s.Model.ID]; !published {
		c.dirty.services[s.Model.ID] = true
	}
}

func (c *Catalog) removeService(id model.ServiceID) {
	for _, t := range slices.Sorted(maps.Keys(c.byService[id])) {
		c.removeTarget(t)
	}
	delete(c.services, id)
	c.dirty.services[id] = true
}

// removeIdleServices drops the retiring services whose last target is gone.
func (c *Catalog) removeIdleServices() {
	for _, id := range slices.Sorted(maps.Keys(c.services)) {
		if c.services[id].Retiring && len(c.byService[id]) == 0 {
			c.removeService(id)
		}
	}
}

// review applies the document in force to every target and quarantined registration.
func (c *Catalog) review(generation model.Generation) {
	for _, id := range slices.Sorted(maps.Keys(c.targets)) {
		c.reviewTarget(c.targets[id], generation)
	}
	c.reviewQuarantine(generation)
}

func (c *Catalog) reviewTarget(t *target, generation model.Generation) {
	leaving := c.leaving(t)
	switch {
	case leaving && t.DrainingSince == 0:
		t.DrainingSince = generation
	case !leaving:
		t.DrainingSince = 0
	}
	c.dirty.targets[t.ID] = true
}

func (c *Catalog) leaving(t *target) bool {
	return t.Registration.Draining || c.disallowed(t) || c.index.Leaving(t.Registration.VM, t.Registration.Service)
}

// disallowed reports whether the document does not let the target serve its service any more. A
// target of a retiring service stays with it when a new service gets the same name.
func (c *Catalog) disallowed(t *target) bool {
	s := c.services[t.Service]
	return s == nil || s.Retiring || c.index.Refusal(t.Registration.VM, t.Registration.Service) != ""
}
