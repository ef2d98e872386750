package checkpoint

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/result"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

var relay = hop.IP{10, 0, 0, 1}

// someFlows returns count flows with the given acknowledgement number.
func someFlows(count int, ack uint32) []Flow {
	flows := make([]Flow, count)
	for i := range flows {
		caller := packet.Addr{IP: [4]byte{100, 64, byte(i >> 8), byte(i)}, Port: 1000}
		flows[i] = Flow{Key: packet.Key{Caller: caller, Service: packet.Addr{IP: [4]byte{198, 18, 0, 1}, Port: 443}}, Ack: ack}
	}
	return flows
}

// report records the flows of a target, as reported by a relay process.
func (s *Store) report(now time.Duration, from hop.IP, process uint64, target string, number uint32, flows []Flow) {
	for _, p := range Split(Part{Process: process, Target: Target{ID: target}, Number: number}, Pack(flows), nil) {
		s.RecordPart(now, from, &p)
	}
}

// earlier returns the flows of all processes but one, by target.
func (s *Store) earlier(process uint64) map[string][]Flow {
	flows := map[string][]Flow{}
	for _, p := range s.Earlier(relay, process) {
		if len(p.Packed) > 0 {
			flows[p.Target.ID] = append(flows[p.Target.ID], p.Flows()...)
		}
	}
	return flows
}

// Guards against a new relay process that overwrites the flows of its predecessor before it has asked for them, and
// against old reports that replace new ones.
func TestStoreReturnsFlowsOfEarlierProcesses(t *testing.T) {
	g := NewWithT(t)
	s := NewStore()
	s.report(0, relay, 1, "a", 1, someFlows(200, 5))
	s.report(0, relay, 1, "a", 3, someFlows(150, 7))
	s.report(0, relay, 1, "a", 2, someFlows(1, 6)) // delayed
	s.report(0, relay, 2, "b", 1, someFlows(2, 9))
	g.Expect(s.earlier(2)).To(Equal(map[string][]Flow{"a": someFlows(150, 7)}))
	g.Expect(s.earlier(3)).To(Equal(map[string][]Flow{"a": someFlows(150, 7), "b": someFlows(2, 9)}))
	s.report(0, relay, 3, "c", 1, nil)
	g.Expect(s.earlier(4)).To(Equal(map[string][]Flow{"b": someFlows(2, 9)}), "the list of the oldest process is dropped")
	g.Expect(s.Earlier(hop.IP{10, 0, 0, 2}, 1)).To(HaveLen(1), "an answer without flows")
}

// Guards against a list that is used although a part of it is missing.
func TestStoreWaitsForAllParts(t *testing.T) {
	g := NewWithT(t)
	s := NewStore()
	parts := Split(Part{Process: 1, Target: Target{ID: "a"}}, Pack(someFlows(200, 5)), nil)
	for _, p := range parts[1:] {
		s.RecordPart(0, relay, &p)
		s.RecordPart(0, relay, &p) // a duplicate
	}
	g.Expect(s.earlier(2)).To(BeEmpty())
	s.RecordPart(0, relay, &parts[0])
	g.Expect(s.earlier(2)["a"]).To(Equal(someFlows(200, 5)))
}

// Guards against memory that grows without bound: the lists with the oldest reports go first.
func TestStoreIsBounded(t *testing.T) {
	g := NewWithT(t)
	s := NewStore()
	const flowsPerRelay = 30_000
	relays := maxStoredBytes/(flowsPerRelay*flowBytes) + 2
	for i := range relays {
		s.report(time.Duration(i), hop.IP{10, 0, 0, byte(i)}, 1, "a", 1, someFlows(flowsPerRelay, 5))
	}
	g.Expect(s.bytes).To(BeNumerically("<=", maxStoredBytes))
	g.Expect(s.Stats().Dropped).To(BeEquivalentTo(2))
	g.Expect(s.Earlier(hop.IP{10, 0, 0, 0}, 2)[0].Packed).To(BeEmpty())
	s.Expire(retention + time.Duration(relays))
	g.Expect(s.Stats().Flows).To(BeZero())
}

// Guards against a checkpoint that does not survive a restart, and against one that is used although it is damaged
// or from another time, as after a jump of the clock.
func TestStoreSurvivesRestart(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	s := NewStore()
	s.report(0, relay, 1, "a", 1, someFlows(100, 5))
	_, err := s.save(folder)
	g.Expect(err).NotTo(HaveOccurred())
	saved := time.Now()

	again := NewStore()
	g.Expect(again.Load(folder, 0, saved)).To(Succeed())
	g.Expect(again.earlier(2)).To(Equal(map[string][]Flow{"a": someFlows(100, 5)}))

	for _, at := range []time.Time{saved.Add(retention + time.Second), saved.Add(-maxClockSkew - time.Second)} {
		other := NewStore()
		g.Expect(result.CodeOf(other.Load(folder, 0, at))).To(Equal(result.StorageCorrupt))
		g.Expect(other.Stats().Flows).To(BeZero())
	}
	path := filepath.Join(folder, fileName)
	data, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	for _, damaged := range [][]byte{nil, data[:len(data)/2], append([]byte{data[0] ^ 1}, data[1:]...)} {
		g.Expect(os.WriteFile(path, damaged, 0o600)).To(Succeed())
		other := NewStore()
		g.Expect(result.CodeOf(other.Load(folder, 0, saved))).To(Equal(result.StorageCorrupt))
		g.Expect(other.Stats().Flows).To(BeZero())
	}
	g.Expect(NewStore().Load(t.TempDir(), 0, saved)).To(Succeed(), "there is no file at the first start")
}

// Guards against a process that ends because of a malformed message.
func FuzzDecode(f *testing.F) {
	part := Split(Part{Process: 1, Target: Target{ID: "a"}}, Pack(someFlows(2, 5)), Pack(someFlows(3, 5))[:3*packet.KeyBytes])[0]
	request := Request{Process: 1}
	difference, resync := part, Resync{Process: 1}
	difference.Base, difference.Number = 1, 2
	for _, encode := range []func() ([]byte, error){part.Encode, difference.Encode, request.Encode, resync.Encode} {
		b, err := encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(_ *testing.T, b []byte) {
		message, err := Decode(b)
		if err != nil {
			return
		}
		s := NewStore()
		switch m := message.(type) {
		case *Part:
			m.Flows()
			s.report(0, relay, m.Process, m.Target.ID, m.Base, someFlows(5, 5))
			s.RecordPart(0, relay, m)
			s.Earlier(relay, m.Process+1)
		case *Request:
			s.Earlier(relay, m.Process)
		}
	})
}
