package main

import (
	"context"
	"sync"
	"time"

	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/model"
)

// sampleInterval is short against the service time of requests together with the number of
// samples of a run.
const sampleInterval = 50 * time.Millisecond

// imbalance averages over time how busy each target is. It covers the targets that admit new
// flows during the whole run.
type imbalance struct {
	mu       sync.Mutex
	excluded map[*targetNode]bool
	busy     map[string]map[*targetNode]int64 // sums by service
}

func newImbalance() *imbalance {
	return &imbalance{excluded: map[*targetNode]bool{}, busy: map[string]map[*targetNode]int64{}}
}

// exclude leaves a target out.
func (i *imbalance) exclude(t *targetNode) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.excluded[t] = true
}

// sample runs until ctx is done.
func (i *imbalance) sample(ctx context.Context, targets []*targetNode, loads []*load) {
	for ctx.Err() == nil {
		i.mu.Lock()
		for _, l := range loads {
			for _, t := range targets {
				i.add(l, t)
			}
		}
		i.mu.Unlock()
		ctxtime.Sleep(ctx, sampleInterval)
	}
}

func (i *imbalance) add(l *load, t *targetNode) {
	if !t.offers(l.Service) {
		return
	}
	if i.busy[l.Service] == nil {
		i.busy[l.Service] = map[*targetNode]int64{}
	}
	stats := t.target.Stats(l.Service)
	if l.class == model.ClassStream {
		i.busy[l.Service][t] += stats.Open
		return
	}
	i.busy[l.Service][t] += stats.Busy
}

// of returns the maximum over the mean for a service.
func (i *imbalance) of(service string) float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	largest, sum, count := int64(0), int64(0), int64(0)
	for t, busy := range i.busy[service] {
		if i.excluded[t] {
			continue
		}
		largest = max(largest, busy)
		sum += busy
		count++
	}
	if sum == 0 {
		return 0
	}
	return float64(largest) * float64(count) / float64(sum)
}
