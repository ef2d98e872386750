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
//			// 1. Persist. One sync covers everything in ready.
//			if err := log.Persist(ready); err != nil {
//				send(node.PersistFailed()) // the node takes no further part
//				return err
//			}
//			// 2. Send. Messages may promise what was persisted in step 1, never earlier.
//			send(ready.Messages)
//			// 3. Apply, first the snapshot, then the entries in order.
//			if ready.Snapshot != nil {
//				machine.Restore(ready.Snapshot.Data)
//			}
//			for _, e := range ready.Committed {
//				machine.Apply(e) // a waiting proposal ran if position and term agree
//			}
//			// 4. Answer reads whose index has been applied; a failed read is retried.
//			answer(ready.Reads)
//			// 5. Report that ready was handled.
//			node.Advance(ready)
//		}
//		if appliedSinceSnapshot > limit {
//			snapshot, err := node.NewSnapshot(machine.Encode())
//			err = log.SaveSnapshot(snapshot, keep)
//			err = node.Compact(keep, snapshot)
//		}
//	}
//
// Messages may be lost, duplicated, delayed and reordered. A proposal whose position is later
// filled by an entry of another term did not run under that position; a proposal whose fate is
// unknown when the leader steps down has an unknown outcome.
package consensus
