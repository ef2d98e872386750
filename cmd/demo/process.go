package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// Phases of starting. Stopping goes the other way, all of one phase at once.
const (
	phaseControllers = iota
	phaseNetwork
	phaseBalancers
	phaseTargets
	phaseAgents
	phaseCount
)

// process is a component that runs in a goroutine until it is stopped.
type process struct {
	phase  int
	name   string
	cancel context.CancelFunc
	done   chan struct{}
	err    error // valid after done is closed
}

// processes starts and stops the components of the demonstration.
type processes struct {
	mu      sync.Mutex
	started []*process
}

// start runs a component until it is stopped. It gets a context of its own, so that components
// stop in the order in which stop is called.
func (ps *processes) start(phase int, name string, run func(context.Context) error) *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{phase: phase, name: name, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.err = run(ctx)
		if ctx.Err() == nil && p.err == nil {
			p.err = errors.New("ended by itself")
		}
	}()
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.started = append(ps.started, p)
	return p
}

// stop ends the component and waits for it.
func (p *process) stop() error {
	p.cancel()
	<-p.done
	if p.err != nil {
		return fmt.Errorf("%s: %w", p.name, p.err)
	}
	return nil
}

// stopAll stops what is still running and returns all failures.
func (ps *processes) stopAll() error {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	var failures []error
	for phase := phaseCount - 1; phase >= 0; phase-- {
		for _, p := range ps.started {
			if p.phase == phase {
				p.cancel()
			}
		}
		for _, p := range ps.started {
			if p.phase == phase {
				failures = append(failures, p.stop())
			}
		}
	}
	ps.started = nil
	return errors.Join(failures...)
}

// failure returns the first failure of a component that has ended.
func (ps *processes) failure() error {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.started {
		select {
		case <-p.done:
			if p.err != nil {
				return fmt.Errorf("%s: %w", p.name, p.err)
			}
		default:
		}
	}
	return nil
}
