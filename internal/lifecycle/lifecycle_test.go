package lifecycle_test

import (
	"context"
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/lifecycle"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

// Guards against tasks that end before beforeStop returns: a process still forwards packets while it signs
// off.
func TestTasksRunUntilBeforeStopReturns(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	contextWasAlive := false
	err := lifecycle.Run(ctx, func(running context.Context) {
		contextWasAlive = running.Err() == nil
		g.Expect(ended).NotTo(BeClosed())
	}, func(running context.Context) error {
		cancel()
		<-running.Done()
		close(ended)
		return nil
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(contextWasAlive).To(BeTrue())
	g.Expect(ended).To(BeClosed())
}

// Guards against a process that keeps running after one of its tasks has failed.
func TestFailureStopsAllTasks(t *testing.T) {
	g := NewWithT(t)
	broken := errors.New("broken")
	err := lifecycle.Run(context.Background(), func(context.Context) { t.Error("beforeStop was called although the context is not done") },
		func(context.Context) error { return broken },
		lifecycle.WithoutError(func(running context.Context) { <-running.Done() }))
	g.Expect(err).To(MatchError(broken))
}
