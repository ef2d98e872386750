package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func init() { cases["successor"] = successor }

// recoveryLimit is the bound recoveryS of the sites with five core machines, syncTime the bound syncS.
const (
	recoveryLimit = 15 * time.Second
	syncTime      = 6 * time.Second
)

// metric reads a metric of a core machine; -1 if there is none.
func (w *world) metric(client *http.Client, host int, name string) float64 {
	response, err := client.Get("http://" + w.addr(coreGroup, host, metricsPort) + "/metrics")
	if err != nil {
		return -1
	}
	defer response.Body.Close()
	value := -1.0
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if rest, found := strings.CutPrefix(lines.Text(), name+"{"); found {
			value, _ = strconv.ParseFloat(rest[strings.LastIndexByte(rest, ' ')+1:], 64)
		} else if rest, found := strings.CutPrefix(lines.Text(), name+" "); found {
			value, _ = strconv.ParseFloat(rest, 64)
		}
	}
	return value
}

// leader returns the number of the core machine that leads, or 0.
func (d *deployment) leader() int {
	client := &http.Client{Timeout: time.Second}
	for i, p := range d.cores {
		if p.running() && d.w.metric(client, i+1, "greengagelock_store_leader") == 1 {
			return i + 1
		}
	}
	return 0
}

// wipe kills a core machine and removes its disk.
func (p *process) wipe() {
	p.kill()
	dir := p.settings["data_dir"].(string)
	_ = os.RemoveAll(dir)
	p.w.rec.printf("%s has lost its disk", p.name)
}

// successor replaces one core machine as planned while another one stands still, and lets two lose their disks just as that one
// takes the place of the first.
func successor(w *world, trouble bool) (int, error) {
	d, err := startDeployment(w, 5, 2, 2, 1)
	if err != nil {
		return cannotRun, err
	}
	// The successor of the machine that is replaced starts first, and has syncS.
	spare := w.core(6, "z-d")
	spare.first = false
	d.cores = append(d.cores, spare)
	if err := spare.start(); err != nil {
		return cannotRun, err
	}
	time.Sleep(syncTime + 2*time.Second)
	lead := d.leader()
	if lead == 0 {
		return cannotRun, fmt.Errorf("no core machine leads")
	}
	var others []int
	for i := 1; i <= 5; i++ {
		if i != lead {
			others = append(others, i)
		}
	}
	frozen, replaced, watched := others[0], others[1], others[2:]
	w.rec.printf("core-%d leads, core-%d stands still, core-%d is replaced", lead, frozen, replaced)
	if !d.replace(map[int]string{routePort: "alpha", 444: "beta"}, 5*time.Second) {
		return cannotRun, fmt.Errorf("a configuration was not acknowledged")
	}
	if trouble {
		d.cores[frozen-1].signal(syscall.SIGSTOP)
	}
	time.Sleep(2200 * time.Millisecond)
	d.cores[replaced-1].signal(syscall.SIGTERM)
	<-d.cores[replaced-1].done
	w.rec.printf("core-%d has ended, for good", replaced)
	time.Sleep(900 * time.Millisecond)
	if trouble {
		d.cores[frozen-1].signal(syscall.SIGCONT)
		seen := make(chan int, len(watched))
		stop := make(chan struct{})
		for _, host := range watched {
			go func() {
				client := &http.Client{Timeout: time.Second}
				for {
					select {
					case <-stop:
						return
					default:
					}
					if w.metric(client, host, "greengagelock_store_voters") == 6 {
						seen <- host
						return
					}
				}
			}()
		}
		select {
		case host := <-seen:
			w.rec.printf("core-%d knows six voters", host)
		case <-time.After(10 * time.Second):
			close(stop)
			return cannotRun, fmt.Errorf("no machine was seen to take the place of core-%d", replaced)
		}
		if os.Getenv("LATE") != "" { // a control: the same losses, once the change of the members is over
			time.Sleep(3 * time.Second)
		}
		d.cores[frozen-1].signal(syscall.SIGKILL)
		d.cores[lead-1].signal(syscall.SIGKILL)
		close(stop)
		<-d.cores[frozen-1].done
		<-d.cores[lead-1].done
		d.cores[frozen-1].wipe()
		d.cores[lead-1].wipe()
		time.Sleep(time.Second)
		if err := d.cores[frozen-1].start(); err != nil {
			return cannotRun, err
		}
		if err := d.cores[lead-1].start(); err != nil {
			return cannotRun, err
		}
	}
	time.Sleep(recoveryLimit + stableWindow)
	// The operator reads the configuration back, at every machine.
	for limit := time.Now().Add(20 * time.Second); time.Now().Before(limit); time.Sleep(300 * time.Millisecond) {
		for i := range d.cores {
			if i+1 == replaced {
				continue
			}
			code, body := w.call(http.MethodGet, "http://"+w.addr(coreGroup, i+1, controlPort)+"/Config.Read", "", time.Second)
			var config struct {
				Version int `json:"version"`
			}
			if code == http.StatusOK && json.Unmarshal(body, &config) == nil && config.Version == d.version {
				w.rec.printf("operator: core-%d returns version %d", i+1, config.Version)
				return held, nil
			}
			w.rec.printf("operator: core-%d does not return the configuration: %d %.120s", i+1, code, body)
		}
	}
	w.rec.printf("CONFIG: no machine returns version %d, which was acknowledged", d.version)
	return broken, nil
}
