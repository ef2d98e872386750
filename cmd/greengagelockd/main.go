// Command greengagelockd is the daemon of greengagelock. It runs the roles that its settings name: balancer,
// agent and controller. Its subcommand node runs a process of the datagram data path.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/greengagelock/greengagelock/internal/daemon"
	"github.com/greengagelock/greengagelock/internal/settings"
)

func main() {
	outcome, err := execute(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(int(outcome))
}

func execute(args []string) (daemon.Outcome, error) {
	outcome := daemon.OutcomeClean
	var paths []string
	join := false
	command := &cobra.Command{
		Use:   "greengagelockd --settings FILE",
		Short: "Run the roles of this VM: balancer, agent, controller",
		Long: "Run the roles that the settings name. SIGTERM stops the process: it finishes requests in flight first.\n" +
			"The exit status is 0 after a clean stop, 3 if the shutdown timeout passed first, and 1 after a failure.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			var err error
			outcome, err = run(command.Context(), paths, join)
			return err
		},
	}
	command.Flags().StringArrayVar(&paths, "settings", nil,
		"settings file of this process; a trial deployment may run several in one process")
	command.Flags().BoolVar(&join, "join", false,
		"first start of a controller that joins the running ones under \"controllers\" instead of forming a new log")
	if err := command.MarkFlagRequired("settings"); err != nil {
		return daemon.OutcomeFailure, err
	}
	command.AddCommand(nodeCommand())
	command.SetArgs(args)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := command.ExecuteContext(ctx)
	if err != nil && outcome == daemon.OutcomeClean {
		outcome = daemon.OutcomeFailure
	}
	return outcome, err
}

// run loads all settings, so that it reports the problems of every file, and runs a process for each.
func run(ctx context.Context, paths []string, join bool) (daemon.Outcome, error) {
	var all []*settings.Settings
	var problems []error
	for _, path := range paths {
		s, err := settings.Load(path)
		all, problems = append(all, s), append(problems, err)
	}
	if err := errors.Join(problems...); err != nil {
		return daemon.OutcomeFailure, err
	}
	var processes []*daemon.Process
	for _, s := range all {
		if join {
			if err := daemon.Join(s); err != nil {
				return daemon.OutcomeFailure, err
			}
		}
		p, err := daemon.New(s)
		if err != nil {
			return daemon.OutcomeFailure, err
		}
		processes = append(processes, p)
	}
	return daemon.RunAll(ctx, processes)
}
