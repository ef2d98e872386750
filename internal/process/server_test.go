package process

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/result"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

// Guards against a planned stop that cuts off calls of operators and targets which have just been accepted: the change
// may be in force, and the caller would not know.
func TestAcceptedCallsAreAnsweredAtTheStop(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	accepted, finish := make(chan struct{}), make(chan struct{})
	s := &server{listener, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(accepted)
		<-finish
		_, _ = io.WriteString(w, "done")
	})}}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.run(ctx) }()
	answer := make(chan string, 1)
	go func() {
		response, err := http.Get("http://" + listener.Addr().String())
		if err != nil {
			answer <- err.Error()
			return
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		if err != nil {
			answer <- err.Error()
			return
		}
		answer <- string(body)
	}()
	<-accepted
	stop()
	for { // until the stop is under way
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			break
		}
		_ = conn.Close()
	}
	close(finish)
	g.Expect(<-answer).To(Equal("done"))
	g.Expect(<-ended).To(Succeed())
}

// Guards against a process that ends because its settings change while it starts.
func TestHangupWhileTheProcessStarts(t *testing.T) {
	g := NewWithT(t)
	for range 5 {
		hangUpWhileStarting(t, g)
	}
}

func hangUpWhileStarting(t *testing.T, g *WithT) {
	path := filepath.Join(t.TempDir(), "settings")
	g.Expect(syscall.Mkfifo(path, 0o600)).To(Succeed())
	done := make(chan error, 1)
	go func() { done <- Run(t.Context(), path, Protocol{}) }()
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the process reads its settings
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed()) // ends the test unless it is handled
	// The kernel may hand the signal to another thread after Run has ended, and with that its handling. So Run goes on only when
	// the signal is no longer pending, and the handler of a thread that is late finds this one.
	g.Eventually(hangupIsPending, 10*time.Second, time.Millisecond).Should(BeFalse())
	late := make(chan os.Signal, 1)
	signal.Notify(late, syscall.SIGHUP)
	defer signal.Stop(late)
	_, err = pipe.WriteString("{}")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(pipe.Close()).To(Succeed())
	g.Expect(result.CodeOf(<-done)).To(Equal(result.SettingsInvalid))
}

// hangupIsPending reports whether no thread of this process has taken a SIGHUP yet.
func hangupIsPending() (bool, error) {
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return false, err
	}
	for line := range strings.Lines(string(status)) {
		if digits, ok := strings.CutPrefix(line, "ShdPnd:"); ok {
			pending, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 64)
			return pending&(1<<(syscall.SIGHUP-1)) != 0, err
		}
	}
	return false, errors.New("/proc/self/status has no line ShdPnd")
}
