// Package decision is the decision log of the datagram data path: one log line for each decision on a flow,
// limited to a number of lines per second and kind. Recording a decision never blocks the data path.
//
// It also defines the format of the lines and the messages of state changes, which package flowlog reads.
package decision

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/packet"
	"github.com/greengagelock/greengagelock/internal/result"
)

// Kind says what was decided on a flow.
type Kind uint8

// Kinds of decisions.
const (
	// Offered: an entry VM chose the first candidate for a SYN.
	Offered Kind = iota
	// Admitted: an entry VM learned that a target accepted a SYN.
	Admitted
	// Refused: no target accepted a SYN; its caller got a reset.
	Refused
	// Reset: the system reset an open flow.
	Reset
	// Found: an entry VM found the owner of a flow that it did not know.
	Found
	// SearchFailed: the owner of a flow was not found; its packets were dropped.
	SearchFailed
	// Taken: a relay offered a SYN to its target. Passed: it passed the SYN on to the next candidate.
	Taken
	Passed
	// Returned: a relay returned a packet because its target does not have the flow.
	Returned
	// Queued: a request waited at a relay for a slot of its target.
	Queued
	kindCount
)

// kindTable holds the name, the limit and the log message of each kind. Refusals and resets have the highest
// limits, since most investigations start from them. At all limits a process writes about 40 KB a second.
var kindTable = [kindCount]struct {
	name           string
	linesPerSecond int32
	message        string
}{
	Offered:      {"offered", 5, "flow offered"},
	Admitted:     {"admitted", 10, "flow admitted"},
	Refused:      {"refused", 50, "flow refused"},
	Reset:        {"reset", 50, "flow reset"},
	Found:        {"found", 10, "owner of a flow found"},
	SearchFailed: {"search_failed", 20, "owner of a flow not found"},
	Taken:        {"taken", 5, "flow taken"},
	Passed:       {"passed", 10, "flow passed on"},
	Returned:     {"returned", 10, "packet given back"},
	Queued:       {"queued", 5, "request waited for a slot"},
}

// String returns the name of the kind in log lines.
func (k Kind) String() string {
	if k < kindCount {
		return kindTable[k].name
	}
	return "unknown"
}

// Decision is a decision on a flow with the data that it was based on.
type Decision struct {
	Kind Kind
	// Flow and Seq, the sequence number of its SYN, identify the flow.
	Flow packet.Key
	Seq  uint32
	// Target is the relay that the decision is about; the zero address for none.
	Target hop.IP
	// Version is the version of the configuration in force, ListAge the age of the list of targets. Only
	// entry VMs set them.
	Version uint64
	ListAge time.Duration
	// Busy is the number of requests at the target, Slots its capacity.
	Busy  uint16
	Slots uint16
	// Tries is the number of targets or lookups tried before, Took the time since the first packet.
	Tries int
	Took  time.Duration
	Code  result.Code
}

const (
	// queueSize bounds the decisions that wait for Run to write them, as in a burst.
	queueSize = 512
	// reportInterval is the time between two reports of decisions that were left out of the log.
	reportInterval = 5 * time.Second
)

// Log is a decision log. A nil Log discards decisions.
type Log struct {
	logger        *log.Logger
	queue         chan Decision
	budget        [kindCount]atomic.Int32 // lines left in the current second
	leftOut       [kindCount]atomic.Uint64
	currentSecond atomic.Int64
}

// New returns a Log. Run writes its lines to logger.
func New(logger *log.Logger) *Log {
	l := &Log{logger: logger, queue: make(chan Decision, queueSize)}
	l.resetBudgets()
	return l
}

func (l *Log) resetBudgets() {
	for k := range kindCount {
		l.budget[k].Store(kindTable[k].linesPerSecond)
	}
}

// Record records a decision; now is the time since the start of the process. It never blocks: a decision above
// the limit of its kind, or while the queue is full, is only counted.
func (l *Log) Record(now time.Duration, d Decision) {
	if l == nil {
		return
	}
	if second := int64(now / time.Second); l.currentSecond.Swap(second) != second {
		l.resetBudgets()
	}
	if l.budget[d.Kind].Add(-1) < 0 {
		l.leftOut[d.Kind].Add(1)
		return
	}
	select {
	case l.queue <- d:
	default:
		l.leftOut[d.Kind].Add(1)
	}
}

// LeftOut returns the number of decisions of a kind that were left out of the log.
func (l *Log) LeftOut(k Kind) uint64 { return l.leftOut[k].Load() }

// Run writes decisions until ctx is done, then those that are still queued. It returns nil.
func (l *Log) Run(ctx context.Context) error {
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	var reported [kindCount]uint64
	for {
		select {
		case <-ctx.Done():
			l.writeQueued()
			l.reportLeftOut(&reported)
			return nil
		case d := <-l.queue:
			l.write(&d)
		case <-report.C:
			l.reportLeftOut(&reported)
		}
	}
}

func (l *Log) writeQueued() {
	for {
		select {
		case d := <-l.queue:
			l.write(&d)
		default:
			return
		}
	}
}

func (l *Log) write(d *Decision) {
	e := l.logger.Info().Str("kind", d.Kind.String()).Str("flow", d.Flow.String()).Uint32("seq", d.Seq)
	if d.Target != (hop.IP{}) {
		e = e.Str("relay", netip.AddrFrom4(d.Target).String())
	}
	if d.Version != 0 {
		e = e.Uint64("version", d.Version).Int64("list_age_ms", d.ListAge.Milliseconds())
	}
	if d.Slots != 0 {
		e = e.Uint16("busy", d.Busy).Uint16("slots", d.Slots)
	}
	e.Int("tries", d.Tries).Int64("took_us", d.Took.Microseconds()).Str("code", d.Code.String()).Msg(kindTable[d.Kind].message)
}

func (l *Log) reportLeftOut(reported *[kindCount]uint64) {
	for k := range kindCount {
		leftOut := l.leftOut[k].Load()
		if leftOut == reported[k] {
			continue
		}
		l.logger.Info().Str("kind", k.String()).Uint64("lines", leftOut-reported[k]).Msg(LinesLeftOut)
		reported[k] = leftOut
	}
}
