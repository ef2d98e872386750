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
	// waitTimeout limits every wait. It is far longer than anything takes, also on a loaded machine.
	waitTimeout = time.Minute
	// waitPollInterval is the pause between two checks of a condition.
	waitPollInterval = 2 * time.Millisecond
)

// cluster is a group of controllers and the sessions with them, all in this process.
type cluster struct {
	folder        string
	certs         *devcerts.Authority
	meter         *meter
	ctx           context.Context
	cancel        context.CancelFunc
	wg            sync.WaitGroup
	addressByName map[string]string
	stopByName    map[string]func()
	clients       []*operator.Client

	mu     sync.Mutex
	runErr error
}

func newCluster(parent string) (*cluster, error) {
	folder, err := os.MkdirTemp(parent, "cluster")
	if err != nil {
		return nil, errors.Wrap(err, "create a folder for controllers")
	}
	certs, err := devcerts.New(folder)
	if err != nil {
		return nil, err
	}
	c := &cluster{folder: folder, certs: certs, meter: newMeter(), addressByName: map[string]string{}, stopByName: map[string]func(){}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	listeners := map[string]net.Listener{}
	for i := range clusterSize {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "listen for a controller")
		}
		name := fmt.Sprintf("c%d", i+1)
		listeners[name], c.addressByName[name] = listener, listener.Addr().String()
	}
	for name, listener := range listeners {
		if err := c.startController(name, listener); err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

// startController starts a controller. If listener is nil, it listens at its previous address again.
func (c *cluster) startController(name string, listener net.Listener) error {
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", c.addressByName[name]); err != nil {
			return errors.Wrapf(err, "listen for controller %s again", name)
		}
	}
	files, err := c.certs.Issue(model.RoleController, name)
	if err != nil {
		return err
	}
	member, err := controller.New(controller.Config{
		Name: name, Members: c.addressByName, Listener: c.meter.wrapListener(listener), DataDir: c.folder + "/" + name,
		TLS: files, Dial: c.meter.dial,
	}, telemetry.Discard())
	if err != nil {
		return err
	}
	c.stopByName[name] = c.run(member.Run)
	return nil
}

// run runs a component in a goroutine. The returned function stops it and waits until it has ended.
func (c *cluster) run(f func(ctx context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(c.ctx)
	done := make(chan struct{})
	c.wg.Go(func() {
		defer close(done)
		if err := f(ctx); err != nil {
			c.addError(err)
		}
	})
	return func() {
		cancel()
		<-done
	}
}

func (c *cluster) addError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runErr = errors.CombineErrors(c.runErr, err)
}

// close stops all components and returns their errors combined.
func (c *cluster) close() error {
	for _, client := range c.clients {
		client.Close()
	}
	c.cancel()
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runErr
}

func (c *cluster) addresses() []string {
	var list []string
	for i := range clusterSize {
		list = append(list, c.addressByName[fmt.Sprintf("c%d", i+1)])
	}
	return list
}

func (c *cluster) newOperator(addresses ...string) (*operator.Client, error) {
	files, err := c.certs.Issue(model.RoleOperator, "ana")
	if err != nil {
		return nil, err
	}
	client, err := operator.NewClient(operator.Config{Controllers: addresses, TLS: files, Timeout: waitTimeout})
	if err == nil {
		c.clients = append(c.clients, client)
	}
	return client, err
}

func (c *cluster) startSession(role model.Role, name string, handler node.Handler, addresses ...string) error {
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

// edit applies a document and returns when the call was sent and when it was accepted.
func (c *cluster) edit(ctl *operator.Client, base model.Revision, document []byte) (sent, accepted time.Time, err error) {
	sent = time.Now()
	reply, err := ctl.Apply(c.ctx, operator.Edit{Base: base, File: "document", Document: document})
	accepted = time.Now()
	if err == nil {
		err = reply.Result.Err()
	}
	return sent, accepted, errors.Wrapf(err, "edit of revision %d", base)
}

// pickFollower returns the name of a controller that is not the leader.
func (c *cluster) pickFollower(ctl *operator.Client) (string, error) {
	leader := ""
	err := waitFor("a leader", func() bool {
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

// waitFor waits until a condition holds, or returns an error after waitTimeout.
func waitFor(what string, condition func() bool) error {
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(waitPollInterval) {
		if time.Now().After(deadline) {
			return errors.Newf("%s: condition not met within %v", what, waitTimeout)
		}
	}
	return nil
}
