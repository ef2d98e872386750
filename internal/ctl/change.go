package ctl

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/greengagelock/greengagelock/internal/operator"
)

func (a *app) drainCommand() *cobra.Command {
	return a.leavingCommand("drain NAME...", "List VMs or targets (VM/SERVICE) as leaving: they take no new flows", (*operator.Client).Drain)
}

func (a *app) undrainCommand() *cobra.Command {
	return a.leavingCommand("undrain NAME...", "Remove VMs or targets from the leaving list", (*operator.Client).Undrain)
}

// leavingCommand returns a command that edits the list of leaving VMs and targets through send.
func (a *app) leavingCommand(use, short string, send func(*operator.Client, context.Context, operator.Edit) (*operator.EditReply, error)) *cobra.Command {
	var f editFlags
	c := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			edit := f.newEdit()
			edit.Names = args
			var err error
			if edit.Base, err = a.baseRevision(cmd.Context(), &f); err != nil {
				return err
			}
			return a.sendEdit(cmd.Context(), &f, edit, send)
		},
	}
	f.addAll(c)
	return c
}

func (a *app) membersCommand() *cobra.Command {
	list := queryCommand(a, "members", "List the controllers of the replicated log, or change them",
		func(c *operator.Client, cmd *cobra.Command) ([]operator.Member, error) {
			return c.Members(cmd.Context())
		},
		printMembers)
	add := &cobra.Command{
		Use:   "add NAME ADDRESS:PORT",
		Short: "Add a controller; it counts for the majority once it has caught up",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.changeMembers(cmd, func(c *operator.Client, ctx context.Context) ([]operator.Member, error) {
				return c.AddMember(ctx, args[0], args[1])
			})
		},
	}
	list.AddCommand(add, a.removeMemberCommand())
	return list
}

func (a *app) removeMemberCommand() *cobra.Command {
	force := false
	c := &cobra.Command{
		Use:   "remove NAME",
		Short: "Remove a controller; refused if the others would bear fewer losses",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.changeMembers(cmd, func(c *operator.Client, ctx context.Context) ([]operator.Member, error) {
				if force {
					return c.ForceRemoveMember(ctx, args[0])
				}
				return c.RemoveMember(ctx, args[0])
			})
		},
	}
	c.Flags().BoolVar(&force, "force", false, "remove it even if the others bear fewer losses then; never if they have no majority")
	return c
}

// changeMembers changes the members of the replicated log and prints the new ones.
func (a *app) changeMembers(cmd *cobra.Command, change func(*operator.Client, context.Context) ([]operator.Member, error)) error {
	client, err := a.connect()
	if err != nil {
		return err
	}
	members, err := change(client, cmd.Context())
	if err != nil {
		return err
	}
	return a.print(members, func(t *table) { printMembers(t, members) })
}

func printMembers(t *table, members []operator.Member) {
	t.row("CONTROLLER", "ADDRESS", "ROLE", "LOG INDEX", "LAST HEARD")
	for _, m := range members {
		role := "voter"
		switch {
		case m.Learner:
			role = "learner"
		case m.Leader:
			role = "leader"
		}
		t.row(m.Name, m.Address, role, m.Match, lastHeard(m))
	}
}

// lastHeard returns the time since the leader heard a controller. A controller that does not lead does not know it.
func lastHeard(m operator.Member) string {
	if !m.Heard && !m.Leader {
		return "-"
	}
	return m.ContactAge.Round(100 * time.Millisecond).String()
}
