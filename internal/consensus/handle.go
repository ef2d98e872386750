package consensus

// Storage persists the state of a member. wal.Log implements it.
type Storage interface {
	// Persist returns once the snapshot, hard state and entries of r are synced.
	Persist(r Ready) error
}

// Host sends the messages and runs the state machine of a Node.
type Host interface {
	// Send sends messages to other members. Messages may be lost.
	Send(messages []Message)
	// Restore replaces the state of the state machine.
	Restore(s Snapshot)
	// Apply applies a committed entry. Entries arrive in log order. A pending proposal was executed
	// if its position has this index and term, and was not if only the index is equal.
	Apply(e Entry)
	// Answer returns the result of ReadIndex. The read has to wait until the index is applied.
	Answer(r ReadState)
}

// Handle processes r in the required order: persist, send, apply, answer reads, advance. It returns an
// error if storage has failed; the node is then halted.
func (n *Node) Handle(r Ready, storage Storage, host Host) error {
	if err := storage.Persist(r); err != nil {
		host.Send(n.PersistFailed())
		return err
	}
	// Messages rely on the persisted state, so they must not be sent before it is synced.
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
