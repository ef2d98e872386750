package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/loopback"
	"github.com/greengagelock/greengagelock/internal/process"
)

// Groups of addresses in the block of a deployment.
const (
	storeGroup = iota
	entryGroup
	relayGroup
	callerGroup
)

// Ports, the same at every address.
const (
	nodePort      = 20001
	callerPort    = 20002
	readinessPort = 20003
	operatorPort  = 20004 // of controllers, and of relays for heartbeats
	targetPort    = 20005
	outboundPort  = 20006
	metricsPort   = 20007
)

const (
	heartbeatInterval = 300 * time.Millisecond
	// stopTimeout is the time in which a process has to end after SIGTERM.
	stopTimeout = 6 * time.Second
	// execTime is the time after the start of a process in which no program can handle a signal yet, on a busy machine. The
	// process then reads the new settings, or sees the change of the file.
	execTime = 200 * time.Millisecond
	// startupProcessorTime is the same as processor time, since a process may wait longer for a core. The daemon handles
	// signals after about 10 ms of it.
	startupProcessorTime = 20 * time.Millisecond
	// maxResidentBytes and maxFiles bound a process.
	maxResidentBytes = 88 << 20
	maxFiles         = 1024
)

// deployment is a set of processes on a block of loopback addresses.
type deployment struct {
	binary, dir string
	// production is the daemon of the production build; empty if the plan needs none.
	production string
	untimed    bool
	layout     layout
	block      *loopback.Block
	check      *checker

	mu        sync.Mutex
	processes map[string]*program
	seeds     []string // in the settings of processes that are added
}

// program is a process of the system and its successors.
type program struct {
	d        *deployment
	name     string
	role     string
	number   int    // of a controller, in the order in which they were added
	folder   string // of a controller's data
	ip       netip.Addr
	settings map[string]any

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	ending  bool // the end of the process is wanted
	starts  int
	since   time.Time // of the last start
	old     bool      // the next process is of the production build
	joins   bool      // the VM was added after the first start of the system
	retired bool      // the VM is gone for good

	restarting sync.Mutex // held during a restart, so that two events do not overlap
}

func (d *deployment) address(group, index, port int) netip.AddrPort {
	return netip.AddrPortFrom(d.block.IP(group, index+1), uint16(port))
}

// zoneOf returns the availability zone of process number index of a role.
func (d *deployment) zoneOf(index int) string { return fmt.Sprintf("zone-%d", index%d.layout.zones) }

// add adds a process without starting it.
func (d *deployment) add(role string, group, index int, settings map[string]any) *program {
	d.mu.Lock()
	defer d.mu.Unlock()
	ip := d.block.IP(group, index+1)
	p := &program{d: d, name: fmt.Sprintf("%s-%d", role, index), role: role, ip: ip, settings: map[string]any{
		"name": fmt.Sprintf("%s-%d", role, index), "role": role, "ip": ip.String(), "zone": d.zoneOf(index), "port": nodePort, "transport": "plain",
		"log_level": "info", "metrics_port": metricsPort,
		"controllers": d.seeds,
	}}
	for k, v := range settings {
		p.settings[k] = v
	}
	d.processes[p.name] = p
	return p
}

// start starts the process. Its log is appended to a file.
func (p *program) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts++
	p.since = time.Now()
	if p.role == "store" {
		p.settings["first_start"] = p.starts == 1 && !p.joins
	}
	file, err := p.writeSettings()
	if err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(p.d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open the log")
	}
	binary := p.d.binary
	if p.old {
		binary = p.d.production
	}
	command := exec.Command(binary, "node", "--settings", file)
	command.Stdout, command.Stderr = logFile, logFile
	if losses := p.d.layout.losses; losses > 0 && p.role == "store" {
		command.Env = append(os.Environ(), fmt.Sprintf("%s=%d", process.FaultToleranceVariable, losses))
	}
	if err := command.Start(); err != nil {
		return errors.CombineErrors(errors.Wrapf(err, "start %s", p.name), logFile.Close())
	}
	done := make(chan struct{})
	p.command, p.done, p.ending = command, done, false
	go func() {
		defer close(done)
		err := command.Wait()
		_ = logFile.Close()
		p.mu.Lock()
		wanted := p.ending
		p.mu.Unlock()
		if !wanted {
			p.d.check.violate("%s ended by itself: %v", p.name, err)
		}
	}()
	return nil
}

// writeSettings writes the settings file and returns its path. The file is replaced as a whole, as a process may start at the
// same time.
func (p *program) writeSettings() (string, error) {
	data, err := json.Marshal(p.settings)
	if err != nil {
		return "", errors.Wrap(err, "encode settings")
	}
	file := filepath.Join(p.d.dir, p.name+".json")
	if err := os.WriteFile(file+".tmp", data, 0o600); err != nil {
		return "", errors.Wrap(err, "write settings")
	}
	return file, errors.Wrap(os.Rename(file+".tmp", file), "replace the settings")
}

// setSeeds names other controllers in the settings, and tells the process.
func (p *program) setSeeds(seeds []string) error {
	p.mu.Lock()
	p.settings["controllers"] = seeds
	_, err := p.writeSettings()
	runs := p.command != nil && !p.ending && time.Since(p.since) > execTime && processorTime(p.command.Process.Pid) >= startupProcessorTime
	p.mu.Unlock()
	if runs {
		p.signal(syscall.SIGHUP)
	}
	return err
}

// retire marks the VM as gone for good.
func (p *program) retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
}

func (p *program) hasStarted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil
}

func (p *program) isRetired() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retired
}

// list returns all processes, also those of VMs that are gone.
func (d *deployment) list() []*program {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Values(d.processes))
}

// setOld chooses the build of the next process.
func (p *program) setOld(old bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.old = old
}

// isOld reports whether the process is of the production build.
func (p *program) isOld() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.old
}

// runsLongerThan reports whether the process of a start has run for a time and still does.
func (p *program) runsLongerThan(d time.Duration, start int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts == start && !p.ending && time.Since(p.since) > d
}

// signal sends a signal to the process.
func (p *program) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.ending = true
	}
	_ = p.command.Process.Signal(s) // it may have ended
}

// kill ends the process at once.
func (p *program) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	<-done
}

// terminate asks the process to end, and kills it if it does not end in time, which is a violation.
func (p *program) terminate() {
	p.signal(syscall.SIGTERM)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
	case <-time.After(stopTimeout):
		if !p.d.untimed {
			p.d.check.violate("%s did not end within %v of SIGTERM", p.name, stopTimeout)
		}
		p.kill()
	}
}

// checkResources checks the memory and the open files of the process.
func (p *program) checkResources() {
	p.mu.Lock()
	command := p.command
	p.mu.Unlock()
	if command == nil {
		return // it has not started yet
	}
	pid := command.Process.Pid
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return // it has ended
	}
	fields := strings.Fields(string(statm))
	if len(fields) > 1 {
		pages, err := strconv.Atoi(fields[1])
		if err == nil && pages*os.Getpagesize() > maxResidentBytes {
			p.d.check.violate("%s uses %d MB", p.name, pages*os.Getpagesize()>>20)
		}
	}
	if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil && len(files) > maxFiles {
		p.d.check.violate("%s has %d open files", p.name, len(files))
	}
}

// metric returns the value of a metric of the process, and its number of starts, which tells processes apart.
func (p *program) metric(ctx context.Context, name string) (value float64, start int, ok bool) {
	p.mu.Lock()
	start = p.starts
	p.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/metrics", netip.AddrPortFrom(p.ip, metricsPort)), nil)
	if err != nil {
		return 0, start, false
	}
	client := http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, start, false
	}
	defer func() { _ = response.Body.Close() }()
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if value, found := parseSample(lines.Text(), name); found {
			return value, start, true
		}
	}
	return 0, start, false
}

// parseSample returns the value in a line of the text format, which may have labels, if it is of the named metric.
func parseSample(line, name string) (value float64, found bool) {
	rest, found := strings.CutPrefix(line, name)
	if !found || rest == "" || rest[0] != ' ' && rest[0] != '{' {
		return 0, false
	}
	value, err := strconv.ParseFloat(rest[strings.LastIndexByte(rest, ' ')+1:], 64)
	return value, err == nil
}
