package controller

import (
	"context"
	"time"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/rpc"
)

// Timeouts of operator calls. Each is below the timeout of the caller, so that the caller gets the error
// instead of a timeout of its own.
const (
	operatorTimeout = 3500 * time.Millisecond
	forwardTimeout  = 3 * time.Second
)

// runOnLeader calls local if this controller is the leader, and forwards the call to the leader otherwise.
// A call is forwarded once only. local runs behind a read index: a leader that has just been elected may not
// have applied the edits that were accepted in earlier terms.
func runOnLeader[R any](o *Operator, origin *operator.Origin, method string, request any, reply *R, local func(ctx context.Context) error) error {
	ctx, cancel := o.peer.CallContext(operatorTimeout)
	defer cancel()
	o.authenticateOrigin(origin)
	if o.c.log.Status().IsLeader {
		if err := o.c.reads.wait(ctx); err != nil {
			return err
		}
		return local(ctx)
	}
	if origin.Forwarded {
		return result.New(result.NotLeader, "controller %s is no longer the leader", o.c.cfg.Name)
	}
	client, err := o.c.leaderClient()
	if err != nil {
		return result.New(result.NoQuorum, "controller %s knows no leader", o.c.cfg.Name)
	}
	origin.Forwarded = true
	leaderReply, err := rpc.Call[R](ctx, client, operatorServiceName+"."+method, request)
	if err != nil {
		return forwardError(err)
	}
	*reply = *leaderReply
	return nil
}

// authenticateOrigin replaces the origin of a call by the peer, unless the peer is another controller. So
// only controllers can name an author other than themselves.
func (o *Operator) authenticateOrigin(origin *operator.Origin) {
	if o.peer.Role != model.RoleController {
		*origin = operator.Origin{Author: o.peer.Name}
	}
}

// forwardError keeps an error that has a result code. One without a code means that the leader could not
// be reached.
func forwardError(err error) error {
	if result.CodeOf(err) == result.Internal {
		return result.New(result.NoQuorum, "the leader cannot be reached: %v", err)
	}
	return err
}
