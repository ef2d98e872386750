package roster

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/greengagelock/greengagelock/internal/hop"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

var (
	controllerA = hop.IP{10, 0, 0, 1}
	controllerB = hop.IP{10, 0, 0, 2}
)

func relayIP(n int) hop.IP { return hop.IP{10, 1, 0, byte(n)} }

func announce(r *Registry, now time.Duration, n int, t Target) {
	r.RecordAnnouncement(now, relayIP(n), &Announcement{Role: RoleRelay, Target: &t})
}

// deliverAnswers passes answers through their encoding to a view.
func deliverAnswers(t *rapid.T, now time.Duration, v *View, from hop.IP, answers []Answer) {
	for i := range answers {
		b, err := answers[i].Encode()
		if err != nil {
			t.Fatal(err)
		}
		a, err := DecodeAnswer(b)
		if err != nil {
			t.Fatal(err)
		}
		v.HandleAnswer(now, from, a)
	}
}

// The list of an entry VM must match that of its controller after changes that were sent as deltas, some of
// which got lost.
func TestViewFollowsTheRegistry(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r, v := NewRegistry(), NewView()
		now := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			now += 50 * time.Millisecond
			n := rapid.IntRange(0, 59).Draw(rt, "target")
			announce(r, now, n, Target{
				ID: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "id"), Service: 1,
				State: rapid.SampledFrom([]State{Ready, Draining}).Draw(rt, "state"), Cold: rapid.Bool().Draw(rt, "cold"),
			})
			r.Expire(now)
			if changes := r.ChangeAnswers(Answer{}); rapid.IntRange(0, 9).Draw(rt, "lost") > 2 {
				deliverAnswers(rt, now, v, controllerA, changes)
			}
			if rapid.IntRange(0, 3).Draw(rt, "announces") == 0 {
				deliverAnswers(rt, now, v, controllerA, r.AnswersFor(Answer{}, RoleEntry, v.Digest(controllerA), true))
			}
		}
		deliverAnswers(rt, now, v, controllerA, r.AnswersFor(Answer{}, RoleEntry, v.Digest(controllerA), true))
		list, digest := r.Targets()
		if v.Digest(controllerA) != digest {
			rt.Fatalf("the view has the list %d, the registry %d", v.Digest(controllerA), digest)
		}
		for i := range list {
			k := v.Get(list[i].Relay)
			if k == nil || k.Lost {
				rt.Fatalf("the target at %v is missing", list[i].Relay)
			}
		}
	})
}

// Targets must not vanish because one controller has just started or is cut off, and must not stay listed
// when no controller hears them.
func TestViewMergesControllers(t *testing.T) {
	g := NewWithT(t)
	both, one := NewRegistry(), NewRegistry()
	announce(both, 0, 1, Target{ID: "a", Service: 1, State: Ready})
	announce(both, 0, 2, Target{ID: "b", Service: 1, State: Ready})
	announce(one, 0, 1, Target{ID: "a", Service: 1, State: Ready})
	v := NewView()
	answer := func(now time.Duration, from hop.IP, r *Registry) {
		for _, a := range r.AnswersFor(Answer{}, RoleEntry, v.Digest(from), true) {
			v.HandleAnswer(now, from, &a)
		}
	}
	answer(0, controllerA, both)
	answer(0, controllerB, one)
	g.Expect(v.Lost(relayIP(2))).To(BeFalse())
	for now := time.Duration(0); now <= 3*time.Second; now += AnnounceInterval {
		answer(now, controllerB, one)
	}
	g.Expect(v.Lost(relayIP(1))).To(BeFalse())
	g.Expect(v.Lost(relayIP(2))).To(BeTrue())
	g.Expect(v.Targets(1)).To(HaveLen(2), "a lost target is still asked for its flows")
}

// Lookups waited two seconds for a relay that had left together with its target.
func TestGoneRelayIsRemovedAtOnce(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry()
	announce(r, 0, 1, Target{ID: "a", Service: 1, State: Draining})
	announce(r, 0, 2, Target{ID: "b", Service: 1, State: Ready})
	g.Expect(r.RecordAnnouncement(0, relayIP(1), &Announcement{Role: RoleRelay, Target: &Target{ID: "a"}, Gone: true})).To(BeTrue())
	list, _ := r.Targets()
	g.Expect(list).To(HaveLen(1))
	g.Expect(r.RecordAnnouncement(0, relayIP(1), &Announcement{Role: RoleRelay, Target: &Target{ID: "a"}, Gone: true})).To(BeFalse())
}

// The view must not be emptied when all controllers are down.
func TestViewIsKeptWithoutControllers(t *testing.T) {
	g := NewWithT(t)
	r, v := NewRegistry(), NewView()
	announce(r, 0, 1, Target{ID: "a", Service: 1, State: Ready})
	for _, a := range r.AnswersFor(Answer{}, RoleEntry, 0, true) {
		v.HandleAnswer(0, controllerA, &a)
	}
	g.Expect(v.Lost(relayIP(1))).To(BeFalse())
	g.Expect(v.Targets(1)[0].Admits()).To(BeTrue())
}

// A late list must not give flows to a draining target again, and an earlier incarnation must not replace a
// later one.
func TestSupersedes(t *testing.T) {
	g := NewWithT(t)
	g.Expect(supersedes(&Target{ID: "a", State: Draining}, &Target{ID: "a", State: Ready})).To(BeFalse())
	g.Expect(supersedes(&Target{ID: "a", State: Ready}, &Target{ID: "a", State: Draining})).To(BeTrue())
	g.Expect(supersedes(&Target{ID: "a", State: Draining}, &Target{ID: "b", State: Ready})).To(BeTrue())
	g.Expect(supersedes(&Target{ID: "a", Born: 5}, &Target{ID: "a", Born: 4})).To(BeFalse())
	g.Expect(supersedes(&Target{ID: "a", Born: 5, State: Draining}, &Target{ID: "a", Born: 6, State: Ready})).To(BeTrue())
}

// Bytes that are not a valid message must not end the process.
func FuzzDecodeAnswer(f *testing.F) {
	a := Answer{Version: 1, Parts: 1, Digest: 2, Targets: []Target{{ID: "a"}}}
	b, err := a.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		if a, err := DecodeAnswer(b); err == nil {
			NewView().HandleAnswer(0, controllerA, a)
		}
	})
}
