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

// maxEndpointsPerAgent limits the endpoints that one agent announces.
const maxEndpointsPerAgent = 64

// Node is the RPC service for balancers and agents.
type Node struct {
	c    *Controller
	peer *rpc.Peer
}

// Poll records the announcement of a node and returns a view or a delta if the node is not up to date. If
// it is, the call is held until there is an update, at most for the time that the node requests.
func (n *Node) Poll(request *node.PollRequest, reply *node.PollReply) error {
	hold := min(max(request.Wait, 0), node.MaxPollWait)
	ctx, cancel := n.peer.CallContext(hold + readIndexTimeout)
	defer cancel()
	n.c.metrics.Polls.Inc()
	if err := n.recordAnnouncement(&request.Announcement); err != nil {
		return err
	}
	if _, err := n.c.quorumAge(); err != nil {
		n.c.metrics.Stale.Inc()
		return err
	}
	if request.Announcement.Applied == 0 {
		// A node that has restarted cannot tell an old view from the current one, so the view must not
		// be older than what any controller has acknowledged.
		if err := n.c.reads.wait(ctx); err != nil {
			return err
		}
	}
	timer := time.NewTimer(hold)
	defer timer.Stop()
	return n.waitForUpdate(ctx, timer.C, request, reply)
}

// recordAnnouncement checks and stores an announcement. If it changed, a report to the leader is triggered.
func (n *Node) recordAnnouncement(a *model.Announcement) error {
	if a.Node != n.peer.Name || a.Role != n.peer.Role {
		return result.New(result.PeerUnknown, "node %s sent the announcement of %s %q", n.peer.Identity, a.Role, a.Node)
	}
	if len(a.Targets) > maxEndpointsPerAgent {
		return result.New(result.Overloaded, "node %s announces %d endpoints, the limit is %d", a.Node, len(a.Targets), maxEndpointsPerAgent)
	}
	changed, ok := n.c.sessions.recordAnnouncement(time.Now(), a)
	if !ok {
		return result.New(result.Overloaded, "controller %s has the maximum number of sessions", n.c.cfg.Name)
	}
	if changed {
		select {
		case n.c.reportWakeup <- struct{}{}:
		default:
		}
	}
	return nil
}

// waitForUpdate fills in the reply when there is an update for the node or when expired fires. An update
// that changes only the generation is sent when expired fires, since most changes do not affect most agents.
func (n *Node) waitForUpdate(ctx context.Context, expired <-chan time.Time, request *node.PollRequest, reply *node.PollReply) error {
	for timedOut := false; ; {
		changed := n.c.state.nextChange()
		u, current, revision := n.updateFor(request)
		if timedOut || !u.Empty() || revision > request.Announcement.Revision {
			return n.fillReply(request, reply, u, current)
		}
		select {
		case <-changed:
		case <-expired:
			timedOut = true
		case <-ctx.Done():
			return result.New(result.DeadlineExceeded, "the poll of %s was canceled or timed out", n.peer.Name)
		}
	}
}

// updateFor returns what the node needs to reach the current generation, with that generation and the
// current revision.
func (n *Node) updateFor(request *node.PollRequest) (u catalog.Update, current model.Generation, revision model.Revision) {
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

// fillReply writes an update to the reply. It returns an error if this controller has no contact with a
// quorum or is behind the node.
func (n *Node) fillReply(request *node.PollRequest, reply *node.PollReply, u catalog.Update, current model.Generation) error {
	age, err := n.c.quorumAge()
	if err != nil {
		n.c.metrics.Stale.Inc()
		return err
	}
	if request.Announcement.Applied > current {
		n.c.metrics.Stale.Inc()
		return result.New(result.StaleGeneration, "controller %s is at generation %d, the node is at %d",
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

// Announce records an announcement that changed while a poll of the node is held.
func (n *Node) Announce(a *model.Announcement, reply *node.AnnounceReply) error {
	n.c.metrics.Announcements.Inc()
	if err := n.recordAnnouncement(a); err != nil {
		return err
	}
	age, err := n.c.quorumAge()
	reply.Age = age
	return err
}
