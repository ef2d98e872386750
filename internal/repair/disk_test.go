package repair_test

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/greengagelock/greengagelock/internal/consensus"
)

// What package confstore uses.
const (
	compactEvery = 64
	keptEntries  = 32
	// stepTimeout is the time after which a call gives up, stepRetryDelay the pause after it.
	stepTimeout    = 300 * time.Millisecond
	stepRetryDelay = 50 * time.Millisecond
	// statusInterval is the time between two looks of a leader whether a change of the members is committed.
	statusInterval = 30 * time.Millisecond
	// namesPrefix begins an entry or a snapshot with the names of the members.
	namesPrefix = "names "
)

// disk holds what a controller has synced.
type disk struct {
	name     string
	founders []string
	state    consensus.Restored
	members  consensus.Members // of the last entry
	// groups are the groups of voters of each of which a majority is needed. A controller of an earlier build has one.
	groups [][]consensus.MemberID
}

// last returns the position of the last entry.
func (d *disk) last() consensus.Position {
	if n := len(d.state.Entries); n > 0 {
		return consensus.Position{Index: d.state.Entries[n-1].Index, Term: d.state.Entries[n-1].Term}
	}
	return consensus.Position{Index: d.state.Snapshot.Index, Term: d.state.Snapshot.Term}
}

// readMembers takes the members from the last entry that has them.
func (d *disk) readMembers() {
	var transition *consensus.Transition
	d.members, transition = d.findMembers()
	d.groups = consensus.VoterGroups(d.members, transition)
}

// findMembers returns the members after the last entry, and the transition that is in effect.
func (d *disk) findMembers() (consensus.Members, *consensus.Transition) {
	for _, e := range slices.Backward(d.state.Entries) {
		if e.Kind == consensus.EntryMembers {
			m, t, _ := consensus.DecodeMembers(e.Data)
			if e.Term != d.last().Term {
				t = nil
			}
			return m, t
		}
	}
	if d.state.Snapshot.Index > 0 {
		return d.state.Snapshot.Members, nil
	}
	var m consensus.Members
	for _, name := range d.founders {
		m.Voters = append(m.Voters, memberID(name))
	}
	return m, nil
}

// persist stores what the write-ahead log does: the commit index only together with something else.
func (p *proc) persist(r consensus.Ready) {
	if !r.MustSync {
		return
	}
	s := &p.disk.state
	changes := r.Snapshot != nil
	if r.Snapshot != nil {
		s.Snapshot, s.Entries = *r.Snapshot, nil
	}
	for _, e := range r.Entries {
		if n := len(s.Entries); n > 0 && e.Index <= s.Entries[n-1].Index {
			s.Entries, changes = s.Entries[:e.Index-s.Entries[0].Index], true
		}
		s.Entries = append(s.Entries, e)
		// An entry of another term ends a transition.
		changes = changes || e.Kind == consensus.EntryMembers || len(p.disk.groups) > 1
	}
	s.HardState = r.HardState
	if changes {
		p.disk.readMembers()
		if p.w.onMembers != nil {
			p.w.onMembers()
		}
	}
}

// applyAll applies a snapshot that was received and the entries that are committed.
func (p *proc) applyAll(r consensus.Ready) {
	if s := r.Snapshot; s != nil {
		if s.Index >= uint64(len(p.w.committed)) || p.w.committed[s.Index].Term != s.Term {
			p.w.problem("%s installs a snapshot of another log at entry %d", p.disk.name, s.Index)
		}
		p.takeNames(string(s.Data))
		p.applied = 0
	}
	for _, e := range r.Committed {
		p.apply(e)
		if e.Kind == consensus.EntryMembers && p.w.fault != pauseAfterChange {
			p.w.After(statusInterval, func() { p.when(p.repair) })
		}
	}
	p.applied += len(r.Committed)
}

// compact takes a snapshot when one is due.
func (p *proc) compact() {
	if p.applied < compactEvery {
		return
	}
	p.applied = 0
	data := ""
	if len(p.names) > 0 {
		data = namesPrefix + strings.Join(p.names, " ")
	}
	snapshot, err := p.node.NewSnapshot([]byte(data))
	if err != nil {
		p.w.problem("%s takes no snapshot: %v", p.disk.name, err)
		return
	}
	keep := snapshot.Index - min(snapshot.Index, keptEntries)
	s := &p.disk.state
	s.Snapshot = snapshot
	s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e consensus.Entry) bool { return e.Index <= keep })
	if err := p.node.Compact(keep, snapshot); err != nil {
		p.w.problem("%s does not compact: %v", p.disk.name, err)
	}
}

// reaches reports whether a call from one VM to another one gets an answer.
func (w *world) reaches(from, to *vm) bool {
	return to != nil && to.proc != nil && to.proc.pausedTo <= w.Now && w.cut[[2]*vm{from, to}] == 0 && w.cut[[2]*vm{to, from}] == 0
}

// connects reports whether the transport of a VM sends to an address now. It sends nothing while a call without an answer
// goes on, and for a moment after it.
func (w *world) connects(from *vm, address string) bool {
	pair := [2]*vm{from, w.at(address)}
	if w.stuck[pair] > w.Now {
		return false
	}
	if !w.reaches(from, pair[1]) {
		w.stuck[pair] = w.Now + stepRetryDelay
		if pair[1] == nil || pair[1].gone || pair[1].proc != nil {
			w.stuck[pair] += stepTimeout // nothing refuses the connection
		}
	}
	return true
}

// entriesFor returns entries as a build reads them: those before transitions pass over them.
func (w *world) entriesFor(old bool, entries []consensus.Entry) []consensus.Entry {
	converted := slices.Clone(entries)
	for i, e := range converted {
		if e.Kind != consensus.EntryMembers {
			continue
		}
		at := consensus.Position{Index: e.Index, Term: e.Term}
		if m, t, _ := consensus.DecodeMembers(e.Data); t != nil {
			w.transitions[at] = e.Data
			if old {
				converted[i].Data, _ = json.Marshal(m)
			}
		} else if data := w.transitions[at]; data != nil && !old {
			converted[i].Data = data
		}
	}
	return converted
}

// messageFor returns a message as a build reads it.
func (w *world) messageFor(old bool, m consensus.Message) consensus.Message {
	if m.Append != nil {
		a := *m.Append
		a.Entries = w.entriesFor(old, a.Entries)
		m.Append = &a
	}
	return m
}
