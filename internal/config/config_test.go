package config_test

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/config"
	"github.com/greengagelock/greengagelock/internal/jsonc"
	"github.com/greengagelock/greengagelock/internal/model"
)

const valid = `{
  // from the asset register
  "inventory": {"vms": [
    {"name": "vm-1", "zone": "bogota-a", "workspace": "andinas", "labels": {"app": "plans"}},
    {"name": "vm-2", "zone": "bogota-b", "workspace": "andinas", "labels": {"app": "plans"}},
    {"name": "vm-3", "zone": "bogota-c", "workspace": "Bænatími", "labels": {"app": "plans"}},
  ]},
  "services": [
    {"name": "plan-store", "workspace": "andinas", "address": "10.10.0.1:7001", "class": "request",
     "select": {"app": "plans"}, "max_queue_wait": "400ms", "ramp": "10s", "drain_timeout": "0s",
     "silence": {"enabled": true, "idle": "20s", "interval": "4s", "count": 2}},
  ],
  "leaving": ["vm-1/plan-store"],
  "limits": {"slots_per_target": 2, "connections_per_target": 2000},
}`

// validWith returns the valid document with one part replaced.
func validWith(old, replacement string) string {
	Expect(strings.Count(valid, old)).To(BeNumerically(">=", 1), "part %q is not in the document", old)
	return strings.Replace(valid, old, replacement, 1)
}

// leavingWholeVM puts the whole VM on the leaving list, which is valid whatever the service selects.
func leavingWholeVM(text string) string {
	return strings.Replace(text, `"vm-1/plan-store"`, `"vm-1"`, 1)
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
}

func vms(n int, labels string) string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf(`{"name": "x-%d", "zone": "z", "workspace": "andinas", "labels": %s}`, i, labels))
	}
	return strings.Join(list, ", ")
}

var _ = Describe("Parse", func() {
	It("reads every value of a document", func() {
		// Guards against a key that is accepted but ignored.
		d, err := config.Parse("doc", []byte(valid))
		Expect(err).NotTo(HaveOccurred())
		Expect(d.VMs).To(HaveLen(3))
		Expect(d.VMs[2]).To(Equal(config.VM{Name: "vm-3", Zone: "bogota-c", Workspace: "Bænatími", Labels: map[string]string{"app": "plans"}}))
		s := d.Services[0]
		Expect(s.Class).To(Equal(model.ClassRequest))
		Expect(s.Address.String()).To(Equal("10.10.0.1:7001"))
		Expect(s.MaxQueueWait).To(Equal(400 * time.Millisecond))
		Expect(s.Silence).To(Equal(model.Silence{Enabled: true, Idle: 20 * time.Second, Interval: 4 * time.Second, Count: 2}))
		Expect(d.Leaving).To(ConsistOf("vm-1/plan-store"))
		Expect(d.Limits).To(Equal(config.Limits{SlotsPerTarget: 2, ConnectionsPerTarget: 2000}))
		index := config.NewIndex(d)
		Expect(index.DisallowedReason("vm-2", "plan-store")).To(BeEmpty())
		Expect(index.DisallowedReason("vm-3", "plan-store")).To(ContainSubstring("another workspace"))
	})

	It("enables the silence policy for streams and not for requests by default", func() {
		// Guards against streams to a dead peer that stay open because the setting was left out.
		for class, enabled := range map[string]bool{"stream": true, "request": false} {
			text := validWith(`"class": "request"`, `"class": "`+class+`"`)
			text = strings.Replace(text, `"silence": {"enabled": true, "idle": "20s", "interval": "4s", "count": 2}`, "", 1)
			d, err := config.Parse("doc", []byte(text))
			Expect(err).NotTo(HaveOccurred())
			Expect(d.Services[0].Silence.Enabled).To(Equal(enabled))
		}
	})

	// Guards against a mistake that is accepted, or reported without its place and the expected value.
	DescribeTable("reports", func(text func() string, line int, path, value, expected string) {
		_, err := config.Parse("doc", []byte(text()))
		var problems jsonc.Problems
		Expect(err).To(BeAssignableToTypeOf(problems))
		problems = err.(jsonc.Problems)
		Expect(problems).To(HaveLen(1), err.Error())
		p := problems[0]
		Expect(p.File).To(Equal("doc"))
		Expect(p.Line).To(Equal(line), p.String())
		shown := []rune(strings.Split(text(), "\n")[p.Line-1])[p.Column-1:]
		Expect(string(shown)).To(HavePrefix(strings.TrimSuffix(strings.Fields(p.Value)[0], "...")), p.String())
		Expect(p.Path).To(Equal(path))
		Expect(p.Value).To(ContainSubstring(value))
		Expect(p.Expected).To(ContainSubstring(expected))
	},
		Entry("a document that is not an object", func() string { return `[]` }, 1, "", "[]", "an object"),
		Entry("an unknown key", func() string { return validWith(`"ramp"`, `"rampe"`) },
			10, "services[0].rampe", `"rampe"`, "one of the keys address, class,"),
		Entry("a repeated key", func() string { return validWith(`"ramp": "10s"`, `"max_queue_wait": "1ms"`) },
			10, "services[0].max_queue_wait", `"max_queue_wait"`, "each key once"),
		Entry("a duration without a unit", func() string { return validWith(`"10s"`, `10`) },
			10, "services[0].ramp", "10", "a duration with a unit"),
		Entry("a duration with a wrong unit", func() string { return validWith(`"10s"`, `"10sec"`) },
			10, "services[0].ramp", `"10sec"`, "a duration with a unit"),
		Entry("a queue wait above the limit", func() string { return validWith(`"400ms"`, `"2s"`) },
			10, "services[0].max_queue_wait", `"2s"`, "from 0s to 500ms"),
		Entry("a negative duration", func() string { return validWith(`"drain_timeout": "0s"`, `"drain_timeout": "-1s"`) },
			10, "services[0].drain_timeout", `"-1s"`, "from 0s to 24h"),
		Entry("a repeated VM name", func() string { return validWith(`"vm-2"`, `"vm-1"`) },
			5, "inventory.vms[1].name", `"vm-1"`, "inventory.vms[0] has it too"),
		Entry("a name with a slash", func() string { return validWith(`"vm-2"`, `"vm/2"`) },
			5, "inventory.vms[1].name", `"vm/2"`, "a name"),
		Entry("a name that is too long", func() string { return validWith(`"vm-2"`, `"`+strings.Repeat("v", 64)+`"`) },
			5, "inventory.vms[1].name", "vvv", "up to 63"),
		Entry("an unknown key of the document", func() string { return validWith(`"limits"`, `"x": 1, "limits"`) },
			14, "x", `"x"`, "one of the keys inventory, leaving, limits, services"),
		Entry("a repeated service name", func() string {
			return validWith(`"services": [`, `"services": [{"name": "plan-store", "workspace": "andinas", "address": "10.10.0.2:7001",
     "class": "stream", "select": {"app": "plans"}},`)
		}, 10, "services[1].name", `"plan-store"`, "services[0] has it too"),
		Entry("a repeated address", func() string {
			return validWith(`"services": [`, `"services": [{"name": "a", "workspace": "andinas", "address": "10.10.0.1:7001",
     "class": "stream", "select": {"app": "plans"}},`)
		}, 10, "services[1].address", "10.10.0.1:7001", "services[0] has it too"),
		Entry("an IPv6 address", func() string { return validWith(`"10.10.0.1:7001"`, `"[::1]:7001"`) },
			9, "services[0].address", `"[::1]:7001"`, "an IPv4 address and port"),
		Entry("an address without a port", func() string { return validWith(`"10.10.0.1:7001"`, `"10.10.0.1"`) },
			9, "services[0].address", `"10.10.0.1"`, "an IPv4 address and port"),
		Entry("an unknown class", func() string { return validWith(`"request"`, `"requests"`) },
			9, "services[0].class", `"requests"`, `"stream" or "request"`),
		Entry("an empty selector", func() string { return validWith(`"select": {"app": "plans"}`, `"select": {}`) },
			10, "services[0].select", "{}", "at least one label"),
		Entry("a selector that matches nothing", func() string {
			return leavingWholeVM(validWith(`"select": {"app": "plans"}`, `"select": {"app": "plan"}`))
		},
			10, "services[0].select", `"plan"`, `labels of at least one VM of workspace "andinas"`),
		Entry("a selector that matches VMs of another workspace only", func() string {
			return leavingWholeVM(validWith(`"name": "plan-store", "workspace": "andinas"`, `"name": "plan-store", "workspace": "labs"`))
		}, 10, "services[0].select", "plans", `workspace "labs"`),
		Entry("a selector that matches too many VMs",
			func() string { return validWith(`{"name": "vm-1"`, vms(31, `{"app": "plans"}`)+`,{"name": "vm-1"`) },
			10, "services[0].select", "plans", "at most 32 VMs per service; this selects 33"),
		Entry("an unknown VM in the leaving list", func() string { return validWith(`"vm-1/plan-store"`, `"vm-9"`) },
			13, "leaving[0]", `"vm-9"`, "a VM of the inventory"),
		Entry("an unknown service in the leaving list", func() string { return validWith(`"vm-1/plan-store"`, `"vm-1/plans"`) },
			13, "leaving[0]", `"vm-1/plans"`, "a service of the configuration"),
		Entry("a leaving target whose service does not select its VM", func() string { return validWith(`"vm-1/plan-store"`, `"vm-3/plan-store"`) },
			13, "leaving[0]", `"vm-3/plan-store"`, "a VM that the service selects"),
		Entry("a repeated name in the leaving list", func() string { return validWith(`"vm-1/plan-store"`, `"vm-2", "vm-2"`) },
			13, "leaving[1]", `"vm-2"`, "each name only once"),
		Entry("a limit of zero", func() string { return validWith(`"slots_per_target": 2`, `"slots_per_target": 0`) },
			14, "limits.slots_per_target", "0", "from 1 to 1024"),
		Entry("a limit that is not a whole number", func() string { return validWith(`"slots_per_target": 2`, `"slots_per_target": 2.5`) },
			14, "limits.slots_per_target", "2.5", "a whole number"),
		Entry("a string in place of a boolean", func() string { return validWith(`"enabled": true`, `"enabled": "yes"`) },
			11, "services[0].silence.enabled", `"yes"`, "true or false"),
	)

	// Guards against a missing key that is accepted, or reported without the entry that lacks it.
	DescribeTable("reports a missing key at the object that lacks it", func(old, replacement string, want ...string) {
		_, err := config.Parse("doc", []byte(validWith(old, replacement)))
		Expect(err).To(MatchError(strings.Join(want, "\n")))
	},
		Entry("of a VM", `"zone": "bogota-a", `, "", `doc:4:5: inventory.vms[0].zone: expected a value for the key "zone"`),
		Entry("of a service", `"class": "request",`, "", `doc:9:5: services[0].class: expected a value for the key "class"`),
		Entry("of the document", valid, `{"services": []}`, `doc:1:1: inventory: expected a value for the key "inventory"`),
		Entry("of the inventory", valid, `{"inventory": {}}`,
			`doc:1:1: services: expected a value for the key "services"`,
			`doc:1:15: inventory.vms: expected a value for the key "vms"`),
	)

	It("reports the place of a syntax error", func() {
		// Guards against a message without line and column.
		_, err := config.Parse("doc", []byte("{\n \"inventory\": ]}"))
		Expect(err).To(MatchError(HavePrefix("doc:2:15: expected JSON with comments (invalid character ']'")))
	})

	It("reports all problems at once, in the order of the document", func() {
		// Guards against reporting only the first problem, so that each correction reveals the next one.
		text := strings.NewReplacer(`"10s"`, `10`, `"vm-1/plan-store"`, `"vm-9"`, `"bogota-a"`, `7`).Replace(valid)
		_, err := config.Parse("doc", []byte(text))
		problems := err.(jsonc.Problems)
		Expect(problems).To(HaveLen(3))
		Expect([]int{problems[0].Line, problems[1].Line, problems[2].Line}).To(Equal([]int{4, 10, 13}))
	})
})

var _ = Describe("SetLeaving", func() {
	It("changes the leaving list and nothing else", func() {
		// Guards against a drain command that drops comments or changes other parts of the document.
		text, err := config.SetLeaving([]byte(valid), []string{"vm-2"}, []string{"vm-1/plan-store"})
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(ContainSubstring("// from the asset register"))
		before, _ := config.Parse("doc", []byte(valid))
		after, err := config.Parse("doc", text)
		Expect(err).NotTo(HaveOccurred())
		Expect(after.Leaving).To(Equal([]string{"vm-2"}))
		before.Leaving = after.Leaving
		Expect(after).To(Equal(before))
	})

	It("adds a missing list", func() {
		// Guards against a drain that fails if the document has no leaving list.
		text, err := config.SetLeaving([]byte(validWith(`"leaving": ["vm-1/plan-store"],`, "")), []string{"vm-1"}, nil)
		Expect(err).NotTo(HaveOccurred())
		after, err := config.Parse("doc", text)
		Expect(err).NotTo(HaveOccurred())
		Expect(after.Leaving).To(Equal([]string{"vm-1"}))
	})
})

var _ = Describe("Plan", func() {
	document := func(services int, vms int, leaving ...string) *config.Document {
		d := &config.Document{Leaving: leaving}
		for v := range vms {
			d.VMs = append(d.VMs, config.VM{Name: model.VM(fmt.Sprintf("vm-%d", v)), Workspace: "c", Labels: map[string]string{"a": "b"}})
		}
		for s := range services {
			d.Services = append(d.Services, config.Service{
				Name: fmt.Sprintf("s%d", s), Workspace: "c", Address: address(s), Select: map[string]string{"a": "b"},
			})
		}
		return d
	}
	knownTargets := func(n int) []config.KnownTarget {
		var list []config.KnownTarget
		for v := range n {
			list = append(list, config.KnownTarget{VM: model.VM(fmt.Sprintf("vm-%d", v)), Service: "s0", Admitting: true, OpenFlows: 10})
		}
		return list
	}
	missingAcknowledgements := func(before, after *config.Document, targets []config.KnownTarget, retiring ...config.AddressHolder) []string {
		return config.MissingAcknowledgements(config.Plan(before, after, targets, retiring), nil)
	}

	It("needs an acknowledgement to drain or remove more than 30% of a service's targets", func() {
		// Guards against an edit that takes many targets unnoticed, and against acknowledgements for so small
		// edits that operators give them by habit.
		before := document(1, 10)
		Expect(missingAcknowledgements(before, document(1, 10, "vm-0", "vm-1", "vm-2"), knownTargets(10))).To(BeEmpty())
		Expect(missingAcknowledgements(before, document(1, 10, "vm-0", "vm-1", "vm-2", "vm-3"), knownTargets(10))).To(ConsistOf("removes:s0"))
		Expect(missingAcknowledgements(before, document(1, 7), knownTargets(10))).To(BeEmpty())
		Expect(missingAcknowledgements(before, document(1, 6), knownTargets(10))).To(ConsistOf("removes:s0"))
	})

	It("needs an acknowledgement to empty a service", func() {
		// Guards against an edit that leaves an address without targets unnoticed.
		Expect(missingAcknowledgements(document(1, 1), document(1, 1, "vm-0"), knownTargets(1))).To(ConsistOf("empties:s0"))
		Expect(missingAcknowledgements(document(2, 1), &config.Document{VMs: document(1, 1).VMs, Services: document(2, 1).Services[1:]}, knownTargets(1))).
			To(ConsistOf("empties:s0"))
		lost := knownTargets(4)
		lost[3].Admitting = false
		Expect(missingAcknowledgements(document(1, 4), document(1, 4, "vm-0", "vm-1", "vm-2"), lost)).To(ConsistOf("empties:s0"))
	})

	It("needs an acknowledgement to move or change an address", func() {
		// Guards against requests that reach another service than the one they were meant for.
		swapped := document(2, 1)
		swapped.Services[0].Address, swapped.Services[1].Address = address(1), address(0)
		Expect(missingAcknowledgements(document(2, 1), swapped, knownTargets(1))).To(ConsistOf(
			"moves:10.0.0.1:80:s0:s1", "moves:10.0.0.2:80:s1:s0", "readdresses:s0", "readdresses:s1"))
		Expect(missingAcknowledgements(&config.Document{}, document(1, 1), nil, config.AddressHolder{Service: "old", Workspace: "c", Address: address(0)})).
			To(ConsistOf("moves:10.0.0.1:80:old:s0"))
	})

	It("counts targets and open flows", func() {
		// Guards against a plan that does not show how many flows an edit affects.
		effects := config.Plan(document(1, 4), document(1, 4, "vm-1"), knownTargets(4), nil)
		Expect(effects).To(HaveLen(1))
		Expect(effects[0]).To(Equal(config.Effect{
			Kind: config.TargetsDrained, Service: "s0", Targets: []string{"vm-1/s0"}, Count: 1, Of: 4, OpenFlows: 10,
		}))
	})

	It("needs no acknowledgement to return targets to service", func() {
		// Guards against an acknowledgement that delays the end of a drain.
		targets := knownTargets(2)
		targets[0].Leaving, targets[0].Admitting = true, false
		effects := config.Plan(document(1, 2, "vm-0"), document(1, 2), targets, nil)
		Expect(config.MissingAcknowledgements(effects, nil)).To(BeEmpty())
		Expect(effects[0].Kind).To(Equal(config.TargetsReturned))
	})
})
