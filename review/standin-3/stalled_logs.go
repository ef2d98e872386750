package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Figures of the case.
const (
	configApply = 3 * time.Second // configApplyMs
	logFronts   = 3               // of which the logs of all but one are not read
	stalledLoad = 60              // flows a second
	// fillTime bounds the time in which the pipe of the logs fills up.
	fillTime = 60 * time.Second
	// calmTime is the time without another byte after which it counts as full.
	calmTime = 3 * time.Second
)

// logReader reads the standard output of a process from a pipe of the usual size.
type logReader struct {
	read, write *os.File
	stalled     atomic.Bool
}

// startLogReader reads the output of a machine into a file until it stalls.
func startLogReader(m *machine) (*logReader, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	l := &logReader{read: r, write: w}
	m.output = w
	file, err := os.Create(filepath.Join(m.w.folder, m.name+".log"))
	if err != nil {
		return nil, err
	}
	m.w.cleanup(func() { _, _, _ = r.Close(), w.Close(), file.Close() })
	go func() {
		buffer := make([]byte, 4096)
		for !l.stalled.Load() {
			n, err := r.Read(buffer)
			if err != nil {
				return
			}
			_, _ = file.Write(buffer[:n])
		}
	}()
	return l, nil
}

// unread returns the number of bytes that wait in the pipe.
func (l *logReader) unread() int {
	connection, err := l.read.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = connection.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return n
}

// awaitFull waits until no further bytes arrive in the pipes.
func awaitFull(w *world, readers []*logReader) error {
	last, since := -1, time.Now()
	for deadline := time.Now().Add(fillTime); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		sum, least := 0, 1<<30
		for _, l := range readers {
			n := l.unread()
			sum, least = sum+n, min(least, n)
		}
		if sum != last {
			last, since = sum, time.Now()
		}
		if least > 32<<10 && time.Since(since) > calmTime {
			w.recordf("%d bytes of logs wait to be read, and no more arrive", sum)
			return nil
		}
	}
	return fmt.Errorf("the logs did not fill their pipes: %d bytes wait", last)
}

// stalledLogs judges CONFIG: the logs of two of three fronts of a zone are not read any more.
func stalledLogs(w *world, trouble bool) error {
	zones := []string{"bog-a", "bog-b", "bog-c"}
	for n, zone := range zones {
		w.addCore(n+1, zone)
	}
	var fronts []*machine
	var readers []*logReader
	for n := range logFronts {
		fronts = append(fronts, w.addFront(n+1, zones[0]))
		l, err := startLogReader(fronts[n])
		if err != nil {
			return err
		}
		readers = append(readers, l)
	}
	services := []string{"migrator-core", "migrator-core", "plan-archive", "plan-archive"}
	for n, service := range services {
		w.addSide(n+1, zones[n%2], service)
	}
	if err := w.launchAll(); err != nil {
		return err
	}
	routers := startRouter(w, fronts)
	host, err := newClientHost(w, 1, routers.route, w.service())
	if err != nil {
		return err
	}
	var mu sync.Mutex
	var oldRuns []arrival
	newRuns := 0
	for n, service := range services {
		_, err := startEndpoint(w, endpointConfig{
			id: fmt.Sprintf("i-%d", n+1), service: service, zone: zones[n%2], ip: w.ip(sideGroup, n+1), slots: 2, work: 15 * time.Millisecond,
			phase: heartbeatInterval,
			opened: func(client end, at time.Time) {
				host.mu.Lock()
				sent := host.sentAt[client]
				host.mu.Unlock()
				mu.Lock()
				defer mu.Unlock()
				if service == services[0] {
					oldRuns = append(oldRuns, arrival{sent, at})
				} else {
					newRuns++
				}
			},
		})
		if err != nil {
			return err
		}
	}
	config := func(version, timeout int, service string) string {
		return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-1","host":%q,"pathPrefix":"/8443/","routeType":"safe","timeoutMs":%d,`+
			`"targetLatencyMs":250,"priority":2,"service":%q,"maxAttempts":2}],"services":[{"name":"migrator-core","healthPath":"/health",`+
			`"maxConnections":2000,"protocol":"h1","tls":false},{"name":"plan-archive","healthPath":"/health","maxConnections":2000,"protocol":"h1",`+
			`"tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version, w.service().ip, timeout, service)
	}
	if err := w.order("/Config.Replace", config(7, 1500, services[0])); err != nil {
		return err
	}
	if err := w.awaitFronts(fronts...); err != nil {
		return err
	}
	var counts [3]atomic.Int64
	stop := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() { host.offer(stop, stalledLoad, &counts) })
	time.Sleep(stableWindow)
	if trouble {
		for _, l := range readers[1:] {
			l.stalled.Store(true)
		}
		w.recordf("the logs of %s and %s are not read any more", fronts[1].name, fronts[2].name)
		if err := awaitFull(w, readers[1:]); err != nil {
			return err
		}
	} else {
		time.Sleep(10 * time.Second)
	}
	w.recordf("version 8 gives the route another timeout")
	if err := w.order("/Config.Replace", config(8, 1600, services[0])); err != nil {
		return err
	}
	time.Sleep(time.Second)
	w.recordf("version 9 moves the route from %s to %s", services[0], services[2])
	if err := w.order("/Config.Replace", config(9, 1600, services[2])); err != nil {
		return err
	}
	acknowledged := time.Now()
	time.Sleep(configApply + 5*time.Second)
	close(stop)
	load.Wait()
	mu.Lock()
	defer mu.Unlock()
	late, last := 0, time.Duration(0)
	for _, a := range oldRuns {
		if after := a.sent.Sub(acknowledged); after > configApply {
			late, last = late+1, max(last, after)
		}
	}
	w.recordf("requests: %d answered, %d reset, %d without an answer; %d run by %s in all", counts[0].Load(), counts[1].Load(), counts[2].Load(), newRuns, services[2])
	w.recordf("%d requests that were sent later than %v after the acknowledgement of version 9 were run by %s, the last one sent %v after it",
		late, configApply, services[0], last.Round(time.Millisecond))
	if late > 0 {
		return fmt.Errorf("%w: CONFIG: %d requests were handled as only an older version allows", errBroken, late)
	}
	if newRuns == 0 {
		return fmt.Errorf("nothing was run by %s", services[2])
	}
	return nil
}
