package checkpoint

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/hop"
)

// refreshInterval is the time between two reports of the same flows, by which a controller notices that it lacks one.
const refreshInterval = 5 * time.Second

// Reporter turns the open flows of a target into reports of one relay process to controllers. A controller gets all
// flows once, and differences after that.
type Reporter struct {
	process uint64
	target  Target
	packed  []byte // as last reported
	number  uint32
	sentAt  time.Duration
	current map[hop.IP]bool // controllers that were sent the last report
}

// Report is a part of a report for a controller.
type Report struct {
	To   hop.IP
	Part Part
}

// NewReporter returns a Reporter for a relay process, which is identified by a random number.
func NewReporter(process uint64) *Reporter {
	return &Reporter{process: process, current: map[hop.IP]bool{}}
}

// Resync makes the next report to a controller carry all flows.
func (r *Reporter) Resync(controller hop.IP) { delete(r.current, controller) }

// Reports returns what to send to the controllers now. The flows are in the order of their keys.
func (r *Reporter) Reports(now time.Duration, target Target, flows []Flow, controllers []hop.IP) []Report {
	if target != r.target {
		r.target, r.packed, r.number = target, nil, r.number+1
		clear(r.current)
	}
	packed := Pack(flows)
	changed, closed := difference(r.packed, packed)
	r.packed = packed
	base := r.number
	if len(changed)+len(closed) > 0 || now-r.sentAt >= refreshInterval {
		r.number++
	}
	var reports []Report
	for _, to := range controllers {
		template := Part{Process: r.process, Target: target, Number: r.number}
		var parts []Part
		switch {
		case !r.current[to]:
			parts = Split(template, packed, nil)
		case r.number != base:
			template.Base, template.Target = base, Target{}
			parts = Split(template, changed, closed)
		}
		for _, p := range parts {
			reports = append(reports, Report{To: to, Part: p})
		}
	}
	if r.number != base {
		r.sentAt = now
	}
	clear(r.current)
	for _, to := range controllers {
		r.current[to] = true
	}
	return reports
}
