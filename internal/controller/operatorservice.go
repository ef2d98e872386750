package controller

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/catalog"
	"github.com/greengagelock/greengagelock/internal/config"
	"github.com/greengagelock/greengagelock/internal/jsonc"
	"github.com/greengagelock/greengagelock/internal/membership"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/rpc"
)

// Operator is the RPC service for operators. Other controllers use it to forward calls.
type Operator struct {
	c    *Controller
	peer *rpc.Peer
}

// Check returns the problems of a document by itself.
func (o *Operator) Check(request *operator.CheckRequest, reply *operator.CheckReply) error {
	_, err := config.Parse(request.File, request.Document)
	reply.Problems = problemsOf(err)
	return nil
}

func problemsOf(err error) jsonc.Problems {
	var problems jsonc.Problems
	errors.As(err, &problems)
	return problems
}

// Plan returns what an edit would do, without doing it.
func (o *Operator) Plan(edit *operator.Edit, reply *operator.EditReply) error {
	return atLeader(o, &edit.Origin, "Plan", edit, reply, func(context.Context) error {
		return o.c.plan(edit, reply)
	})
}

// Edit runs an edit.
func (o *Operator) Edit(edit *operator.Edit, reply *operator.EditReply) error {
	o.identify(&edit.Origin)
	commit := func(ctx context.Context) error {
		return o.c.traceEdit("controller.commit", edit, reply, func() error { return o.c.edit(ctx, edit, reply) })
	}
	take := func() error { return atLeader(o, &edit.Origin, "Edit", edit, reply, commit) }
	if edit.Forwarded {
		return take()
	}
	return o.c.traceEdit("controller.receive", edit, reply, take)
}

// plan fills in what an edit would do in the current state.
func (c *Controller) plan(edit *operator.Edit, reply *operator.EditReply) error {
	var targets []catalog.TargetStatus
	c.state.read(func(cat *catalog.Catalog) { targets = cat.Targets() })
	flows := map[model.TargetID]int{}
	for id, evidence := range c.evidence(targets) {
		flows[id] = evidence.OpenFlows
	}
	var err error
	c.state.read(func(cat *catalog.Catalog) {
		reply.Base = cat.Revision()
		reply.Result = catalog.Result{CommandID: edit.CommandID, Revision: cat.Revision(), Generation: cat.View().Generation}
		var text []byte
		if text, err = editedText(cat, edit); err != nil {
			return
		}
		_, reply.Effects, err = cat.EvaluateWithFlows(edit.File, text, flows)
	})
	if reply.Problems = problemsOf(err); reply.Problems != nil {
		reply.Result.Code, reply.Result.Message = result.ConfigInvalid, reply.Problems.Error()
		return nil
	}
	if err != nil {
		return err
	}
	if missing := config.MissingAcknowledgements(reply.Effects, edit.Acknowledged); len(missing) > 0 {
		reply.Result.Code, reply.Result.Missing = result.AcknowledgeRequired, missing
		reply.Result.Message = "the edit needs acknowledgements"
	}
	return nil
}

// editedText returns the document that an edit would put in force.
func editedText(cat *catalog.Catalog, edit *operator.Edit) ([]byte, error) {
	switch edit.Kind {
	case catalog.KindApply:
		return edit.Document, nil
	case catalog.KindRollback:
		text, ok := cat.DocumentText(edit.Revision)
		if !ok {
			return nil, result.New(result.RevisionNotFound, "revision %d is not kept", edit.Revision)
		}
		return text, nil
	case catalog.KindDrain, catalog.KindUndrain:
		return cat.PreviewDrain(edit.Kind, edit.Names)
	}
	return nil, result.New(result.ConfigInvalid, "edit kind %d is unknown", edit.Kind)
}

// edit puts an edit into the log. A document that is not valid in itself is refused here, since
// that does not depend on the state; everything else is decided in the order of the log.
func (c *Controller) edit(ctx context.Context, edit *operator.Edit, reply *operator.EditReply) error {
	select {
	case c.edits <- struct{}{}:
		defer func() { <-c.edits }()
	default:
		return result.New(result.Overloaded, "%d edits are under way", maxEdits)
	}
	if edit.Kind == catalog.KindApply {
		if _, err := config.Parse(edit.File, edit.Document); err != nil {
			reply.Problems = problemsOf(err)
			reply.Result = catalog.Result{CommandID: edit.CommandID, Code: result.ConfigInvalid, Message: err.Error()}
			c.state.read(func(cat *catalog.Catalog) { reply.Result.Revision = cat.Revision() })
			return nil
		}
	}
	if _, known := c.resultOf(edit.CommandID); !known {
		// The effects are for the reader. The log decides on its own state.
		_ = c.plan(edit, reply)
	}
	cmd := &catalog.Command{
		Kind: edit.Kind, ID: edit.CommandID, Base: edit.Base, Acknowledged: edit.Acknowledged, Author: edit.Author,
		Time: time.Now().UTC(), Revision: edit.Revision, Names: edit.Names,
	}
	if edit.Kind == catalog.KindApply {
		cmd.Document = catalog.Compress(edit.Document)
	}
	limited, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	r, err := c.propose(limited, cmd)
	if err != nil {
		return err
	}
	c.metrics.Edits.WithLabelValues(r.Code.String()).Inc()
	reply.Result = r
	c.tel.Logger.Info().Str("controller", c.cfg.Name).Str("author", edit.Author).Str("command", edit.CommandID).
		Str("kind", edit.Kind.String()).Uint64("revision", uint64(r.Revision)).Uint16("code", uint16(r.Code)).Msg("edit decided")
	return nil
}

// History returns the kept revisions.
func (o *Operator) History(query *operator.Query, reply *operator.HistoryReply) error {
	return atLeader(o, &query.Origin, "History", query, reply, func(context.Context) error {
		o.c.state.read(func(cat *catalog.Catalog) { reply.Revisions = cat.History() })
		return nil
	})
}

// Show returns the document of a revision.
func (o *Operator) Show(request *operator.ShowRequest, reply *operator.ShowReply) error {
	return atLeader(o, &request.Origin, "Show", request, reply, func(context.Context) error {
		return o.c.show(request.Revision, reply)
	})
}

func (c *Controller) show(revision model.Revision, reply *operator.ShowReply) error {
	var err error
	c.state.read(func(cat *catalog.Catalog) {
		if revision == 0 {
			revision = cat.Revision()
		}
		text, ok := cat.DocumentText(revision)
		if !ok {
			err = result.New(result.RevisionNotFound, "revision %d is not kept", revision)
		}
		reply.Revision, reply.Document = revision, text
	})
	return err
}

// Status returns the state of the control plane. A controller that cannot reach the leader
// answers for itself and says so.
func (o *Operator) Status(query *operator.Query, reply *operator.StatusReply) error {
	err := atLeader(o, &query.Origin, "Status", query, reply, func(context.Context) error {
		o.c.status(reply)
		return nil
	})
	if err != nil && o.peer.Role != model.RoleController {
		o.c.status(reply)
		return nil
	}
	return err
}

func (c *Controller) status(reply *operator.StatusReply) {
	status := c.log.Status()
	*reply = operator.StatusReply{
		Controller: c.cfg.Name, Leader: status.Leader, Term: status.Term,
		Current: status.Contact && status.QuorumAge <= MaxAge, Age: status.QuorumAge, Targets: map[string]int{},
	}
	c.state.read(func(cat *catalog.Catalog) {
		view := cat.View()
		reply.Revision, reply.Generation = view.Revision, view.Generation
		for _, t := range view.Targets {
			reply.Targets[t.State.String()]++
		}
		reply.Quarantined = len(cat.Quarantine())
	})
	_ = c.leader.withTable(func(t *membership.SessionTable, now time.Time) {
		reply.Settled = t.Settled(now)
		reply.Lagging, reply.Nodes = t.Lagging(now, reply.Revision)
		reply.InForce = reply.Nodes - len(reply.Lagging)
	})
}

// Targets returns all targets with what their agents report.
func (o *Operator) Targets(query *operator.Query, reply *operator.TargetsReply) error {
	return atLeader(o, &query.Origin, "Targets", query, reply, func(context.Context) error {
		var targets []catalog.TargetStatus
		o.c.state.read(func(cat *catalog.Catalog) { targets, reply.Quarantine = cat.Targets(), cat.Quarantine() })
		evidence := o.c.evidence(targets)
		for _, t := range targets {
			e, known := evidence[t.Model.ID]
			reply.Targets = append(reply.Targets, operator.TargetInfo{TargetStatus: t, Evidence: e, EvidenceKnown: known})
		}
		return nil
	})
}

// Services returns all services.
func (o *Operator) Services(query *operator.Query, reply *operator.ServicesReply) error {
	return atLeader(o, &query.Origin, "Services", query, reply, func(context.Context) error {
		o.c.state.read(func(cat *catalog.Catalog) { reply.Services = cat.Services() })
		return nil
	})
}

// Members returns the controllers.
func (o *Operator) Members(query *operator.Query, reply *operator.MembersReply) error {
	return atLeader(o, &query.Origin, "Members", query, reply, func(context.Context) error {
		reply.Members = o.c.log.Status().Members
		return nil
	})
}

// AddMember adds a controller.
func (o *Operator) AddMember(change *operator.MemberChange, reply *operator.MemberChangeReply) error {
	return atLeader(o, &change.Origin, "AddMember", change, reply, func(ctx context.Context) error {
		err := o.c.members.add(ctx, change.Name, change.Address)
		reply.Members = o.c.log.Status().Members
		return err
	})
}

// RemoveMember removes a controller.
func (o *Operator) RemoveMember(change *operator.MemberChange, reply *operator.MemberChangeReply) error {
	return atLeader(o, &change.Origin, "RemoveMember", change, reply, func(ctx context.Context) error {
		err := o.c.members.remove(ctx, change.Name)
		reply.Members = o.c.log.Status().Members
		return err
	})
}
