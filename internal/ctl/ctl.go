// Package ctl implements the commands of greengagelockctl. Most of them call the controllers through
// package operator; some read local files, logs, or the configuration store of the datagram data path.
// Results go to standard output as a table or as JSON. Errors, hints and spans go to standard error.
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

// Exit statuses, as documented in docs/errors.md, and the groups of result codes (code / 1000) that they
// are derived from.
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
	codeGroupInvalid = 1
	codeGroupRefused = 2
	codeGroupControl = 3
	codeGroupStorage = 4
)

const programName = "greengagelockctl"

// DefaultSettings is the client settings file that is read without --settings.
const DefaultSettings = "/etc/greengagelock/ctl.jsonc"

// app holds the global flags, the output streams and the client, which all commands share.
type app struct {
	out              io.Writer
	errOut           io.Writer
	output           string
	settingsFile     string
	timeout          time.Duration
	client           *operator.Client
	clientConfig     operator.Config // with which client was made
	commandLineValid bool            // cobra has accepted command, flags and arguments
	traces           *telemetry.Telemetry
}

// usageError is an error in the command line or in a file that it names. The exit status is exitUsage.
type usageError struct{ error }

// Run runs the command of the arguments and returns the exit status.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	a := &app{out: out, errOut: errOut}
	root := a.rootCommand()
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
	if !a.commandLineValid && !errors.As(err, &usage) {
		// Cobra reports unknown commands, wrong flags and wrong arguments as plain errors.
		err = usageError{err}
	}
	a.printError(command, err)
	return exitStatus(err)
}

// exportSpans exports the spans of the command. If that fails it prints a warning and leaves the exit
// status as it is.
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

// printError prints an error, the meaning of its result code, and what to do next.
func (a *app) printError(command *cobra.Command, err error) {
	fmt.Fprintln(a.errOut, "error:", err)
	var usage usageError
	if errors.As(err, &usage) {
		fmt.Fprintf(a.errOut, "next: see %s --help\n", command.CommandPath())
		return
	}
	var coded *result.Error
	if !errors.As(err, &coded) {
		return
	}
	if coded.Code == result.NoQuorum {
		fmt.Fprintf(a.errOut, "asked: %s (the controllers in %s)\n", strings.Join(a.clientConfig.Controllers, ", "), a.settingsFile)
	}
	if info, ok := result.Lookup(coded.Code); ok {
		fmt.Fprintf(a.errOut, "%s\nnext: %s\n", info.Meaning, info.Next)
	}
}

func exitStatus(err error) int {
	var usage usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	var coded *result.Error
	if !errors.As(err, &coded) {
		return exitFailure
	}
	switch coded.Code {
	case result.RevisionConflict:
		return exitConflict
	case result.AcknowledgeRequired:
		return exitAcknowledge
	case result.NotInForceEverywhere:
		return exitNotInForce
	case result.DeadlineExceeded, result.OutcomeUnknown:
		return exitUnknown
	}
	switch coded.Code / 1000 {
	case codeGroupInvalid:
		return exitInvalid
	case codeGroupRefused:
		return exitRefused
	case codeGroupControl:
		return exitNotRun
	case codeGroupStorage:
		return exitStorage
	}
	return exitFailure
}

func (a *app) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "greengagelockctl",
		Short:         "Operate a greengagelock load balancer",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	flags := root.PersistentFlags()
	flags.StringVar(&a.settingsFile, "settings", DefaultSettings, "client settings: controllers and TLS files")
	flags.StringVarP(&a.output, "output", "o", "table", "output format: table or json")
	flags.DurationVar(&a.timeout, "timeout", operator.DefaultTimeout, "time limit of one operation with its retries")
	// The call fails only for a flag that does not exist.
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]cobra.Completion{"table", "json"}, cobra.ShellCompDirectiveNoFileComp))
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		a.commandLineValid = true
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

// commandGroup returns a command that only groups subcommands. Without a subcommand, or with a misspelled
// one, it returns a usage error: cobra would print the help and exit with 0.
func commandGroup(use, short string, commands ...*cobra.Command) *cobra.Command {
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

// connect returns the client. It is made on first use, because some commands need no controller and no
// settings.
func (a *app) connect() (*operator.Client, error) {
	if a.client != nil {
		return a.client, nil
	}
	s, err := loadSettings(a.settingsFile)
	if err != nil {
		return nil, err
	}
	// Standard output holds the result of the command, so spans go to standard error.
	a.traces, err = telemetry.New(telemetry.Config{
		Node: programName, ServiceName: programName, Logs: a.errOut, Spans: a.errOut,
		Trace: telemetry.TraceConfig{Exporter: s.Trace.Exporter, Endpoint: s.Trace.Endpoint, SampleRatio: 1},
	})
	if err != nil {
		return nil, err
	}
	a.clientConfig = operator.Config{
		Controllers: s.Controllers, TLS: s.files(), Timeout: a.timeout, Tracer: a.traces.Handle("operator").Tracer,
	}
	a.client, err = operator.NewClient(a.clientConfig)
	return a.client, err
}

// readInput returns the content of a file named on the command line; "-" is standard input.
func readInput(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError{err}
	}
	return data, nil
}
