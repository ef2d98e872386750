// Command demo runs balancers, controllers, agents and the targets of both example deployments in one
// process on loopback. It keeps streams open and sends requests while the deployment changes, and fails if
// a count that must be 0, such as that of broken flows, is not. With --serve it runs a trial system on
// which an operator can work with greengagelockctl.
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
	"github.com/greengagelock/greengagelock/internal/loopback"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/settings"
	"github.com/greengagelock/greengagelock/internal/standin"
)

// timeLimit ends a run that hangs. A normal run takes about half of it.
const timeLimit = 58 * time.Second

// defaultSeed is the default seed of the fabric, which picks the balancer of each packet.
const defaultSeed = 20261203

// demo is the state of one run.
type demo struct {
	components
	out       io.Writer
	startTime time.Time
	seed      uint64
	logLevel  string
	folder    string // for certificates, data and the files of the trial system
	traffic   trafficProfile
	// telemetryURLs maps processes to their telemetry endpoints. It is nil without --serve.
	telemetryURLs map[string]string
	ready         chan struct{} // closed when the files of the trial system have been written

	addresses   *loopback.Block
	authority   *devcerts.Authority
	fleetKey    encap.Key
	fabric      *standin.Fabric
	ledger      *standin.Ledger
	workload    workload
	imbalance   *imbalance
	document    *document
	controllers []settings.Peer
	operator    *operator.Client
	revision    model.Revision
	balancers   []*balancerNode // running
	targets     []*targetNode

	maxInForceSeconds  float64 // longest time that an edit took to be in force
	leavingTarget      *targetNode
	leavingDeadline    time.Time // from here on the leaving target must receive no new flow
	acceptedAtDeadline atomic.Int64
	lateFlows          int64
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
	err = d.runScenario(ctx)
	d.printLine("stopping everything")
	err = errors.Join(err, d.stopAll())
	if err != nil {
		return err
	}
	return d.report()
}

// prepare reads the examples and creates what all processes share. d.folder must exist.
func (d *demo) prepare(t trafficProfile) (err error) {
	d.startTime = time.Now()
	d.traffic = t
	d.ledger = standin.NewLedger()
	d.imbalance = newImbalance()
	if d.addresses, err = loopback.Reserve(); err != nil {
		return err
	}
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

// printLine prints a line that starts with the seconds since the start of the run.
func (d *demo) printLine(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.2f s  %s\n", time.Since(d.startTime).Seconds(), fmt.Sprintf(format, args...))
}
