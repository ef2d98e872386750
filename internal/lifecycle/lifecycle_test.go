package lifecycle_test

import (
	"context"
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/lifecycle"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

// Guards against parts that end before the process has left: it forwards packets while it leaves.
func TestPartsRunWhileTheProcessLeaves(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	left := false
	err := lifecycle.Run(ctx, func(running context.Context) {
		left = running.Err() == nil
		g.Expect(ended).NotTo(BeClosed())
	}, func(running context.Context) error {
		cancel()
		<-running.Done()
		close(ended)
		return nil
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(left).To(BeTrue())
	g.Expect(ended).To(BeClosed())
}

// Guards against a process that goes on without a part that has failed.
func TestAFailureEndsAllParts(t *testing.T) {
	g := NewWithT(t)
	broken := errors.New("broken")
	err := lifecycle.Run(context.Background(), func(context.Context) { t.Error("left without being asked to") },
		func(context.Context) error { return broken },
		lifecycle.Forever(func(running context.Context) { <-running.Done() }))
	g.Expect(err).To(MatchError(broken))
}
