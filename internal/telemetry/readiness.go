package telemetry

import (
	"fmt"
	"net/http"
	"sync"
)

// Readiness combines the conditions under which a process is ready. The zero value is ready.
type Readiness struct {
	mu         sync.Mutex
	conditions []condition
}

type condition struct {
	name  string
	check func() error
}

// Add adds a condition. The process is ready while every check returns nil.
func (r *Readiness) Add(name string, check func() error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conditions = append(r.conditions, condition{name: name, check: check})
}

// serve writes one line per condition. The status is 503 if a condition fails, and 200 otherwise.
func (r *Readiness) serve(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	conditions := r.conditions
	r.mu.Unlock()
	status, lines := http.StatusOK, ""
	for _, c := range conditions {
		if err := c.check(); err != nil {
			status = http.StatusServiceUnavailable
			lines += fmt.Sprintf("%s: %v\n", c.name, err)
			continue
		}
		lines += c.name + ": ok\n"
	}
	w.WriteHeader(status)
	_, _ = w.Write([]byte(lines))
}
