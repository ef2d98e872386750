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

// Operator is the RPC service for operators. Other controllers forward calls to it.
type Operator struct {
	c    *Controller
	peer *rpc.Peer
}

// Check returns the problems of a document that do not depend on the current state.
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

// Plan returns the effects of an edit without running it.
func (o *Operator) Plan(edit *operator.Edit, reply *operator.EditReply) error {
	return runOnLeader(o, &edit.Origin, "Plan", edit, reply, func(context.Context) error {
		return o.c.plan(edit, reply)
	})
}

// Edit runs an edit. The controller that receives it and the leader record a trace span each.
func (o *Operator) Edit(edit *operator.Edit, reply *operator.EditReply) error {
	o.authenticateOrigin(&edit.Origin)
	commit := func(ctx context.Context) error {
		return o.c.traceEdit("controller.commit", edit, reply, func() error { return o.c.edit(ctx, edit, reply) })
	}
	handle := func() error { return runOnLeader(o, &edit.Origin, "Edit", edit, reply, commit) }
	if edit.Forwarded {
		return handle()
	}
	return o.c.traceEdit("controller.receive", edit, reply, handle)
}

// plan fills in the effects of an edit on the current state, or the reason why it would be rejected.
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
		if text, err = editedDocument(cat, edit); err != nil {
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
		reply.Result.Message = "the edit has effects that must be acknowledged"
	}
	return nil
}

// editedDocument returns the document of the revision that an edit would create.
func editedDocument(cat *catalog.Catalog, edit *operator.Edit) ([]byte, error) {
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
	return nil, result.New(result.ConfigInvalid, "unknown edit kind %d", edit.Kind)
}

// edit proposes an edit. A document that is invalid regardless of the state is rejected here; everything
// else is decided when the log entry is applied.
func (c *Controller) edit(ctx context.Context, edit *operator.Edit, reply *operator.EditReply) error {
	select {
	case c.editSlots <- struct{}{}:
		defer func() { <-c.editSlots }()
	default:
		return result.New(result.Overloaded, "%d edits are running, which is the limit", maxConcurrentEdits)
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
		// The effects are for the operator only. The catalog evaluates the edit again when it applies it.
		_ = c.plan(edit, reply)
	}
	cmd := &catalog.Command{
		Kind: edit.Kind, ID: edit.CommandID, Base: edit.Base, Acknowledged: edit.Acknowledged, Author: edit.Author,
		Time: time.Now().UTC(), Revision: edit.Revision, Names: edit.Names,
	}
	if edit.Kind == catalog.KindApply {
		cmd.Document = catalog.Compress(edit.Document)
	}
	proposeCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	r, err := c.propose(proposeCtx, cmd)
	if err != nil {
		return err
	}
	c.metrics.Edits.WithLabelValues(r.Code.String()).Inc()
	reply.Result = r
	c.tel.Logger.Info().Str("controller", c.cfg.Name).Str("author", edit.Author).Str("command", edit.CommandID).
		Str("kind", edit.Kind.String()).Uint64("revision", uint64(r.Revision)).Uint16("code", uint16(r.Code)).Msg("edit processed")
	return nil
}

// History returns the revisions that are still stored.
func (o *Operator) History(query *operator.Query, reply *operator.HistoryReply) error {
	return runOnLeader(o, &query.Origin, "History", query, reply, func(context.Context) error {
		o.c.state.read(func(cat *catalog.Catalog) { reply.Revisions = cat.History() })
		return nil
	})
}

// Show returns the document of a revision; 0 selects the current one.
func (o *Operator) Show(request *operator.ShowRequest, reply *operator.ShowReply) error {
	return runOnLeader(o, &request.Origin, "Show", request, reply, func(context.Context) error {
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

// Status returns the state of the control plane as the leader sees it. A controller that cannot reach the
// leader returns its own state, which names it in the field Controller.
func (o *Operator) Status(query *operator.Query, reply *operator.StatusReply) error {
	err := runOnLeader(o, &query.Origin, "Status", query, reply, func(context.Context) error {
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
		Current: status.Contact && status.QuorumAge <= MaxQuorumAge, Age: status.QuorumAge, Targets: map[string]int{},
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
	reply.Losses = c.losses()
}

// Targets returns all targets with the evidence of their agents, and all quarantined announcements.
func (o *Operator) Targets(query *operator.Query, reply *operator.TargetsReply) error {
	return runOnLeader(o, &query.Origin, "Targets", query, reply, func(context.Context) error {
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
	return runOnLeader(o, &query.Origin, "Services", query, reply, func(context.Context) error {
		o.c.state.read(func(cat *catalog.Catalog) { reply.Services = cat.Services() })
		return nil
	})
}

// Members returns the members of the replicated log.
func (o *Operator) Members(query *operator.Query, reply *operator.MembersReply) error {
	return runOnLeader(o, &query.Origin, "Members", query, reply, func(context.Context) error {
		reply.Members = o.c.log.Status().Members
		return nil
	})
}

// AddMember adds a controller and waits until it is a voter.
func (o *Operator) AddMember(change *operator.MemberChange, reply *operator.MemberChangeReply) error {
	return runOnLeader(o, &change.Origin, "AddMember", change, reply, func(ctx context.Context) error {
		err := o.c.members.add(ctx, change.Name, change.Address)
		reply.Members = o.c.log.Status().Members
		return err
	})
}

// RemoveMember removes a controller.
func (o *Operator) RemoveMember(change *operator.MemberChange, reply *operator.MemberChangeReply) error {
	return runOnLeader(o, &change.Origin, "RemoveMember", change, reply, func(ctx context.Context) error {
		err := o.c.members.remove(ctx, change.Name, change.Force)
		reply.Members = o.c.log.Status().Members
		return err
	})
}
