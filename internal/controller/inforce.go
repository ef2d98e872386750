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

// inForceInterval is how often a waiting call looks at the sessions. Reports come in every 100 ms
// at most.
const inForceInterval = 50 * time.Millisecond

// WaitInForce waits until every node has a revision in force, at most operator.MaxWait.
func (o *Operator) WaitInForce(request *operator.WaitRequest, reply *operator.WaitReply) error {
	return atLeader(o, &request.Origin, "WaitInForce", request, reply, func(ctx context.Context) error {
		limited, cancel := context.WithTimeout(ctx, min(max(request.Timeout, 0), operator.MaxWait))
		defer cancel()
		return o.c.waitInForce(limited, request.Revision, reply)
	})
}

func (c *Controller) waitInForce(ctx context.Context, revision model.Revision, reply *operator.WaitReply) error {
	if current := c.revision(); revision == 0 || revision > current {
		return result.New(result.RevisionNotFound, "revision %d does not exist, the current one is %d", revision, current)
	}
	ticker := time.NewTicker(inForceInterval)
	defer ticker.Stop()
	for {
		err := c.leader.withTable(func(t *membership.SessionTable, now time.Time) {
			reply.Lagging, reply.Nodes = t.Lagging(now, revision)
			reply.InForce = reply.Nodes - len(reply.Lagging)
			// A new leader has not heard of all nodes yet.
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
