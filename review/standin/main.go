// Command standin plays the platform and the operator for the scripts of the review: it starts the controllers of a
// deployment as processes, ends and replaces some of them, and reads the configuration back. It exits with 1 if the rule
// was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Values of TROUBLE.
const (
	noTrouble = "0"
	onlyFault = "fault" // the final fault without what comes before it
)

var errBroken = errors.New("the rule was broken")

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO DAEMON RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(scenario, daemon, recordFile string) int {
	out, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = out.Close() }()
	rec := &record{out: out, start: time.Now()}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		}
	}()
	g, err := newGroup(dir, daemon, rec)
	if err == nil {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
		go func() {
			<-signals
			g.endAll()
			_ = os.RemoveAll(dir)
			os.Exit(2)
		}()
		if trouble := os.Getenv("TROUBLE"); scenario == "names" {
			err = g.playThree(trouble)
		} else {
			err = g.play(scenario, trouble)
		}
		g.endAll()
	}
	switch {
	case err == nil:
		rec.log("result: the rule held")
		fmt.Println("the rule held")
		return 0
	case errors.Is(err, errBroken):
		rec.log("result: %v", err)
		fmt.Println(err)
		return 1
	}
	rec.log("result: the case could not run: %v", err)
	fmt.Println("the case could not run:", err)
	return 2
}

// play starts five controllers, of which three are seeds, plays the scenario, and lets two controllers lose their disks.
// Then the newest acknowledged configuration must be read back.
func (g *group) play(scenario, trouble string) error {
	var seeds []string
	for range 5 {
		c := g.add(nil, true)
		if len(seeds) < 3 {
			seeds = append(seeds, c.operatorAddress())
		}
	}
	for _, c := range g.all {
		c.seeds = seeds
		if err := g.start(c); err != nil {
			return err
		}
	}
	if !g.replace(3, 20*time.Second) {
		return errors.New("the first configuration was not accepted")
	}
	time.Sleep(10 * time.Second) // all controllers are members by now
	lost := g.all[3:5]           // whose disks the final fault takes
	if trouble != noTrouble && trouble != onlyFault {
		var err error
		switch scenario {
		case "planned":
			lost, err = g.replaceTwoAsPlanned(seeds)
		case "seeds":
			lost, err = g.replaceOneWithOtherSeeds()
		default:
			err = fmt.Errorf("unknown scenario %q", scenario)
		}
		if err != nil {
			return err
		}
	}
	if !g.replace(8, 10*time.Second) {
		return errors.New("the configuration before the final fault was not accepted")
	}
	if trouble != noTrouble {
		if err := g.loseDisks(lost...); err != nil {
			return err
		}
	}
	if !g.readBack(8, recoveryTime+2*stableWindow) {
		return fmt.Errorf("%w: version 8 was acknowledged and cannot be read back", errBroken)
	}
	return nil
}

// replaceTwoAsPlanned starts two successors, and stops the replaced controllers once these have had syncTime and more.
// It returns two controllers that still run.
func (g *group) replaceTwoAsPlanned(seeds []string) ([]*controller, error) {
	replaced := g.all[3:5]
	var successors []*controller
	for range replaced {
		c := g.add(seeds, false)
		if err := g.start(c); err != nil {
			return nil, err
		}
		successors = append(successors, c)
	}
	time.Sleep(syncTime + 2*time.Second)
	for _, c := range replaced {
		g.terminate(c)
	}
	time.Sleep(2 * syncTime)
	return successors, nil
}

// replaceOneWithOtherSeeds exchanges the seeds for three controllers of which none leads, and replaces a controller by an
// empty one at another address. It returns two controllers that still run.
func (g *group) replaceOneWithOtherSeeds() ([]*controller, error) {
	leader := g.leader()
	if leader == nil {
		return nil, errors.New("no controller leads")
	}
	g.rec.log("the leader is %s", leader.name)
	var others []*controller
	for _, c := range g.all {
		if c != leader {
			others = append(others, c)
		}
	}
	replaced, kept := others[3], others[:3]
	var seeds []string
	for _, c := range kept {
		seeds = append(seeds, c.operatorAddress())
	}
	for _, c := range g.all {
		c.seeds, c.first = seeds, false
		if _, err := g.writeSettings(c); err != nil {
			return nil, err
		}
		g.hangUp(c)
	}
	time.Sleep(syncTime)
	g.kill(replaced)
	time.Sleep(time.Second)
	if err := g.start(g.add(seeds, false)); err != nil {
		return nil, err
	}
	time.Sleep(4 * syncTime)
	if now := g.leader(); now != leader {
		return nil, fmt.Errorf("the leader is no longer %s", leader.name)
	}
	return kept[:2], nil
}

// playThree starts three controllers. One loses its disk; while it is off, the processes of the others are killed and start
// again. Later another one loses its disk. Then the newest acknowledged configuration must be read back.
func (g *group) playThree(trouble string) error {
	var seeds []string
	for range 3 {
		c := g.add(nil, true)
		seeds = append(seeds, c.operatorAddress())
	}
	for _, c := range g.all {
		c.seeds = seeds
		if err := g.start(c); err != nil {
			return err
		}
	}
	if !g.replace(3, 20*time.Second) {
		return errors.New("the first configuration was not accepted")
	}
	time.Sleep(10 * time.Second)
	if trouble != noTrouble && trouble != onlyFault {
		if err := g.loseDiskDuringKill(g.all[0]); err != nil {
			return err
		}
		time.Sleep(4 * syncTime)
	}
	if !g.replace(8, 10*time.Second) {
		return errors.New("the configuration before the final fault was not accepted")
	}
	if trouble != noTrouble {
		if err := g.loseDisks(g.all[1]); err != nil {
			return err
		}
	}
	if !g.readBack(8, recoveryTime+2*stableWindow) {
		return fmt.Errorf("%w: version 8 was acknowledged and cannot be read back", errBroken)
	}
	return nil
}

// loseDiskDuringKill takes the disk of one controller, which is off for three seconds. Meanwhile the processes of all others
// are killed, and are back after half a second with their disks.
func (g *group) loseDiskDuringKill(lost *controller) error {
	others := g.all[1:]
	g.kill(lost)
	if err := os.RemoveAll(g.dataDir(lost)); err != nil {
		return err
	}
	g.rec.log("platform: the disk of %s is lost", lost.name)
	time.Sleep(time.Second)
	for _, c := range others {
		g.kill(c)
	}
	time.Sleep(500 * time.Millisecond)
	for _, c := range others {
		c.first = false
		if err := g.start(c); err != nil {
			return err
		}
	}
	time.Sleep(1500 * time.Millisecond)
	lost.first = false
	return g.start(lost)
}
