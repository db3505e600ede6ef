package faultproxy

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// harness is a proxy with a target, and the two ends of the newest connection through the proxy.
type harness struct {
	*Proxy
	t        testing.TB
	accepted chan *net.TCPConn // connections that the target has accepted
	client   *net.TCPConn      // the client's end
	server   *net.TCPConn      // the target's end
}

func newHarness(t testing.TB, rules ...string) *harness {
	t.Helper()
	addr, accepted := startTarget(t)
	proxy, err := Start("127.0.0.1:0", addr, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nettest.Close(proxy) })
	h := &harness{Proxy: proxy, t: t, accepted: accepted}
	for _, text := range rules {
		h.addRule(text)
	}
	return h
}

// startTarget starts a listener that sends the connections it accepts to a channel. The listener closes with the test.
func startTarget(t testing.TB) (addr string, accepted chan *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted = make(chan *net.TCPConn, 16)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn.(*net.TCPConn)
		}
	}()
	t.Cleanup(func() {
		nettest.Close(listener)
		<-done
	})
	return listener.Addr().String(), accepted
}

// addRule adds a rule, given in the form that ParseRule parses.
func (h *harness) addRule(text string) (id int) {
	h.t.Helper()
	rule, err := ParseRule(text)
	if err != nil {
		h.t.Fatal(err)
	}
	id, err = h.AddRule(rule)
	if err != nil {
		h.t.Fatal(err)
	}
	return id
}

// connect makes a connection through the proxy.
func (h *harness) connect() {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.Addr())
	if err != nil {
		h.t.Fatal(err)
	}
	client := conn.(*net.TCPConn)
	h.t.Cleanup(func() { nettest.Close(client) })
	select {
	case server := <-h.accepted:
		h.t.Cleanup(func() { nettest.Close(server) })
		h.client, h.server = client, server
	case <-time.After(nettest.Patience):
		h.t.Fatalf("the target accepted no connection within %v", nettest.Patience)
	}
	h.setDeadlines(time.Now().Add(nettest.Patience))
}

func (h *harness) setDeadlines(deadline time.Time) {
	h.t.Helper()
	setDeadline(h.t, h.client, deadline)
	setDeadline(h.t, h.server, deadline)
}

func setDeadline(t testing.TB, conn net.Conn, deadline time.Time) {
	t.Helper()
	if err := conn.SetDeadline(deadline); err != nil {
		t.Fatal(err)
	}
}

func (h *harness) send(conn net.Conn, text string) {
	h.t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		h.t.Fatal(err)
	}
}

// expect reads len(want) bytes and fails the test if they differ from want.
func (h *harness) expect(conn net.Conn, want string) {
	h.t.Helper()
	buffer := make([]byte, len(want))
	if n, err := io.ReadFull(conn, buffer); err != nil || string(buffer) != want {
		h.t.Fatalf("read %q, %v; want %q", buffer[:n], err, want)
	}
}

// Ways in which a connection ends.
const (
	endFIN = "fin"
	endRST = "rst"
)

// readAll reads until the connection ends. end is endFIN, endRST or the text of another error.
func readAll(conn net.Conn) (text, end string) {
	data, err := io.ReadAll(conn)
	switch {
	case err == nil:
		return string(data), endFIN
	case errors.Is(err, syscall.ECONNRESET):
		return string(data), endRST
	}
	return string(data), err.Error()
}
