// Package lifecycle runs the tasks of a process and stops them after the process has left the system.
package lifecycle

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Task runs until its context is done. If it returns an error, all other tasks are stopped too.
type Task func(ctx context.Context) error

// WithoutError turns a function that cannot fail into a Task.
func WithoutError(run func(ctx context.Context)) Task {
	return func(ctx context.Context) error {
		run(ctx)
		return nil
	}
}

// Run runs tasks until ctx is done. It then calls beforeStop while the tasks still run, and stops them once
// beforeStop has returned. If a task fails, the context of beforeStop and of all tasks is canceled. Run
// returns the first error of a task after all tasks have ended.
func Run(ctx context.Context, beforeStop func(ctx context.Context), tasks ...Task) error {
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, taskCtx := errgroup.WithContext(taskCtx)
	for _, task := range tasks {
		group.Go(func() error { return task(taskCtx) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
			beforeStop(taskCtx)
		case <-taskCtx.Done():
		}
		stop()
		return nil
	})
	return group.Wait()
}
