package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// Phases in which components start. They stop in reverse order, all of one phase together.
const (
	phaseControllers = iota
	phaseNetwork
	phaseBalancers
	phaseTargets
	phaseAgents
	phaseCount
)

// component is a component that runs in a goroutine until it is stopped.
type component struct {
	phase  int
	name   string
	cancel context.CancelFunc
	done   chan struct{}
	err    error // valid after done is closed
}

// components starts and stops the components of a run.
type components struct {
	mu      sync.Mutex
	started []*component
}

// start runs a component until it is stopped. Its context is independent of the caller's, so that
// components stop in the order of the calls of stop. One that returns earlier has failed.
func (cs *components) start(phase int, name string, run func(context.Context) error) *component {
	ctx, cancel := context.WithCancel(context.Background())
	c := &component{phase: phase, name: name, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(c.done)
		c.err = run(ctx)
		if ctx.Err() == nil && c.err == nil {
			c.err = errors.New("stopped unexpectedly")
		}
	}()
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.started = append(cs.started, c)
	return c
}

// stop cancels the component and waits until it has returned.
func (c *component) stop() error {
	c.cancel()
	<-c.done
	if c.err != nil {
		return fmt.Errorf("%s: %w", c.name, c.err)
	}
	return nil
}

// stopAll stops the remaining components, the last phase first, and returns all failures.
func (cs *components) stopAll() error {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	var failures []error
	for phase := phaseCount - 1; phase >= 0; phase-- {
		for _, c := range cs.started {
			if c.phase == phase {
				c.cancel()
			}
		}
		for _, c := range cs.started {
			if c.phase == phase {
				failures = append(failures, c.stop())
			}
		}
	}
	cs.started = nil
	return errors.Join(failures...)
}

// failure returns the failure of a component that has returned, or nil.
func (cs *components) failure() error {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, c := range cs.started {
		select {
		case <-c.done:
			if c.err != nil {
				return fmt.Errorf("%s: %w", c.name, c.err)
			}
		default:
		}
	}
	return nil
}
