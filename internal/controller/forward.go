package controller

import (
	"context"
	"time"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/rpc"
)

// Deadlines of operator calls. Each is below that of the caller, so that the caller gets the
// reason instead of a timeout.
const (
	operatorTimeout = 3500 * time.Millisecond
	forwardTimeout  = 3 * time.Second
)

// atLeader runs a call here if this controller leads, or else sends it to the leader.
func atLeader[R any](o *Operator, origin *operator.Origin, method string, request any, reply *R, local func(ctx context.Context) error) error {
	ctx, cancel := o.peer.Deadline(operatorTimeout)
	defer cancel()
	o.identify(origin)
	if o.c.log.Status().IsLeader {
		return local(ctx)
	}
	if origin.Forwarded {
		return result.New(result.NotLeader, "controller %s is not the leader any more", o.c.cfg.Name)
	}
	client, err := o.c.leaderClient()
	if err != nil {
		return result.New(result.NoQuorum, "controller %s knows no leader", o.c.cfg.Name)
	}
	origin.Forwarded = true
	answer, err := rpc.Call[R](ctx, client, operatorServiceName+"."+method, request)
	if err != nil {
		return forwardError(err)
	}
	*reply = *answer
	return nil
}

// identify makes sure that only another controller can name the author of a call.
func (o *Operator) identify(origin *operator.Origin) {
	if o.peer.Role != model.RoleController {
		*origin = operator.Origin{Author: o.peer.Name}
	}
}

// forwardError keeps the result code. An error without one means that the leader was not reached.
func forwardError(err error) error {
	if result.CodeOf(err) == result.Internal {
		return result.New(result.NoQuorum, "the leader cannot be reached: %v", err)
	}
	return err
}
