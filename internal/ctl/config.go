package ctl

import (
	"context"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/greengagelock/greengagelock/internal/config"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/result"
)

// defaultWait is the default of --wait-timeout. A revision should be in force on every node within 4 s; the
// rest allows for an election.
const defaultWait = 15 * time.Second

// editFlags are the flags of the commands that change the configuration.
type editFlags struct {
	base         int64
	acknowledged []string
	commandID    string
	wait         bool
	waitTimeout  time.Duration
}

func (f *editFlags) addAll(c *cobra.Command) {
	f.addBase(c)
	f.addAcknowledged(c)
	c.Flags().StringVar(&f.commandID, "id", "", "identifier of the command; repeat it to resend a command whose answer was lost")
	c.Flags().BoolVar(&f.wait, "wait", false, "return once the revision is in force on every node")
	c.Flags().DurationVar(&f.waitTimeout, "wait-timeout", defaultWait, "time limit of --wait")
}

func (f *editFlags) addBase(c *cobra.Command) {
	c.Flags().Int64Var(&f.base, "base", -1,
		"revision that the edit starts from; the default is the \"// revision N\" line of a document, or else the current revision")
}

func (f *editFlags) addAcknowledged(c *cobra.Command) {
	c.Flags().StringSliceVar(&f.acknowledged, "ack", nil, "acknowledge an effect that config plan names; may be repeated")
}

// newEdit returns an edit with the identifier and the acknowledgements of the flags. Without --id it makes
// a new identifier.
func (f *editFlags) newEdit() operator.Edit {
	id := f.commandID
	if id == "" {
		id = operator.NewCommandID()
	}
	return operator.Edit{CommandID: id, Acknowledged: f.acknowledged}
}

func (a *app) configCommand() *cobra.Command {
	return commandGroup("config", "Check, plan, apply and show the configuration",
		a.configCheck(), a.configPlan(), a.configApply(), a.configHistory(), a.configShow(), a.configRollback())
}

func (a *app) configCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration document by itself, without a controller",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			text, err := readInput(args[0])
			if err != nil {
				return err
			}
			if _, err := config.Parse(args[0], text); err != nil {
				return asConfigInvalid(err)
			}
			return a.print(checkResult{File: args[0], Valid: true}, func(t *table) {
				t.row("FILE", "RESULT")
				t.row(args[0], "valid")
			})
		},
	}
}

// asConfigInvalid gives an error without a result code the code ConfigInvalid.
func asConfigInvalid(err error) error {
	if result.CodeOf(err) != result.Internal {
		return err
	}
	return result.New(result.ConfigInvalid, "%v", err)
}

func (a *app) configPlan() *cobra.Command {
	var f editFlags
	c := &cobra.Command{
		Use:   "plan FILE",
		Short: "Show what applying a document would change",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := readInput(args[0])
			if err != nil {
				return err
			}
			client, err := a.connect()
			if err != nil {
				return err
			}
			edit := f.newEdit()
			edit.Kind, edit.File, edit.Document = applyKind, args[0], text
			reply, err := client.Plan(cmd.Context(), &edit)
			if err != nil {
				return err
			}
			if len(reply.Problems) > 0 {
				return result.New(result.ConfigInvalid, "%v", reply.Problems)
			}
			if err := a.printEffects(reply); err != nil {
				return err
			}
			if missing := reply.Result.Missing; len(missing) > 0 {
				fmt.Fprintf(a.errOut, "apply needs: --ack %s\n", strings.Join(missing, " --ack "))
			}
			a.warnOfStaleBase(&f, text, reply.Base)
			return nil
		},
	}
	f.addBase(c)
	f.addAcknowledged(c)
	return c
}

// warnOfStaleBase warns if a document was edited from another revision than the current one. Its effects
// then include undoing what others have changed since.
func (a *app) warnOfStaleBase(f *editFlags, text []byte, current model.Revision) {
	if base, err := documentBase(f, text); err == nil && base != current {
		fmt.Fprintf(a.errOut, "the document starts from revision %d and the current one is %d: apply refuses it; repeat the edit on config show\n", base, current)
	}
}

func (a *app) printEffects(reply *operator.EditReply) error {
	return a.print(reply, func(t *table) {
		if len(reply.Effects) == 0 {
			t.row("no effect on services and targets")
			return
		}
		t.row("EFFECT", "ACKNOWLEDGE")
		for _, effect := range reply.Effects {
			t.row(effect, orDash(effect.Acknowledge))
		}
	})
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// revisionLine is the comment that config show prints before a document.
var revisionLine = regexp.MustCompile(`(?m)^\s*// revision (\d+)\s*$`)

// documentBase returns the revision that a document was edited from: --base, or else the number of its
// revision line. Without either it returns a usage error.
func documentBase(f *editFlags, text []byte) (model.Revision, error) {
	if f.base >= 0 {
		return model.Revision(f.base), nil
	}
	match := revisionLine.FindSubmatch(text)
	if match == nil {
		return 0, usageError{errors.New("the document has no line \"// revision N\" from config show; give --base with the revision that it starts from")}
	}
	n, err := strconv.ParseUint(string(match[1]), 10, 63)
	return model.Revision(n), err
}

func (a *app) configApply() *cobra.Command {
	var f editFlags
	c := &cobra.Command{
		Use:   "apply FILE",
		Short: "Put a document in force",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := readInput(args[0])
			if err != nil {
				return err
			}
			base, err := documentBase(&f, text)
			if err != nil {
				return err
			}
			edit := f.newEdit()
			edit.Base, edit.File, edit.Document = base, args[0], revisionLine.ReplaceAll(text, nil)
			return a.sendEdit(cmd.Context(), &f, edit, (*operator.Client).Apply)
		},
	}
	f.addAll(c)
	return c
}

// sendEdit sends an edit and prints its outcome. With --wait, it then waits until the revision is in force.
func (a *app) sendEdit(ctx context.Context, f *editFlags, edit operator.Edit,
	send func(*operator.Client, context.Context, operator.Edit) (*operator.EditReply, error),
) error {
	client, err := a.connect()
	if err != nil {
		return err
	}
	reply, err := send(client, ctx, edit)
	if err != nil {
		fmt.Fprintf(a.errOut, "to resend this very command, add: --id %s --base %d\n", edit.CommandID, edit.Base)
		return err
	}
	if len(reply.Problems) > 0 {
		return result.New(result.ConfigInvalid, "%v", reply.Problems)
	}
	if missing := reply.Result.Missing; len(missing) > 0 {
		for _, effect := range reply.Effects {
			if slices.Contains(missing, effect.Acknowledge) {
				fmt.Fprintf(a.errOut, "effect: %s\n", effect)
			}
		}
		return result.New(reply.Result.Code, "%s: --ack %s", reply.Result.Message, strings.Join(missing, " --ack "))
	}
	if err := reply.Result.Err(); err != nil {
		return err
	}
	if !f.wait {
		return a.printOutcome(outcome{Revision: reply.Result.Revision, CommandID: edit.CommandID})
	}
	return a.awaitInForce(ctx, client, f, reply.Result.Revision, edit.CommandID)
}

// outcome is the result of an accepted edit. The counts of nodes are known with --wait only.
type outcome struct {
	Revision  model.Revision `json:"revision"`
	CommandID string         `json:"command_id"`
	Waited    bool           `json:"waited"`
	Nodes     int            `json:"nodes,omitempty"`
	InForce   int            `json:"in_force,omitempty"`
	Lagging   []string       `json:"lagging,omitempty"`
}

// awaitInForce waits until every node has the revision in force or the timeout passes, and prints the nodes
// that lag behind. It returns an error if there are any.
func (a *app) awaitInForce(ctx context.Context, client *operator.Client, f *editFlags, revision model.Revision, id string) error {
	reply, err := client.WaitInForce(ctx, revision, f.waitTimeout)
	o := outcome{Revision: revision, CommandID: id, Waited: true}
	if reply != nil {
		o.Nodes, o.InForce = reply.Nodes, reply.InForce
		for _, lag := range reply.Lagging {
			o.Lagging = append(o.Lagging, lag.Node)
		}
		if printErr := a.printOutcome(o); printErr != nil {
			return printErr
		}
	}
	return err
}

func (a *app) printOutcome(o outcome) error {
	return a.print(o, func(t *table) {
		t.row("REVISION", "STATE", "IN FORCE")
		if !o.Waited {
			t.row(o.Revision, "accepted", "see status")
			return
		}
		t.row(o.Revision, "accepted", fmt.Sprintf("%d of %d nodes", o.InForce, o.Nodes))
		for _, node := range o.Lagging {
			t.row("", "not in force on", node)
		}
	})
}

func (a *app) configHistory() *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the kept revisions",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := a.connect()
			if err != nil {
				return err
			}
			revisions, err := client.History(cmd.Context())
			if err != nil {
				return err
			}
			return a.print(revisions, func(t *table) {
				t.row("REVISION", "TIME", "AUTHOR", "KIND", "SOURCE", "COMMAND")
				for _, r := range revisions {
					source := "-"
					if r.Source != 0 {
						source = fmt.Sprint(r.Source)
					}
					t.row(r.Revision, r.Time.Format(time.RFC3339), orDash(r.Author), r.Kind, source, r.CommandID)
				}
			})
		},
	}
}

func (a *app) configShow() *cobra.Command {
	return &cobra.Command{
		Use:   "show [REVISION]",
		Short: "Print the document of a revision, the current one by default",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			revision, err := revisionArgument(args)
			if err != nil {
				return err
			}
			client, err := a.connect()
			if err != nil {
				return err
			}
			reply, err := client.Show(cmd.Context(), revision)
			if err != nil {
				return err
			}
			if a.output == "json" {
				return a.print(revisionDocument{Revision: reply.Revision, Document: string(reply.Document)}, nil)
			}
			_, err = fmt.Fprintf(a.out, "// revision %d\n%s", reply.Revision, reply.Document)
			return err
		},
	}
}

// revisionDocument is a configuration document with its revision.
type revisionDocument struct {
	Revision model.Revision `json:"revision"`
	Document string         `json:"document"`
}

func revisionArgument(args []string) (model.Revision, error) {
	if len(args) == 0 {
		return 0, nil
	}
	n, err := strconv.ParseUint(args[0], 10, 63)
	if err != nil || n == 0 {
		return 0, usageError{errors.Newf("revision %q is not a positive number", args[0])}
	}
	return model.Revision(n), nil
}

func (a *app) configRollback() *cobra.Command {
	var f editFlags
	c := &cobra.Command{
		Use:   "rollback REVISION",
		Short: "Put the document of an earlier revision in force again, as a new revision",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			revision, err := revisionArgument(args)
			if err != nil {
				return err
			}
			edit := f.newEdit()
			edit.Revision = revision
			if edit.Base, err = a.baseRevision(cmd.Context(), &f); err != nil {
				return err
			}
			return a.sendEdit(cmd.Context(), &f, edit, (*operator.Client).Rollback)
		},
	}
	f.addAll(c)
	return c
}

// baseRevision returns --base, or else the current revision. It is for edits that do not replace the
// document. A resent command needs --base: with another base it would be another command.
func (a *app) baseRevision(ctx context.Context, f *editFlags) (model.Revision, error) {
	if f.base >= 0 {
		return model.Revision(f.base), nil
	}
	if f.commandID != "" {
		return 0, usageError{errors.New("--id resends a command: give its --base too, so that it is the same command")}
	}
	client, err := a.connect()
	if err != nil {
		return 0, err
	}
	status, err := a.status(ctx, client)
	if err != nil {
		return 0, err
	}
	return status.Revision, nil
}
