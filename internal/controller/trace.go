package controller

import (
	"go.opentelemetry.io/otel/attribute"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

// traceEdit calls run, which handles a part of an edit, within a span.
func (c *Controller) traceEdit(name string, edit *operator.Edit, reply *operator.EditReply, run func() error) error {
	span := telemetry.StartChangeSpan(c.tel.Tracer, model.TraceOf(edit.CommandID), name,
		attribute.String("node", c.cfg.Name),
		attribute.String("command", edit.CommandID),
		attribute.String("kind", edit.Kind.String()),
		attribute.String("author", edit.Author),
	)
	err := run()
	code := result.CodeOf(err)
	if err == nil {
		code = reply.Result.Code
	}
	span.SetAttributes(
		attribute.Int64("revision", int64(reply.Result.Revision)),
		attribute.Int64("generation", int64(reply.Result.Generation)),
	)
	telemetry.EndChangeSpan(span, uint16(code), err)
	return err
}
