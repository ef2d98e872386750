package consensus

// Ready returns the next work of the shell, or false if there is none. Until the work has been
// passed to Advance, Ready returns false; Tick, Step and Propose may be called meanwhile.
func (n *Node) Ready() (Ready, bool) {
	if n.outstanding || n.halted {
		return Ready{}, false
	}
	n.flush()
	hard, soft := n.hardState(), n.softState()
	r := Ready{
		HardState: hard,
		Snapshot:  n.install,
		Entries:   n.log.after(n.log.stable, n.log.last().Index),
		Messages:  n.messages,
		Reads:     n.reads,
		SoftState: soft,
	}
	if n.install == nil {
		r.Committed = n.nextCommitted()
	}
	r.MustSync = r.Snapshot != nil || len(r.Entries) > 0 || hard.Term != n.saved.Term || hard.Vote != n.saved.Vote
	empty := !r.MustSync && hard == n.saved && soft == n.softSaved &&
		len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
	if empty {
		return Ready{}, false
	}
	n.messages, n.reads, n.install = nil, nil, nil
	n.saved, n.softSaved = hard, soft
	n.outstanding = true
	return r, true
}

func (n *Node) nextCommitted() []Entry {
	end := min(n.log.commit, n.log.applied+uint64(n.cfg.MaxCommittedPerReady))
	return n.log.after(n.log.applied, end)
}

// Advance reports that r was persisted, sent and applied.
func (n *Node) Advance(r Ready) {
	n.outstanding = false
	if n.halted {
		return
	}
	if r.Snapshot != nil {
		n.log.applied = max(n.log.applied, r.Snapshot.Index)
	}
	if len(r.Committed) > 0 {
		n.log.applied = max(n.log.applied, r.Committed[len(r.Committed)-1].Index)
	}
	if len(r.Entries) == 0 {
		return
	}
	// Entries that were replaced meanwhile do not count; Ready hands out what replaced them.
	last := r.Entries[len(r.Entries)-1]
	if n.log.matches(Position{Index: last.Index, Term: last.Term}) {
		n.log.stable = max(n.log.stable, last.Index)
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}
