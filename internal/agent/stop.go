package agent

import (
	"context"
	"time"
)

// stopCheck is how often Stop looks at the open flows.
const stopCheck = 20 * time.Millisecond

// Result says how a planned stop ended.
type Result struct {
	// Cut is set if request flows were still open at the deadline.
	Cut      bool
	Requests int // open request flows
	Flows    int // open flows of all classes; a restarted agent recovers them from the target
}

// Stop stops admitting and waits until no request flow is open or ctx is done. The agent goes on
// serving its flows until the context of Run is done.
func (a *Agent) Stop(ctx context.Context) Result {
	stopped := a.do(func() {
		a.run(a.now(), a.table.StopAdmitting(a.now()))
		a.out.flush()
		a.publish()
		a.logger.Info().Str("agent", a.cfg.Name).Int("requests", a.table.OpenRequests()).Msg("agent stops admitting")
	})
	ticker := time.NewTicker(stopCheck)
	defer ticker.Stop()
	for stopped {
		if r := a.open(); !r.Cut {
			return r
		}
		select {
		case <-ctx.Done():
			return a.open()
		case <-a.ended:
			return a.open()
		case <-ticker.C:
		}
	}
	return a.open()
}

// open returns the flows that are open now.
func (a *Agent) open() Result {
	var r Result
	if !a.do(func() { r.Requests, r.Flows = a.table.OpenRequests(), a.table.OpenFlows() }) {
		s := a.snapshot.Load()
		r.Requests, r.Flows = s.requests, s.flows
	}
	r.Cut = r.Requests > 0
	return r
}
