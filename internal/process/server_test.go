package process

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

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
