package confstore

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/phuslu/log"

	"github.com/greengagelock/greengagelock/internal/loopback"
	"github.com/greengagelock/greengagelock/internal/telemetry"
	"github.com/greengagelock/greengagelock/internal/testkit"
)

// groupPort is the port of the controllers of a testGroup.
const groupPort = 20001

// testGroup runs controllers of one store, each at a loopback address of its own.
type testGroup struct {
	t     testing.TB
	block *loopback.Block
	dir   string
	all   []*testController
}

// testController is a VM that runs a controller.
type testController struct {
	*Controller
	cfg  Config
	logs *gbytes.Buffer // of all its processes
	stop func()         // ends the process and waits for its end; nil while it does not run
	kill func()         // the same without handing over its duties
}

func newTestGroup(t testing.TB) *testGroup {
	block, err := loopback.Reserve()
	testkit.Check(t, err)
	g := &testGroup{t: t, block: block, dir: t.TempDir()}
	t.Cleanup(func() {
		for _, c := range g.all {
			g.stop(c)
		}
		testkit.Check(t, block.Close())
	})
	return g
}

// add adds a VM without starting its controller.
func (g *testGroup) add(cfg Config) *testController {
	n := len(g.all) + 1
	cfg.IP, cfg.Port, cfg.DataDir = g.block.IP(0, n), groupPort, filepath.Join(g.dir, fmt.Sprint(n))
	cfg.Check = func(body []byte) (version uint64, err error) {
		_, err = fmt.Sscan(string(body), &version)
		return version, err
	}
	c := &testController{cfg: cfg, logs: gbytes.NewBuffer()}
	g.all = append(g.all, c)
	return c
}

// found starts the first controllers, of which the first seeds ones are the seeds, and waits until all are voters.
func (g *testGroup) found(count, seeds int) []*testController {
	var controllers []*testController
	for range count {
		controllers = append(controllers, g.add(Config{Bootstrap: true}))
	}
	for _, c := range controllers {
		for _, s := range controllers[:seeds] {
			c.cfg.Seeds = append(c.cfg.Seeds, s.cfg.IP)
		}
		g.start(c)
	}
	g.waitForVoters(controllers...)
	return controllers
}

func (g *testGroup) start(c *testController) {
	var err error
	tel := telemetry.Discard()
	tel.Logger = &log.Logger{Writer: log.IOWriter{Writer: c.logs}}
	c.Controller, err = New(c.cfg, tel)
	testkit.Check(g.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.serve(ctx, func(context.Context) {}) }()
	end := func() {
		cancel()
		testkit.Check(g.t, <-ended)
		c.stop = nil
	}
	c.kill = end
	c.stop = func() {
		c.beforeStop(context.Background())
		end()
	}
}

func (g *testGroup) stop(c *testController) {
	if c.stop != nil {
		c.stop()
		c.stop = nil
	}
}

// restart starts a controller again that was stopped, after the first start of the whole system.
func (g *testGroup) restart(c *testController) {
	c.cfg.Bootstrap = false
	g.start(c)
}

// loseDisk empties the data folder of a controller that was stopped.
func (g *testGroup) loseDisk(c *testController) { testkit.Check(g.t, os.RemoveAll(c.cfg.DataDir)) }

func (g *testGroup) running() []*testController {
	return slices.DeleteFunc(slices.Clone(g.all), func(c *testController) bool { return c.stop == nil })
}

// leader returns the controller that leads, or nil.
func (g *testGroup) leader() *testController {
	for _, c := range g.running() {
		if c.log.Status().IsLeader {
			return c
		}
	}
	return nil
}

// voters returns the names of the voters that the leader knows of, sorted; nil without a leader.
func (g *testGroup) voters() []string {
	leader := g.leader()
	if leader == nil {
		return nil
	}
	var names []string
	for _, m := range leader.Members() {
		if !m.Learner {
			names = append(names, m.Name)
		}
	}
	return names
}

// waitForVoters waits until exactly these controllers are voters.
func (g *testGroup) waitForVoters(controllers ...*testController) {
	g.t.Helper()
	var names []string
	for _, c := range controllers {
		names = append(names, c.name)
	}
	NewWithT(g.t).Eventually(g.voters).WithTimeout(testkit.WaitTimeout).Should(ConsistOf(names))
}

// waitForMembers waits until the controller that leads knows of a number of members.
func (g *testGroup) waitForMembers(count int) {
	g.t.Helper()
	NewWithT(g.t).Eventually(func() int {
		if leader := g.leader(); leader != nil {
			return len(leader.Members())
		}
		return 0
	}).WithTimeout(testkit.WaitTimeout).Should(Equal(count))
}

// replace commits a configuration of a version through a controller.
func (g *testGroup) replace(c *testController, version int) {
	g.t.Helper()
	NewWithT(g.t).Eventually(func() error {
		_, err := c.Replace(context.Background(), fmt.Append(nil, version))
		return err
	}).WithTimeout(testkit.WaitTimeout).Should(Succeed())
}

// expectVersion reads the configuration through a controller.
func (g *testGroup) expectVersion(c *testController, version uint64) {
	g.t.Helper()
	NewWithT(g.t).Eventually(func() (uint64, error) {
		content, err := c.Read(context.Background())
		if err != nil || content == nil {
			return 0, err
		}
		return content.Version, nil
	}).WithTimeout(testkit.WaitTimeout).Should(Equal(version))
}
