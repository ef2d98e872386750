package replica

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/result"
)

// do runs f in the goroutine that owns the node and waits for its end.
func (r *Replica) do(ctx context.Context, f func(n *consensus.Node) error) error {
	done := make(chan error, 1)
	request := func() {
		if ctx.Err() != nil {
			done <- result.New(result.DeadlineExceeded, "the caller has given up")
			return
		}
		done <- f(r.node)
	}
	select {
	case r.requests <- request:
	default:
		return result.New(result.Overloaded, "%d requests wait for the replicated log", requestQueue)
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return result.New(result.OutcomeUnknown, "the replicated log did not take the request in time")
	}
}

// Propose implements Log.
func (r *Replica) Propose(ctx context.Context, data []byte) (position consensus.Position, err error) {
	proposed := make(chan consensus.Position, 1)
	err = r.do(ctx, func(n *consensus.Node) error {
		p, err := n.Propose(data)
		proposed <- p
		return err
	})
	if err != nil {
		return consensus.Position{}, err
	}
	return <-proposed, nil
}

// ReadBarrier implements Log. The question or the answer can get lost, so it is asked again.
func (r *Replica) ReadBarrier(ctx context.Context) (uint64, error) {
	for {
		limited, cancel := context.WithTimeout(ctx, readRetry)
		index, err := r.readOnce(limited)
		cancel()
		if err == nil {
			return index, nil
		}
		if ctx.Err() != nil {
			return 0, result.New(result.NoQuorum, "no read barrier in time: %v", err)
		}
		ctxtime.Sleep(ctx, readRetry/10)
	}
}

func (r *Replica) readOnce(ctx context.Context) (uint64, error) {
	answer := make(chan consensus.ReadState, 1)
	id := uint64(0)
	err := r.do(ctx, func(n *consensus.Node) error {
		r.lastRead++
		id = r.lastRead
		if err := n.ReadIndex(id); err != nil {
			return err
		}
		r.reads[id] = answer
		return nil
	})
	if err != nil {
		return 0, err
	}
	select {
	case read := <-answer:
		if read.Failed {
			return 0, result.New(result.NoQuorum, "the leader did not confirm the read barrier")
		}
		return read.Index, nil
	case <-ctx.Done():
		// If the queue is full, the entry stays until the log fails or the answer comes.
		_ = r.do(context.WithoutCancel(ctx), func(*consensus.Node) error { delete(r.reads, id); return nil })
		return 0, result.New(result.DeadlineExceeded, "no answer to a read barrier")
	}
}

// Step implements Log.
func (r *Replica) Step(_ context.Context, messages []consensus.Message) error {
	for _, m := range messages {
		select {
		case r.messages <- m:
		default:
			return result.New(result.Overloaded, "%d messages wait for the replicated log", messageQueue)
		}
	}
	return nil
}

// ChangeMember implements Log.
func (r *Replica) ChangeMember(ctx context.Context, change consensus.MemberChange) error {
	proposed := make(chan consensus.Position, 1)
	err := r.do(ctx, func(n *consensus.Node) error {
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
		ctxtime.Sleep(ctx, readRetry/10)
	}
	return result.New(result.OutcomeUnknown, "the change of members was not committed in time")
}

// Transfer implements Log. It waits until another member leads.
func (r *Replica) Transfer(ctx context.Context) error {
	if err := r.do(ctx, func(n *consensus.Node) error { return n.TransferLeadership(0) }); err != nil {
		return err
	}
	for ctx.Err() == nil {
		if s := r.status.Load(); s.Role != consensus.Leader && s.Leader != 0 {
			return nil
		}
		ctxtime.Sleep(ctx, readRetry/30)
	}
	return result.New(result.DeadlineExceeded, "no other member took over in time")
}

// neverHeard is the ContactAge of a member that the leader has not heard from in its term.
const neverHeard = time.Hour

// Status implements Log.
func (r *Replica) Status() Status {
	p := r.status.Load()
	now := r.now()
	s := Status{
		Leader: r.directory.NameOf(p.Leader), IsLeader: p.Role == consensus.Leader, Term: p.Term, Commit: p.Commit,
		Contact: p.contact, QuorumAge: now,
	}
	if p.contact {
		s.QuorumAge = now - p.at + p.age
	}
	for _, id := range slices.Concat(p.Members.Voters, p.Members.Learners) {
		name, address := r.directory.Find(id)
		m := Member{Name: name, Address: address, Learner: p.Members.IsLearner(id), Leader: id == p.Leader}
		if id == p.ID {
			m.Match = p.Last
		}
		for _, peer := range p.Peers {
			if peer.ID == id {
				m.Match = peer.Match
				m.ContactAge = neverHeard
				if peer.ContactKnown {
					m.ContactAge = peer.ContactAge
				}
			}
		}
		s.Members = append(s.Members, m)
	}
	slices.SortFunc(s.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return s
}
