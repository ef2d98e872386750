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

// applyEdit runs a command that edits the configuration. A command ID runs only once: a resent command gets
// the stored result, and another command with the same ID is refused.
func (c *Catalog) applyEdit(index uint64, cmd *Command) Result {
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
			return c.refuse(cmd, result.RevisionConflict, "the command ID was already used for a different command")
		}
		return first.Result
	}
	r := c.runEdit(index, cmd, text)
	if len(r.Message) > maxMessageBytes {
		r.Message = r.Message[:maxMessageBytes]
	}
	c.storeResult(r, fingerprint)
	return r
}

func (c *Catalog) refuse(cmd *Command, code result.Code, format string, args ...any) Result {
	return Result{
		CommandID: cmd.ID, Code: code, Message: fmt.Sprintf(format, args...),
		Revision: c.history.revision(), Generation: c.view.Generation,
	}
}

func (c *Catalog) storeResult(r Result, fingerprint uint64) {
	c.results[r.CommandID] = storedResult{Result: r, Fingerprint: fingerprint}
	c.resultIDs = append(c.resultIDs, r.CommandID)
	if len(c.resultIDs) > MaxResults {
		delete(c.results, c.resultIDs[0])
		c.resultIDs = slices.Clone(c.resultIDs[1:])
	}
}

// runEdit checks an edit against the current revision and the required acknowledgements, and accepts it.
func (c *Catalog) runEdit(index uint64, cmd *Command, text []byte) Result {
	if cmd.Base != c.history.revision() {
		return c.refuse(cmd, result.RevisionConflict,
			"the edit is based on revision %d, the current one is %d", cmd.Base, c.history.revision())
	}
	text, refused := c.resultingText(cmd, text)
	if refused != nil {
		return *refused
	}
	doc, effects, err := c.Evaluate("configuration", text)
	if err != nil {
		return c.refuse(cmd, result.ConfigInvalid, "%s", err.Error())
	}
	if missing := config.MissingAcknowledgements(effects, cmd.Acknowledged); len(missing) > 0 {
		r := c.refuse(cmd, result.AcknowledgeRequired, "the edit needs the acknowledgements %s", strings.Join(missing, ", "))
		r.Missing = missing
		return r
	}
	return c.acceptEdit(model.Generation(index), cmd, text, doc)
}

// resultingText returns the text of the document that a command would make current, or a refusal.
func (c *Catalog) resultingText(cmd *Command, text []byte) ([]byte, *Result) {
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
		if name := c.firstUnknownName(cmd.Names); name != "" {
			return nil, refuse(result.TargetNotFound, "%q is neither a VM nor a target of the configuration", name)
		}
		edited, err := c.editLeavingList(cmd)
		if err != nil {
			return nil, refuse(result.ConfigInvalid, "%s", err.Error())
		}
		return edited, nil
	}
	return nil, refuse(result.Internal, "command kind %d is unknown", cmd.Kind)
}

func (c *Catalog) editLeavingList(cmd *Command) ([]byte, error) {
	if cmd.Kind == KindDrain {
		return config.SetLeaving(c.history.Text, cmd.Names, nil)
	}
	return config.SetLeaving(c.history.Text, nil, cmd.Names)
}

// firstUnknownName returns the first name that is neither a VM nor an allowed target, or "".
func (c *Catalog) firstUnknownName(names []string) string {
	for _, name := range names {
		vm, service, isTarget := strings.Cut(name, "/")
		if c.config.VM(model.VM(vm)) == nil || (isTarget && c.config.DisallowedReason(model.VM(vm), service) != "") {
			return name
		}
	}
	return ""
}

// PreviewDrain returns the text of the document that a drain or undrain of the names would make current.
func (c *Catalog) PreviewDrain(kind Kind, names []string) ([]byte, error) {
	text, refused := c.resultingText(&Command{Kind: kind, Names: names}, nil)
	if refused != nil {
		return nil, refused.Err()
	}
	return text, nil
}

// Evaluate parses a document and returns the effects of making it current. The effects report 0 open
// flows, since these are not part of the replicated state.
func (c *Catalog) Evaluate(file string, text []byte) (*config.Document, []config.Effect, error) {
	return c.EvaluateWithFlows(file, text, nil)
}

// EvaluateWithFlows is like Evaluate, and reports the given number of open flows per target in the effects.
func (c *Catalog) EvaluateWithFlows(file string, text []byte, flows map[model.TargetID]int) (*config.Document, []config.Effect, error) {
	doc, err := config.Parse(file, text)
	if err != nil {
		return nil, nil, err
	}
	return doc, config.Plan(c.config.Document, doc, c.knownTargets(flows), c.retiringHolders()), nil
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

func (c *Catalog) acceptEdit(generation model.Generation, cmd *Command, text []byte, doc *config.Document) Result {
	revision := c.history.revision() + 1
	info := RevisionInfo{
		Revision: revision, CommandID: cmd.ID, Kind: cmd.Kind, Author: cmd.Author, Time: cmd.Time, Generation: generation,
	}
	if cmd.Kind == KindRollback {
		info.Source = cmd.Revision
	}
	c.history.add(info, text)
	c.config = config.NewIndex(doc)
	c.dirty.config = true
	c.reconcileServices()
	c.reevaluate(generation)
	c.publish(generation)
	return Result{CommandID: cmd.ID, Revision: revision, Generation: generation}
}

// reconcileServices brings the services in line with the document. A service that was removed from the
// document keeps its address until its flows end, unless another service takes that address. If it
// returns to the document before that, it keeps its ID.
func (c *Catalog) reconcileServices() {
	var retiring []*service
	for _, id := range slices.Sorted(maps.Keys(c.services)) {
		s := c.services[id]
		if !s.Retiring && c.config.Service(s.Model.Name) == nil {
			s.Retiring = true
			c.dirty.services[id] = true
		}
		if s.Retiring {
			retiring = append(retiring, s)
		}
	}
	for i := range c.config.Document.Services {
		c.removeConflicting(&c.config.Document.Services[i], retiring)
	}
	names := map[string]*service{}
	for _, s := range c.services {
		names[s.Model.Name] = s
	}
	for i := range c.config.Document.Services {
		rule := &c.config.Document.Services[i]
		c.reconcileService(rule, names[rule.Name])
	}
	c.removeRetiredServices()
}

// removeConflicting removes the retiring services that have the address or name of a service in the
// document. Their flows break; the operator has acknowledged that for the edit.
func (c *Catalog) removeConflicting(rule *config.Service, retiring []*service) {
	for _, s := range retiring {
		conflicts := s.Model.Address == rule.Address || s.Model.Name == rule.Name
		if conflicts && !s.restoredBy(rule) && c.services[s.Model.ID] != nil {
			c.removeService(s.Model.ID)
		}
	}
}

// restoredBy reports whether a rule describes the same service: same name, address and workspace.
func (s *service) restoredBy(rule *config.Service) bool {
	return s.Model.Name == rule.Name && s.Model.Address == rule.Address && s.Model.Workspace == rule.Workspace
}

// reconcileService creates or updates the service of a rule; s is nil if no service has its name.
func (c *Catalog) reconcileService(rule *config.Service, s *service) {
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

// removeRetiredServices removes the retiring services that have no targets left.
func (c *Catalog) removeRetiredServices() {
	for _, id := range slices.Sorted(maps.Keys(c.services)) {
		if c.services[id].Retiring && len(c.byService[id]) == 0 {
			c.removeService(id)
		}
	}
}

// reevaluate applies the current document to every target and quarantined registration.
func (c *Catalog) reevaluate(generation model.Generation) {
	for _, id := range slices.Sorted(maps.Keys(c.targets)) {
		c.updateDraining(c.targets[id], generation)
	}
	c.retryQuarantined(generation)
}

// updateDraining starts or ends the draining of a target.
func (c *Catalog) updateDraining(t *target, generation model.Generation) {
	drain := c.mustDrain(t)
	switch {
	case drain && t.DrainingSince == 0:
		t.DrainingSince = generation
	case !drain:
		t.DrainingSince = 0
	}
	c.dirty.targets[t.ID] = true
}

func (c *Catalog) mustDrain(t *target) bool {
	return t.Registration.Draining || c.disallowed(t) || c.config.Leaving(t.Registration.VM, t.Registration.Service)
}

// disallowed reports whether the document no longer allows the target to serve its service. A target of
// a retiring service stays with that service even if a new service gets the same name.
func (c *Catalog) disallowed(t *target) bool {
	s := c.services[t.Service]
	return s == nil || s.Retiring || c.config.DisallowedReason(t.Registration.VM, t.Registration.Service) != ""
}
