// Command experiment runs the calculations of package experiment and prints their tables as Markdown: simulations that
// compare policies for admitting requests and for assigning flows to targets, and the outcome of an outage that no
// balancer can exceed.
package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/renderer"
	"github.com/olekukonko/tablewriter/tw"
	"github.com/spf13/cobra"

	"github.com/greengagelock/greengagelock/internal/experiment"
)

func main() {
	root := &cobra.Command{
		Use:           "experiment",
		Short:         "Compare policies of admission and of assigning flows",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(c *cobra.Command, _ []string) error { return run(c.OutOrStdout()) },
	}
	plotFile := ""
	bound := &cobra.Command{
		Use:   "bound FILE...",
		Short: "Calculate what any balancer could serve during an outage, from files as in docs/bounds",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			scenarios, err := loadScenarios(files)
			if err != nil {
				return err
			}
			if plotFile != "" {
				if err := experiment.PlotBounds(plotFile, scenarios); err != nil {
					return err
				}
			}
			return boundTable(c.OutOrStdout(), scenarios)
		},
	}
	bound.Flags().StringVar(&plotFile, "plot", "", "PNG file for a plot of the shares")
	root.AddCommand(bound)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

func loadScenarios(files []string) ([]*experiment.BoundScenario, error) {
	var scenarios []*experiment.BoundScenario
	for _, file := range files {
		s, err := experiment.LoadBoundScenario(file)
		if err != nil {
			return nil, err
		}
		scenarios = append(scenarios, s)
	}
	return scenarios, nil
}

// boundTable prints, for each scenario, what any balancer could have served and what was served.
func boundTable(out io.Writer, scenarios []*experiment.BoundScenario) error {
	table := newTable(out, []string{"scenario", "requests", "in objective", "late", "failed"})
	for _, s := range scenarios {
		row := func(name string, o experiment.Outcome) error {
			return table.Append([]string{s.Name, name, fmt.Sprintf("%.0f", o.InObjective), fmt.Sprintf("%.0f", o.Late), fmt.Sprintf("%.0f", o.Failed)})
		}
		var all experiment.Outcome
		for _, r := range s.Rows() {
			if err := row("bound, "+r.Kind, r.Outcome); err != nil {
				return err
			}
			all = r.Outcome
		}
		served := s.ServedOutcome()
		difference := experiment.Outcome{
			InObjective: served.InObjective - all.InObjective, Late: served.Late - all.Late, Failed: served.Failed - all.Failed,
		}
		if err := errors.CombineErrors(row("served", served), row("served less bound", difference)); err != nil {
			return err
		}
	}
	return table.Render()
}

func run(out io.Writer) error {
	for _, mean := range experiment.Means {
		if err := loadTable(out, mean); err != nil {
			return err
		}
	}
	return flowTable(out)
}

func newTable(out io.Writer, header []string) *tablewriter.Table {
	table := tablewriter.NewTable(out,
		tablewriter.WithRenderer(renderer.NewMarkdown()),
		tablewriter.WithHeaderAutoFormat(tw.Off))
	table.Header(header)
	return table
}

// loadTable prints the shares of refused and queued requests for one mean holding time, with and without
// a queue at the targets.
func loadTable(out io.Writer, mean time.Duration) error {
	fmt.Fprintf(out, "\nMean holding time %v, %d requests per run, seed %d:\n\n",
		mean, experiment.Requests, experiment.Seed)
	table := newTable(out, []string{
		"targets × slots", "load", "policy", "refused", "queued", "refused without queue",
		"mean hops", "max hops", "max/mean per target",
	})
	for _, shape := range experiment.Shapes {
		for _, load := range experiment.Loads {
			for _, policy := range experiment.Policies {
				s := experiment.NewScenario(policy, shape, load, mean)
				withQueue := experiment.Run(s)
				s.MaxWait = 0
				withoutQueue := experiment.Run(s)
				err := table.Append([]string{
					shape.String(), percent(load, 0), string(policy),
					percent(withQueue.RefusedShare(), 2), percent(withQueue.QueuedShare(), 1), percent(withoutQueue.RefusedShare(), 2),
					fmt.Sprintf("%.2f", withQueue.MeanHops()), fmt.Sprint(withQueue.MaxHops), fmt.Sprintf("%.2f", withQueue.Imbalance()),
				})
				if err != nil {
					return err
				}
			}
		}
	}
	return table.Render()
}

// flowTable prints the number of broken flows for each kind of change.
func flowTable(out io.Writer) error {
	s := experiment.NewFlowScenario()
	fmt.Fprintf(out, "\n%d flows on %d targets, each candidate busy with a chance of %s, seed %d:\n\n",
		s.Flows, s.Targets, percent(s.Busy, 0), s.Seed)
	table := newTable(out, []string{
		"change", "broken, chain", "delayed, chain", "lost with the VM, chain",
		"broken, consistent hash", "broken, hash modulo targets", "mean hops, chain",
	})
	for _, change := range experiment.Changes {
		r := experiment.RunFlows(s, change)
		err := table.Append([]string{
			string(change), fmt.Sprint(r.Chain), fmt.Sprint(r.Delayed), fmt.Sprint(r.Unavoidable),
			fmt.Sprint(r.Ring), fmt.Sprint(r.Modulo), fmt.Sprintf("%.2f", r.Hops),
		})
		if err != nil {
			return err
		}
	}
	return table.Render()
}

func percent(share float64, digits int) string {
	return fmt.Sprintf("%.*f%%", digits, 100*share)
}
