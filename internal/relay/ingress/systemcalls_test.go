package ingress

import (
	"bufio"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

// failingListener fails the first calls of Accept.
type failingListener struct {
	net.Listener
	failures []syscall.Errno
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.failures) > 0 {
		errno := l.failures[0]
		l.failures = l.failures[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
	}
	return l.Listener.Accept()
}

// Whatever accept fails with for a moment, the clients that wait are served, and so are those whose requests are being
// handled.
func TestFailingAcceptLosesNoRequest(t *testing.T) {
	listener := &failingListener{Listener: nettest.Listen(t), failures: []syscall.Errno{
		syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
	}}
	s := newTestServer(8, answerAll)
	t.Cleanup(func() {
		nettest.Close(listener)
		s.Close(time.Now())
	})
	waiting := nettest.Dial(t, listener.Addr().String(), postText)
	go s.Serve(listener)
	for _, conn := range []net.Conn{waiting, nettest.Dial(t, listener.Addr().String(), postText)} {
		if response := nettest.ReadResponse(t, bufio.NewReader(conn)); response.StatusCode != http.StatusAccepted {
			t.Errorf("status %d", response.StatusCode)
		}
	}
}
