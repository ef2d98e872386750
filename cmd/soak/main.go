// Command soak plays randomized faults against the real processes of the datagram path on this machine, see package
// soak. It prints the plan of each run, and keeps the plan, settings and logs of those that broke a promise.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/greengagelock/greengagelock/internal/soak"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// options are the flags of all commands.
type options struct {
	binary, dir string
	repository  string
	production  string // daemon of the production build, built if a plan needs it
	keep        bool
	out         io.Writer
}

func rootCommand() *cobra.Command {
	o := &options{}
	root := &cobra.Command{Use: "soak", Short: "Play faults against the real processes", SilenceUsage: true, SilenceErrors: true}
	root.PersistentFlags().StringVar(&o.binary, "binary", "bin/greengagelockd", "the daemon")
	root.PersistentFlags().StringVar(&o.dir, "dir", "soak-out", "folder for plans, logs and results of runs that broke a promise")
	root.PersistentFlags().StringVar(&o.repository, "repository", ".", "checkout whose history holds the production build")
	root.PersistentFlags().BoolVar(&o.keep, "keep", false, "keep the folders of all runs")
	var first uint64
	var seeds, parallel, length int
	var upgrade bool
	var deployment string
	runCommand := &cobra.Command{
		Use:   "run",
		Short: "Play the plans that are drawn from consecutive seeds",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			o.out = c.OutOrStdout()
			var plans []*soak.Plan
			draw, err := drawPlan(soak.Deployment(deployment), upgrade)
			if err != nil {
				return err
			}
			for i := range seeds {
				plans = append(plans, draw(first+uint64(i), length*1000))
			}
			return o.play(c.Context(), plans, parallel)
		},
	}
	runCommand.Flags().Uint64Var(&first, "seed", 1, "first seed")
	runCommand.Flags().IntVar(&seeds, "seeds", 1, "number of seeds")
	runCommand.Flags().IntVar(&parallel, "parallel", 2, "runs at the same time")
	runCommand.Flags().BoolVar(&upgrade, "upgrade", false, "begin with the production build and replace it, see deploy/system.toml")
	runCommand.Flags().StringVar(&deployment, "deployment", string(soak.Small), "deployment; \"five\" has five controllers, two of which may be lost at once")
	runCommand.Flags().IntVar(&length, "length", 20, "seconds with events")
	replay := &cobra.Command{
		Use:   "replay FILE",
		Short: "Play the plan in a file, which may have been shortened",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			o.out = c.OutOrStdout()
			plan, err := soak.Load(args[0])
			if err != nil {
				return err
			}
			return o.play(c.Context(), []*soak.Plan{plan}, 1)
		},
	}
	root.AddCommand(runCommand, replay)
	return root
}

// drawPlan returns the function that draws plans for a deployment.
func drawPlan(d soak.Deployment, upgrade bool) (func(seed uint64, lengthMS int) *soak.Plan, error) {
	switch {
	case d == soak.Five && !upgrade:
		return soak.NewFivePlan, nil
	case d == soak.Small && upgrade:
		return soak.NewUpgradePlan, nil
	case d == soak.Small:
		return soak.NewPlan, nil
	}
	return nil, errors.Newf("there are no plans for the deployment %q with upgrade=%t", d, upgrade)
}

// play plays plans, some at the same time, and fails if any broke a promise or could not be played.
func (o *options) play(ctx context.Context, plans []*soak.Plan, parallel int) error {
	binary, err := filepath.Abs(o.binary)
	if err != nil {
		return errors.Wrap(err, "find the daemon")
	}
	if slices.ContainsFunc(plans, func(p *soak.Plan) bool { return p.Production }) {
		folder, err := os.MkdirTemp("", "soak-production")
		if err != nil {
			return errors.Wrap(err, "create a folder for the production build")
		}
		defer func() { _ = os.RemoveAll(folder) }()
		if o.production, err = soak.BuildProduction(ctx, o.repository, folder); err != nil {
			return err
		}
	}
	limit := make(chan struct{}, max(parallel, 1))
	var wait sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for _, plan := range plans {
		limit <- struct{}{}
		wait.Go(func() {
			defer func() { <-limit }()
			ok, err := o.playOne(ctx, binary, plan, &mu)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				fmt.Fprintf(o.out, "seed %d could not be played: %v\n", plan.Seed, err)
			}
			if !ok {
				failed++
			}
		})
	}
	wait.Wait()
	if failed > 0 {
		return errors.Newf("%d of %d runs failed; their folders are in %s", failed, len(plans), o.dir)
	}
	return nil
}

// playOne plays a plan and prints its result. The folder of a run without a violation is removed.
func (o *options) playOne(ctx context.Context, binary string, plan *soak.Plan, mu *sync.Mutex) (ok bool, err error) {
	dir, err := filepath.Abs(filepath.Join(o.dir, fmt.Sprintf("seed-%d", plan.Seed)))
	if err == nil {
		err = errors.CombineErrors(os.RemoveAll(dir), os.MkdirAll(dir, 0o700))
	}
	if err != nil {
		return false, errors.Wrap(err, "create the folder of the run")
	}
	result, err := soak.Run(ctx, soak.Config{Binary: binary, Production: o.production, Dir: dir}, plan)
	if err != nil {
		return false, err
	}
	data, err := json.MarshalIndent(result, "", "  ")
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, "result.json"), append(data, '\n'), 0o600)
	}
	if err != nil {
		return false, errors.Wrap(err, "write the result")
	}
	mu.Lock()
	defer mu.Unlock()
	fmt.Fprintf(o.out, "seed %d: %d events, %+v, %d evacuations, after recovery %d of %d answered, %d violations\n",
		plan.Seed, len(plan.Events), result.Counts, result.Evacuations, result.Served, result.Asked, len(result.Violations))
	for _, v := range result.Violations {
		fmt.Fprintln(o.out, "  ", v)
	}
	if len(result.Violations) > 0 || o.keep {
		return len(result.Violations) == 0, nil
	}
	return true, os.RemoveAll(dir)
}
