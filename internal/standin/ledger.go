package standin

import "sync"

// Ledger records what the applications of all targets received. Targets share one.
type Ledger struct {
	mu    sync.Mutex
	runs  map[string]map[string]int // by service and identifier
	wrong map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: map[string]map[string]int{}, wrong: map[string]int{}}
}

// run records that a target received a complete request.
func (l *Ledger) run(service, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs[service] == nil {
		l.runs[service] = map[string]int{}
	}
	l.runs[service][id]++
}

// wrongService records a stream or request that was meant for a service and reached another one.
func (l *Ledger) wrongService(meant string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wrong[meant]++
}

// Runs returns how often the request with the identifier ran.
func (l *Ledger) Runs(service, id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[service][id]
}

// RunTwice returns the number of requests of a service that ran more than once.
func (l *Ledger) RunTwice(service string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	twice := 0
	for _, n := range l.runs[service] {
		if n > 1 {
			twice++
		}
	}
	return twice
}

// WrongService returns the number of streams and requests that were meant for the service and
// reached another one.
func (l *Ledger) WrongService(meant string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wrong[meant]
}
