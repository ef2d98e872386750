package process

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/result"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

const validSettings = `{
  // An entry VM.
  "name": "e1", "role": "entry", "ip": "10.0.0.1", "zone": "z", "port": 7700, "transport": "plain",
  "controllers": ["10.0.0.2:80", "10.0.0.3:80", "10.0.0.2:81"],
  "callers": "10.0.0.1:8000", "readiness": "10.0.0.1:8001",
}`

// Guards against invalid settings that are accepted, and against an error that does not say where the
// problem is.
func TestSettings(t *testing.T) {
	g := NewWithT(t)
	s, err := Parse("settings.jsonc", []byte(validSettings))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.ControllerIPs()).To(HaveLen(2))
	for name, c := range map[string]struct{ old, replacement, want string }{
		"unknown key":     {`"zone": "z"`, `"zome": "z"`, `3:`},
		"unknown role":    {`"role": "entry"`, `"role": "exit"`, "entry, relay or store"},
		"no address":      {`"ip": "10.0.0.1", `, ``, "ip"},
		"no controllers":  {`["10.0.0.2:80", "10.0.0.3:80", "10.0.0.2:81"]`, `[]`, "at least one controller"},
		"bad address":     {`"10.0.0.1:8001"`, `"nowhere"`, `"nowhere"`},
		"other transport": {`"plain"`, `"tls"`, "plain"},
		"store on a VM without a disk": {
			`"role": "entry"`, `"role": "store"`, "data folder",
		},
	} {
		text := strings.Replace(validSettings, c.old, c.replacement, 1)
		_, err := Parse("settings.jsonc", []byte(text))
		g.Expect(result.CodeOf(err)).To(Equal(result.SettingsInvalid), name)
		g.Expect(err.Error()).To(ContainSubstring(c.want), name)
	}
}

// Guards against a flow checkpoint that cannot be switched off, or that is off unless a setting asks for it.
func TestReportFlowsIsOnByDefault(t *testing.T) {
	g := NewWithT(t)
	s, err := Parse("settings.jsonc", []byte(validSettings))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.ReportFlows).To(BeTrue())
	s, err = Parse("settings.jsonc", []byte(strings.Replace(validSettings, `"zone": "z"`, `"zone": "z", "report_flows": false`, 1)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.ReportFlows).To(BeFalse())
}

// Guards against a number of losses that the store cannot bear, and against one from the environment that replaces that of
// the file.
func TestFaultTolerance(t *testing.T) {
	g := NewWithT(t)
	store := strings.Replace(validSettings, `"role": "entry"`, `"role": "store", "data_dir": "d", "operators": "10.0.0.1:1", "fault_tolerance": 4`, 1)
	_, err := Parse("settings.jsonc", []byte(store))
	g.Expect(result.CodeOf(err)).To(Equal(result.SettingsInvalid))
	g.Expect(err.Error()).To(ContainSubstring("a number of controllers from 0 to 3"))

	for value, want := range map[string]int{"": 0, "0": 0, "2": 2, "4": 3} {
		s := &Settings{}
		g.Expect(s.applyEnvironment(func(string) string { return value })).To(Succeed())
		g.Expect(s.FaultTolerance).To(Equal(want))
	}
	s := &Settings{FaultTolerance: 1}
	g.Expect(s.applyEnvironment(func(string) string { return "2" })).To(Succeed())
	g.Expect(s.FaultTolerance).To(Equal(1))
	for _, value := range []string{"-1", "two"} {
		err := s.applyEnvironment(func(string) string { return value })
		g.Expect(err).NotTo(HaveOccurred(), "the file has the setting")
		err = (&Settings{}).applyEnvironment(func(string) string { return value })
		g.Expect(result.CodeOf(err)).To(Equal(result.SettingsInvalid))
		g.Expect(err.Error()).To(ContainSubstring(value))
	}
}
