package ctxtime_test

import (
	"context"
	"testing"
	"time"

	"github.com/greengagelock/greengagelock/internal/ctxtime"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

// Guards against a process that stops only after a long sleep is over, and against a complete sleep that
// is reported as interrupted.
func TestSleep(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if ctxtime.Sleep(ended, 24*time.Hour) {
		t.Error("a sleep whose context is done is reported as complete")
	}
	if !ctxtime.Sleep(context.Background(), time.Millisecond) {
		t.Error("a complete sleep is reported as interrupted")
	}
}
