package catalog

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/greengagelock/greengagelock/internal/config"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/result"
)

// Limits of the replicated state.
const (
	// MaxResults is the number of command results that are kept to answer resent commands. At 550 commands
	// a day they cover 18 days, which is longer than any client resends.
	MaxResults = 10_000
	// MaxChanges is the number of past generations that a delta can start from. Older nodes get a whole view.
	MaxChanges = 4096
	// MaxQuarantined is about the number of targets in the largest supported fleet. Announcements beyond it
	// are dropped without being listed.
	MaxQuarantined = 4096
	// maxMessageBytes limits the message of a replicated result.
	maxMessageBytes = 2048
)

// Result is the outcome of a command. A resent command gets the result of its first execution.
type Result struct {
	CommandID  string
	Code       result.Code
	Message    string
	Revision   model.Revision // created by the command, or the current one if the command created none
	Generation model.Generation
	Missing    []string // acknowledgements that the edit needs and does not carry
}

// Err returns the result as an error, or nil if the command was accepted.
func (r Result) Err() error {
	if r.Code == result.OK {
		return nil
	}
	return result.New(r.Code, "%s", r.Message)
}

// storedResult is a kept result with the fingerprint of its command.
type storedResult struct {
	Result
	Fingerprint uint64
}

// target is the replicated state of one registered endpoint.
type target struct {
	ID           model.TargetID
	Registration Registration
	Service      model.ServiceID
	Lost         bool
	Ejected      bool
	// Joining targets admit no flows until every node has them in its view.
	Joining bool
	// DrainingSince is the generation in which the target began to drain, or 0 if it is not draining.
	DrainingSince model.Generation
}

// service is the replicated state of one service.
type service struct {
	Model model.Service
	// Retiring services were removed from the document and exist until the flows of their targets end.
	Retiring bool
}

// Catalog is the replicated state. It is not safe for concurrent use. The views that it returns are
// immutable.
type Catalog struct {
	applied     uint64
	history     history
	config      *config.Index
	results     map[string]storedResult
	resultIDs   []string // command IDs of results, oldest first
	nextService model.ServiceID
	nextTarget  model.TargetID
	services    map[model.ServiceID]*service
	targets     map[model.TargetID]*target
	quarantine  map[Key]Quarantined
	members     map[string]Member
	view        *model.View
	digest      uint64

	// The fields below are derived from the state above and are not part of a snapshot.
	byService map[model.ServiceID]map[model.TargetID]bool
	byKey     map[Key]model.TargetID
	byNode    map[string]map[model.TargetID]bool
	changes   []change
	// oldestDeltaBase is the oldest generation that a delta can start from; changes covers all later ones.
	oldestDeltaBase model.Generation
	// scopeChangedAt is, by node, the last generation that changed which services the node's agent gets.
	scopeChangedAt map[string]model.Generation
	dirty          dirty
}

// Quarantined is an announcement that could not become a target, with the reason.
type Quarantined struct {
	Registration Registration
	Reason       string
}

// dirty records what changed since the last view was published.
type dirty struct {
	services map[model.ServiceID]bool
	targets  map[model.TargetID]bool
	nodes    map[string]bool // nodes whose set of targets changed
	config   bool
}

// New returns an empty catalog.
func New() *Catalog {
	c := &Catalog{
		results:    map[string]storedResult{},
		services:   map[model.ServiceID]*service{},
		targets:    map[model.TargetID]*target{},
		quarantine: map[Key]Quarantined{},
		members:    map[string]Member{},
		view:       model.NewView(),
	}
	c.digest = c.view.Digest()
	c.rebuildDerivedState()
	return c
}

// rebuildDerivedState computes the derived fields from the replicated ones.
func (c *Catalog) rebuildDerivedState() {
	c.byService = map[model.ServiceID]map[model.TargetID]bool{}
	c.byKey = map[Key]model.TargetID{}
	c.byNode = map[string]map[model.TargetID]bool{}
	c.scopeChangedAt = map[string]model.Generation{}
	c.changes = nil
	c.oldestDeltaBase = c.view.Generation
	c.resetDirty()
	for _, t := range c.targets {
		c.indexTarget(t)
	}
	doc := &config.Document{}
	if parsed, err := config.Parse("configuration", c.history.Text); err == nil {
		doc = parsed
	}
	c.config = config.NewIndex(doc)
}

func (c *Catalog) resetDirty() {
	c.dirty = dirty{
		services: map[model.ServiceID]bool{},
		targets:  map[model.TargetID]bool{},
		nodes:    map[string]bool{},
	}
}

func (c *Catalog) indexTarget(t *target) {
	if c.byService[t.Service] == nil {
		c.byService[t.Service] = map[model.TargetID]bool{}
	}
	if c.byNode[t.Registration.Node] == nil {
		c.byNode[t.Registration.Node] = map[model.TargetID]bool{}
	}
	c.byService[t.Service][t.ID] = true
	c.byNode[t.Registration.Node][t.ID] = true
	c.byKey[t.Registration.Key] = t.ID
}

func (c *Catalog) unindexTarget(t *target) {
	delete(c.byService[t.Service], t.ID)
	delete(c.byNode[t.Registration.Node], t.ID)
	delete(c.byKey, t.Registration.Key)
	if len(c.byNode[t.Registration.Node]) == 0 {
		delete(c.byNode, t.Registration.Node)
	}
	if len(c.byService[t.Service]) == 0 {
		delete(c.byService, t.Service)
	}
}

// Apply decodes and runs a committed log entry. An entry that cannot be decoded changes nothing, which is
// the same on every controller.
func (c *Catalog) Apply(index uint64, data []byte) Result {
	cmd, err := Decode(data)
	if err != nil {
		c.applied = index
		return Result{Code: result.Internal, Message: "cannot decode the log entry as a command", Revision: c.history.revision()}
	}
	return c.Run(index, cmd)
}

// Run executes a command as the log entry with the given index. Indexes must increase.
func (c *Catalog) Run(index uint64, cmd *Command) Result {
	if index <= c.applied {
		return Result{
			Code: result.Internal, Message: fmt.Sprintf("log entry %d was already applied", index),
			Revision: c.history.revision(), Generation: c.view.Generation,
		}
	}
	c.applied = index
	switch cmd.Kind {
	case KindMember:
		return c.applyMember(cmd.Member)
	case KindBatch:
		c.applyBatch(&cmd.Batch, model.Generation(index))
		c.publish(model.Generation(index))
		return Result{Revision: c.history.revision(), Generation: c.view.Generation}
	}
	return c.applyEdit(index, cmd)
}

// publish builds a new view from the dirty state. The generation advances only if something changed.
func (c *Catalog) publish(generation model.Generation) {
	next := c.view.Clone()
	entry := change{generation: generation}
	withChangedTargets := map[model.ServiceID]bool{}
	for _, id := range slices.Sorted(maps.Keys(c.dirty.targets)) {
		if service, changed := c.publishTarget(next, id); changed {
			withChangedTargets[service] = true
			entry.targets = append(entry.targets, targetRef{id: id, service: service})
		}
	}
	for id := range withChangedTargets {
		c.dirty.services[id] = true
	}
	for _, id := range slices.Sorted(maps.Keys(c.dirty.services)) {
		if c.publishService(next, id, withChangedTargets[id], generation) {
			entry.services = append(entry.services, id)
		}
	}
	if len(entry.targets)+len(entry.services)+len(c.dirty.nodes) > 0 || c.dirty.config {
		next.Generation, next.Revision, next.Trace = generation, c.history.revision(), c.history.trace()
		c.view, c.digest = next, next.Digest()
		c.appendChange(entry)
	}
	c.resetDirty()
}

// publishTarget updates one target in the next view. It returns the service of the target and whether
// the target changed.
func (c *Catalog) publishTarget(next *model.View, id model.TargetID) (model.ServiceID, bool) {
	old, existed := next.Targets[id]
	t := c.targets[id]
	if t == nil {
		delete(next.Targets, id)
		return old.Service, existed
	}
	value := c.modelTarget(t)
	next.Targets[id] = value
	return t.Service, !existed || value != old
}

// publishService updates one service in the next view and reports whether it changed. A change to one of its
// targets also changes a service, since it gets a new generation.
func (c *Catalog) publishService(next *model.View, id model.ServiceID, targetsChanged bool, generation model.Generation) bool {
	s := c.services[id]
	if s == nil {
		_, existed := next.Services[id]
		delete(next.Services, id)
		return existed
	}
	if !targetsChanged && s.Model == next.Services[id] {
		return false
	}
	s.Model.Generation = generation
	next.Services[id] = s.Model
	return true
}

func (c *Catalog) modelTarget(t *target) model.Target {
	limits := c.config.Document.Limits
	m := model.Target{
		ID: t.ID, Name: config.TargetName(t.Registration.VM, t.Registration.Service), VM: t.Registration.VM,
		Service: t.Service, Agent: t.Registration.Agent,
		Slots: min(t.Registration.Slots, limits.SlotsPerTarget), MaxConns: min(t.Registration.MaxConns, limits.ConnectionsPerTarget),
	}
	if vm := c.config.VM(t.Registration.VM); vm != nil {
		m.Zone = vm.Zone
	} else {
		m.Zone = c.view.Targets[t.ID].Zone
	}
	switch {
	case t.Lost:
		m.State = model.TargetLost
	case t.DrainingSince != 0:
		m.State = model.TargetDraining
	case t.Ejected:
		m.State = model.TargetEjected
	case t.Joining:
		m.State = model.TargetJoining
	}
	return m
}

// View returns the current view of all services.
func (c *Catalog) View() *model.View { return c.view }

// Digest returns the digest of the current view of all services, see model.View.Digest.
func (c *Catalog) Digest() uint64 { return c.digest }

// Applied returns the index of the last applied log entry.
func (c *Catalog) Applied() uint64 { return c.applied }

// Revision returns the revision of the current configuration.
func (c *Catalog) Revision() model.Revision { return c.history.revision() }

// Config returns the current configuration.
func (c *Catalog) Config() *config.Index { return c.config }

// DocumentText returns the text of the document of a revision, or false if it is no longer kept.
func (c *Catalog) DocumentText(revision model.Revision) ([]byte, bool) {
	return c.history.text(revision)
}

// History returns the kept revisions, oldest first.
func (c *Catalog) History() []RevisionInfo {
	infos := make([]RevisionInfo, 0, len(c.history.Records))
	for i := range c.history.Records {
		infos = append(infos, c.history.Records[i].Info)
	}
	return infos
}

// ResultOf returns the result of a command, or false if it is not kept.
func (c *Catalog) ResultOf(id string) (Result, bool) {
	r, ok := c.results[id]
	return r.Result, ok
}

// Quarantine returns the quarantined announcements, ordered by key.
func (c *Catalog) Quarantine() []Quarantined {
	list := slices.Collect(maps.Values(c.quarantine))
	slices.SortFunc(list, func(a, b Quarantined) int { return compareKeys(a.Registration.Key, b.Registration.Key) })
	return list
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.VM, b.VM), cmp.Compare(a.Service, b.Service))
}

// retiringHolders returns the retiring services, which still occupy their address, ordered by ID.
func (c *Catalog) retiringHolders() []config.AddressHolder {
	var list []config.AddressHolder
	for _, id := range slices.Sorted(maps.Keys(c.services)) {
		if s := c.services[id]; s.Retiring {
			list = append(list, config.AddressHolder{Service: s.Model.Name, Workspace: s.Model.Workspace, Address: s.Model.Address})
		}
	}
	return list
}

// serviceByName returns a service, or nil. Names are unique among current and retiring services.
func (c *Catalog) serviceByName(name string) *service {
	for _, s := range c.services {
		if s.Model.Name == name {
			return s
		}
	}
	return nil
}

// Skip advances the applied index past a log entry that carries no command.
func (c *Catalog) Skip(index uint64) { c.applied = max(c.applied, index) }
