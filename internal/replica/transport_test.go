package replica

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/rpc"
	"github.com/greengagelock/greengagelock/internal/testkit"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

// transportTo returns a running transport with one member, to which step delivers.
func transportTo(t *testing.T, step func(ctx context.Context) error) (*Transport, consensus.MemberID) {
	t.Helper()
	transport := NewTransport(TransportConfig{
		Directory: NewDirectory(map[string]string{"member": "192.0.2.1:1"}),
		Dial:      func(string, string) *rpc.Client { return rpc.NewClient(rpc.ClientConfig{Plain: true}) },
		Step:      func(ctx context.Context, _ *rpc.Client, _ []consensus.Message) error { return step(ctx) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		transport.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	testkit.Eventually(t, "the transport runs", func() bool {
		transport.mu.Lock()
		defer transport.mu.Unlock()
		return transport.ctx != nil
	})
	return transport, MemberID("member")
}

// Guards against an election that waits for connections which members began while the others had no power: after a
// loss of power of all, the members that started first answered the later ones only once their connection attempts had
// timed out, 0.2 s after a majority was there.
func TestStuckConnectionIsMadeAnewOnContact(t *testing.T) {
	g := NewWithT(t)
	calls, delivered := make(chan struct{}, 9), make(chan struct{}, 9)
	first := true
	transport, member := transportTo(t, func(ctx context.Context) error {
		calls <- struct{}{}
		if first {
			first = false
			<-ctx.Done() // until the transport gives up, as no timeout ends it here
			return ctx.Err()
		}
		delivered <- struct{}{}
		return nil
	})
	transport.Send([]consensus.Message{{To: member}})
	g.Eventually(calls).Should(Receive())
	transport.Reached(member)
	transport.Send([]consensus.Message{{To: member}})
	g.Eventually(delivered).Should(Receive())
}

// Guards against a member that is never reached because each message from it ends the call to it: a call after an
// abandoned one has to take its time, and so has one to a member that has answered.
func TestOnlyOneCallIsAbandoned(t *testing.T) {
	g := NewWithT(t)
	started, finish := make(chan context.Context, 9), make(chan error)
	transport, member := transportTo(t, func(ctx context.Context) error {
		started <- ctx
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-finish:
			return err
		}
	})
	next := func() context.Context {
		transport.Send([]consensus.Message{{To: member}})
		var ctx context.Context
		g.Eventually(started).Should(Receive(&ctx))
		return ctx
	}
	ctx := next()
	transport.Reached(member)
	g.Eventually(ctx.Done()).Should(BeClosed())
	ctx = next()
	transport.Reached(member)
	g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the call after an abandoned one")
	finish <- nil
	ctx = next()
	transport.Reached(member)
	g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the member has answered")
	finish <- errors.New("the connection failed")
	ctx = next()
	transport.Reached(member)
	g.Eventually(ctx.Done()).Should(BeClosed())
}

// Guards against a pause after a failed call that goes on although the member has called, and against one that ends
// because of a call before it.
func TestPauseEndsOnContact(t *testing.T) {
	g := NewWithT(t)
	q := &peerQueue{wake: make(chan struct{}, 1)}
	q.retryNow() // before the pause
	ended := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		defer close(ended)
		q.pauseAfterFailure(ctx, time.Hour)
	}()
	g.Consistently(ended, "50ms").ShouldNot(BeClosed())
	q.retryNow()
	g.Eventually(ended).Should(BeClosed())
}

// Guards against a member that has lost its disk and is taken for one that is only off, or for one that is reached, and
// against a line for each message to it.
func TestContactTellsHowAMemberIsNotReached(t *testing.T) {
	g := NewWithT(t)
	var step atomic.Pointer[error]
	transport, member := transportTo(t, func(context.Context) error { return *step.Load() })
	var changes atomic.Int64
	transport.cfg.Contact = func(string, error) { changes.Add(1) }
	contactWith := func(to consensus.MemberID, err error) func() Contact {
		step.Store(&err)
		return func() Contact {
			transport.Send([]consensus.Message{{To: to}})
			contact, _ := transport.Contact(to)
			return contact
		}
	}
	for _, c := range []struct {
		err  error
		want Contact
	}{{nil, Reached}, {errors.New("off"), Unreachable}, {ErrReplaced, Replaced}, {nil, Reached}} {
		g.Eventually(contactWith(member, c.err)).Should(Equal(c.want))
		g.Consistently(contactWith(member, c.err), "30ms").Should(Equal(c.want))
	}
	g.Eventually(contactWith(99, nil)).Should(Equal(NoAddress))
	g.Eventually(changes.Load).Should(BeEquivalentTo(4))
}
