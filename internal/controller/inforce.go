package controller

import (
	"context"
	"time"

	"github.com/greengagelock/greengagelock/internal/catalog"
	"github.com/greengagelock/greengagelock/internal/membership"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/result"
)

// inForcePollInterval is the time between two checks of the sessions in a waiting call. The controllers
// report at most every 100 ms.
const inForcePollInterval = 50 * time.Millisecond

// WaitInForce waits until a revision is in force on every node, at most for operator.MaxWaitPerCall. The reply
// says which nodes lag behind.
func (o *Operator) WaitInForce(request *operator.WaitRequest, reply *operator.WaitReply) error {
	return runOnLeader(o, &request.Origin, "WaitInForce", request, reply, func(ctx context.Context) error {
		waitCtx, cancel := context.WithTimeout(ctx, min(max(request.Timeout, 0), operator.MaxWaitPerCall))
		defer cancel()
		return o.c.waitInForce(waitCtx, request.Revision, reply)
	})
}

func (c *Controller) waitInForce(ctx context.Context, revision model.Revision, reply *operator.WaitReply) error {
	if current := c.revision(); revision == 0 || revision > current {
		return result.New(result.RevisionNotFound, "revision %d does not exist, the current revision is %d", revision, current)
	}
	ticker := time.NewTicker(inForcePollInterval)
	defer ticker.Stop()
	for {
		err := c.leader.withTable(func(t *membership.SessionTable, now time.Time) {
			reply.Lagging, reply.Nodes = t.Lagging(now, revision)
			reply.InForce = reply.Nodes - len(reply.Lagging)
			// A new leader may not have received reports about all nodes yet.
			reply.Done = t.Settled(now) && len(reply.Lagging) == 0
		})
		if err != nil || reply.Done {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (c *Controller) revision() (revision model.Revision) {
	c.state.read(func(cat *catalog.Catalog) { revision = cat.Revision() })
	return revision
}
