package consensus

// Ready returns the pending work for the host, or false if there is none. After it has returned work, it
// returns false until Advance is called. Tick, Step and Propose may be called in between.
func (n *Node) Ready() (Ready, bool) {
	if n.awaitingAdvance || n.halted {
		return Ready{}, false
	}
	n.queueLeaderMessages()
	hardState, softState := n.hardState(), n.softState()
	r := Ready{
		HardState: hardState,
		Snapshot:  n.pendingInstall,
		Entries:   n.log.after(n.log.stable, n.log.last().Index),
		Messages:  n.messages,
		Reads:     n.answeredReads,
		SoftState: softState,
	}
	if n.pendingInstall == nil {
		r.Committed = n.nextCommitted()
	}
	r.MustSync = r.Snapshot != nil || len(r.Entries) > 0 || hardState.Term != n.lastHardState.Term || hardState.Vote != n.lastHardState.Vote
	isEmpty := !r.MustSync && hardState == n.lastHardState && softState == n.lastSoftState &&
		len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
	if isEmpty {
		return Ready{}, false
	}
	n.messages, n.answeredReads, n.pendingInstall = nil, nil, nil
	n.lastHardState, n.lastSoftState = hardState, softState
	n.awaitingAdvance = true
	return r, true
}

func (n *Node) nextCommitted() []Entry {
	end := min(n.log.commit, n.log.applied+uint64(n.cfg.MaxCommittedPerReady))
	return n.log.after(n.log.applied, end)
}

// Advance reports that r has been persisted, sent and applied.
func (n *Node) Advance(r Ready) {
	n.awaitingAdvance = false
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
	// Entries that have been overwritten in the meantime are not stable; Ready returns their replacements.
	last := r.Entries[len(r.Entries)-1]
	if n.log.matches(Position{Index: last.Index, Term: last.Term}) {
		n.log.stable = max(n.log.stable, last.Index)
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}
