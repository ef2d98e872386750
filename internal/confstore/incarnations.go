package confstore

import (
	"maps"
	"os"
	"slices"
	"sync"

	"github.com/phuslu/log"

	"github.com/greengagelock/greengagelock/internal/hop"
)

const (
	// incarnationsFile is the file in the data folder with the last target of each relay, and incarnationChangesFile
	// that with the changes since it was written.
	incarnationsFile       = "targets.cbor"
	incarnationChangesFile = "targets.log"
	// minChangesBytes is the size of the file of changes up to which it is always kept. Beyond that it is emptied once it
	// is twice as large as the other file.
	minChangesBytes = 64 << 10
	// maxSaveShare bounds the share of time in which changes are written, so that the disk is left to the replicated log.
	maxSaveShare = 0.05
	// maxIncarnations is the largest number of relays on record. It is twice the number of targets in the
	// largest supported fleet and bounds the file to about 1 MB.
	maxIncarnations = 8192
)

// incarnations records on disk the addresses of all processes and the last target of each relay. The record is local to this
// controller and not replicated. Relays of older builds take the flows of their target for complete by the previous target.
type incarnations struct {
	folder string
	dirty  chan struct{} // holds a value while a change is not saved

	mu     sync.Mutex
	relays map[hop.IP]incarnation // entry VMs included
	// awaited are the relays that were running when the controller stopped and have not announced
	// themselves since; awaitedEntries are the entry VMs.
	awaited, awaitedEntries map[hop.IP]struct{}
	// changes counts the changes of records, and changedAt holds its value at the last change of each record;
	// zero for those of the file.
	changes   uint64
	changedAt map[hop.IP]uint64
	loaded    bool // a file existed and could be read
	// unsaved are the relays whose records have changed since the last save.
	unsaved map[hop.IP]struct{}

	// Used by the goroutine of runSaves only.
	changesFile             *os.File // nil before the first save and after an error
	snapshotBytes, logBytes int
}

// incarnation is the last announced process and target of a relay.
type incarnation struct {
	_       struct{} `cbor:",toarray"`
	Process uint64   // ID of the relay process
	Target  string   // ID of the target that the relay announced last
	// Previous is the ID of the target that the previous relay process announced last.
	Previous string
	// Left is set once the process has signed off or its lease has expired.
	Left bool
	// Entry marks the record of an entry VM, of which only the address and Left are used.
	Entry bool
}

// loadIncarnations reads the file. If it is missing or unreadable, no previous target is known.
func loadIncarnations(folder string, logger *log.Logger) *incarnations {
	n := &incarnations{
		folder: folder, dirty: make(chan struct{}, 1), relays: map[hop.IP]incarnation{},
		awaited: map[hop.IP]struct{}{}, awaitedEntries: map[hop.IP]struct{}{},
		changedAt: map[hop.IP]uint64{}, unsaved: map[hop.IP]struct{}{},
	}
	if err := n.load(); err != nil {
		logger.Warn().Err(err).Msg("cannot read the last targets of the relays")
		n.relays, n.loaded = map[hop.IP]incarnation{}, false
	}
	for ip, last := range n.relays {
		switch {
		case last.Left:
		case last.Entry:
			n.awaitedEntries[ip] = struct{}{}
		default:
			n.awaited[ip] = struct{}{}
		}
	}
	return n
}

// allHeard reports whether every relay that was running when the controller stopped has announced itself
// or left since. It is false if the file could not be read.
func (n *incarnations) allHeard() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.loaded && len(n.awaited) == 0
}

// notHeard returns the processes that were running when the controller stopped and have not announced themselves since.
func (n *incarnations) notHeard() []hop.IP {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.AppendSeq(slices.Collect(maps.Keys(n.awaited)), maps.Keys(n.awaitedEntries))
}

// recordEntry records that an entry VM is running.
func (n *incarnations) recordEntry(ip hop.IP) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.awaitedEntries, ip)
	if last, known := n.relays[ip]; !known || last.Left || !last.Entry {
		n.set(ip, incarnation{Entry: true})
	}
}

// markLeft records that a process has signed off or that its lease has expired.
func (n *incarnations) markLeft(relay hop.IP) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.awaited, relay)
	delete(n.awaitedEntries, relay)
	if last, ok := n.relays[relay]; ok && !last.Left {
		last.Left = true
		n.set(relay, last)
	}
}

// set stores the record of a relay and schedules a save. If there is no room it removes another record first.
func (n *incarnations) set(relay hop.IP, next incarnation) {
	if _, known := n.relays[relay]; !known && len(n.relays) >= maxIncarnations {
		n.evict()
	}
	n.changes++
	n.relays[relay], n.changedAt[relay] = next, n.changes
	n.unsaved[relay] = struct{}{}
	n.markDirty()
}

// markDirty schedules a save.
func (n *incarnations) markDirty() {
	select {
	case n.dirty <- struct{}{}:
	default:
	}
}

// evict removes the record that has not changed for the longest time, of relays that have left if there are any.
func (n *incarnations) evict() {
	var oldest hop.IP
	found := false
	for ip, r := range n.relays {
		kept := n.relays[oldest]
		if !found || (r.Left && !kept.Left) || (r.Left == kept.Left && n.changedAt[ip] < n.changedAt[oldest]) {
			oldest, found = ip, true
		}
	}
	delete(n.relays, oldest)
	delete(n.changedAt, oldest)
	delete(n.awaited, oldest)
	delete(n.awaitedEntries, oldest)
	delete(n.unsaved, oldest)
}

// record stores an announcement and returns the ID of the target that the previous process of the relay
// announced last, or "" if it is unknown.
func (n *incarnations) record(relay hop.IP, process uint64, target string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.awaited, relay)
	last := n.relays[relay]
	next := last
	next.Left, next.Entry = false, false
	if next.Process != process {
		next.Process, next.Previous = process, next.Target
	}
	if target != "" {
		next.Target = target
	}
	if next != last {
		n.set(relay, next)
	}
	return next.Previous
}
