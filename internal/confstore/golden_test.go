package confstore

import (
	"bytes"
	"encoding/gob"
	"os"
	"path/filepath"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/telemetry"
	"github.com/greengagelock/greengagelock/internal/testkit"
)

// Guards against a file that a controller of this build reads differently than the production build, before or after an
// upgrade.
func TestFilesOfTheProductionBuild(t *testing.T) {
	g := NewWithT(t)
	content := &Content{Version: 7, Packed: []byte{1, 2, 3}}
	marshal := func(v any) []byte {
		b, err := cbor.Marshal(v)
		g.Expect(err).NotTo(HaveOccurred())
		return b
	}
	for name, want := range map[string]command{
		"entry-configuration": {Replace: content}, "entry-members": {Members: []string{"10.0.0.1/first", "10.0.0.2/x"}},
	} {
		got := command{}
		g.Expect(cbor.Unmarshal(testkit.Golden(t, name, marshal(want)), &got)).To(Succeed())
		g.Expect(got).To(Equal(want), name)
	}
	snap := snapshot{Content: content, Members: []string{"10.0.0.1/first"}}
	restored := snapshot{}
	g.Expect(cbor.Unmarshal(testkit.Golden(t, "snapshot", marshal(snap)), &restored)).To(Succeed())
	g.Expect(restored).To(Equal(snap))

	relay := hop.IP{10, 2, 0, 1}
	record := incarnation{Process: 3, Target: "i-2", Previous: "i-1", Left: true}
	folder := t.TempDir()
	file := testkit.Golden(t, "targets.cbor", marshal(map[hop.IP]incarnation{relay: record}))
	g.Expect(os.WriteFile(filepath.Join(folder, incarnationsFile), file, 0o600)).To(Succeed())
	n := loadIncarnations(folder, telemetry.Discard().Logger)
	g.Expect(n.relays).To(Equal(map[hop.IP]incarnation{relay: record}))

	// One frame of changes, appended to a file that existed.
	g.Expect(n.saveAll()).To(Succeed())
	n.recordEntry(hop.IP{10, 1, 0, 1})
	g.Expect(n.save()).To(Succeed())
	n.closeChanges()
	changes, err := os.ReadFile(filepath.Join(folder, incarnationChangesFile))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(filepath.Join(folder, incarnationChangesFile), testkit.Golden(t, "targets.log", changes), 0o600)).To(Succeed())
	g.Expect(loadIncarnations(folder, telemetry.Discard().Logger).relays).To(HaveKeyWithValue(hop.IP{10, 1, 0, 1}, incarnation{Entry: true}))
}

// Layouts of the calls between controllers as the production build has them.
type (
	productionStep struct {
		Name     string
		Messages []consensus.Message
	}
	productionJoin  struct{ Name string }
	productionFetch struct{ Above uint64 }
)

// recode encodes a value of one build and decodes it into the layout of the other.
func recode(g Gomega, from, into any) {
	var b bytes.Buffer
	g.Expect(gob.NewEncoder(&b).Encode(from)).To(Succeed())
	g.Expect(gob.NewDecoder(&b).Decode(into)).To(Succeed())
}

// Guards against a call between controllers that one of two builds cannot decode. Calls name their fields, so that those
// of a later build are passed over.
func TestCallsOfTheProductionBuild(t *testing.T) {
	g := NewWithT(t)
	messages := []consensus.Message{{From: 1, To: 2, Term: 3, Heartbeat: &consensus.Heartbeat{Commit: 4}}}
	old := productionStep{}
	recode(g, StepRequest{Name: "a", Messages: messages}, &old)
	g.Expect(old).To(Equal(productionStep{Name: "a", Messages: messages}))
	now := StepRequest{}
	recode(g, old, &now)
	g.Expect(now).To(Equal(StepRequest{Name: "a", Messages: messages}))

	// The reply had no field.
	recode(g, StepReply{Name: "a"}, &struct{}{})
	recode(g, struct{}{}, &StepReply{})

	step := &StepRequest{Name: "a", Messages: messages}
	g.Expect(testkit.GoldenGob(t, "step-request", step)).To(Equal(step))
	replace := &ReplaceRequest{Content: Content{Version: 7, Packed: []byte{1, 2}}}
	g.Expect(testkit.GoldenGob(t, "replace-request", replace)).To(Equal(replace))
	reply := &FetchReply{Content: &replace.Content}
	g.Expect(testkit.GoldenGob(t, "fetch-reply", reply)).To(Equal(reply))

	join := JoinRequest{}
	recode(g, productionJoin{Name: "a"}, &join)
	g.Expect(join).To(Equal(JoinRequest{Name: "a"}))
	fetch := productionFetch{}
	recode(g, FetchRequest{Above: 4}, &fetch)
	g.Expect(fetch).To(Equal(productionFetch{Above: 4}))
}
