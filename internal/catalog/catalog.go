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

// Bounds of the state.
const (
	// MaxResults is 18 days of commands at 550 a day, which is longer than any resend.
	MaxResults = 10_000
	// MaxChanges is the number of generations that deltas can start from.
	MaxChanges = 4096
	// MaxQuarantined is the size of the target fleet; more announcements are refused unseen.
	MaxQuarantined = 4096
	// maxMessage bounds the text of a replicated result.
	maxMessage = 2048
)

// Result is the outcome of a command. A resent command gets the result of its first run.
type Result struct {
	CommandID  string
	Code       result.Code
	Message    string
	Revision   model.Revision // that the command created, or else the current one
	Generation model.Generation
	Missing    []string // acknowledgements that the edit needs
}

// Err returns the result as an error, nil if the command was accepted.
func (r Result) Err() error {
	if r.Code == result.OK {
		return nil
	}
	return result.New(r.Code, "%s", r.Message)
}

// storedResult is a result as it is replicated.
type storedResult struct {
	Result
	Fingerprint uint64
}

// target is a registered endpoint.
type target struct {
	ID           model.TargetID
	Registration Registration
	Service      model.ServiceID
	Lost         bool
	Ejected      bool
	// Joining targets take no flows until every node knows them.
	Joining bool
	// DrainingSince is the generation from which the target takes no new flows; 0 if it does.
	DrainingSince model.Generation
}

// service is a service in the view.
type service struct {
	Model model.Service
	// Retiring services are gone from the document and wait for the flows of their targets.
	Retiring bool
}

// Catalog is the replicated state. It is not safe for concurrent use; views that it returns are
// never changed afterwards.
type Catalog struct {
	applied     uint64
	history     history
	index       *config.Index
	results     map[string]storedResult
	order       []string // of results, oldest first
	nextService model.ServiceID
	nextTarget  model.TargetID
	services    map[model.ServiceID]*service
	targets     map[model.TargetID]*target
	quarantine  map[Key]Quarantined
	members     map[string]Member
	view        *model.View
	digest      uint64

	// What follows is derived and is not part of a snapshot.
	byService map[model.ServiceID]map[model.TargetID]bool
	byKey     map[Key]model.TargetID
	byNode    map[string]map[model.TargetID]bool
	changes   []change
	// floor is the oldest generation that a delta can start from.
	floor model.Generation
	// scope is the last generation that changed which services an agent gets.
	scope map[string]model.Generation
	dirty dirty
}

// Quarantined is an announcement that did not become a target.
type Quarantined struct {
	Registration Registration
	Reason       string
}

// dirty is what changed since the view was published last.
type dirty struct {
	services map[model.ServiceID]bool
	targets  map[model.TargetID]bool
	nodes    map[string]bool
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
	c.derive()
	return c
}

func (c *Catalog) derive() {
	c.byService = map[model.ServiceID]map[model.TargetID]bool{}
	c.byKey = map[Key]model.TargetID{}
	c.byNode = map[string]map[model.TargetID]bool{}
	c.scope = map[string]model.Generation{}
	c.changes = nil
	c.floor = c.view.Generation
	c.resetDirty()
	for _, t := range c.targets {
		c.link(t)
	}
	doc := &config.Document{}
	if parsed, err := config.Parse("configuration", c.history.Text); err == nil {
		doc = parsed
	}
	c.index = config.NewIndex(doc)
}

func (c *Catalog) resetDirty() {
	c.dirty = dirty{
		services: map[model.ServiceID]bool{},
		targets:  map[model.TargetID]bool{},
		nodes:    map[string]bool{},
	}
}

func (c *Catalog) link(t *target) {
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

func (c *Catalog) unlink(t *target) {
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

// Apply runs a committed log entry. An entry that cannot be decoded changes nothing, on every
// controller alike.
func (c *Catalog) Apply(index uint64, data []byte) Result {
	cmd, err := Decode(data)
	if err != nil {
		c.applied = index
		return Result{Code: result.Internal, Message: "log entry is not a command", Revision: c.history.revision()}
	}
	return c.Run(index, cmd)
}

// Run runs a command as the log entry with the given index. Indexes must increase.
func (c *Catalog) Run(index uint64, cmd *Command) Result {
	if index <= c.applied {
		return Result{
			Code: result.Internal, Message: fmt.Sprintf("log entry %d is applied already", index),
			Revision: c.history.revision(), Generation: c.view.Generation,
		}
	}
	c.applied = index
	switch cmd.Kind {
	case KindMember:
		return c.member(cmd.Member)
	case KindBatch:
		c.batch(&cmd.Batch, model.Generation(index))
		c.publish(model.Generation(index))
		return Result{Revision: c.history.revision(), Generation: c.view.Generation}
	}
	return c.configure(index, cmd)
}

// publish derives a new view from what has changed. The generation moves only if the view does.
func (c *Catalog) publish(generation model.Generation) {
	next := c.view.Clone()
	entry := change{generation: generation}
	touched := map[model.ServiceID]bool{}
	for _, id := range slices.Sorted(maps.Keys(c.dirty.targets)) {
		if service, changed := c.publishTarget(next, id); changed {
			touched[service] = true
			entry.targets = append(entry.targets, targetRef{id: id, service: service})
		}
	}
	for id := range touched {
		c.dirty.services[id] = true
	}
	for _, id := range slices.Sorted(maps.Keys(c.dirty.services)) {
		if c.publishService(next, id, touched[id], generation) {
			entry.services = append(entry.services, id)
		}
	}
	if len(entry.targets)+len(entry.services)+len(c.dirty.nodes) > 0 || c.dirty.config {
		next.Generation, next.Revision, next.Trace = generation, c.history.revision(), c.history.trace()
		c.view, c.digest = next, next.Digest()
		c.record(entry)
	}
	c.resetDirty()
}

// publishTarget brings one target of the next view up to date. It returns the service of the
// target and whether anything changed.
func (c *Catalog) publishTarget(next *model.View, id model.TargetID) (model.ServiceID, bool) {
	old, had := next.Targets[id]
	t := c.targets[id]
	if t == nil {
		delete(next.Targets, id)
		return old.Service, had
	}
	value := c.modelTarget(t)
	next.Targets[id] = value
	return t.Service, !had || value != old
}

func (c *Catalog) publishService(next *model.View, id model.ServiceID, targetsChanged bool, generation model.Generation) bool {
	s := c.services[id]
	if s == nil {
		_, had := next.Services[id]
		delete(next.Services, id)
		return had
	}
	if !targetsChanged && s.Model == next.Services[id] {
		return false
	}
	s.Model.Generation = generation
	next.Services[id] = s.Model
	return true
}

func (c *Catalog) modelTarget(t *target) model.Target {
	limits := c.index.Document.Limits
	m := model.Target{
		ID: t.ID, Name: config.TargetName(t.Registration.VM, t.Registration.Service), VM: t.Registration.VM,
		Service: t.Service, Agent: t.Registration.Agent,
		Slots: min(t.Registration.Slots, limits.SlotsPerTarget), MaxConns: min(t.Registration.MaxConns, limits.ConnectionsPerTarget),
	}
	if vm := c.index.VM(t.Registration.VM); vm != nil {
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

// Digest returns the digest of the current view of all services.
func (c *Catalog) Digest() uint64 { return c.digest }

// Applied returns the index of the last log entry.
func (c *Catalog) Applied() uint64 { return c.applied }

// Revision returns the number of the configuration in force.
func (c *Catalog) Revision() model.Revision { return c.history.revision() }

// Index returns the configuration in force.
func (c *Catalog) Index() *config.Index { return c.index }

// Text returns the document of a revision, or false if it is not kept.
func (c *Catalog) Text(revision model.Revision) ([]byte, bool) { return c.history.text(revision) }

// History returns the kept revisions, oldest first.
func (c *Catalog) History() []RevisionInfo {
	infos := make([]RevisionInfo, 0, len(c.history.Records))
	for i := range c.history.Records {
		infos = append(infos, c.history.Records[i].Info)
	}
	return infos
}

// ResultOf returns the kept result of a command.
func (c *Catalog) ResultOf(id string) (Result, bool) {
	r, ok := c.results[id]
	return r.Result, ok
}

// Quarantine returns the announcements that did not become targets, ordered by key.
func (c *Catalog) Quarantine() []Quarantined {
	list := slices.Collect(maps.Values(c.quarantine))
	slices.SortFunc(list, func(a, b Quarantined) int { return compareKeys(a.Registration.Key, b.Registration.Key) })
	return list
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.VM, b.VM), cmp.Compare(a.Service, b.Service))
}

// holders returns the removed services that still hold their address, ordered by number.
func (c *Catalog) holders() []config.Holder {
	var list []config.Holder
	for _, id := range slices.Sorted(maps.Keys(c.services)) {
		if s := c.services[id]; s.Retiring {
			list = append(list, config.Holder{Service: s.Model.Name, Workspace: s.Model.Workspace, Address: s.Model.Address})
		}
	}
	return list
}

// named returns the service with a name, which is unique among all that are in the view.
func (c *Catalog) named(name string) *service {
	for _, s := range c.services {
		if s.Model.Name == name {
			return s
		}
	}
	return nil
}

// Skip notes a log entry that is not a command.
func (c *Catalog) Skip(index uint64) { c.applied = max(c.applied, index) }
