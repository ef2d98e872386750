package relay

import (
	"math"
	"time"
)

const (
	// meanTimeConstant is the time constant of the mean load. It spans the pauses of about a second that
	// callers make between requests on a long flow.
	meanTimeConstant = 2 * time.Second
	// serviceTimeSmoothing is the inverse weight of a new sample in the moving average of the service time.
	// defaultServiceTime is used before the first sample; requests of users take 15 to 52 ms.
	serviceTimeSmoothing = 16
	defaultServiceTime   = 30 * time.Millisecond
	// firstRequestWindow is the time for which a newly admitted flow counts as a request in progress before
	// its first data arrives: two round trips to the caller.
	firstRequestWindow = 10 * time.Millisecond
)

// loadMeter tracks the number of requests in progress at the target and their usual duration.
type loadMeter struct {
	busy            int
	average         float64 // exponentially weighted mean of busy
	updatedAt       time.Duration
	expectedUntil   []time.Duration // deadlines for the first data of admitted flows, ascending
	serviceEstimate time.Duration   // moving average over requests that found a free slot
}

// advance brings the mean up to date. It is called before each change of busy.
func (m *loadMeter) advance(now time.Duration) {
	if dt := now - m.updatedAt; dt > 0 {
		decay := math.Exp(-float64(dt) / float64(meanTimeConstant))
		m.average = m.average*decay + float64(m.busy)*(1-decay)
		m.updatedAt = now
	}
}

// recordServiceTime records the duration of a request that found a free slot.
func (m *loadMeter) recordServiceTime(took time.Duration) {
	if m.serviceEstimate == 0 {
		m.serviceEstimate = took
		return
	}
	m.serviceEstimate += (took - m.serviceEstimate) / serviceTimeSmoothing
}

// serviceTime returns the usual duration of a request at the target.
func (m *loadMeter) serviceTime() time.Duration {
	if m.serviceEstimate == 0 {
		return defaultServiceTime
	}
	return m.serviceEstimate
}

func (m *loadMeter) startRequest(now time.Duration) {
	m.advance(now)
	m.busy++
	if len(m.expectedUntil) > 0 {
		m.expectedUntil = m.expectedUntil[1:]
	}
}

func (m *loadMeter) endRequest(now time.Duration) {
	m.advance(now)
	m.busy = max(m.busy-1, 0)
}

// expectRequest counts a newly admitted flow as a request for firstRequestWindow or until its first data.
func (m *loadMeter) expectRequest(now time.Duration) {
	m.expectedUntil = append(m.expectedUntil, now+firstRequestWindow)
}

// current returns the number of requests in progress plus those expected from newly admitted flows.
func (m *loadMeter) current(now time.Duration) int {
	for len(m.expectedUntil) > 0 && m.expectedUntil[0] <= now {
		m.expectedUntil = m.expectedUntil[1:]
	}
	if len(m.expectedUntil) == 0 {
		m.expectedUntil = nil
	}
	return m.busy + len(m.expectedUntil)
}

// meanSixteenths returns the mean number of requests in progress, in sixteenths.
func (m *loadMeter) meanSixteenths(now time.Duration) uint16 {
	m.advance(now)
	return uint16(min(m.average*16, 65535))
}

func (m *loadMeter) reset() {
	m.busy, m.expectedUntil = 0, nil
}
