package main

import (
	"errors"
	"io"
	"testing"

	"github.com/greengagelock/greengagelock/internal/standin"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

// A run with a fault must not succeed: the report must fail for every count that must be 0, and if no flow
// was opened.
func TestReportFailsOnEveryFault(t *testing.T) {
	newFaultless := func() *demo {
		l := &serviceLoad{Endpoint: standin.Endpoint{Service: "apply"}}
		l.opened.Store(1)
		return &demo{out: io.Discard, ledger: standin.NewLedger(), imbalance: newImbalance(), workload: workload{loads: []*serviceLoad{l}}}
	}
	if err := newFaultless().report(); err != nil {
		t.Fatalf("a run without a fault is reported as failed: %v", err)
	}
	faults := map[string]func(d *demo, l *serviceLoad){
		"broken at the caller": func(_ *demo, l *serviceLoad) { l.recordBroken(errors.New("reset")) },
		"broken at the target": func(_ *demo, l *serviceLoad) { l.brokenAtTarget = 1 },
		"nothing opened":       func(_ *demo, l *serviceLoad) { l.opened.Store(0) },
		"late flows":           func(d *demo, _ *serviceLoad) { d.lateFlows = 1 },
	}
	for name, inject := range faults {
		d := newFaultless()
		inject(d, d.workload.loads[0])
		if d.report() == nil {
			t.Errorf("%s: the report succeeds", name)
		}
	}
	for _, r := range []serviceResult{{wrongService: 1}, {runTwice: 1}, {refusedAndRun: 1}} {
		if r.mustBeZero() == 0 {
			t.Errorf("%+v counts as free of faults", r)
		}
	}
}
