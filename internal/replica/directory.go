package replica

import (
	"fmt"
	"maps"
	"sync"

	"github.com/greengagelock/greengagelock/internal/consensus"
)

// Directory resolves member IDs to names and addresses. It starts with the members in the settings;
// entries that are added later replace them. It is safe for concurrent use.
type Directory struct {
	mu      sync.RWMutex
	members map[consensus.MemberID]memberAddress
}

type memberAddress struct{ name, address string }

// NewDirectory returns a directory of members, a map from names to addresses.
func NewDirectory(members map[string]string) *Directory {
	d := &Directory{members: map[consensus.MemberID]memberAddress{}}
	d.Add(members)
	return d
}

// Add adds members or replaces their addresses.
func (d *Directory) Add(members map[string]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := maps.Clone(d.members)
	for name, address := range members {
		next[MemberID(name)] = memberAddress{name: name, address: address}
	}
	d.members = next
}

// Find returns the name and address of a member. The address of an unknown member is empty, and its name
// contains the ID.
func (d *Directory) Find(id consensus.MemberID) (name, address string) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	m, ok := d.members[id]
	if !ok && id != 0 {
		return fmt.Sprintf("member-%016x", uint64(id)), ""
	}
	return m.name, m.address
}

// Name returns the name of a member.
func (d *Directory) Name(id consensus.MemberID) string {
	name, _ := d.Find(id)
	return name
}
