package main

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/olekukonko/tablewriter"

	"github.com/greengagelock/greengagelock/internal/standin"
)

// serviceResult holds the counts of one service, or their totals.
type serviceResult struct {
	opened, broken, notRun                int64
	wrongService, runTwice, refusedAndRun int
	imbalance                             float64
}

// mustBeZero returns the sum of the counts that must be 0.
func (r serviceResult) mustBeZero() int64 {
	return r.broken + int64(r.wrongService+r.runTwice+r.refusedAndRun)
}

// resultOf combines the counts of the callers with those of the targets.
func resultOf(l *serviceLoad, ledger *standin.Ledger, balance *imbalance) serviceResult {
	return serviceResult{
		opened: l.opened.Load(), broken: max(l.broken.Load(), l.brokenAtTarget), notRun: l.notRun.Load(),
		wrongService: ledger.WrongService(l.Service), runTwice: ledger.RunTwice(l.Service),
		refusedAndRun: l.refusedAndRun(ledger), imbalance: balance.maxOverMean(l.Service),
	}
}

// report prints the table and fails if a count that must be 0 is not.
func (d *demo) report() error {
	table := tablewriter.NewTable(d.out)
	var all serviceResult
	table.Header("service", "opened", "refused", "broken", "wrong service", "run twice", "refused and run", "max:mean", "s until in force")
	var errs []error
	for _, l := range d.workload.loads {
		r := resultOf(l, d.ledger, d.imbalance)
		if err := table.Append(r.cells(l.Service)); err != nil {
			return err
		}
		all.add(r)
		if r.mustBeZero() > 0 {
			errs = append(errs, fmt.Errorf("%s: a count that must be 0 is not: %v", l.Service, l.joinedFailures()))
		}
		if r.opened == 0 {
			errs = append(errs, fmt.Errorf("%s: no flow was opened", l.Service))
		}
	}
	table.Footer(append(all.cells("all"), fmt.Sprintf("%.2f", d.maxInForceSeconds)))
	if err := table.Render(); err != nil {
		return err
	}
	for _, l := range d.workload.loads {
		for _, reason := range slices.Sorted(maps.Keys(l.reasons)) {
			fmt.Fprintf(d.out, "Refused by %s: %d with %s\n", l.Service, l.reasons[reason], reason)
		}
	}
	fmt.Fprintf(d.out, "The leaving target received %d new flows later than %v after the drain.\n", d.lateFlows, leavingGrace)
	if d.lateFlows > 0 {
		errs = append(errs, errors.New("the leaving target received new flows"))
	}
	return errors.Join(errs...)
}

// cells returns the cells of the table's row.
func (r serviceResult) cells(service string) []string {
	return []string{
		service, strconv.FormatInt(r.opened, 10), strconv.FormatInt(r.notRun, 10), strconv.FormatInt(r.broken, 10),
		strconv.Itoa(r.wrongService), strconv.Itoa(r.runTwice), strconv.Itoa(r.refusedAndRun), fmt.Sprintf("%.2f", r.imbalance),
	}
}

// add adds the counts of a service and keeps the largest imbalance.
func (r *serviceResult) add(s serviceResult) {
	r.opened += s.opened
	r.notRun += s.notRun
	r.broken += s.broken
	r.wrongService += s.wrongService
	r.runTwice += s.runTwice
	r.refusedAndRun += s.refusedAndRun
	r.imbalance = max(r.imbalance, s.imbalance)
}
