package ctl_test

import (
	"net"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a wrong command line", func() {
	// Cobra prints the help and exits with 0 for some misspelled commands, which a script takes for success.
	It("has exit status 2 and names the help to read", func(ctx SpecContext) {
		l := &commandLine{dir: GinkgoT().TempDir()}
		for args, help := range map[string]string{
			"bogus": "greengagelockctl", "config bogus": "greengagelockctl config", "config": "greengagelockctl config",
			"settings": "greengagelockctl settings", "trial certificates": "greengagelockctl trial",
			"members bogus": "greengagelockctl members", "config apply": "greengagelockctl config apply",
			"config plan x --wait": "greengagelockctl config plan", "drain": "greengagelockctl drain",
			"explain here there": "greengagelockctl explain", "status -o yaml": "greengagelockctl status",
			"config show first": "greengagelockctl config show", "config apply /nonexistent": "greengagelockctl config apply",
			"status": "greengagelockctl status",
		} {
			Expect(l.run(ctx, strings.Fields(args)...)).To(Equal(2), args)
			Expect(l.out).To(BeEmpty(), args)
			Expect(l.err).To(HaveSuffix("next: see "+help+" --help\n"), args)
		}
	}, SpecTimeout(specTimeout))

	// Help and completion must work without settings and without a controller.
	It("is not reported for help and completion", func(ctx SpecContext) {
		l := &commandLine{dir: GinkgoT().TempDir()}
		for args, want := range map[string]string{
			"": "Available Commands:", "config --help": "rollback", "config apply --help": "--wait-timeout",
			"completion bash": "greengagelockctl", "__complete members ": "remove", "__complete errors GGL-10": "GGL-1003", "__complete status -o ": "json", "errors GGL-1003": "RevisionConflict",
		} {
			Expect(l.run(ctx, strings.Split(args, " ")...)).To(Equal(0), args)
			Expect(l.out).To(ContainSubstring(want), args)
		}
	}, SpecTimeout(specTimeout))
})

var _ = Describe("a controller that cannot be reached", func() {
	// The operator needs to know which addresses were tried and which file lists them.
	It("is named together with the settings file", func(ctx SpecContext) {
		l := startControllers(ctx)
		closed, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(closed.Close()).To(Succeed())
		l.write("ctl.jsonc", strings.ReplaceAll(l.read("ctl.jsonc"), "127.0.0.1", "127.0.0.2"))
		Expect(l.run(ctx, "--timeout", "500ms", "drain", "plan-1", "--base", "1")).To(Equal(30), l.err)
		Expect(l.err).To(MatchRegexp(`^to resend this very command, add: --id \w+ --base 1\n`))
		Expect(l.err).To(ContainSubstring("asked: 127.0.0.2:"))
		Expect(l.err).To(ContainSubstring("(the controllers in " + l.dir + "/ctl.jsonc)"))
	}, SpecTimeout(specTimeout))
})

var _ = Describe("config plan", func() {
	// The effects of a document edited from an old revision include undoing what others have changed since.
	// The operator must not take them for effects of the edit.
	It("warns that a document starts from an old revision", func(ctx SpecContext) {
		l := startControllers(ctx)
		file := l.write("configuration.jsonc", document)
		Expect(l.run(ctx, "config", "apply", file, "--base", "0")).To(Equal(0), l.err)
		Expect(l.run(ctx, "config", "show")).To(Equal(0), l.err)
		shown := l.write("shown.jsonc", l.out)
		Expect(l.run(ctx, "config", "plan", shown)).To(Equal(0), l.err)
		Expect(l.err).To(BeEmpty())
		Expect(l.run(ctx, "drain", "plan-2")).To(Equal(0), l.err)
		Expect(l.run(ctx, "config", "plan", shown)).To(Equal(0), l.err)
		Expect(l.err).To(ContainSubstring("starts from revision 1 and the current one is 2"))
	}, SpecTimeout(specTimeout))
})

var _ = Describe("a refused edit", func() {
	// The operator must see the effect before acknowledging it.
	It("shows the effect that needs an acknowledgement", func(ctx SpecContext) {
		l := startControllers(ctx)
		file := l.write("configuration.jsonc", document)
		Expect(l.run(ctx, "config", "apply", file, "--base", "0")).To(Equal(0), l.err)
		Expect(l.run(ctx, "drain", "plan-1", "plan-2")).To(Equal(12))
		Expect(l.err).To(MatchRegexp(`(?m)^effect: .*plan-store`))
	}, SpecTimeout(specTimeout))
})
