package main

import (
	"context"
	"sync"
	"time"

	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/model"
)

// sampleInterval is shorter than the service time of a request, and gives enough samples in a run to
// average over.
const sampleInterval = 50 * time.Millisecond

// imbalance samples the load of each target during the run: open streams, or busy slots for services of
// requests. It is meant for targets that admit new flows during the whole run.
type imbalance struct {
	mu       sync.Mutex
	excluded map[*targetNode]bool
	busySums map[string]map[*targetNode]int64 // sums of the samples, by service name
}

func newImbalance() *imbalance {
	return &imbalance{excluded: map[*targetNode]bool{}, busySums: map[string]map[*targetNode]int64{}}
}

// exclude leaves a target out of the result.
func (i *imbalance) exclude(t *targetNode) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.excluded[t] = true
}

// sample adds a sample of every target each sampleInterval until ctx is done.
func (i *imbalance) sample(ctx context.Context, targets []*targetNode, loads []*serviceLoad) {
	for ctx.Err() == nil {
		i.mu.Lock()
		for _, l := range loads {
			for _, t := range targets {
				i.addSample(l, t)
			}
		}
		i.mu.Unlock()
		ctxtime.Sleep(ctx, sampleInterval)
	}
}

// addSample adds the present load of one target under a service that it offers.
func (i *imbalance) addSample(l *serviceLoad, t *targetNode) {
	if !t.offers(l.Service) {
		return
	}
	if i.busySums[l.Service] == nil {
		i.busySums[l.Service] = map[*targetNode]int64{}
	}
	stats := t.target.Stats(l.Service)
	if l.class == model.ClassStream {
		i.busySums[l.Service][t] += stats.Open
		return
	}
	i.busySums[l.Service][t] += stats.Busy
}

// maxOverMean returns the highest load of a target of a service, divided by the mean load. It returns 0
// without any load.
func (i *imbalance) maxOverMean(service string) float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	largest, sum, count := int64(0), int64(0), int64(0)
	for t, busy := range i.busySums[service] {
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
