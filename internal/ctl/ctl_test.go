package ctl_test

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/controller"
	"github.com/greengagelock/greengagelock/internal/ctl"
	"github.com/greengagelock/greengagelock/internal/devcerts"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/telemetry"
	"github.com/greengagelock/greengagelock/internal/testseed"
)

func TestCtl(t *testing.T) { testseed.RunSpecs(t, "greengagelockctl") }

// commandLine runs commands with the settings in its folder and keeps what the last one printed.
type commandLine struct {
	dir string
	out string
	err string

	certs       *devcerts.Authority
	controllers []string
}

// startControllers starts three controllers until the spec ends and writes client settings for them.
func startControllers(ctx context.Context) *commandLine {
	GinkgoHelper()
	dir := GinkgoT().TempDir()
	certs, err := devcerts.New(dir)
	Expect(err).NotTo(HaveOccurred())
	members, listeners := map[string]string{}, map[string]net.Listener{}
	for _, name := range []string{"c1", "c2", "c3"} {
		listeners[name], err = net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		members[name] = listeners[name].Addr().String()
	}
	for name, listener := range listeners {
		files, err := certs.Issue(model.RoleController, name)
		Expect(err).NotTo(HaveOccurred())
		startController(ctx, controller.Config{
			Name: name, Members: members, Listener: listener, DataDir: filepath.Join(dir, name), TLS: files,
		})
	}
	files, err := certs.Issue(model.RoleOperator, "ana")
	Expect(err).NotTo(HaveOccurred())
	l := &commandLine{dir: dir, certs: certs, controllers: slices.Sorted(maps.Values(members))}
	settings, err := json.Marshal(map[string]any{
		"controllers": l.controllers,
		"tls":         map[string]string{"cert": files.Cert, "key": files.Key, "ca": files.CA},
	})
	Expect(err).NotTo(HaveOccurred())
	l.write("ctl.jsonc", string(settings))
	return l
}

func startController(ctx context.Context, cfg controller.Config) {
	GinkgoHelper()
	c, err := controller.New(cfg, telemetry.Discard())
	Expect(err).NotTo(HaveOccurred())
	running, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- c.Run(running) }()
	DeferCleanup(func() {
		cancel()
		Expect(<-done).To(Succeed())
	})
}

func (l *commandLine) write(name, text string) string {
	GinkgoHelper()
	path := filepath.Join(l.dir, name)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

func (l *commandLine) read(name string) string {
	GinkgoHelper()
	text, err := os.ReadFile(filepath.Join(l.dir, name))
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// run runs one command and returns its exit status.
func (l *commandLine) run(ctx context.Context, args ...string) int {
	var out, errOut bytes.Buffer
	status := ctl.Run(ctx, append([]string{"--settings", filepath.Join(l.dir, "ctl.jsonc")}, args...), &out, &errOut)
	l.out, l.err = out.String(), errOut.String()
	return status
}

const document = `{
  // Two VMs behind one service.
  "inventory": {"vms": [
    {"name": "plan-1", "zone": "bogota-a", "workspace": "migraciones-andinas", "labels": {"role": "plan"}},
    {"name": "plan-2", "zone": "bogota-b", "workspace": "migraciones-andinas", "labels": {"role": "plan"}},
  ]},
  "services": [
    {"name": "plan-store", "workspace": "migraciones-andinas", "address": "192.0.2.20:7100", "class": "request", "select": {"role": "plan"}},
  ],
}
`

var _ = Describe("greengagelockctl", func() {
	// The exporter of the settings must be used, and its spans must not mix with the JSON on standard output.
	It("writes the span of an edit to standard error if an exporter is set", func(ctx SpecContext) {
		l := startControllers(ctx)
		file := l.write("configuration.jsonc", document)
		text, err := os.ReadFile(filepath.Join(l.dir, "ctl.jsonc"))
		Expect(err).NotTo(HaveOccurred())
		l.write("ctl.jsonc", strings.Replace(string(text), "{", `{"trace": {"exporter": "stdout"},`, 1))
		Expect(l.run(ctx, "config", "apply", "--base", "0", "--id", "first", "--output", "json", file)).To(Equal(0))
		Expect(l.err).To(ContainSubstring(`"Name":"operator.command"`))
		Expect(l.err).To(ContainSubstring(hex.EncodeToString([]byte(model.TraceOf("first")))))
		Expect(json.Valid([]byte(l.out))).To(BeTrue())
		l.write("ctl.jsonc", strings.Replace(string(text), "{", `{"trace": {"exporter": "zipkin"},`, 1))
		Expect(l.run(ctx, "status")).To(Equal(10))
		Expect(l.err).To(ContainSubstring("trace.exporter"))
	})

	// Scripts act on the exit status: a refused or invalid edit must not look like a success, and each kind
	// of refusal must be distinguishable.
	It("reports every outcome of an edit with its own exit status", func(ctx SpecContext) {
		l := startControllers(ctx)
		file := l.write("configuration.jsonc", document)
		Expect(l.run(ctx, "config", "check", file)).To(Equal(0), l.err)
		Expect(l.run(ctx, "config", "apply", file)).To(Equal(2))
		Expect(l.err).To(ContainSubstring("--base"))
		Expect(l.run(ctx, "config", "apply", file, "--base", "0", "--id", "first", "--wait")).To(Equal(0), l.err)
		Expect(l.run(ctx, "config", "apply", file, "--base", "0", "--id", "first")).To(Equal(0), "a resent command gets its first result")
		Expect(l.run(ctx, "config", "apply", file, "--base", "0")).To(Equal(11))
		Expect(l.err).To(ContainSubstring("GGL-1003"))

		wrong := l.write("wrong.jsonc", strings.Replace(document, `"request"`, `"requests"`, 1))
		Expect(l.run(ctx, "config", "apply", wrong, "--base", "1")).To(Equal(10))
		Expect(l.err).To(MatchRegexp(`wrong.jsonc:8:\d+: .*"requests"`))

		emptied := l.write("emptied.jsonc", strings.Replace(document, `"select": {"role": "plan"}`, `"select": {"role": "spare"}`, 1))
		Expect(l.run(ctx, "config", "plan", emptied)).To(Equal(10), "a selector that matches no VM is an error")
		Expect(l.run(ctx, "drain", "plan-1", "plan-2")).To(Equal(12))
		Expect(l.err).To(ContainSubstring("--ack empties:plan-store"))
		Expect(l.run(ctx, "drain", "plan-1", "plan-2", "--ack", "empties:plan-store")).To(Equal(0), l.err)
	}, SpecTimeout(specTimeout))

	// An edit of an old document would undo what somebody else has changed since. The revision line of the
	// document must make the apply fail.
	It("takes the base revision from the document of config show", func(ctx SpecContext) {
		l := startControllers(ctx)
		file := l.write("configuration.jsonc", document)
		Expect(l.run(ctx, "config", "apply", file, "--base", "0")).To(Equal(0), l.err)
		Expect(l.run(ctx, "config", "show")).To(Equal(0), l.err)
		Expect(l.out).To(HavePrefix("// revision 1\n"))
		edited := l.write("edited.jsonc", strings.Replace(l.out, "7100", "7200", 1))
		Expect(l.run(ctx, "drain", "plan-2")).To(Equal(0), l.err)
		Expect(l.run(ctx, "config", "apply", edited)).To(Equal(11))
		Expect(l.run(ctx, "config", "rollback", "1", "--base", "2")).To(Equal(0), l.err)
		Expect(l.run(ctx, "config", "show")).To(Equal(0), l.err)
		Expect(l.out).To(Equal("// revision 3\n" + document))
		Expect(l.run(ctx, "config", "history", "-o", "json")).To(Equal(0), l.err)
		var history []struct{ Author string }
		Expect(json.Unmarshal([]byte(l.out), &history)).To(Succeed())
		Expect(history).To(HaveLen(3))
		Expect(history[0].Author).To(Equal("ana"))
	}, SpecTimeout(specTimeout))

	// The commands that list something must succeed and print rows on a running system.
	It("shows the state of the system", func(ctx SpecContext) {
		l := startControllers(ctx)
		Expect(l.run(ctx, "config", "apply", l.write("configuration.jsonc", document), "--base", "0")).To(Equal(0), l.err)
		for args, want := range map[string]string{
			"status": "current", "targets": "TARGET", "services": "plan-store", "members": "c1", "errors GGL-2002": "QueueFull",
			"explain 198.51.100.7:4000 192.0.2.20:7100": "plan-store",
		} {
			Expect(l.run(ctx, strings.Fields(args)...)).To(Equal(0), "%s: %s", args, l.err)
			Expect(l.out).To(ContainSubstring(want), args)
		}
		Expect(l.run(ctx, "explain", "198.51.100.7:4000", "192.0.2.99:1")).To(Equal(10))
		// The losses that the group bears are known to its leader alone, which may still be elected.
		Eventually(func() string { l.run(ctx, "status"); return l.out }).WithContext(ctx).Should(MatchRegexp("losses borne +1 of 1"))
	}, SpecTimeout(specTimeout))
})

// specTimeout ends a spec that hangs. It is far above the duration on a busy machine.
const specTimeout = 2 * time.Minute
