package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/ctl"
	"github.com/greengagelock/greengagelock/internal/daemon"
	"github.com/greengagelock/greengagelock/internal/settings"
	"github.com/greengagelock/greengagelock/internal/testseed"
)

// specTimeout ends a spec that hangs. It is far above the duration on a busy machine.
const specTimeout = 3 * time.Minute

func TestTrial(t *testing.T) { testseed.RunSpecs(t, "trial system") }

// operatorSession runs greengagelockctl commands on a trial system and keeps what the last one printed.
type operatorSession struct {
	*demo
	dir, out, err string
}

var _ = Describe("the trial system", func() {
	// The steps of docs/OPERATIONS.md must work as described on a running system and break no flow.
	It("goes through the changes of the operations page", func(ctx SpecContext) {
		w := startTrial(ctx)
		w.refuseWrongEdit(ctx)
		w.applyEdit(ctx)
		w.drainUnderFlows(ctx)
		w.explainFlow(ctx)
		w.replaceController(ctx)
		Expect(w.workload.counts()).To(ContainSubstring(", 0 flows broken, "))
	}, SpecTimeout(specTimeout))

	// A new trial system must not use the files of an earlier one, whose addresses and keys differ.
	It("rejects a folder that is not empty", func(ctx SpecContext) {
		dir := GinkgoT().TempDir()
		Expect(os.WriteFile(filepath.Join(dir, "old"), nil, 0o600)).To(Succeed())
		Expect(newDemo(GinkgoWriter).serve(ctx, dir)).To(MatchError(ContainSubstring("not empty")))
	})
})

// startTrial runs a trial system until the spec ends, and expects it to stop without a failure.
func startTrial(ctx context.Context) *operatorSession {
	GinkgoHelper()
	w := &operatorSession{demo: newDemo(GinkgoWriter), dir: filepath.Join(GinkgoT().TempDir(), "new")}
	w.seed, w.logLevel = defaultSeed, "error"
	running, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- w.serve(running, w.dir) }()
	DeferCleanup(func() {
		stop()
		Eventually(ended).WithTimeout(specTimeout).Should(Receive(Not(HaveOccurred())))
		Expect(w.workload.counts()).To(HavePrefix("0 streams open, 0 flows broken, "))
	})
	select {
	case <-w.ready:
	case err := <-ended:
		ended <- err
		Fail(fmt.Sprintf("the trial system stopped before it was ready: %v", err))
	case <-ctx.Done():
		Fail("the trial system was not ready in time")
	}
	return w
}

// ctl runs one command and returns its exit status.
func (w *operatorSession) ctl(ctx context.Context, args ...string) int {
	var out, errOut bytes.Buffer
	status := ctl.Run(ctx, append([]string{"--settings", filepath.Join(w.dir, ctlFile)}, args...), &out, &errOut)
	w.out, w.err = out.String(), errOut.String()
	return status
}

// writeEdited writes the configuration of the trial system with one text replaced and returns the path.
func (w *operatorSession) writeEdited(old, changed string) string {
	GinkgoHelper()
	text, err := os.ReadFile(filepath.Join(w.dir, configurationFile))
	Expect(err).NotTo(HaveOccurred())
	Expect(string(text)).To(ContainSubstring(old))
	path := filepath.Join(w.dir, "edited.jsonc")
	Expect(os.WriteFile(path, bytes.ReplaceAll(text, []byte(old), []byte(changed)), 0o600)).To(Succeed())
	return path
}

func (w *operatorSession) refuseWrongEdit(ctx context.Context) {
	GinkgoHelper()
	file := w.writeEdited(`"class": "request"`, `"class": "requests"`)
	Expect(w.ctl(ctx, "config", "apply", file)).To(Equal(10))
	Expect(w.err).To(ContainSubstring(`edited.jsonc:196:13: services[1].class: found "requests"`))
	Expect(w.ctl(ctx, "config", "show")).To(Equal(0), w.err)
	Expect(w.out).To(HavePrefix("// revision 1\n"))
}

func (w *operatorSession) applyEdit(ctx context.Context) {
	GinkgoHelper()
	file := w.writeEdited(`"500ms"`, `"400ms"`)
	Expect(w.ctl(ctx, "config", "apply", file, "--wait", "--wait-timeout", "1m")).To(Equal(0), w.err)
	Expect(w.out).To(ContainSubstring("25 of 25 nodes"))
	Expect(w.ctl(ctx, "config", "apply", file)).To(Equal(11))
	Expect(w.ctl(ctx, "config", "plan", file)).To(Equal(0), w.err)
	Expect(w.err).To(ContainSubstring("starts from revision 1 and the current one is 2"))
}

// drainUnderFlows drains a target that has open streams, and expects them to stay open while others open
// elsewhere.
func (w *operatorSession) drainUnderFlows(ctx context.Context) {
	GinkgoHelper()
	const service = "notice-stream"
	leaving := w.targetWithStreams(ctx, service)
	vm := string(leaving.vm.Name)
	held := func() int { return int(leaving.target.Stats(service).Open) }
	before := held()
	Expect(w.ctl(ctx, "drain", vm, "--wait", "--wait-timeout", "1m")).To(Equal(0), w.err)
	Expect(w.ctl(ctx, "targets")).To(Equal(0), w.err)
	Expect(w.out).To(MatchRegexp(`%s/%s +\d+ +%s +%s +draining`, vm, service, leaving.vm.Zone, service))
	opened := w.workload.totalOpened()
	Eventually(w.workload.totalOpened).WithContext(ctx).Should(BeNumerically(">", opened+100))
	Expect(held()).To(BeNumerically(">=", before))
	Expect(w.workload.counts()).To(HavePrefix("40 streams open, 0 flows broken, "))
	Expect(w.ctl(ctx, "undrain", vm, "--wait", "--wait-timeout", "1m")).To(Equal(0), w.err)
}

// targetWithStreams waits for a target with open streams of a service, and returns the one with the most. The
// hash of the flows may leave any given target without a stream.
func (w *operatorSession) targetWithStreams(ctx context.Context, service string) *targetNode {
	GinkgoHelper()
	open := func(t *targetNode) int { return int(t.target.Stats(service).Open) }
	var most *targetNode
	Eventually(func() int {
		most = slices.MaxFunc(w.targets, func(a, b *targetNode) int { return open(a) - open(b) })
		return open(most)
	}).WithContext(ctx).Should(BeNumerically(">", 0))
	return most
}

func (w *operatorSession) explainFlow(ctx context.Context) {
	GinkgoHelper()
	l := w.awaitStream(ctx)
	Expect(w.ctl(ctx, "explain", l.lastStream.Load().LocalAddr().String(), l.Address.String())).To(Equal(0), w.err)
	Expect(w.out).To(ContainSubstring(l.Service))
	Expect(strings.Count(w.out, "candidate ")).To(Equal(7))
}

// replaceController starts a fourth controller as greengagelockd --join does, adds it, and removes the first.
func (w *operatorSession) replaceController(ctx context.Context) {
	GinkgoHelper()
	spare, err := settings.Load(filepath.Join(w.dir, spareControllers[0]+".jsonc"))
	Expect(err).NotTo(HaveOccurred())
	Expect(daemon.Join(spare)).To(Succeed())
	spare.Telemetry.LogLevel = "error"
	p, err := daemon.New(spare)
	Expect(err).NotTo(HaveOccurred())
	running, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := p.Run(running)
		ended <- err
	}()
	DeferCleanup(func() {
		stop()
		Eventually(ended).WithTimeout(specTimeout).Should(Receive(Not(HaveOccurred())))
	})
	Expect(w.ctl(ctx, "--timeout", "1m", "members", "add", spareControllers[0], spare.Controller.Listen.String())).To(Equal(0), w.err)
	Expect(w.out).To(MatchRegexp(`control-4 +\S+ +voter`))
	Expect(w.ctl(ctx, "--timeout", "1m", "members", "remove", "control-1")).To(Equal(0), w.err)
	Expect(w.ctl(ctx, "members")).To(Equal(0), w.err)
	Expect(w.out).NotTo(ContainSubstring("control-1"))
	// The first controller in the tool's settings is the removed one, which has an old revision only.
	Expect(w.ctl(ctx, "--timeout", "1m", "drain", "notice-3", "--wait", "--wait-timeout", "1m")).To(Equal(0), w.err)
	Expect(w.ctl(ctx, "drain", "notice-4")).To(Equal(0), w.err)
	Expect(w.ctl(ctx, "status")).To(Equal(0), w.err)
	Expect(w.out).To(MatchRegexp(`leader +control-[234]`))
}
