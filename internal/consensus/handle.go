package consensus

// Storage keeps what a member must not forget. wal.Log implements it.
type Storage interface {
	// Persist returns once the snapshot, hard state and entries of r are synced.
	Persist(r Ready) error
}

// Host is the process around a Node.
type Host interface {
	// Send sends messages to other members. Any of them may get lost.
	Send(messages []Message)
	// Restore replaces the state machine.
	Restore(s Snapshot)
	// Apply applies a committed entry. It is called in the order of the log; a waiting proposal
	// ran if its position has this index and term, and did not run if only the index agrees.
	Apply(e Entry)
	// Answer ends a read barrier. The read waits until its index has been applied.
	Answer(r ReadState)
}

// Handle does the work of r in the required order: persist, send, apply, advance. An error means
// that storage has failed; the node then takes no further part.
func (n *Node) Handle(r Ready, storage Storage, host Host) error {
	if err := storage.Persist(r); err != nil {
		host.Send(n.PersistFailed())
		return err
	}
	// Messages promise what was persisted, so they leave after it.
	host.Send(r.Messages)
	if r.Snapshot != nil {
		host.Restore(*r.Snapshot)
	}
	for _, e := range r.Committed {
		host.Apply(e)
	}
	for _, read := range r.Reads {
		host.Answer(read)
	}
	n.Advance(r)
	return nil
}
