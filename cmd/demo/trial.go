package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/model"
)

// countInterval is the time between two looks at the counts of the trial system.
const countInterval = 3 * time.Second

// serve runs a trial system until ctx is done. Its folder holds what greengagelockctl needs.
func (d *demo) serve(ctx context.Context, folder string) error {
	var err error
	if d.folder, err = trialFolder(folder); err != nil {
		return err
	}
	d.urls = map[string]string{}
	if err := d.prepare(trialTraffic); err != nil {
		return err
	}
	err = d.operate(ctx)
	if ctx.Err() != nil {
		// Whatever the interrupt left unfinished is no failure.
		err = nil
	}
	d.say("stopping everything")
	err = errors.Join(err, d.stopAll())
	if err == nil {
		d.say("stopped; the files stay in %s", d.folder)
	}
	return err
}

// trialFolder returns the absolute path of an empty folder. Files of an earlier trial system, whose
// addresses and certificates were different, would be mistaken for those of this one.
func trialFolder(folder string) (string, error) {
	if folder == "" {
		return os.MkdirTemp("", "greengagelock-trial-")
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return "", err
	}
	entries, err := os.ReadDir(folder)
	if err != nil {
		return "", err
	}
	if len(entries) > 0 {
		return "", fmt.Errorf("--dir %s: the folder is not empty; name a new one", folder)
	}
	return filepath.Abs(folder)
}

// operate starts everything and prints counts until ctx is done.
func (d *demo) operate(ctx context.Context) error {
	if err := d.setUp(ctx); err != nil {
		return err
	}
	if err := d.writeTrialFiles(ctx); err != nil {
		return err
	}
	close(d.ready)
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.work.run(traffic)
	}()
	d.printNext(d.awaitStream(ctx))
	err := d.watch(ctx)
	stop()
	<-done
	d.countBroken()
	d.say("at the end: %s", d.work.counts())
	return err
}

// watch prints new faults and changed counts until ctx is done or a component fails.
func (d *demo) watch(ctx context.Context) error {
	last, printed := "", map[*load]int{}
	for ctx.Err() == nil {
		if err := d.failure(); err != nil {
			return err
		}
		for _, l := range d.work.loads {
			for _, fault := range l.faultsAfter(printed[l]) {
				printed[l]++
				d.say("%s: broken: %v", l.Service, fault)
			}
		}
		if counts := d.work.counts(); counts != last {
			last = counts
			d.say("%s, %d opened so far", counts, d.work.openedSoFar())
		}
		ctxtime.Sleep(ctx, countInterval)
	}
	return nil
}

// counts describes what the callers see. It changes only when something happened to their flows;
// requests that end as they should do not show.
func (w *workload) counts() string {
	var held, broken, refused int64
	reasons := map[string]int{}
	for _, l := range w.loads {
		held += l.held.Load()
		broken += max(l.broken.Load(), l.brokenAtTarget)
		refused += l.notRun.Load()
		l.mu.Lock()
		for reason, n := range l.reasons {
			reasons[reason] += n
		}
		l.mu.Unlock()
	}
	return fmt.Sprintf("%d streams open, %d flows broken, %d refused%s", held, broken, refused, listed(reasons))
}

func (w *workload) openedSoFar() int64 {
	total := int64(0)
	for _, l := range w.loads {
		total += l.opened.Load()
	}
	return total
}

// awaitStream waits for a stream that the printed example can name. It returns nil if ctx is done
// first.
func (d *demo) awaitStream(ctx context.Context) *load {
	for ctx.Err() == nil {
		for _, l := range d.work.loads {
			if l.class == model.ClassStream && l.last.Load() != nil {
				return l
			}
		}
		ctxtime.Sleep(ctx, pollInterval)
	}
	return nil
}

// printNext says how to look at the running system.
func (d *demo) printNext(example *load) {
	if example == nil {
		return
	}
	ctl := "bin/greengagelockctl --settings " + filepath.Join(d.folder, ctlFile)
	lines := []string{
		"", "The trial system runs. In another terminal, type:", "",
		ctl + " status",
		ctl + " targets",
		fmt.Sprintf("%s explain %s %s", ctl, example.last.Load().LocalAddr(), example.Address),
		ctl + " drain notice-2 --wait", "",
		"docs/OPERATIONS.md goes on from here. The files are in " + d.folder + ".",
		"Ctrl-C stops the system. A line follows whenever a count has changed.", "", "",
	}
	fmt.Fprint(d.out, strings.Join(lines, "\n"))
}
