package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports, the same at every address.
const (
	nodePort     = 20001
	operatorPort = 20004
	metricsPort  = 20007
)

// Bounds of the deployment with five controllers, from the page of the grown sites.
const (
	syncTime     = 6 * time.Second
	stableWindow = 5 * time.Second
	recoveryTime = 15 * time.Second
	graceTime    = 6 * time.Second
	callTimeout  = time.Second // of an operator
)

// record writes what happens to record.txt, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// controller is a machine that runs the store role.
type controller struct {
	name, ip string
	seeds    []string
	first    bool
	command  *exec.Cmd
	ended    chan struct{}
}

// group is the deployment: controllers on loopback addresses of their own.
type group struct {
	dir    string
	daemon string
	block  byte
	rec    *record
	all    []*controller
}

// newGroup finds a network of loopback addresses of which no port is in use.
func newGroup(dir, daemon string, rec *record) (*group, error) {
	for block := byte(200); block < 250; block++ {
		free := true
		for host := 1; host <= 8 && free; host++ {
			for _, port := range []int{nodePort, operatorPort, metricsPort} {
				l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.%d:%d", block, host, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return &group{dir: dir, daemon: daemon, block: block, rec: rec}, nil
		}
	}
	return nil, fmt.Errorf("no free network of loopback addresses")
}

// add adds a controller without starting it.
func (g *group) add(seeds []string, first bool) *controller {
	n := len(g.all) + 1
	c := &controller{name: fmt.Sprintf("core-%d", n), ip: fmt.Sprintf("127.%d.1.%d", g.block, n), seeds: seeds, first: first}
	g.all = append(g.all, c)
	return c
}

func (c *controller) operatorAddress() string { return fmt.Sprintf("%s:%d", c.ip, operatorPort) }

func (g *group) dataDir(c *controller) string { return filepath.Join(g.dir, c.name, "data") }

// writeSettings writes the settings file as the template of the deploy file gives it.
func (g *group) writeSettings(c *controller) (string, error) {
	file := filepath.Join(g.dir, c.name, "settings.json")
	data, err := json.MarshalIndent(map[string]any{
		"name": c.name, "role": "store", "ip": c.ip, "zone": "zone-" + c.name, "transport": "plain", "port": nodePort,
		"controllers": c.seeds, "metrics_port": metricsPort, "first_start": c.first, "memory_mb": 280, "link_mbps": 1000,
		"heartbeat_ms": 770, "data_dir": g.dataDir(c), "operators": c.operatorAddress(),
	}, "", " ")
	if err != nil {
		return "", err
	}
	if err := os.MkdirAll(g.dataDir(c), 0o700); err != nil {
		return "", err
	}
	return file, os.WriteFile(file, data, 0o600)
}

// start starts the process of a controller.
func (g *group) start(c *controller) error {
	file, err := g.writeSettings(c)
	if err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(g.dir, c.name, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c.command = exec.Command(g.daemon, "node", "--settings", file)
	c.command.Stdout, c.command.Stderr = logFile, logFile
	if err := c.command.Start(); err != nil {
		return err
	}
	command, ended := c.command, make(chan struct{})
	c.ended = ended
	go func() {
		_ = command.Wait()
		_ = logFile.Close()
		close(ended)
	}()
	g.rec.log("platform: starts %s at %s, first start %v, seeds %s", c.name, c.ip, c.first, strings.Join(c.seeds, " "))
	return nil
}

func (c *controller) running() bool {
	if c.command == nil {
		return false
	}
	select {
	case <-c.ended:
		return false
	default:
		return true
	}
}

// kill kills the process of a controller.
func (g *group) kill(c *controller) {
	if c.running() {
		_ = c.command.Process.Kill()
		<-c.ended
	}
	g.rec.log("platform: killed %s", c.name)
}

// terminate sends SIGTERM, and SIGKILL after the grace time.
func (g *group) terminate(c *controller) {
	g.rec.log("platform: SIGTERM to %s", c.name)
	_ = c.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-c.ended:
		g.rec.log("platform: %s has ended", c.name)
	case <-time.After(graceTime):
		g.kill(c)
	}
}

// loseDisk kills a controller, empties its data folder, and starts it again at its address a second later.
func (g *group) loseDisks(lost ...*controller) error {
	for _, c := range lost {
		g.kill(c)
		if err := os.RemoveAll(g.dataDir(c)); err != nil {
			return err
		}
		g.rec.log("platform: the disk of %s is lost", c.name)
	}
	time.Sleep(time.Second)
	for _, c := range lost {
		c.first = false
		if err := g.start(c); err != nil {
			return err
		}
	}
	return nil
}

// endAll kills all processes.
func (g *group) endAll() {
	for _, c := range g.all {
		if c.running() {
			_ = c.command.Process.Kill()
			<-c.ended
		}
	}
}

// runs returns the controllers that run.
func (g *group) runs() []*controller {
	var list []*controller
	for _, c := range g.all {
		if c.running() {
			list = append(list, c)
		}
	}
	return list
}

// leader returns the controller whose metrics say that it leads, or nil.
func (g *group) leader() *controller {
	for _, c := range g.runs() {
		response, err := (&http.Client{Timeout: callTimeout}).Get(fmt.Sprintf("http://%s:%d/metrics", c.ip, metricsPort))
		if err != nil {
			continue
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		for _, line := range strings.Split(string(body), "\n") {
			if fields := strings.Fields(line); len(fields) == 2 && strings.HasPrefix(fields[0], "greengagelock_store_leader") && fields[1] == "1" {
				return c
			}
		}
	}
	return nil
}

func call(method, url string, body []byte) (status int, answer []byte, err error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := (&http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// replace sends a configuration to one controller after the other until it is acknowledged.
func (g *group) replace(version int, patience time.Duration) bool {
	body := []byte(fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-1","host":"127.198.0.1","pathPrefix":"/8080/","routeType":"safe",`+
		`"timeoutMs":%d,"targetLatencyMs":250,"priority":1,"service":"svc-a","maxAttempts":2}],"services":[{"name":"svc-a",`+
		`"healthPath":"/health","maxConnections":2000,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,`+
		`"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version, 1000+version))
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		for _, c := range g.runs() {
			status, _, err := call(http.MethodPost, "http://"+c.operatorAddress()+"/Config.Replace", body)
			g.rec.log("operator: Config.Replace of version %d at %s: status %d, error %v", version, c.name, status, err)
			if status == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// readBack reads the configuration at all controllers until one returns the version. It returns false if none does, or
// if one returns an older version.
func (g *group) readBack(version int, patience time.Duration) bool {
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		for _, c := range g.runs() {
			status, answer, err := call(http.MethodGet, "http://"+c.operatorAddress()+"/Config.Read", nil)
			var config struct {
				Version int `json:"version"`
			}
			if status == http.StatusOK && json.Unmarshal(answer, &config) != nil {
				config.Version = -1
			}
			g.rec.log("operator: Config.Read at %s: status %d, version %d, error %v", c.name, status, config.Version, err)
			if status == http.StatusOK {
				return config.Version == version
			}
		}
	}
	return false
}

// hangUp tells a controller that its settings file has changed.
func (g *group) hangUp(c *controller) {
	g.rec.log("platform: SIGHUP to %s, seeds %s", c.name, strings.Join(c.seeds, " "))
	_ = c.command.Process.Signal(syscall.SIGHUP)
}
