package replica

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

// Guards against a controller that never stops: a read that was not confirmed yet waited without a bound for the goroutine that
// owns the node, which had ended.
func TestUnconfirmedReadEndsAfterTheNode(t *testing.T) {
	g := NewWithT(t)
	r, err := New(Config{Name: "a", Folder: t.TempDir(), Members: []string{"a", "b", "c"}, Directory: NewDirectory(nil), Send: func([]consensus.Message) {}}, telemetry.Discard())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.open()).To(Succeed())
	leader := consensus.Message{From: MemberID("b"), To: MemberID("a"), Term: 1, Heartbeat: &consensus.Heartbeat{}}
	g.Expect(r.node.Step(leader, r.now())).To(Succeed())
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		_, err := r.readOnce(ctx)
		ended <- err
	}()
	(<-r.requests)() // the last that the owner of the node does
	g.Eventually(ended, 10*time.Second).Should(Receive(HaveOccurred()))
	g.Expect(r.pendingReads).To(HaveLen(1))
	(<-r.requests)()
	g.Expect(r.pendingReads).To(BeEmpty())
	g.Expect(r.storage.Close()).To(Succeed())
}
