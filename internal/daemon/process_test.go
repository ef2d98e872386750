package daemon_test

import (
	"context"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/examples"
	"github.com/greengagelock/greengagelock/internal/daemon"
	"github.com/greengagelock/greengagelock/internal/devcerts"
	"github.com/greengagelock/greengagelock/internal/loopback"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/rpc"
	"github.com/greengagelock/greengagelock/internal/settings"
	"github.com/greengagelock/greengagelock/internal/standin"
)

var example = standin.Endpoint{Service: "example", Address: netip.MustParseAddrPort("192.0.2.1:8000")}

// retryPause keeps a caller from retrying in a busy loop.
const retryPause = 20 * time.Millisecond

// singleDeployment runs the processes of examples/single with a target and a caller.
type singleDeployment struct {
	settings    *settings.Settings
	operator    rpc.TLSFiles
	caller      *standin.Caller
	ledger      *standin.Ledger
	allSettings []*settings.Settings
	process     *daemon.Process
	stop        context.CancelFunc
	ended       chan exitResult
}

// exitResult is what RunAll returned.
type exitResult struct {
	outcome daemon.Outcome
	err     error
}

var _ = Describe("a process with every role", func() {
	// A process that has all roles must serve requests, and a stop must let a request in flight finish
	// before the agent, the balancer or the controller goes away.
	It("serves requests, and finishes those in flight before it stops", func(ctx SpecContext) {
		s := startSingle(time.Second, "10s")
		s.applyExample(ctx)
		outcome, err := s.caller.Request(ctx, example, "first", 5000)
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome).To(Equal(standin.OutcomeAnswered))

		answered := make(chan standin.Outcome, 1)
		go func() {
			// During the ramp, admission uses the last load report of the target, which may still show
			// the first request. A refused request did not run, so it may be repeated.
			outcome := standin.OutcomeNotRun
			for outcome == standin.OutcomeNotRun && ctx.Err() == nil {
				time.Sleep(retryPause)
				outcome, _ = s.caller.Request(ctx, example, "in-flight", 5000)
			}
			answered <- outcome
		}()
		Eventually(func() int { return s.ledger.Runs("example", "in-flight") }).WithContext(ctx).Should(Equal(1))
		s.stop()
		Eventually(s.ended).WithContext(ctx).Should(Receive(Equal(exitResult{})))
		Expect(answered).To(Receive(Equal(standin.OutcomeAnswered)))
	}, SpecTimeout(time.Minute))

	// Scripts learn from the exit status that the shutdown timeout ended a request that was still open.
	It("reports a request that is still open at the shutdown timeout", func(ctx SpecContext) {
		s := startSingle(time.Hour, "1s")
		s.applyExample(ctx)
		go func() { _, _ = s.caller.Request(ctx, example, "endless", 10) }()
		Eventually(func() int { return s.ledger.Runs("example", "endless") }).WithContext(ctx).Should(Equal(1))
		s.stop()
		var got exitResult
		Eventually(s.ended).WithContext(ctx).Should(Receive(&got))
		Expect(got.outcome).To(Equal(daemon.OutcomeShutdownTimeout))
	}, SpecTimeout(time.Minute))
})

var _ = Describe("a process that cannot start", func() {
	// fx wraps errors with the names of Go functions; the operator needs the address instead.
	It("names the address that is in use", func() {
		taken, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(taken.Close)
		all, _ := loadSingle("10s")
		all[0].Balancer.Egress = netip.MustParseAddrPort(taken.LocalAddr().String())
		// Nothing closes the telemetry of a process that could not be assembled before the program ends.
		all[0].Telemetry.Listen = netip.MustParseAddrPort("127.0.0.1:0")
		_, err = daemon.New(all[0])
		Expect(err).To(MatchError(HavePrefix("listen udp4 " + taken.LocalAddr().String())))
	})

	// A process must not keep running after one of its components has failed.
	It("fails if a part cannot listen", func(ctx SpecContext) {
		taken, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(taken.Close)
		all, _ := loadSingle("10s")
		all[0].Controller.Listen = netip.MustParseAddrPort(taken.Addr().String())
		outcome, err := daemon.RunAll(ctx, processesOf(all))
		Expect(outcome).To(Equal(daemon.OutcomeFailure))
		Expect(err).To(MatchError(HavePrefix("controller: ")))
	}, SpecTimeout(time.Minute))
})

// loadSingle loads the settings of examples/single with addresses of its own and new certificates.
func loadSingle(shutdownTimeout string) ([]*settings.Settings, rpc.TLSFiles) {
	GinkgoHelper()
	folder := GinkgoT().TempDir()
	authority, err := devcerts.New(folder)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(filepath.Join(folder, "fleet.key"), []byte(strings.Repeat("5a", 16)), 0o600)).To(Succeed())
	replacements := []string{`"shutdown_timeout": "10s"`, `"shutdown_timeout": "` + shutdownTimeout + `"`}
	addresses, err := loopback.Reserve()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(addresses.Close)
	var reserved []string
	// Another test gets the block next, and needs its ports. A process closes some listeners after RunAll has returned.
	DeferCleanup(func() {
		for _, address := range reserved {
			Eventually(func() error { return listenOnce(address) }).WithTimeout(time.Minute).Should(Succeed(), address)
		}
	})
	for _, port := range []string{"7400", "7401", "7402", "7403", "7405", "7501", "7502", "7503", "9101", "9102", "9103"} {
		address, err := addresses.NextTCP()
		Expect(err).NotTo(HaveOccurred())
		reserved = append(reserved, address.String())
		replacements = append(replacements, "127.0.0.1:"+port, address.String())
	}
	issueCertificate(authority, model.RoleBalancer, "single-1-balancer")
	issueCertificate(authority, model.RoleAgent, "single-1-agent")
	var all []*settings.Settings
	for _, name := range []string{"single-1", "single-2", "single-3"} {
		text, err := examples.Files.ReadFile(examples.Single + "/" + name + ".json")
		Expect(err).NotTo(HaveOccurred())
		path := filepath.Join(folder, name+".json")
		Expect(os.WriteFile(path, []byte(strings.NewReplacer(replacements...).Replace(string(text))), 0o600)).To(Succeed())
		issueCertificate(authority, model.RoleController, name)
		s, err := settings.Load(path)
		Expect(err).NotTo(HaveOccurred())
		s.Telemetry.LogLevel = "error"
		all = append(all, s)
	}
	return all, issueCertificate(authority, model.RoleOperator, "test")
}

// listenOnce returns an error if something listens at an address.
func listenOnce(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return listener.Close()
}

func processesOf(all []*settings.Settings) []*daemon.Process {
	GinkgoHelper()
	var processes []*daemon.Process
	for _, s := range all {
		p, err := daemon.New(s)
		Expect(err).NotTo(HaveOccurred())
		processes = append(processes, p)
	}
	return processes
}

func issueCertificate(authority *devcerts.Authority, role model.Role, name string) rpc.TLSFiles {
	GinkgoHelper()
	files, err := authority.Issue(role, name)
	Expect(err).NotTo(HaveOccurred())
	return files
}

func startSingle(serviceTime time.Duration, shutdownTimeout string) *singleDeployment {
	GinkgoHelper()
	s := &singleDeployment{ledger: standin.NewLedger(), ended: make(chan exitResult, 1)}
	s.allSettings, s.operator = loadSingle(shutdownTimeout)
	s.settings = s.allSettings[0]
	fabric, err := standin.NewFabric(standin.FabricConfig{Seed: 3})
	Expect(err).NotTo(HaveOccurred())
	fabric.SetBalancers(s.settings.Balancer.Ingress.Listen)
	target, err := standin.NewTarget(standin.TargetConfig{
		Instance: "1", Endpoints: []standin.Endpoint{example}, Slots: 2, ServiceTime: serviceTime,
		LineInterval: time.Second, Agent: s.settings.Agent.Target.Listen, Ledger: s.ledger,
	})
	Expect(err).NotTo(HaveOccurred())
	s.caller, err = standin.NewCaller(standin.CallerConfig{
		Addresses: []netip.Addr{netip.MustParseAddr("198.51.100.1")}, Fabric: fabric.CallerAddr(),
	})
	Expect(err).NotTo(HaveOccurred())
	s.settings.Agent.Target.Peer, s.settings.Agent.Gateway.Peer = target.Addr(), fabric.GatewayAddr()
	s.settings.Agent.HealthURL, s.settings.Agent.LoadURL = target.URL()+"/health", target.URL()+"/load"
	runUntilSpecEnds(fabric.Run, target.Run, s.caller.Run)
	processes := processesOf(s.allSettings)
	s.process = processes[0]
	var ctx context.Context
	ctx, s.stop = context.WithCancel(context.Background())
	go func() {
		outcome, err := daemon.RunAll(ctx, processes)
		s.ended <- exitResult{outcome, err}
		close(s.ended)
	}()
	DeferCleanup(func() {
		s.stop()
		for range s.ended {
		}
	})
	return s
}

// applyExample applies the configuration of the example and waits until the balancer knows the target.
func (s *singleDeployment) applyExample(ctx context.Context) {
	GinkgoHelper()
	client, err := operator.NewClient(operator.Config{Controllers: []string{s.settings.Controller.Listen.String()}, TLS: s.operator})
	Expect(err).NotTo(HaveOccurred())
	defer client.Close()
	text, err := examples.Configuration(examples.Single)
	Expect(err).NotTo(HaveOccurred())
	reply, err := client.Apply(ctx, operator.Edit{File: "configuration.json", Document: text})
	Expect(err).NotTo(HaveOccurred())
	Expect(reply.Problems).To(BeEmpty())
	Expect(reply.Result.Code).To(Equal(result.OK), reply.Result.Message)
	Eventually(func() int { return s.process.BalancerView().CountAdmitting() }).WithContext(ctx).Should(Equal(1))
}
