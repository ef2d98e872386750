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

// countInterval is the time between two checks for changed counts of the trial system.
const countInterval = 3 * time.Second

// serve runs a trial system until ctx is done. The folder receives the files that greengagelockctl needs
// and stays afterwards.
func (d *demo) serve(ctx context.Context, folder string) error {
	var err error
	if d.folder, err = prepareFolder(folder); err != nil {
		return err
	}
	d.telemetryURLs = map[string]string{}
	if err := d.prepare(trialTraffic); err != nil {
		return err
	}
	err = d.runTrial(ctx)
	if ctx.Err() != nil {
		// Work that the interrupt has stopped is no failure.
		err = nil
	}
	d.printLine("stopping everything")
	err = errors.Join(err, d.stopAll())
	if err == nil {
		d.printLine("stopped; the files stay in %s", d.folder)
	}
	return err
}

// prepareFolder creates the folder, or a temporary one without a name, and returns its absolute path. It
// rejects one that is not empty: files of an earlier trial system have other addresses and certificates and
// would be mistaken for those of this one.
func prepareFolder(folder string) (string, error) {
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

// runTrial starts the system and its traffic and prints changes until ctx is done.
func (d *demo) runTrial(ctx context.Context) error {
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
		d.workload.run(traffic)
	}()
	d.printInstructions(d.awaitStream(ctx))
	err := d.printChanges(ctx)
	stop()
	<-done
	d.countBrokenAtTargets()
	d.printLine("at the end: %s", d.workload.counts())
	return err
}

// printChanges prints newly broken flows and changed counts until ctx is done or a component fails.
func (d *demo) printChanges(ctx context.Context) error {
	last, printed := "", map[*serviceLoad]int{}
	for ctx.Err() == nil {
		if err := d.failure(); err != nil {
			return err
		}
		for _, l := range d.workload.loads {
			for _, fault := range l.failuresFrom(printed[l]) {
				printed[l]++
				d.printLine("%s: broken: %v", l.Service, fault)
			}
		}
		if counts := d.workload.counts(); counts != last {
			last = counts
			d.printLine("%s, %d opened so far", counts, d.workload.totalOpened())
		}
		ctxtime.Sleep(ctx, countInterval)
	}
	return nil
}

// counts describes what the callers have seen. Requests that were answered do not change it, so that it
// changes only for an event of interest.
func (w *workload) counts() string {
	var held, broken, refused int64
	reasons := map[string]int{}
	for _, l := range w.loads {
		held += l.streamsOpen.Load()
		broken += max(l.broken.Load(), l.brokenAtTarget)
		refused += l.notRun.Load()
		l.mu.Lock()
		for reason, n := range l.reasons {
			reasons[reason] += n
		}
		l.mu.Unlock()
	}
	return fmt.Sprintf("%d streams open, %d flows broken, %d refused%s", held, broken, refused, formatCounts(reasons))
}

func (w *workload) totalOpened() int64 {
	total := int64(0)
	for _, l := range w.loads {
		total += l.opened.Load()
	}
	return total
}

// awaitStream waits until a service has opened a stream, which printInstructions names, and returns its
// load. It returns nil if ctx is done first.
func (d *demo) awaitStream(ctx context.Context) *serviceLoad {
	for ctx.Err() == nil {
		for _, l := range d.workload.loads {
			if l.class == model.ClassStream && l.lastStream.Load() != nil {
				return l
			}
		}
		ctxtime.Sleep(ctx, pollInterval)
	}
	return nil
}

// printInstructions prints commands to try on the running system.
func (d *demo) printInstructions(example *serviceLoad) {
	if example == nil {
		return
	}
	ctl := "bin/greengagelockctl --settings " + filepath.Join(d.folder, ctlFile)
	lines := []string{
		"", "The trial system runs. In another terminal, type:", "",
		ctl + " status",
		ctl + " targets",
		fmt.Sprintf("%s explain %s %s", ctl, example.lastStream.Load().LocalAddr(), example.Address),
		ctl + " drain notice-2 --wait", "",
		"docs/OPERATIONS.md goes on from here. The files are in " + d.folder + ".",
		"Ctrl-C stops the system. A line follows whenever a count has changed.", "", "",
	}
	fmt.Fprint(d.out, strings.Join(lines, "\n"))
}
