package rpc_test

import (
	"context"
	"crypto/tls"
	"net"
	"net/url"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"github.com/greengagelock/greengagelock/internal/devcerts"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/rpc"
	"github.com/greengagelock/greengagelock/internal/telemetry"
	"github.com/greengagelock/greengagelock/internal/testkit"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

// Echo is the RPC service of the test server.
type Echo struct {
	peer          *rpc.Peer
	runningOnConn atomic.Int32 // running calls of Wait on this connection
	f             *fixture
	release       chan struct{}
}

// Take accepts any text.
func (e *Echo) Take(_ *string, _ *string) error { return nil }

// Say returns its argument and the identity of the caller.
func (e *Echo) Say(text *string, reply *string) error {
	*reply = e.peer.String() + " " + *text
	return nil
}

// Refuse returns an error with a result code.
func (e *Echo) Refuse(text *string, _ *string) error {
	return result.New(result.RevisionConflict, "%s", *text)
}

// Wait returns when release is closed or the connection ends.
func (e *Echo) Wait(_ *string, _ *string) error {
	updateMax(&e.f.maxRunning, e.f.running.Add(1))
	updateMax(&e.f.maxRunningPerConn, e.runningOnConn.Add(1))
	defer e.f.running.Add(-1)
	defer e.runningOnConn.Add(-1)
	select {
	case <-e.release:
	case <-e.peer.Context.Done():
	}
	return nil
}

func updateMax(highest *atomic.Int32, now int32) {
	for old := highest.Load(); now > old && !highest.CompareAndSwap(old, now); old = highest.Load() {
		continue
	}
}

type fixture struct {
	t                   *testing.T
	certs               *devcerts.Authority
	address             string
	servicesRequested   atomic.Int32 // calls of Services
	running, maxRunning atomic.Int32
	maxRunningPerConn   atomic.Int32 // highest number of running calls on any connection
	release             chan struct{}
}

func serve(t *testing.T, change func(*rpc.ServerConfig)) *fixture {
	t.Helper()
	f := &fixture{t: t, certs: testkit.NewAuthority(t), release: make(chan struct{})}
	cfg := rpc.ServerConfig{
		Credentials: f.load(f.issue(model.RoleController, "c1")),
		Services: func(p *rpc.Peer) (map[string]any, error) {
			f.servicesRequested.Add(1)
			if p.Role != model.RoleAgent {
				return nil, result.New(result.PeerUnknown, "only agents")
			}
			return map[string]any{"Echo": &Echo{peer: p, f: f, release: f.release}}, nil
		},
	}
	if change != nil {
		change(&cfg)
	}
	server, err := rpc.NewServer(cfg, telemetry.Discard())
	testkit.Check(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	testkit.Check(t, err)
	f.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		testkit.Check(t, <-done)
		goleak.VerifyNone(t)
	})
	return f
}

func (f *fixture) issue(role model.Role, name string) rpc.TLSFiles {
	f.t.Helper()
	return testkit.IssueCertificate(f.t, f.certs, role, name)
}

func (f *fixture) load(files rpc.TLSFiles) *rpc.Credentials {
	f.t.Helper()
	return testkit.LoadCredentials(f.t, files)
}

func (f *fixture) client(files rpc.TLSFiles, change func(*rpc.ClientConfig)) *rpc.Client {
	f.t.Helper()
	cfg := rpc.ClientConfig{Address: f.address, Role: model.RoleController, Credentials: f.load(files), CallTimeout: testkit.WaitTimeout}
	if change != nil {
		change(&cfg)
	}
	c := rpc.NewClient(cfg)
	f.t.Cleanup(c.Close)
	return c
}

func say(c *rpc.Client, text string) (string, error) {
	reply, err := rpc.Call[string](context.Background(), c, "Echo.Say", &text)
	if err != nil {
		return "", err
	}
	return *reply, nil
}

// Guards against a caller with a wrong identity, and against result codes that are lost in transit.
func TestCallCarriesIdentityAndResultCode(t *testing.T) {
	f := serve(t, nil)
	c := f.client(f.issue(model.RoleAgent, "vm-1"), nil)
	if got, err := say(c, "hello"); err != nil || got != "greengagelock://agent/vm-1 hello" {
		t.Fatalf("got %q and error %v", got, err)
	}
	text := "revision 7"
	if _, err := rpc.Call[string](t.Context(), c, "Echo.Refuse", &text); result.CodeOf(err) != result.RevisionConflict {
		t.Fatalf("got %v, want code %d", err, result.RevisionConflict)
	}
}

// Guards against a peer that is served although its certificate is missing, is signed by another authority, or
// does not contain exactly one identity with a known role and a name.
func TestUnknownPeersAreRefused(t *testing.T) {
	f := serve(t, nil)
	uri := func(text string) *url.URL {
		u, err := url.Parse(text)
		testkit.Check(t, err)
		return u
	}
	otherAuthority, err := devcerts.New(t.TempDir())
	testkit.Check(t, err)
	otherFiles, err := otherAuthority.Issue(model.RoleAgent, "vm-1")
	testkit.Check(t, err)
	otherFiles.CA = f.issue(model.RoleAgent, "vm-1").CA
	cases := map[string]rpc.TLSFiles{"another authority": otherFiles, "wrong role for the service": f.issue(model.RoleBalancer, "b1")}
	for name, uris := range map[string][]*url.URL{
		"no identity":    nil,
		"unknown role":   {uri("greengagelock://admin/x")},
		"no name":        {uri("greengagelock://agent/")},
		"another scheme": {uri("https://agent/vm-1")},
		"two identities": {uri("greengagelock://agent/a"), uri("greengagelock://controller/b")},
	} {
		cases[name], err = f.certs.IssueWithURIs(strings.ReplaceAll(name, " ", "-"), uris...)
		testkit.Check(t, err)
	}
	for name, files := range cases {
		asked := f.servicesRequested.Load()
		if reply, err := say(f.client(files, nil), "hello"); err == nil {
			t.Errorf("%s: got %q, want an error", name, reply)
		}
		if name != "wrong role for the service" && f.servicesRequested.Load() != asked {
			t.Errorf("%s: the services of the peer were requested", name)
		}
	}
	conn, err := tls.Dial("tcp", f.address, &tls.Config{InsecureSkipVerify: true})
	testkit.Check(t, err)
	defer func() { _ = conn.Close() }()
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("the connection of a peer without a certificate was not closed")
	}
}

// Guards against a client that accepts a server with another role or name than the expected one.
func TestClientRefusesOtherServers(t *testing.T) {
	f := serve(t, func(c *rpc.ServerConfig) {})
	for name, change := range map[string]func(*rpc.ClientConfig){
		"role": func(c *rpc.ClientConfig) { c.Role = model.RoleBalancer },
		"name": func(c *rpc.ClientConfig) { c.Name = "c2" },
	} {
		_, err := say(f.client(f.issue(model.RoleAgent, "vm-1"), change), "hello")
		if !errors.Is(err, rpc.ErrUnreachable) {
			t.Errorf("another %s: got %v, want ErrUnreachable", name, err)
		}
	}
}

// Guards against a call that never returns, and against a connection that stays in use after a call on it
// timed out.
func TestCallEndsAtDeadline(t *testing.T) {
	f := serve(t, nil)
	c := f.client(f.issue(model.RoleAgent, "vm-1"), nil)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	var nothing string
	if _, err := rpc.Call[string](ctx, c, "Echo.Wait", &nothing); result.CodeOf(err) != result.DeadlineExceeded {
		t.Fatalf("got %v, want code %d", err, result.DeadlineExceeded)
	}
	if _, err := say(c, "again"); err != nil {
		t.Fatalf("the client did not reconnect: %v", err)
	}
}

// Guards against a server that keeps goroutines for peers that send nothing after they connected, before or
// after the handshake.
func TestSilentConnectionsAreClosed(t *testing.T) {
	f := serve(t, func(c *rpc.ServerConfig) {
		c.HandshakeTimeout, c.IdleTimeout, c.IOTimeout = 50*time.Millisecond, 50*time.Millisecond, 50*time.Millisecond
	})
	raw, err := net.Dial("tcp", f.address)
	testkit.Check(t, err)
	defer func() { _ = raw.Close() }()
	conn, err := tls.Dial("tcp", f.address, f.load(f.issue(model.RoleAgent, "vm-1")).ClientTLS(model.RoleController, "c1"))
	testkit.Check(t, err)
	defer func() { _ = conn.Close() }()
	for name, c := range map[string]net.Conn{"handshake": raw, "request": conn} {
		testkit.Check(t, c.SetReadDeadline(time.Now().Add(testkit.WaitTimeout)))
		if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: got %v, want a closed connection", name, err)
		}
	}
}

// Guards against a peer that exhausts the memory or the goroutines of a controller.
func TestMessageAndCallLimits(t *testing.T) {
	f := serve(t, func(c *rpc.ServerConfig) { c.MaxMessage, c.MaxPerConn, c.MaxCalls = 4096, 3, 5 })
	files := f.issue(model.RoleAgent, "vm-1")
	large := strings.Repeat("x", 8192)
	if _, err := rpc.Call[string](t.Context(), f.client(files, nil), "Echo.Take", &large); err == nil {
		t.Error("the server accepted a message above the size limit")
	}
	small := f.client(files, func(c *rpc.ClientConfig) { c.MaxMessage = 4096 })
	if _, err := say(small, strings.Repeat("x", 8192)); err == nil {
		t.Error("the client sent a message above the size limit")
	}
	const clients, calls = 3, 6
	done := make(chan error, clients*calls)
	for range clients {
		c := f.client(files, nil)
		for range calls {
			go func() {
				var nothing string
				_, err := rpc.Call[string](context.Background(), c, "Echo.Wait", &nothing)
				done <- err
			}()
		}
	}
	for deadline := time.Now().Add(testkit.WaitTimeout); f.running.Load() < 5; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d calls are running, want 5", f.running.Load())
		}
	}
	close(f.release)
	for range clients * calls {
		testkit.Check(t, <-done)
	}
	if most := f.maxRunning.Load(); most != 5 {
		t.Errorf("%d calls ran concurrently, want 5", most)
	}
	if most := f.maxRunningPerConn.Load(); most > 3 {
		t.Errorf("%d calls of one connection ran concurrently, want at most 3", most)
	}
}

// Guards against certificates that stay in use after the files were replaced, and against errors while
// the files are replaced one after the other.
func TestReplacedCertificatesAreReloaded(t *testing.T) {
	f := serve(t, nil)
	files := f.issue(model.RoleAgent, "vm-1")
	credentials := f.load(files)
	before := credentials.ClientTLS(model.RoleController, "").Certificates[0].Leaf.SerialNumber
	other, err := f.certs.IssueWithURIs("other", rpc.Identity{Role: model.RoleAgent, Name: "vm-1"}.URI())
	testkit.Check(t, err)
	replaceFile(t, other.Cert, files.Cert)
	if now := credentials.ClientTLS(model.RoleController, "").Certificates[0].Leaf.SerialNumber; now.Cmp(before) != 0 {
		t.Fatal("a certificate without its key is in use")
	}
	replaceFile(t, other.Key, files.Key)
	if now := credentials.ClientTLS(model.RoleController, "").Certificates[0].Leaf.SerialNumber; now.Cmp(before) == 0 {
		t.Fatal("the replaced certificate is still in use")
	}
}

// replaceFile replaces a file and sets a distinct modification time, because two changes may happen within the
// resolution of the file system's clock.
func replaceFile(t *testing.T, from, to string) {
	t.Helper()
	testkit.Check(t, os.Chtimes(from, time.Time{}, time.Now().Add(time.Hour)))
	testkit.Check(t, os.Rename(from, to))
}

// Guards against a call that fails or has an unknown outcome because the server closed the connection after
// the idle timeout.
func TestCallAfterIdleTimeoutReconnects(t *testing.T) {
	f := serve(t, func(c *rpc.ServerConfig) { c.IdleTimeout = 20 * time.Millisecond })
	c := f.client(f.issue(model.RoleAgent, "vm-1"), nil)
	for range 3 {
		if _, err := say(c, "hello"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
