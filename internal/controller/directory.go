package controller

import (
	"fmt"
	"maps"
	"sync"

	"github.com/greengagelock/greengagelock/internal/consensus"
)

// directory knows the names and addresses of members: those in the settings until the catalog
// says otherwise.
type directory struct {
	mu      sync.RWMutex
	members map[consensus.MemberID]memberAddress
}

type memberAddress struct{ name, address string }

func newDirectory(members map[string]string) *directory {
	d := &directory{members: map[consensus.MemberID]memberAddress{}}
	d.add(members)
	return d
}

func (d *directory) add(members map[string]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := maps.Clone(d.members)
	for name, address := range members {
		next[memberID(name)] = memberAddress{name: name, address: address}
	}
	d.members = next
}

// find returns the name and the address of a member. The address is empty if it is not known.
func (d *directory) find(id consensus.MemberID) (name, address string) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	m, ok := d.members[id]
	if !ok && id != 0 {
		return fmt.Sprintf("member-%016x", uint64(id)), ""
	}
	return m.name, m.address
}

func (d *directory) nameOf(id consensus.MemberID) string {
	name, _ := d.find(id)
	return name
}
