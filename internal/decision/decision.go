// Package decision writes one log line for each decision that touches a flow, within a budget of lines a
// second for each kind and without ever blocking the data path.
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

// Kind is the kind of a decision.
type Kind uint8

// Kinds of decisions.
const (
	// Offered is the choice of a first candidate for a SYN, at an entry VM.
	Offered Kind = iota
	// Admitted is a SYN that a target has accepted, at an entry VM.
	Admitted
	// Refused is a SYN that no target took; its caller got a reset.
	Refused
	// Reset is an open flow that was ended by the system.
	Reset
	// Found is the owner of a flow that an entry VM did not know.
	Found
	// SearchFailed is a flow whose owner could not be found; its packets were dropped.
	SearchFailed
	// Taken is a SYN that a relay handed to its target, Passed one that it handed on.
	Taken
	Passed
	// Returned is a packet that a relay gave back because its target does not have the flow.
	Returned
	// Queued is a request that waited at a relay for a slot of its target.
	Queued
	kinds
)

// names and budgets of the kinds. Refusals and resets go before routine: an engineer starts from them.
// With all budgets used, a process writes about 40 KB a second.
var kindTable = [kinds]struct {
	name    string
	perSec  int32
	message string
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

// String returns the name of the kind.
func (k Kind) String() string {
	if k < kinds {
		return kindTable[k].name
	}
	return "unknown"
}

// Decision is what was decided on a flow, and from what.
type Decision struct {
	Kind Kind
	// Flow is CALLER>SERVICE. With Seq, the sequence number of its SYN, it is the ID of the flow.
	Flow packet.Key
	Seq  uint32
	// Target is the relay that the decision is about; the zero address for none.
	Target hop.IP
	// Version is that of the configuration that decided, ListAge the age of the list of targets, at an
	// entry VM.
	Version uint64
	ListAge time.Duration
	// Busy and Slots are the load of the target that decided.
	Busy  uint16
	Slots uint16
	// Tries is the number of targets or rounds before, Took the time since the first packet.
	Tries int
	Took  time.Duration
	Code  result.Code
}

const (
	// ringSize holds the decisions of a burst until the writer runs.
	ringSize = 512
	// reportInterval is the time between two lines about what was left out.
	reportInterval = 5 * time.Second
)

// Log writes decisions. A nil Log writes nothing.
type Log struct {
	logger *log.Logger
	ring   chan Decision
	left   [kinds]atomic.Int32 // of the budget of this second
	missed [kinds]atomic.Uint64
	second atomic.Int64
}

// New returns a Log that Run writes.
func New(logger *log.Logger) *Log {
	l := &Log{logger: logger, ring: make(chan Decision, ringSize)}
	l.refill()
	return l
}

func (l *Log) refill() {
	for k := range kinds {
		l.left[k].Store(kindTable[k].perSec)
	}
}

// Note takes in a decision at a time since the start of the process. It never blocks; what is over the
// budget is counted.
func (l *Log) Note(now time.Duration, d Decision) {
	if l == nil {
		return
	}
	if second := int64(now / time.Second); l.second.Swap(second) != second {
		l.refill()
	}
	if l.left[d.Kind].Add(-1) < 0 {
		l.missed[d.Kind].Add(1)
		return
	}
	select {
	case l.ring <- d:
	default:
		l.missed[d.Kind].Add(1)
	}
}

// Missed returns the number of decisions of a kind that were left out.
func (l *Log) Missed(k Kind) uint64 { return l.missed[k].Load() }

// Run writes decisions until ctx is done, and then those that were taken in before.
func (l *Log) Run(ctx context.Context) error {
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	var told [kinds]uint64
	for {
		select {
		case <-ctx.Done():
			l.writeWaiting()
			l.reportMissed(&told)
			return nil
		case d := <-l.ring:
			l.write(&d)
		case <-report.C:
			l.reportMissed(&told)
		}
	}
}

func (l *Log) writeWaiting() {
	for {
		select {
		case d := <-l.ring:
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

func (l *Log) reportMissed(told *[kinds]uint64) {
	for k := range kinds {
		missed := l.missed[k].Load()
		if missed == told[k] {
			continue
		}
		l.logger.Info().Str("kind", k.String()).Uint64("lines", missed-told[k]).Msg(LinesLeftOut)
		told[k] = missed
	}
}
