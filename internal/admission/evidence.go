package admission

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/model"
)

// Suspension of admission after consecutive handshake failures. Each further failure doubles its length.
const (
	failuresToSuspend = 3
	minSuspension     = time.Second
	maxSuspension     = 30 * time.Second
)

// handshakes counts the handshakes of the target and holds its suspension.
type handshakes struct {
	ok                  uint64
	consecutiveFailures int
	backoff             time.Duration
	suspendedUntil      time.Duration
}

// suspended reports whether handshake failures suspend admission now.
func (h *handshakes) suspended(now time.Duration) bool {
	return h.consecutiveFailures >= failuresToSuspend && now < h.suspendedUntil
}

// HandshakeSucceeded records that the target has answered a SYN with a SYN-ACK. It ends a series of failures.
func (t *Target) HandshakeSucceeded() {
	t.handshakes = handshakes{ok: t.handshakes.ok + 1}
}

// HandshakeFailed records that the target has answered a SYN with an RST or not at all. It reports
// whether this failure starts a suspension.
func (t *Target) HandshakeFailed(now time.Duration) bool {
	h := &t.handshakes
	suspended := h.suspended(now)
	h.consecutiveFailures++
	// Handshakes that were open when the suspension began do not extend it.
	if suspended || h.consecutiveFailures < failuresToSuspend {
		return false
	}
	h.backoff = min(max(2*h.backoff, minSuspension), maxSuspension)
	h.suspendedUntil = now + h.backoff
	return true
}

// Handshakes returns the number of successful handshakes, the number of consecutive failures, and
// whether admission is suspended.
func (t *Target) Handshakes(now time.Duration) (ok uint64, failures int, suspended bool) {
	return t.handshakes.ok, t.handshakes.consecutiveFailures, t.handshakes.suspended(now)
}

// The retry budget limits the SYNs that are forwarded to another target after a failed handshake to a
// tenth of the admitted flows, plus a burst. Without it, failing targets multiply the load of the others.
const (
	retryBurst     = 10
	tokensPerFlow  = 1
	tokensPerRetry = 10
	maxTokens      = retryBurst * tokensPerRetry
)

// retryBudget is a token bucket that admitted flows fill. A retry costs tokensPerRetry.
type retryBudget struct {
	tokens int // a retry costs tokensPerRetry
}

func newRetryBudget() retryBudget {
	return retryBudget{tokens: maxTokens}
}

func (b *retryBudget) earn() {
	b.tokens = min(b.tokens+tokensPerFlow, maxTokens)
}

// SpendRetry takes one retry from the budget. It reports whether the budget allowed it.
func (t *Target) SpendRetry() bool {
	if t.budget.tokens < tokensPerRetry {
		return false
	}
	t.budget.tokens -= tokensPerRetry
	return true
}

// generationWatch detects that packets carry a newer generation of the service than the control plane
// has delivered.
type generationWatch struct {
	delivered, newestSeen model.Generation
	behindSince           time.Duration
}

// behindTooLong reports whether the delivered generation has been behind for GenerationTimeout.
func (g *generationWatch) behindTooLong(now time.Duration) bool {
	return g.newestSeen > g.delivered && now-g.behindSince >= GenerationTimeout
}

// SetGeneration records the generation of the service in the delivered view.
func (t *Target) SetGeneration(now time.Duration, delivered model.Generation) {
	if delivered == t.generation.delivered {
		return
	}
	t.generation.delivered = delivered
	// If a newer generation is still missing, its time to arrive starts again.
	t.generation.behindSince = now
}

// ObserveGeneration records the generation of the service in a packet header.
func (t *Target) ObserveGeneration(now time.Duration, seen model.Generation) {
	g := &t.generation
	if seen <= g.delivered || seen <= g.newestSeen {
		return
	}
	if g.newestSeen <= g.delivered {
		g.behindSince = now
	}
	g.newestSeen = seen
}

// GenerationBehind reports whether packets have carried a newer generation for GenerationTimeout.
func (t *Target) GenerationBehind(now time.Duration) bool {
	return t.generation.behindTooLong(now)
}
