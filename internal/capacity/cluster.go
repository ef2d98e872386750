package capacity

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/controller"
	"github.com/greengagelock/greengagelock/internal/devcerts"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/node"
	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

const (
	clusterSize = 3
	// patience bounds every wait, far above the time that anything takes.
	patience = time.Minute
	// waitStep is the pause between two looks at a condition.
	waitStep = 2 * time.Millisecond
)

// cluster is a group of controllers in this process, with sessions.
type cluster struct {
	folder  string
	certs   *devcerts.Authority
	meter   *meter
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	members map[string]string
	stops   map[string]func()
	clients []*operator.Client

	mu     sync.Mutex
	failed error
}

func newCluster(parent string) (*cluster, error) {
	folder, err := os.MkdirTemp(parent, "cluster")
	if err != nil {
		return nil, errors.Wrap(err, "make a folder for controllers")
	}
	certs, err := devcerts.New(folder)
	if err != nil {
		return nil, err
	}
	c := &cluster{folder: folder, certs: certs, meter: newMeter(), members: map[string]string{}, stops: map[string]func(){}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	listeners := map[string]net.Listener{}
	for i := range clusterSize {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "listen for a controller")
		}
		name := fmt.Sprintf("c%d", i+1)
		listeners[name], c.members[name] = listener, listener.Addr().String()
	}
	for name, listener := range listeners {
		if err := c.start(name, listener); err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

// start starts a controller. A nil listener means that it listens at its address again.
func (c *cluster) start(name string, listener net.Listener) error {
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", c.members[name]); err != nil {
			return errors.Wrapf(err, "listen for controller %s again", name)
		}
	}
	files, err := c.certs.Issue(model.RoleController, name)
	if err != nil {
		return err
	}
	made, err := controller.New(controller.Config{
		Name: name, Members: c.members, Listener: c.meter.listener(listener), DataDir: c.folder + "/" + name,
		TLS: files, Dial: c.meter.dial,
	}, telemetry.Discard())
	if err != nil {
		return err
	}
	c.stops[name] = c.run(made.Run)
	return nil
}

// run runs a component. The returned function stops it and waits for its end.
func (c *cluster) run(f func(ctx context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(c.ctx)
	done := make(chan struct{})
	c.wg.Go(func() {
		defer close(done)
		if err := f(ctx); err != nil {
			c.fail(err)
		}
	})
	return func() {
		cancel()
		<-done
	}
}

func (c *cluster) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = errors.CombineErrors(c.failed, err)
}

// close stops everything and returns the first error of a component.
func (c *cluster) close() error {
	for _, client := range c.clients {
		client.Close()
	}
	c.cancel()
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

func (c *cluster) addresses() []string {
	var list []string
	for i := range clusterSize {
		list = append(list, c.members[fmt.Sprintf("c%d", i+1)])
	}
	return list
}

func (c *cluster) operator(addresses ...string) (*operator.Client, error) {
	files, err := c.certs.Issue(model.RoleOperator, "ana")
	if err != nil {
		return nil, err
	}
	client, err := operator.NewClient(operator.Config{Controllers: addresses, TLS: files, Timeout: patience})
	if err == nil {
		c.clients = append(c.clients, client)
	}
	return client, err
}

func (c *cluster) session(role model.Role, name string, handler node.Handler, addresses ...string) error {
	files, err := c.certs.Issue(role, name)
	if err != nil {
		return err
	}
	session, err := node.New(node.Config{Name: name, Role: role, Controllers: addresses, TLS: files}, handler, telemetry.Discard())
	if err != nil {
		return err
	}
	c.run(session.Run)
	return nil
}

// edit puts a document in force and returns when the call was sent and when it was accepted.
func (c *cluster) edit(ctl *operator.Client, base model.Revision, document []byte) (sent, accepted time.Time, err error) {
	sent = time.Now()
	reply, err := ctl.Apply(c.ctx, operator.Edit{Base: base, File: "document", Document: document})
	accepted = time.Now()
	if err == nil {
		err = reply.Result.Err()
	}
	return sent, accepted, errors.Wrapf(err, "edit of revision %d", base)
}

// follower returns a controller that does not lead.
func (c *cluster) follower(ctl *operator.Client) (string, error) {
	leader := ""
	err := await("a leader", func() bool {
		status, err := ctl.Status(c.ctx)
		if err == nil {
			leader = status.Leader
		}
		return leader != ""
	})
	if leader == "c1" {
		return "c2", err
	}
	return "c1", err
}

// await waits until a condition holds.
func await(what string, condition func() bool) error {
	for deadline := time.Now().Add(patience); !condition(); time.Sleep(waitStep) {
		if time.Now().After(deadline) {
			return errors.Newf("%s: not reached within %v", what, patience)
		}
	}
	return nil
}
