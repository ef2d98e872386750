package agent

import (
	"context"
	"time"
)

// stopCheckInterval is the time between two checks of the open flows in Stop.
const stopCheckInterval = 20 * time.Millisecond

// StopResult is the outcome of Stop.
type StopResult struct {
	// RequestsOpen is true if request flows were still open when ctx was done.
	RequestsOpen bool
	Requests     int // open request flows
	Flows        int // open flows of all classes; a restarted agent recovers them from the target
}

// Stop stops admission and waits until no request flow is open or ctx is done. The agent keeps forwarding
// packets of open flows until the context of Run is done.
func (a *Agent) Stop(ctx context.Context) StopResult {
	stopped := a.runInLoop(func() {
		a.execute(a.now(), a.table.StopAdmitting(a.now()))
		a.out.flush()
		a.publish()
		a.logger.Info().Str("agent", a.cfg.Name).Int("requests", a.table.OpenRequests()).Msg("agent stopped admitting flows")
	})
	ticker := time.NewTicker(stopCheckInterval)
	defer ticker.Stop()
	for stopped {
		if r := a.openFlows(); !r.RequestsOpen {
			return r
		}
		select {
		case <-ctx.Done():
			return a.openFlows()
		case <-a.runEnded:
			return a.openFlows()
		case <-ticker.C:
		}
	}
	return a.openFlows()
}

// openFlows returns the current numbers of open flows, or the last published ones if Run has ended.
func (a *Agent) openFlows() StopResult {
	var r StopResult
	if !a.runInLoop(func() { r.Requests, r.Flows = a.table.OpenRequests(), a.table.OpenFlows() }) {
		s := a.snapshot.Load()
		r.Requests, r.Flows = s.requests, s.flows
	}
	r.RequestsOpen = r.Requests > 0
	return r
}
