// Package ctl implements the commands of greengagelockctl on top of the operator API.
package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

// Exit statuses, the same as in docs/errors.md.
const (
	exitOK           = 0
	exitFailure      = 1
	exitUsage        = 2
	exitInvalid      = 10
	exitConflict     = 11
	exitAcknowledge  = 12
	exitNotInForce   = 13
	exitRefused      = 20
	exitNotRun       = 30
	exitUnknown      = 31
	exitStorage      = 40
	thousandsInvalid = 1
	thousandsRefused = 2
	thousandsControl = 3
	thousandsStorage = 4
)

const programName = "greengagelockctl"

// DefaultSettings is the client settings file that is read when --settings is not given.
const DefaultSettings = "/etc/greengagelock/ctl.jsonc"

// app holds what all commands share.
type app struct {
	out     io.Writer
	errOut  io.Writer
	output  string
	file    string
	timeout time.Duration
	client  *operator.Client
	config  operator.Config // of client
	started bool            // the command line was understood
	traces  *telemetry.Telemetry
}

// usageError is a mistake in the command line itself.
type usageError struct{ error }

// Run runs one command and returns the exit status.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	a := &app{out: out, errOut: errOut}
	root := a.root()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	command, err := root.ExecuteContextC(ctx)
	if a.client != nil {
		a.client.Close()
	}
	a.exportSpans()
	if err == nil {
		return exitOK
	}
	var usage usageError
	if !a.started && !errors.As(err, &usage) {
		// Cobra reports wrong commands, flags and arguments as plain errors.
		err = usageError{err}
	}
	a.report(command, err)
	return exitStatus(err)
}

// exportSpans exports the spans of the command. A failure does not change the outcome of the command.
func (a *app) exportSpans() {
	if a.traces == nil {
		return
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if err := a.traces.Run(ended); err != nil {
		fmt.Fprintln(a.errOut, "warning: spans not exported:", err)
	}
}

// report prints an error and what to do next.
func (a *app) report(command *cobra.Command, err error) {
	fmt.Fprintln(a.errOut, "error:", err)
	var usage usageError
	if errors.As(err, &usage) {
		fmt.Fprintf(a.errOut, "next: see %s --help\n", command.CommandPath())
		return
	}
	var numbered *result.Error
	if !errors.As(err, &numbered) {
		return
	}
	if numbered.Code == result.NoQuorum {
		fmt.Fprintf(a.errOut, "asked: %s (the controllers in %s)\n", strings.Join(a.config.Controllers, ", "), a.file)
	}
	if info, ok := result.Lookup(numbered.Code); ok {
		fmt.Fprintf(a.errOut, "%s\nnext: %s\n", info.Meaning, info.Next)
	}
}

func exitStatus(err error) int {
	var usage usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	var numbered *result.Error
	if !errors.As(err, &numbered) {
		return exitFailure
	}
	switch numbered.Code {
	case result.RevisionConflict:
		return exitConflict
	case result.AcknowledgeRequired:
		return exitAcknowledge
	case result.NotInForceEverywhere:
		return exitNotInForce
	case result.DeadlineExceeded, result.OutcomeUnknown:
		return exitUnknown
	}
	switch numbered.Code / 1000 {
	case thousandsInvalid:
		return exitInvalid
	case thousandsRefused:
		return exitRefused
	case thousandsControl:
		return exitNotRun
	case thousandsStorage:
		return exitStorage
	}
	return exitFailure
}

func (a *app) root() *cobra.Command {
	root := &cobra.Command{
		Use:           "greengagelockctl",
		Short:         "Operate a greengagelock load balancer",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	flags := root.PersistentFlags()
	flags.StringVar(&a.file, "settings", DefaultSettings, "client settings: controllers and TLS files")
	flags.StringVarP(&a.output, "output", "o", "table", "output format: table or json")
	flags.DurationVar(&a.timeout, "timeout", operator.DefaultTimeout, "time limit of one operation with its retries")
	// It fails only for flags that do not exist.
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]cobra.Completion{"table", "json"}, cobra.ShellCompDirectiveNoFileComp))
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		a.started = true
		if a.output != "table" && a.output != "json" {
			return usageError{errors.Newf("--output is %q, want table or json", a.output)}
		}
		return nil
	}
	root.AddCommand(a.settingsCommand(), a.configCommand(), a.statusCommand(), a.targetsCommand(), a.servicesCommand(),
		a.drainCommand(), a.undrainCommand(), a.membersCommand(), a.explainCommand(), a.storeCommand(), a.errorsCommand(),
		a.trialCommand())
	return root
}

// group returns a command that does nothing without one of its own commands. A misspelled one is an
// error, because cobra would print the help and report success.
func group(use, short string, commands ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{
		Use:   use,
		Short: short,
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) > 0 {
				return usageError{errors.Newf("unknown command %q for %q", args[0], c.CommandPath())}
			}
			return usageError{errors.Newf("%q needs one of its commands", c.CommandPath())}
		},
	}
	c.AddCommand(commands...)
	return c
}

// connect returns the client, which is made on first use: some commands need no controller.
func (a *app) connect() (*operator.Client, error) {
	if a.client != nil {
		return a.client, nil
	}
	s, err := loadSettings(a.file)
	if err != nil {
		return nil, err
	}
	// Standard output holds the result of the command, so spans go to the standard error.
	a.traces, err = telemetry.New(telemetry.Config{
		Node: programName, ServiceName: programName, Logs: a.errOut, Spans: a.errOut,
		Trace: telemetry.TraceConfig{Exporter: s.Trace.Exporter, Endpoint: s.Trace.Endpoint, SampleRatio: 1},
	})
	if err != nil {
		return nil, err
	}
	a.config = operator.Config{
		Controllers: s.Controllers, TLS: s.files(), Timeout: a.timeout, Tracer: a.traces.Handle("operator").Tracer,
	}
	a.client, err = operator.NewClient(a.config)
	return a.client, err
}

// read returns the content of a file that the operator names; "-" is standard input.
func read(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError{err}
	}
	return data, nil
}
