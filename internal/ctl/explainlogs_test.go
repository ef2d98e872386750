package ctl_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// sampleLog has lines of two processes as operators collect them, the first after the name of its file, and
// a line that is no log line of these processes.
const sampleLog = `entry-1.log:{"time":"2026-02-27T18:38:04.1Z","process":"entry-1","component":"entry","version":3,"message":"configuration in force"}
not a log line
{"time":"2026-02-27T18:38:05.1Z","process":"entry-1","component":"entry","kind":"offered","flow":"100.64.0.1:1000>198.18.0.1:443","seq":7,"relay":"10.0.0.5","version":3,"list_age_ms":80,"busy":1,"slots":2,"tries":1,"took_us":0,"code":"GGL-0000","message":"flow offered"}
{"time":"2026-02-27T18:38:05.2Z","process":"relay-5","component":"relay","kind":"passed","flow":"100.64.0.1:1000>198.18.0.1:443","seq":7,"relay":"10.0.0.5","busy":2,"slots":2,"tries":0,"took_us":0,"code":"GGL-2001","message":"flow passed on"}
{"time":"2026-02-27T18:38:05.4Z","process":"entry-1","component":"entry","kind":"refused","flow":"100.64.0.1:1000>198.18.0.1:443","seq":7,"version":3,"list_age_ms":2600,"tries":4,"took_us":300000,"code":"GGL-2005","message":"flow refused"}
{"time":"2026-02-27T18:38:05.5Z","process":"entry-1","component":"entry","kind":"refused","flow":"100.64.0.2:1000>198.18.0.1:443","seq":9,"version":3,"list_age_ms":2600,"tries":4,"took_us":300000,"code":"GGL-2005","message":"flow refused"}
`

var _ = Describe("explain --log", func() {
	// A running system forgets old flows, so the explanation must work from logs alone.
	It("explains a refusal without a controller", func(ctx SpecContext) {
		l := &commandLine{dir: GinkgoT().TempDir()}
		l.write("all.log", sampleLog)
		explain := []string{"explain", "100.64.0.1:1000", "198.18.0.1:443", "--log", l.dir + "/all.log"}
		Expect(l.run(ctx, explain...)).To(Equal(0), l.err)
		Expect(l.out).To(MatchRegexp(`outcome +refused`))
		Expect(l.out).To(ContainSubstring("relay 10.0.0.5 passed the SYN on: GGL-2001 NoFreeSlot, 2 requests at 2 slots"))
		Expect(l.out).To(ContainSubstring("entry-1 had heard no controller for 2.6s"))
		Expect(l.run(ctx, append(explain, "-o", "json")...)).To(Equal(0), l.err)
		Expect(l.out).To(ContainSubstring(`"outcome": "refused"`))
		Expect(l.run(ctx, append(explain, "--at", "2026-02-27T18:39:00Z", "--span", "5s")...)).To(Equal(0), l.err)
		Expect(l.out).To(MatchRegexp(`outcome +unknown`))
	}, SpecTimeout(specTimeout))

	// A mistyped file name or time must not look like a flow without log lines.
	It("rejects a missing file and an invalid time", func(ctx SpecContext) {
		l := &commandLine{dir: GinkgoT().TempDir()}
		explain := []string{"explain", "100.64.0.1:1000", "198.18.0.1:443", "--log", l.dir + "/none.log"}
		Expect(l.run(ctx, explain...)).To(Equal(2))
		Expect(l.err).To(ContainSubstring("none.log"))
		Expect(l.run(ctx, append(explain, "--at", "noon")...)).To(Equal(2))
		Expect(l.err).To(ContainSubstring(`--at is "noon"`))
	}, SpecTimeout(specTimeout))
})
