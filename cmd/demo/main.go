// Command demo shows greengagelock at work: balancers, controllers, agents and the targets of both
// example deployments in one process on loopback. It holds streams and submits requests while the
// deployment changes, and fails if one of the counts that must be 0 is not.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/greengagelock/greengagelock/internal/devcerts"
	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/settings"
	"github.com/greengagelock/greengagelock/internal/standin"
)

// timeLimit ends a demonstration that hangs. A run takes about half of it.
const timeLimit = 58 * time.Second

// defaultSeed determines the way of the packets through the fabric.
const defaultSeed = 20261203

// demo is the state of a run.
type demo struct {
	processes
	out      io.Writer
	began    time.Time
	seed     uint64
	logLevel string
	folder   string // of certificates and data
	traffic  traffic
	// urls are the addresses of the telemetry endpoints by process, filled by the trial system only.
	urls  map[string]string
	ready chan struct{} // closed when the files of the trial system are there

	addresses   *addresses
	authority   *devcerts.Authority
	fleetKey    encap.Key
	fabric      *standin.Fabric
	ledger      *standin.Ledger
	work        workload
	imbalance   *imbalance
	document    *document
	controllers []settings.Peer
	operator    *operator.Client
	revision    model.Revision
	balancers   []*balancerNode // live
	targets     []*targetNode

	inForce   float64 // largest number of seconds
	leaving   *targetNode
	leftAt    time.Time // after which the leaving target receives no new flow
	atLimit   atomic.Int64
	lateFlows int64
}

func main() {
	d := newDemo(os.Stdout)
	serve, folder := false, ""
	command := &cobra.Command{
		Use: "demo", Short: "Run the demonstration", Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			if serve {
				return d.serve(command.Context(), folder)
			}
			return d.run(command.Context())
		},
	}
	command.Flags().BoolVar(&serve, "serve", false, "run a trial system until interrupted, for use with greengagelockctl")
	command.Flags().StringVar(&folder, "dir", "", "empty or new folder for the files of the trial system (default: a new one under the system's temporary folder)")
	command.Flags().Uint64Var(&d.seed, "seed", defaultSeed, "seed of the fabric")
	command.Flags().StringVar(&d.logLevel, "log-level", "error", "log level of the daemons")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func newDemo(out io.Writer) *demo { return &demo{out: out, ready: make(chan struct{})} }

func (d *demo) run(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	if d.folder, err = os.MkdirTemp("", "greengagelock-demo-"); err != nil {
		return err
	}
	defer os.RemoveAll(d.folder)
	if err := d.prepare(demoTraffic); err != nil {
		return err
	}
	err = d.scenario(ctx)
	d.say("stopping everything")
	err = errors.Join(err, d.stopAll())
	if err != nil {
		return err
	}
	return d.report()
}

// prepare reads the examples and makes what all processes share. The folder must exist.
func (d *demo) prepare(t traffic) (err error) {
	d.began = time.Now()
	d.traffic = t
	d.ledger = standin.NewLedger()
	d.imbalance = newImbalance()
	d.addresses = newAddresses()
	if d.document, err = readDocuments(); err != nil {
		return err
	}
	copy(d.fleetKey[:], "demo fleet key  ")
	certificates := filepath.Join(d.folder, tlsFolder)
	if err := os.MkdirAll(certificates, 0o700); err != nil {
		return err
	}
	d.authority, err = devcerts.New(certificates)
	return err
}

func (d *demo) connectOperator() error {
	files, err := d.authority.Issue(model.RoleOperator, "demo")
	if err != nil {
		return err
	}
	var addresses []string
	for _, c := range d.controllers {
		addresses = append(addresses, c.Address.String())
	}
	d.operator, err = operator.NewClient(operator.Config{Controllers: addresses, TLS: files})
	return err
}

// say prints a line with the time since the start.
func (d *demo) say(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.2f s  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}
