// Command standin-3 plays the scripts of the third review: it starts the project's own processes on loopback addresses,
// stands in for the platform's operators, clients and endpoints, and judges one rule.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
)

// errBroken says that a rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the scripts by name. trouble is false if the disruption is left out.
var cases = map[string]func(w *world, trouble bool) error{
	"foreign-heartbeat": foreignHeartbeat,
	"late-first":        lateFirst,
	"returned-cold":     returnedCold,
	"reused-ports":      reusedPorts,
	"stalled-logs":      stalledLogs,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE DAEMON RECORD")
		os.Exit(2)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", os.Args[1])
		os.Exit(2)
	}
	os.Exit(run(play, os.Args[2], os.Args[3]))
}

func run(play func(w *world, trouble bool) error, daemon, record string) int {
	w, err := newWorld(daemon, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	w.recordf("disruption: %t", trouble)
	switch err := play(w, trouble); {
	case err == nil:
		w.recordf("result: the rule held")
		return 0
	case errors.Is(err, errBroken):
		w.recordf("result: %v", err)
		return 1
	default:
		w.recordf("result: the case could not run: %v", err)
		return 2
	}
}
