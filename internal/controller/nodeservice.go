package controller

import (
	"context"
	"time"

	"github.com/greengagelock/greengagelock/internal/catalog"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/node"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/rpc"
)

// maxAnnounced bounds the endpoints that one agent offers.
const maxAnnounced = 64

// Node is the RPC service for balancers and agents.
type Node struct {
	c    *Controller
	peer *rpc.Peer
}

// Poll takes in the announcement of a node and returns what the node needs to be up to date. It
// waits for something new as long as the node allows.
func (n *Node) Poll(request *node.PollRequest, reply *node.PollReply) error {
	hold := min(max(request.Wait, 0), node.MaxWait)
	ctx, cancel := n.peer.Deadline(hold + barrierTimeout)
	defer cancel()
	n.c.metrics.Polls.Inc()
	if err := n.touch(&request.Announcement); err != nil {
		return err
	}
	if _, err := n.c.current(); err != nil {
		n.c.metrics.Stale.Inc()
		return err
	}
	if request.Announcement.Applied == 0 {
		// The node has restarted and cannot tell an old view from the current one.
		if err := n.c.barrier.wait(ctx); err != nil {
			return err
		}
	}
	timer := time.NewTimer(hold)
	defer timer.Stop()
	return n.await(ctx, timer.C, request, reply)
}

func (n *Node) touch(a *model.Announcement) error {
	if a.Node != n.peer.Name || a.Role != n.peer.Role {
		return result.New(result.PeerUnknown, "node %s announces itself as %s %q", n.peer.Identity, a.Role, a.Node)
	}
	if len(a.Targets) > maxAnnounced {
		return result.New(result.Overloaded, "node %s announces %d endpoints, the limit is %d", a.Node, len(a.Targets), maxAnnounced)
	}
	changed, ok := n.c.sessions.touch(time.Now(), a)
	if !ok {
		return result.New(result.Overloaded, "controller %s has too many sessions", n.c.cfg.Name)
	}
	if changed {
		select {
		case n.c.kick <- struct{}{}:
		default:
		}
	}
	return nil
}

// await fills in the reply as soon as there is something new for the node, or when its time is
// over. An update that changes only the generation waits for that time, as most changes do not
// concern most agents.
func (n *Node) await(ctx context.Context, expired <-chan time.Time, request *node.PollRequest, reply *node.PollReply) error {
	for over := false; ; {
		changed := n.c.state.next()
		u, current, revision := n.update(request)
		if over || !u.Empty() || revision > request.Announcement.Revision {
			return n.answer(request, reply, u, current)
		}
		select {
		case <-changed:
		case <-expired:
			over = true
		case <-ctx.Done():
			return result.New(result.DeadlineExceeded, "poll of %s was ended", n.peer.Name)
		}
	}
}

func (n *Node) update(request *node.PollRequest) (u catalog.Update, current model.Generation, revision model.Revision) {
	a := &request.Announcement
	n.c.state.read(func(cat *catalog.Catalog) {
		current, revision = cat.View().Generation, cat.View().Revision
		if request.Snapshot && a.Applied <= current {
			u.View = cat.ViewFor(n.peer.Role, n.peer.Name)
			return
		}
		u = cat.Update(n.peer.Role, n.peer.Name, a.Applied, a.Digest)
	})
	return u, current, revision
}

func (n *Node) answer(request *node.PollRequest, reply *node.PollReply, u catalog.Update, current model.Generation) error {
	age, err := n.c.current()
	if err != nil {
		n.c.metrics.Stale.Inc()
		return err
	}
	if request.Announcement.Applied > current {
		n.c.metrics.Stale.Inc()
		return result.New(result.StaleGeneration, "controller %s is at generation %d, the node has %d",
			n.c.cfg.Name, current, request.Announcement.Applied)
	}
	reply.Age, reply.View, reply.Delta = age, u.View, u.Delta
	if u.View != nil {
		n.c.metrics.Snapshots.Inc()
	}
	if u.Delta != nil {
		n.c.metrics.Deltas.Inc()
	}
	return nil
}

// Announce takes in an announcement at once, while a poll of the node is held.
func (n *Node) Announce(a *model.Announcement, reply *node.AnnounceReply) error {
	n.c.metrics.Announcements.Inc()
	if err := n.touch(a); err != nil {
		return err
	}
	age, err := n.c.current()
	reply.Age = age
	return err
}
