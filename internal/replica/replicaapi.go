package replica

import (
	"context"
	"slices"
	"strings"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/result"
)

// runOnNode runs f in the goroutine that owns the node and waits for its result.
func (r *Replica) runOnNode(ctx context.Context, f func(n *consensus.Node) error) error {
	done := make(chan error, 1)
	request := func() {
		if ctx.Err() != nil {
			done <- result.New(result.DeadlineExceeded, "the caller canceled the request before it was handled")
			return
		}
		done <- f(r.node)
	}
	select {
	case r.requests <- request:
	default:
		return result.New(result.Overloaded, "%d requests are already waiting for the replicated log", requestQueueSize)
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return result.New(result.OutcomeUnknown, "the replicated log did not handle the request in time")
	}
}

// Propose implements Log.
func (r *Replica) Propose(ctx context.Context, data []byte) (position consensus.Position, err error) {
	proposed := make(chan consensus.Position, 1)
	err = r.runOnNode(ctx, func(n *consensus.Node) error {
		p, err := n.Propose(data)
		proposed <- p
		return err
	})
	if err != nil {
		return consensus.Position{}, err
	}
	return <-proposed, nil
}

// ReadIndex implements Log. It retries until ctx is done, because the request or the reply can be lost.
func (r *Replica) ReadIndex(ctx context.Context) (uint64, error) {
	for {
		limited, cancel := context.WithTimeout(ctx, readRetryInterval)
		index, err := r.readOnce(limited)
		cancel()
		if err == nil {
			return index, nil
		}
		if ctx.Err() != nil {
			return 0, result.New(result.NoQuorum, "no read index in time: %v", err)
		}
		ctxtime.Sleep(ctx, readRetryInterval/10)
	}
}

func (r *Replica) readOnce(ctx context.Context) (uint64, error) {
	answer := make(chan consensus.ReadState, 1)
	id := uint64(0)
	err := r.runOnNode(ctx, func(n *consensus.Node) error {
		r.lastReadID++
		id = r.lastReadID
		if err := n.ReadIndex(id); err != nil {
			return err
		}
		r.pendingReads[id] = answer
		return nil
	})
	if err != nil {
		return 0, err
	}
	select {
	case read := <-answer:
		if read.Failed {
			return 0, result.New(result.NoQuorum, "the leader did not confirm the read index")
		}
		return read.Index, nil
	case <-ctx.Done():
		// The goroutine that owns the node may have ended, so nothing waits for the removal. If the queue is full, the pending
		// read stays until it is answered or the storage fails.
		select {
		case r.requests <- func() { delete(r.pendingReads, id) }:
		default:
		}
		return 0, result.New(result.DeadlineExceeded, "no reply to the read index request")
	}
}

// Step implements Log.
func (r *Replica) Step(_ context.Context, messages []consensus.Message) error {
	for _, m := range messages {
		select {
		case r.messages <- m:
		default:
			return result.New(result.Overloaded, "%d messages are already waiting for the replicated log", messageQueueSize)
		}
	}
	return nil
}

// ChangeMember implements Log.
func (r *Replica) ChangeMember(ctx context.Context, change consensus.MemberChange) error {
	proposed := make(chan consensus.Position, 1)
	err := r.runOnNode(ctx, func(n *consensus.Node) error {
		p, err := n.ProposeMemberChange(change)
		proposed <- p
		return err
	})
	if err != nil {
		return err
	}
	position := <-proposed
	for ctx.Err() == nil {
		s := r.status.Load()
		if s.Commit >= position.Index && s.Term == position.Term {
			return nil
		}
		if s.Term != position.Term {
			break
		}
		ctxtime.Sleep(ctx, readRetryInterval/10)
	}
	return result.New(result.OutcomeUnknown, "the membership change was not committed in time")
}

// TransferLeadership implements Log. It waits until another member is leader.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	if err := r.runOnNode(ctx, func(n *consensus.Node) error { return n.TransferLeadership(0) }); err != nil {
		return err
	}
	for ctx.Err() == nil {
		if s := r.status.Load(); s.Role != consensus.Leader && s.Leader != 0 {
			return nil
		}
		ctxtime.Sleep(ctx, readRetryInterval/30)
	}
	return result.New(result.DeadlineExceeded, "no other member became leader in time")
}

// Status implements Log.
func (r *Replica) Status() Status {
	p := r.status.Load()
	now := r.now()
	s := Status{
		Leader: r.directory.Name(p.Leader), IsLeader: p.Role == consensus.Leader, Term: p.Term, Commit: p.Commit,
		Contact: p.hasQuorumContact, QuorumAge: now, MembersCommitted: p.Commit >= p.MembersIndex, Transition: p.Transition,
	}
	if p.hasQuorumContact {
		s.QuorumAge = now - p.takenAt + p.quorumAge
	}
	for _, id := range slices.Concat(p.Members.Voters, p.Members.Learners) {
		name, address := r.directory.Find(id)
		m := Member{ID: id, Name: name, Address: address, Learner: p.Members.IsLearner(id), Leader: id == p.Leader}
		if id == p.ID {
			m.Match = p.Last
		}
		for _, peer := range p.Peers {
			if peer.ID == id {
				m.Match, m.ContactAge, m.Heard = peer.Match, peer.ContactAge, peer.Heard
			}
		}
		s.Members = append(s.Members, m)
	}
	slices.SortFunc(s.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return s
}
