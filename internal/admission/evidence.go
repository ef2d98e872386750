package admission

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/model"
)

// Suspension after handshake failures.
const (
	failuresToSuspend = 3
	minSuspension     = time.Second
	maxSuspension     = 30 * time.Second
)

// handshakes is the evidence that the handshakes of the target give.
type handshakes struct {
	ok       uint64
	failures int // consecutive
	backoff  time.Duration
	until    time.Duration // end of the suspension
}

func (h *handshakes) suspended(now time.Duration) bool {
	return h.failures >= failuresToSuspend && now < h.until
}

// HandshakeOK records that the target has answered a SYN with SYN-ACK.
func (t *Target) HandshakeOK() {
	t.handshakes = handshakes{ok: t.handshakes.ok + 1}
}

// HandshakeFailed records that the target has answered a SYN with RST or not at all. It reports
// whether the failure suspends admission.
func (t *Target) HandshakeFailed(now time.Duration) bool {
	h := &t.handshakes
	suspended := h.suspended(now)
	h.failures++
	// Handshakes that were already open when the suspension began do not prolong it.
	if suspended || h.failures < failuresToSuspend {
		return false
	}
	h.backoff = min(max(2*h.backoff, minSuspension), maxSuspension)
	h.until = now + h.backoff
	return true
}

// Handshakes returns the number of answered SYNs, the consecutive failures, and whether admission
// is suspended.
func (t *Target) Handshakes(now time.Duration) (ok uint64, failures int, suspended bool) {
	return t.handshakes.ok, t.handshakes.failures, t.handshakes.suspended(now)
}

// The retry budget bounds the SYNs that pass on after a failed handshake to a tenth of the
// admitted flows, so that failing targets do not multiply the load of the others.
const (
	retryBurst    = 10
	retryPerFlow  = 1
	tokensOfRetry = 10
	maxTokens     = retryBurst * tokensOfRetry
)

type retryBudget struct {
	tokens int // a retry costs tokensOfRetry
}

func newRetryBudget() retryBudget {
	return retryBudget{tokens: maxTokens}
}

func (b *retryBudget) earn() {
	b.tokens = min(b.tokens+retryPerFlow, maxTokens)
}

// SpendRetry takes one retry out of the budget and reports whether there was one.
func (t *Target) SpendRetry() bool {
	if t.budget.tokens < tokensOfRetry {
		return false
	}
	t.budget.tokens -= tokensOfRetry
	return true
}

// generationWatch notices that packets show a newer generation of the service than control has
// delivered.
type generationWatch struct {
	own, newest model.Generation
	since       time.Duration
}

func (g *generationWatch) expired(now time.Duration) bool {
	return g.newest > g.own && now-g.since >= GenerationPatience
}

// SetGeneration records the generation of the service that control has delivered.
func (t *Target) SetGeneration(now time.Duration, own model.Generation) {
	if own == t.generation.own {
		return
	}
	t.generation.own = own
	// A generation that is still missing gets its own time to arrive.
	t.generation.since = now
}

// SawGeneration records the generation of the service in a packet.
func (t *Target) SawGeneration(now time.Duration, seen model.Generation) {
	g := &t.generation
	if seen <= g.own || seen <= g.newest {
		return
	}
	if g.newest <= g.own {
		g.since = now
	}
	g.newest = seen
}

// GenerationBehind reports whether packets have shown a newer generation for too long.
func (t *Target) GenerationBehind(now time.Duration) bool {
	return t.generation.expired(now)
}
