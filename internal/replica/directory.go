package replica

import (
	"fmt"
	"maps"
	"sync"

	"github.com/greengagelock/greengagelock/internal/consensus"
)

// Directory knows the names and addresses of members: those in the settings until the catalog
// says otherwise.
type Directory struct {
	mu      sync.RWMutex
	members map[consensus.MemberID]memberAddress
}

type memberAddress struct{ name, address string }

// NewDirectory returns a directory of the members in the settings.
func NewDirectory(members map[string]string) *Directory {
	d := &Directory{members: map[consensus.MemberID]memberAddress{}}
	d.Add(members)
	return d
}

// Add adds names with their addresses.
func (d *Directory) Add(members map[string]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := maps.Clone(d.members)
	for name, address := range members {
		next[MemberID(name)] = memberAddress{name: name, address: address}
	}
	d.members = next
}

// Find returns the name and the address of a member. The address is empty if it is not known.
func (d *Directory) Find(id consensus.MemberID) (name, address string) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	m, ok := d.members[id]
	if !ok && id != 0 {
		return fmt.Sprintf("member-%016x", uint64(id)), ""
	}
	return m.name, m.address
}

// NameOf returns the name of a member.
func (d *Directory) NameOf(id consensus.MemberID) string {
	name, _ := d.Find(id)
	return name
}
