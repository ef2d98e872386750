package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports, the same at every address of a deployment.
const (
	nodePort     = 20001
	callerPort   = 20002
	readyPort    = 20003
	controlPort  = 20004
	appPort      = 20005
	outboundPort = 20006
	metricsPort  = 20007
	lockPort     = 19998
)

// Groups of addresses: 127.N.group.host.
const (
	coreGroup = iota + 1
	frontGroup
	sideGroup
	clientGroup
)

const (
	heartbeatEvery = 770 * time.Millisecond
	// stableWindow is the bound stableWindowMs of the small sites.
	stableWindow = 4 * time.Second
)

// record writes what is sent, answered and run to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// world is a small deployment on loopback addresses.
type world struct {
	network byte
	lock    net.Listener
	dir     string
	binary  string
	rec     *record
	seeds   []string
	losses  int // core machines that may be lost at once
	// firstBeat is the time from the start of an endpoint to its first heartbeat.
	firstBeat time.Duration

	mu        sync.Mutex
	processes []*process
}

func newWorld(binary, recordFile string) (*world, error) {
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	w := &world{binary: binary, rec: &record{file: file, start: time.Now()}}
	if w.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	for n := byte(200); n < 250; n++ {
		w.network = n
		if w.lock, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", n, lockPort)); err == nil {
			return w, nil
		}
	}
	return nil, fmt.Errorf("no loopback network is free: %w", err)
}

func (w *world) ip(group, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", w.network, group, host)
}

func (w *world) addr(group, host, port int) string {
	return fmt.Sprintf("%s:%d", w.ip(group, host), port)
}

// close ends all processes and removes the files.
func (w *world) close() {
	w.mu.Lock()
	all := w.processes
	w.mu.Unlock()
	for _, p := range all {
		p.kill()
	}
	_ = w.lock.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
		return
	}
	fmt.Println("the logs are in", w.dir)
}

// process is a program of the system on a machine of its own.
type process struct {
	w        *world
	name     string
	settings map[string]any
	first    bool // the settings say that the system starts for the first time

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	wanted  bool // its end is wanted
	touched time.Time
}

func (w *world) newProcess(name, role string, group, host int, zone string, extra map[string]any) *process {
	s := map[string]any{
		"name": name, "role": role, "ip": w.ip(group, host), "zone": zone, "transport": "plain", "port": nodePort,
		"controllers": w.seeds, "metrics_port": metricsPort, "first_start": true, "memory_mb": 280, "link_mbps": 1000.0,
		"heartbeat_ms": heartbeatEvery.Milliseconds(),
	}
	for k, v := range extra {
		s[k] = v
	}
	p := &process{w: w, name: name, settings: s, first: true}
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	return p
}

func (w *world) core(host int, zone string) *process {
	return w.newProcess(fmt.Sprintf("core-%d", host), "store", coreGroup, host, zone, map[string]any{
		"data_dir": filepath.Join(w.dir, fmt.Sprintf("data-%d", host)), "operators": w.addr(coreGroup, host, controlPort),
	})
}

func (w *world) front(host int, zone string) *process {
	return w.newProcess(fmt.Sprintf("front-%d", host), "entry", frontGroup, host, zone, map[string]any{
		"callers": w.addr(frontGroup, host, callerPort), "readiness": w.addr(frontGroup, host, readyPort),
	})
}

func (w *world) side(host int, zone, service string) *process {
	return w.newProcess(fmt.Sprintf("side-%d", host), "relay", sideGroup, host, zone, map[string]any{
		"callers": w.addr(sideGroup, host, callerPort), "readiness": w.addr(sideGroup, host, readyPort),
		"from_target": w.addr(sideGroup, host, outboundPort), "service": service,
		"target": w.addr(sideGroup, host, appPort), "heartbeats": w.addr(sideGroup, host, controlPort),
	})
}

// start starts the program with the command of the deploy file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settings["first_start"] = p.first
	p.first = false
	data, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	file := filepath.Join(p.w.dir, p.name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(p.w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	cmd := exec.Command(p.w.binary, "node", "--settings", file)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if p.settings["role"] == "store" {
		cmd.Env = append(os.Environ(), fmt.Sprintf("GREENGAGELOCK_FAULT_TOLERANCE=%d", p.w.losses))
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done, p.wanted, p.touched = cmd, done, false, time.Now()
	p.w.rec.printf("%s starts", p.name)
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		wanted := p.wanted
		p.mu.Unlock()
		if !wanted {
			p.w.rec.printf("%s ended by itself: %v", p.name, err)
		}
		close(done)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.wanted = true
	}
	p.touched = time.Now()
	p.w.rec.printf("%s gets signal %d", p.name, int(s))
	_ = p.cmd.Process.Signal(s)
}

func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *process) kill() {
	if !p.running() {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.done
}

// inTouch reports whether nothing was done to the process for the stable window.
func (p *process) inTouch(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && at.Sub(p.touched) > stableWindow
}

// ready asks an entry VM whether it wants packets.
func (w *world) ready(host int) bool {
	code, _ := w.call(http.MethodGet, "http://"+w.addr(frontGroup, host, readyPort)+"/readiness", "", time.Second)
	return code == http.StatusOK
}

// call makes an HTTP call; code is zero without an answer.
func (w *world) call(method, url, body string, timeout time.Duration) (code int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil
	}
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	var b bytes.Buffer
	if _, err := b.ReadFrom(response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, b.Bytes()
}
