package standin

import "sync"

// Ledger records what the applications of all targets received. Targets share one.
type Ledger struct {
	mu    sync.Mutex
	runs  map[string]int
	wrong int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: map[string]int{}}
}

// run records that a target received a complete request.
func (l *Ledger) run(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

// wrongService records a stream or request that was meant for another service.
func (l *Ledger) wrongService() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wrong++
}

// Runs returns how often the request with the identifier ran.
func (l *Ledger) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// RunTwice returns the number of identifiers that ran more than once.
func (l *Ledger) RunTwice() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	twice := 0
	for _, n := range l.runs {
		if n > 1 {
			twice++
		}
	}
	return twice
}

// WrongService returns the number of streams and requests that reached another service.
func (l *Ledger) WrongService() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wrong
}
