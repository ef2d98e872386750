// Command standin-2 plays the cases of the review against the programs of the deploy file. Clients, endpoints and the
// operator are stand-ins that follow PROTOCOL.md.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"time"
)

// maxRun bounds a case.
const maxRun = 115 * time.Second

// held, broken and cannotRun are the exit statuses.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

var cases = map[string]func(w *world, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		var names []string
		for n := range cases {
			names = append(names, n)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "usage: standin-2 CASE BINARY RECORD, with CASE of %v; TROUBLE=0 leaves the disruption out\n", names)
		os.Exit(cannotRun)
	}
	w, err := newWorld(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	status := cannotRun
	ended := make(chan error, 1)
	go func() {
		var err error
		status, err = cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
		ended <- err
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-ended:
	case s := <-stop:
		err = fmt.Errorf("interrupted by %v", s)
	case <-time.After(maxRun):
		err = fmt.Errorf("it takes longer than %v", maxRun)
	}
	if err != nil {
		w.rec.printf("the case could not run: %v", err)
		status = cannotRun
	}
	w.rec.printf("%s", map[int]string{held: "the rule held", broken: "the rule is broken", cannotRun: "no result"}[status])
	w.close()
	os.Exit(status)
}
