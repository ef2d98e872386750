package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/greengagelock/greengagelock/internal/loopback"
)

// Groups of addresses in the block of a run.
const (
	coreGroup = iota + 1
	frontGroup
	sideGroup
	clientGroup
	routeGroup
)

// Ports, the same on all machines.
const (
	internalPort = 20101
	datagramPort = 20102
	readyPort    = 20103
	controlPort  = 20104
	appPort      = 20105
	outboundPort = 20106
	metricsPort  = 20107
)

const (
	// heartbeatInterval is heartbeatMs of the sites.
	heartbeatInterval = 770 * time.Millisecond
	// graceTime is graceS: a process that has not ended then gets SIGKILL.
	graceTime = 6 * time.Second
	startTime = 20 * time.Second
	pollTime  = 20 * time.Millisecond
)

// world is a deployment on a block of loopback addresses.
type world struct {
	daemon string
	block  *loopback.Block
	folder string
	start  time.Time

	mu       sync.Mutex
	record   *os.File
	machines []*machine
	cleanups []func()
}

// machine runs one process of the system.
type machine struct {
	w        *world
	name     string
	ip       netip.Addr
	settings map[string]any

	// output receives the standard output and error of the process instead of a file, if it is set.
	output *os.File

	command *exec.Cmd
	done    chan struct{}
}

func newWorld(daemon, record string) (*world, error) {
	path, err := filepath.Abs(daemon)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(path); err != nil {
		return nil, err
	}
	w := &world{daemon: path, start: time.Now()}
	if w.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if w.folder, err = os.MkdirTemp("", "standin-3-"); err != nil {
		return nil, err
	}
	w.block, err = loopback.Reserve()
	return w, err
}

// close ends everything that the run has started.
func (w *world) close() {
	for i := len(w.cleanups) - 1; i >= 0; i-- {
		w.cleanups[i]()
	}
	for _, m := range w.machines {
		m.kill()
	}
	_ = w.block.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	}
	_ = w.record.Close()
}

func (w *world) cleanup(f func()) { w.cleanups = append(w.cleanups, f) }

// recordf writes a line with the time since the start to the record.
func (w *world) recordf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
	fmt.Print(line)
}

func (w *world) at(ip netip.Addr, port uint16) netip.AddrPort { return netip.AddrPortFrom(ip, port) }

// service is the address of the route, to which no process is bound.
func (w *world) service() end { return end{w.ip(routeGroup, 1), 8443} }

func (w *world) ip(group, number int) netip.Addr { return w.block.IP(group, number) }

// seeds are the control addresses of the first three controllers.
func (w *world) seeds() []string {
	var seeds []string
	for n := 1; n <= 3; n++ {
		seeds = append(seeds, w.at(w.ip(coreGroup, n), controlPort).String())
	}
	return seeds
}

// add adds a machine with the settings that deploy/settings.jsonc gives to a role.
func (w *world) add(role, zone string, group, number int, more map[string]any) *machine {
	ip := w.ip(group, number)
	m := &machine{w: w, name: fmt.Sprintf("%s-%d", role, number), ip: ip, settings: map[string]any{
		"name": fmt.Sprintf("%s-%s-%d", role, zone, number), "role": role, "ip": ip, "zone": zone, "transport": "plain",
		"port": internalPort, "controllers": w.seeds(), "metrics_port": metricsPort, "first_start": true,
		"memory_mb": 284, "link_mbps": 1000.0, "heartbeat_ms": heartbeatInterval.Milliseconds(),
	}}
	for key, value := range more {
		m.settings[key] = value
	}
	w.machines = append(w.machines, m)
	return m
}

func (w *world) addCore(number int, zone string) *machine {
	return w.add("store", zone, coreGroup, number, map[string]any{
		"data_dir": filepath.Join(w.folder, fmt.Sprintf("disk-%d", number)), "operators": w.at(w.ip(coreGroup, number), controlPort),
	})
}

func (w *world) addFront(number int, zone string) *machine {
	ip := w.ip(frontGroup, number)
	return w.add("entry", zone, frontGroup, number, map[string]any{"callers": w.at(ip, datagramPort), "readiness": w.at(ip, readyPort)})
}

func (w *world) addSide(number int, zone, service string) *machine {
	ip := w.ip(sideGroup, number)
	return w.add("relay", zone, sideGroup, number, map[string]any{
		"callers": w.at(ip, datagramPort), "readiness": w.at(ip, readyPort), "from_target": w.at(ip, outboundPort),
		"service": service, "target": w.at(ip, appPort), "heartbeats": w.at(ip, controlPort),
	})
}

// launch starts the process of the machine. Its log goes to a file of the run's folder.
func (m *machine) launch() error {
	data, err := json.Marshal(m.settings)
	if err != nil {
		return err
	}
	m.settings["first_start"] = false
	file := filepath.Join(m.w.folder, m.name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(m.w.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(m.w.daemon, "node", "--settings", file)
	command.Stdout, command.Stderr = logs, logs
	if m.output != nil {
		command.Stdout, command.Stderr = m.output, m.output
	}
	command.Env = append(os.Environ(), "GREENGAGELOCK_FAULT_TOLERANCE=1")
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.command, m.done = command, done
	go func() {
		_ = command.Wait()
		_ = logs.Close()
		close(done)
	}()
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	if m.command != nil {
		_ = m.command.Process.Signal(s) // it may have ended
	}
}

// kill ends the process at once.
func (m *machine) kill() {
	if m.command != nil {
		m.signal(syscall.SIGKILL)
		<-m.done
	}
}

// terminate ends the process as the platform does.
func (m *machine) terminate() {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.done:
	case <-time.After(graceTime):
		m.kill()
	}
}

// launchAll starts all machines and waits until the fronts are ready.
func (w *world) launchAll() error {
	for _, m := range w.machines {
		if err := m.launch(); err != nil {
			return err
		}
	}
	return nil
}

// await polls until a condition holds.
func (w *world) await(what string, holds func() bool) error {
	for deadline := time.Now().Add(startTime); time.Now().Before(deadline); time.Sleep(pollTime) {
		if holds() {
			w.recordf("%s", what)
			return nil
		}
	}
	return fmt.Errorf("not in time: %s", what)
}

// awaitFronts waits until the platform would route packets to all fronts.
func (w *world) awaitFronts(fronts ...*machine) error {
	for _, f := range fronts {
		err := w.await(f.name+" is ready", func() bool {
			code, err := call(http.MethodGet, "http://"+w.at(f.ip, readyPort).String()+"/readiness", "", time.Second)
			return err == nil && code == http.StatusOK
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// order sends an order of the operator to one controller after the other until one acknowledges it.
func (w *world) order(path, body string) error {
	deadline := time.Now().Add(startTime)
	for n := 0; time.Now().Before(deadline); n++ {
		url := "http://" + w.at(w.ip(coreGroup, 1+n%3), controlPort).String() + path
		code, err := call(http.MethodPost, url, body, time.Second)
		if err == nil && code == http.StatusOK {
			w.recordf("operator: POST %s is acknowledged", path)
			return nil
		}
		if err == nil && code < 500 {
			return fmt.Errorf("POST %s is answered with %d", path, code)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("POST %s is not acknowledged", path)
}

// call makes an HTTP call on a connection of its own and returns the status.
func call(method, url, body string, timeout time.Duration) (int, error) {
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

func listenUDP(at netip.AddrPort) (*net.UDPConn, error) {
	return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
}
