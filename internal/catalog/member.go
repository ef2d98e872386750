package catalog

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/greengagelock/greengagelock/internal/result"
)

// Member is a controller that is or was a member of the replicated log's group.
type Member struct {
	Name    string
	Address string
	// Folder identifies the member's data folder, once it is known. It never changes: a controller
	// that returns with another folder has lost its votes and must not vote again.
	Folder string
	// Retired members were removed. Their names are never reused, for the same reason.
	Retired bool
}

// applyMember adds or changes a controller in the list of controllers. Empty fields stay unchanged.
func (c *Catalog) applyMember(m Member) Result {
	refuse := func(format string, args ...any) Result {
		return Result{Code: result.ConfigInvalid, Message: fmt.Sprintf(format, args...), Revision: c.history.revision()}
	}
	old, known := c.members[m.Name]
	switch {
	case m.Name == "" || (!known && m.Address == ""):
		return refuse("a controller needs a name and an address")
	case old.Retired && !m.Retired:
		return refuse("controller %s was removed; a new controller needs another name", m.Name)
	case old.Folder != "" && m.Folder != "" && old.Folder != m.Folder:
		return refuse("controller %s has another data folder than before; a new controller needs another name", m.Name)
	}
	next := old
	next.Name = m.Name
	next.Retired = old.Retired || m.Retired
	if m.Address != "" {
		next.Address = m.Address
	}
	if m.Folder != "" {
		next.Folder = m.Folder
	}
	c.members[m.Name] = next
	return Result{Revision: c.history.revision(), Generation: c.view.Generation}
}

// Member returns the controller with a name, or false if there was none.
func (c *Catalog) Member(name string) (Member, bool) {
	m, ok := c.members[name]
	return m, ok
}

// Members returns all controllers that are or were members, ordered by name.
func (c *Catalog) Members() []Member {
	list := slices.Collect(maps.Values(c.members))
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}
