package roster

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/hop"
)

// fleet is some controllers, their relays, and an entry VM, which exchange datagrams without delay.
type fleet struct {
	now         time.Duration
	controllers []*testController
	targets     map[int]Target
	view        *View
	down        map[int]bool // controllers that neither hear nor answer
	loss        func() bool  // whether the next datagram is lost
	late        func() bool  // whether the next answer is delivered at the next call of deliverLate
	lateAnswers []lateAnswer
	fresh       bool
	members     bool // the entry VM announces that it knows the members
	bytes       int  // sent to the entry VM
}

type lateAnswer struct {
	from hop.IP
	a    *Answer
}

type testController struct {
	ip       hop.IP
	registry *Registry
}

func newFleet(controllers int) *fleet {
	f := &fleet{targets: map[int]Target{}, view: NewView(hop.IP{10, 2, 0, 1}), down: map[int]bool{}, loss: func() bool { return false }, late: func() bool { return false }}
	for n := range controllers {
		f.controllers = append(f.controllers, &testController{controllerIP(n), NewRegistry(uint64(n + 1))})
	}
	return f
}

// restart replaces the process of a controller.
func (f *fleet) restart(n int) {
	f.controllers[n].registry = NewRegistry(f.controllers[n].registry.run + 100)
}

func testTarget(id string, state State) Target {
	return Target{ID: id, Service: 1, State: state, Zone: "zone-a", Slots: 2, Born: 1_700_000_000_000}
}

// set changes the target of a relay, which announces that to all controllers.
func (f *fleet) set(n int, t Target) {
	f.targets[n] = t
	f.announce(n)
}

func (f *fleet) announce(n int) {
	for i, c := range f.controllers {
		if !f.down[i] && !f.loss() {
			t := f.targets[n]
			c.registry.RecordAnnouncement(f.now, relayIP(n), &Announcement{Role: RoleRelay, Target: &t})
		}
	}
}

func (f *fleet) announceAll() {
	for n := range f.targets {
		f.announce(n)
	}
}

// deliver passes an answer to the view through its encoding.
func (f *fleet) deliver(from *testController, answers []Answer) (announceTo []hop.IP) {
	for i := range answers {
		b, err := answers[i].Encode()
		if err != nil {
			panic(err)
		}
		if f.loss() {
			continue
		}
		f.bytes += len(b) + 28 // with the IP and UDP headers
		a, err := DecodeAnswer(b)
		if err != nil {
			panic(err)
		}
		if f.late() {
			f.lateAnswers = append(f.lateAnswers, lateAnswer{from.ip, a})
			continue
		}
		announceTo = append(announceTo, f.view.HandleAnswer(f.now, from.ip, a)...)
	}
	return announceTo
}

func (f *fleet) deliverLate() {
	for _, l := range f.lateAnswers {
		f.view.HandleAnswer(f.now, l.from, l.a)
	}
	f.lateAnswers = nil
}

// answer returns an answer without the list, of a controller that is in contact with a majority.
func (f *fleet) answer() Answer {
	a := Answer{Fresh: f.fresh, Current: true}
	for _, c := range f.controllers {
		a.Controllers = append(a.Controllers, c.ip)
	}
	return a
}

// ask announces the entry VM to a controller, and to those that the answers call for.
func (f *fleet) ask(n int) {
	pending := []hop.IP{f.controllers[n].ip}
	for round := 0; len(pending) > 0; round++ {
		if round > 1000 {
			panic("the entry VM announces itself again and again")
		}
		ip := pending[0]
		pending = pending[1:]
		i := int(ip[3])
		if f.down[i] || f.loss() {
			continue
		}
		c := f.controllers[i]
		position, digest, answers := f.view.Position(f.now, ip)
		a := Announcement{
			Role: RoleEntry, Position: position, Digest: digest, Answers: answers, Push: f.view.WantsPush(f.now, ip),
			Loads: f.view.WantsPush(f.now, ip),
		}
		if f.members {
			a.MembersDigest = MembersDigest(f.answer().Controllers)
		}
		c.registry.RecordAnnouncement(f.now, f.view.self, &a)
		pending = append(pending, f.deliver(c, c.registry.AnswersFor(f.now, f.answer(), f.view.self, &a))...)
		f.now += time.Millisecond
	}
}

func (f *fleet) askAll() {
	for n := range f.controllers {
		f.ask(n)
	}
}

// push sends the changes to the entry VM if it has asked for them.
func (f *fleet) push() {
	for i, c := range f.controllers {
		answers, _ := c.registry.PushAnswers(Answer{Fresh: f.fresh})
		if len(c.registry.PushedEntries()) > 0 && !f.down[i] {
			f.deliver(c, answers)
		}
	}
}

// expectLists fails unless the entry VM has the lists of all controllers.
func (f *fleet) expectLists(t interface{ Fatalf(string, ...any) }) {
	for i, c := range f.controllers {
		l := f.view.lists[c.ip]
		if f.down[i] {
			continue
		}
		if l == nil || !l.established || l.targets.digest != c.registry.targets.digest {
			t.Fatalf("the list of controller %d has not arrived", i)
		}
		for relay, target := range c.registry.targets.byRelay {
			if l.targets.byRelay[relay] != target {
				t.Fatalf("the target at %v is %+v, want %+v", relay, l.targets.byRelay[relay], target)
			}
			if k := f.view.Get(relay); k == nil || k.Lost {
				t.Fatalf("the target at %v is missing", relay)
			}
		}
	}
}
