package standin

import "sync"

// Ledger counts the requests and streams that targets received. Several targets share one ledger.
type Ledger struct {
	mu           sync.Mutex
	runs         map[string]map[string]int // by service and identifier
	wrongService map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: map[string]map[string]int{}, wrongService: map[string]int{}}
}

// recordRun counts one run of a request: a target has received it completely.
func (l *Ledger) recordRun(service, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs[service] == nil {
		l.runs[service] = map[string]int{}
	}
	l.runs[service][id]++
}

// recordWrongService counts a stream or request for the intended service that reached another service.
func (l *Ledger) recordWrongService(intended string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wrongService[intended]++
}

// Runs returns how many times the request with the identifier ran.
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

// WrongService returns the number of streams and requests for the intended service that reached
// another service.
func (l *Ledger) WrongService(intended string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wrongService[intended]
}
