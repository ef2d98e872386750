package ctxtime_test

import (
	"context"
	"testing"
	"time"

	"github.com/greengagelock/greengagelock/internal/ctxtime"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

// Guards against a process that does not stop before a long pause is over, and against a pause
// that counts as cut short.
func TestSleep(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if ctxtime.Sleep(ended, 24*time.Hour) {
		t.Error("a sleep whose context has ended counts as complete")
	}
	if !ctxtime.Sleep(context.Background(), time.Millisecond) {
		t.Error("a complete sleep counts as cut short")
	}
}
