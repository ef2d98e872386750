// Package consensus is the decision logic of the replicated log: leader election with pre-vote,
// quorum commit, read barriers, snapshots and changes of single members.
//
// A Node contains no clock, goroutine, I/O or unseeded randomness. Time comes in as the duration
// since the process started, results go out through Ready. One goroutine owns a Node. The loop
// of the shell is:
//
//	node, err := consensus.New(cfg, log.Restored())
//	for {
//		select {
//		case <-timer: // fires at node.Deadline()
//			node.Tick(now())
//		case m := <-received:
//			err = node.Step(m, now()) // an error means a bad message; log it and go on
//		case p := <-proposals:
//			position, err := node.Propose(p.data) // p waits for the entry at position
//		case id := <-reads:
//			err = node.ReadIndex(id) // the answer is in Ready.Reads
//		}
//		for {
//			ready, ok := node.Ready()
//			if !ok {
//				break
//			}
//			// Persist, send, apply, answer reads, advance, in this order.
//			if err := node.Handle(ready, log, host); err != nil {
//				return err // storage has failed; open it anew and start a new Node
//			}
//		}
//		if appliedSinceSnapshot > limit {
//			snapshot, err := node.NewSnapshot(machine.Encode())
//			err = log.SaveSnapshot(snapshot, keep)
//			err = node.Compact(keep, snapshot)
//		}
//	}
//
// A shell that does not use Handle does the same steps itself:
//
//  1. Persist ready with one sync. If that fails, send node.PersistFailed() and stop.
//  2. Send ready.Messages. They promise what was persisted in step 1.
//  3. Restore ready.Snapshot if it is set, then apply ready.Committed.
//  4. Answer ready.Reads once their index is applied.
//  5. Call node.Advance(ready).
//
// Messages may be lost, duplicated, delayed and reordered. A proposal whose position is later
// filled by an entry of another term did not run under that position; a proposal whose fate is
// unknown when the leader steps down has an unknown outcome.
package consensus
