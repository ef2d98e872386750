package node_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/greengagelock/greengagelock/internal/devcerts"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/node"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/rpc"
	"github.com/greengagelock/greengagelock/internal/telemetry"
	"github.com/greengagelock/greengagelock/internal/testkit"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

// Node is the RPC service of a fake controller whose replies the test sets.
type Node struct {
	poll      func(request *node.PollRequest, reply *node.PollReply) error
	announced chan model.Announcement
	done      <-chan struct{}
}

// Poll calls the function of the test.
func (n *Node) Poll(request *node.PollRequest, reply *node.PollReply) error {
	return n.poll(request, reply)
}

// Announce passes the announcement to the test.
func (n *Node) Announce(a *model.Announcement, _ *node.AnnounceReply) error {
	select {
	case n.announced <- *a:
	case <-n.done:
	}
	return nil
}

// handler is a node without a data path. It records the views.
type handler struct{ testkit.Node }

// generations returns the generations of the views that were applied, in order.
func (h *handler) generations() []model.Generation {
	h.Lock()
	defer h.Unlock()
	var list []model.Generation
	for _, v := range h.Views {
		list = append(list, v.Generation)
	}
	return list
}

type fixture struct {
	t         *testing.T
	certs     *devcerts.Authority
	addresses []string
	announced chan model.Announcement
	ctx       context.Context
	wg        sync.WaitGroup
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	certs := testkit.NewAuthority(t)
	ctx, cancel := context.WithCancel(context.Background())
	f := &fixture{t: t, certs: certs, ctx: ctx, announced: make(chan model.Announcement)}
	t.Cleanup(func() {
		cancel()
		f.wg.Wait()
		goleak.VerifyNone(t)
	})
	return f
}

func (f *fixture) files(role model.Role, name string) rpc.TLSFiles {
	f.t.Helper()
	return testkit.IssueCertificate(f.t, f.certs, role, name)
}

func (f *fixture) controller(poll func(request *node.PollRequest, reply *node.PollReply) error) {
	f.t.Helper()
	credentials := testkit.LoadCredentials(f.t, f.files(model.RoleController, "c"))
	server, err := rpc.NewServer(rpc.ServerConfig{
		Credentials: credentials,
		Services: func(*rpc.Peer) (map[string]any, error) {
			return map[string]any{node.ServiceName: &Node{poll: poll, announced: f.announced, done: f.ctx.Done()}}, nil
		},
	}, telemetry.Discard())
	testkit.Check(f.t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	testkit.Check(f.t, err)
	f.addresses = append(f.addresses, listener.Addr().String())
	f.wg.Go(func() { _ = server.Serve(f.ctx, listener) })
}

func (f *fixture) session(h *handler) *node.Session {
	f.t.Helper()
	s, err := node.New(node.Config{
		Name: "b1", Role: model.RoleBalancer, Controllers: f.addresses, TLS: f.files(model.RoleBalancer, "b1"),
	}, h, telemetry.Discard())
	testkit.Check(f.t, err)
	f.wg.Go(func() {
		if err := s.Run(f.ctx); err != nil {
			f.t.Errorf("session failed: %v", err)
		}
	})
	return s
}

func view(generation model.Generation) *model.View {
	v := model.NewView()
	v.Generation, v.Revision = generation, 1
	v.Services[1] = model.Service{ID: 1, Generation: generation, Name: "s"}
	return v
}

// Guards against a node that applies an older view or delta from a controller that lags behind, and against
// a node that keeps polling such a controller.
func TestOlderViewsAreRejected(t *testing.T) {
	f := newFixture(t)
	var mu sync.Mutex
	script := []node.PollReply{
		{View: view(5)},
		{View: view(4)},
		{Delta: &model.Delta{From: 0, To: 5, Revision: 1}},
		{Delta: &model.Delta{From: 5, To: 9, Revision: 0}},
		{View: view(6)},
	}
	// The node switches to the other controller after every rejected reply. Both controllers send the
	// replies of one script.
	var polls [2]int
	for at := range polls {
		f.controller(func(_ *node.PollRequest, reply *node.PollReply) error {
			mu.Lock()
			defer mu.Unlock()
			polls[at]++
			if len(script) > 0 {
				*reply, script = script[0], script[1:]
				return nil
			}
			time.Sleep(time.Millisecond)
			return nil
		})
	}
	h := &handler{}
	s := f.session(h)
	testkit.Eventually(t, "generation 6", func() bool { return s.Generation() == 6 })
	if got := h.generations(); len(got) != 2 || got[0] != 5 || got[1] != 6 {
		t.Fatalf("generations %v were applied, want 5 and 6", got)
	}
	mu.Lock()
	defer mu.Unlock()
	if polls[0] == 0 || polls[1] == 0 {
		t.Fatalf("the controllers were polled %v times, want both", polls)
	}
}

// Guards against a view that stays in force although a delta made it differ from that of the controller.
func TestDigestMismatchRequestsFullView(t *testing.T) {
	f := newFixture(t)
	var mu sync.Mutex
	polls, fullViews := 0, 0
	f.controller(func(request *node.PollRequest, reply *node.PollReply) error {
		mu.Lock()
		defer mu.Unlock()
		polls++
		switch {
		case polls == 1:
			reply.View = view(1)
		case polls == 2:
			reply.Delta = &model.Delta{From: 1, To: 2, Revision: 1, Digest: 4711}
		case request.Snapshot && request.Announcement.Applied == 1:
			fullViews++
			reply.View = view(2)
		default:
			time.Sleep(time.Millisecond)
		}
		return nil
	})
	h := &handler{}
	s := f.session(h)
	testkit.Eventually(t, "generation 2", func() bool { return s.Generation() == 2 })
	mu.Lock()
	defer mu.Unlock()
	if got := h.generations(); fullViews != 1 || len(got) != 2 {
		t.Fatalf("%d full views were requested and generations %v were applied, want 1 and [1 2]", fullViews, got)
	}
}

// Guards against a changed announcement, for instance of a drain, that is sent only after the held poll ends.
func TestChangeIsAnnouncedDuringHeldPoll(t *testing.T) {
	f := newFixture(t)
	held := make(chan struct{}, 1)
	f.controller(func(request *node.PollRequest, _ *node.PollReply) error {
		select {
		case held <- struct{}{}:
		default:
		}
		select {
		case <-f.ctx.Done():
		case <-time.After(request.Wait):
		}
		return nil
	})
	h := &handler{}
	s := f.session(h)
	<-held
	h.Lock()
	h.Announced.Targets = []model.TargetAnnouncement{{Service: "s", Draining: true}}
	h.Unlock()
	s.AnnounceNow()
	select {
	case a := <-f.announced:
		if a.Node != "b1" || a.Role != model.RoleBalancer || a.Incarnation == 0 || !a.Targets[0].Draining {
			t.Fatalf("got announcement %+v, want the changed one of b1", a)
		}
	case <-time.After(testkit.WaitTimeout):
		t.Fatal("the change was not announced")
	}
}

// Guards against a node that takes its view for current although no controller has contact with a quorum.
func TestControlAgeGrowsWithoutQuorum(t *testing.T) {
	f := newFixture(t)
	var mu sync.Mutex
	current := true
	f.controller(func(_ *node.PollRequest, reply *node.PollReply) error {
		mu.Lock()
		defer mu.Unlock()
		if !current {
			return result.New(result.NoQuorum, "no quorum")
		}
		time.Sleep(time.Millisecond)
		reply.Age = time.Hour
		return nil
	})
	s := f.session(&handler{})
	testkit.Eventually(t, "the age that the controller reports", func() bool { return s.ControlAge() >= time.Hour })
	mu.Lock()
	current = false
	mu.Unlock()
	before := s.ControlAge()
	testkit.Eventually(t, "a growing control age", func() bool { return s.ControlAge() >= before+500*time.Millisecond })
}
