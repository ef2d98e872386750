// Package lifecycle runs the parts of a process and stops them in order.
package lifecycle

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Part is a part of a process. It runs until its context is done; an error ends the other parts too.
type Part func(ctx context.Context) error

// Forever returns a part that has no errors.
func Forever(run func(ctx context.Context)) Part {
	return func(ctx context.Context) error {
		run(ctx)
		return nil
	}
}

// Run runs parts until ctx is done. Then it calls leave, which may still use the parts, and ends them once
// it has returned. The context of leave and of the parts is done as soon as a part fails. Run returns the
// first error of a part after all have ended.
func Run(ctx context.Context, leave func(ctx context.Context), parts ...Part) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	for _, part := range parts {
		group.Go(func() error { return part(running) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
			leave(running)
		case <-running.Done():
		}
		stop()
		return nil
	})
	return group.Wait()
}
