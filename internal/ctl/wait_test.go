package ctl_test

import (
	"context"
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/node"
	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

// noopBalancer is a node that announces itself as a balancer and ignores its views.
type noopBalancer string

func (n noopBalancer) Announcement() model.Announcement {
	return model.Announcement{Node: string(n), Role: model.RoleBalancer, VM: model.VM(n)}
}

func (noopBalancer) ApplyView(*model.View) {}

// runNode runs the session of a balancer until the returned function is called.
func (l *commandLine) runNode(ctx context.Context, name string) (stop func()) {
	GinkgoHelper()
	files, err := l.certs.Issue(model.RoleBalancer, name)
	Expect(err).NotTo(HaveOccurred())
	session, err := node.New(node.Config{
		Name: name, Role: model.RoleBalancer, Controllers: l.controllers, TLS: files,
	}, noopBalancer(name), telemetry.Discard())
	Expect(err).NotTo(HaveOccurred())
	running, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- session.Run(running) }()
	stop = func() {
		cancel()
		Eventually(done).WithTimeout(specTimeout).Should(Receive(Succeed()))
	}
	return stop
}

// status returns the parsed JSON output of the status command.
func (l *commandLine) status(ctx context.Context) operator.StatusReply {
	GinkgoHelper()
	Expect(l.run(ctx, "status", "-o", "json")).To(Equal(0), l.err)
	var s operator.StatusReply
	Expect(json.Unmarshal([]byte(l.out), &s)).To(Succeed())
	return s
}

var _ = Describe("--wait", func() {
	// An operator must not take an edit for complete while a node still works with the old revision.
	It("names the nodes that do not have the revision in force", func(ctx SpecContext) {
		l := startControllers(ctx)
		stopFirst := l.runNode(ctx, "entry-1")
		stopSecond := l.runNode(ctx, "entry-2")
		DeferCleanup(stopSecond)
		Eventually(func() int { return l.status(ctx).Nodes }).WithContext(ctx).Should(Equal(2))
		stopFirst()

		file := l.write("configuration.jsonc", document)
		Expect(l.run(ctx, "config", "apply", file, "--base", "0", "--wait", "--wait-timeout", "1s")).To(Equal(13), l.err)
		Expect(l.out).To(MatchRegexp(`not in force on +entry-1\n`))
		Expect(l.err).To(ContainSubstring("GGL-1010"))
		// A new leader does not report lagging nodes until it has settled: it learns of them by their polls.
		Eventually(func() bool {
			s := l.status(ctx)
			return s.Settled && len(s.Lagging) == 1
		}).WithContext(ctx).Should(BeTrue())
		Expect(l.run(ctx, "status")).To(Equal(0), l.err)
		Expect(l.out).To(MatchRegexp(`in force +1 of 2 nodes\n`))
		Expect(l.out).To(MatchRegexp(`not in force on +entry-1 \(balancer, revision 0, last seen `))
	}, SpecTimeout(specTimeout))
})
