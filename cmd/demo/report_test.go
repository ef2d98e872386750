package main

import (
	"errors"
	"io"
	"testing"

	"github.com/greengagelock/greengagelock/internal/standin"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

// Guards against a demonstration that succeeds although it has seen a fault.
func TestReportFailsOnEveryFault(t *testing.T) {
	sound := func() *demo {
		l := &load{Endpoint: standin.Endpoint{Service: "apply"}}
		l.opened.Store(1)
		return &demo{out: io.Discard, ledger: standin.NewLedger(), imbalance: newImbalance(), work: workload{loads: []*load{l}}}
	}
	if err := sound().report(); err != nil {
		t.Fatalf("a sound run is reported as failed: %v", err)
	}
	faults := map[string]func(d *demo, l *load){
		"broken at the caller": func(_ *demo, l *load) { l.fail(errors.New("reset")) },
		"broken at the target": func(_ *demo, l *load) { l.brokenAtTarget = 1 },
		"nothing opened":       func(_ *demo, l *load) { l.opened.Store(0) },
		"late flows":           func(d *demo, _ *load) { d.lateFlows = 1 },
	}
	for name, inject := range faults {
		d := sound()
		inject(d, d.work.loads[0])
		if d.report() == nil {
			t.Errorf("%s: the report succeeds", name)
		}
	}
	for _, r := range []row{{wrongService: 1}, {runTwice: 1}, {refusedAndRun: 1}} {
		if r.mustBeZero() == 0 {
			t.Errorf("%+v counts as sound", r)
		}
	}
}
