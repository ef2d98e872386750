// Package consensus implements the Raft protocol for the replicated log: leader election with
// pre-vote, log replication, commit by quorum, linearizable reads, snapshots, leadership transfer
// and membership changes of one member at a time.
//
// A Node contains no clock, goroutine, I/O or unseeded randomness. Time is passed in as the duration
// since the process started, and output is returned by Ready. One goroutine owns a Node. The host,
// which is the code that drives it, runs this loop:
//
//	node, err := consensus.New(cfg, log.Restored())
//	for {
//		select {
//		case <-timer: // fires at node.Deadline()
//			node.Tick(now())
//		case m := <-received:
//			err = node.Step(m, now()) // the message is invalid; log the error and continue
//		case p := <-proposals:
//			position, err := node.Propose(p.data) // p waits for the entry at position
//		case id := <-reads:
//			err = node.ReadIndex(id) // the result is in Ready.Reads
//		}
//		for {
//			ready, ok := node.Ready()
//			if !ok {
//				break
//			}
//			// Persist, send, apply, answer reads, advance, in this order.
//			if err := node.Handle(ready, log, host); err != nil {
//				return err // storage failed; reopen it and create a new Node
//			}
//		}
//		if appliedSinceSnapshot > limit {
//			snapshot, err := node.NewSnapshot(machine.Encode())
//			err = log.SaveSnapshot(snapshot, keep)
//			err = node.Compact(keep, snapshot)
//		}
//	}
//
// A host that does not use Handle performs the same steps itself:
//
//  1. Persist ready with one sync. If that fails, send node.PersistFailed() and stop.
//  2. Send ready.Messages. They rely on the state persisted in step 1.
//  3. Restore ready.Snapshot if it is set, then apply ready.Committed.
//  4. Answer ready.Reads once their index is applied.
//  5. Call node.Advance(ready).
//
// Messages may be lost, duplicated, delayed and reordered. If an entry of another term is committed
// at the index of a proposal, the proposal was not executed at that position. A proposal that is
// still uncommitted when the leader steps down has an unknown outcome.
package consensus
