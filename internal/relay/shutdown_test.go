package relay

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/relay/netconn"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

// A request that arrives on an idle connection at the moment of SIGTERM is answered. The test forces this order: it
// holds back the relay's read until the operating system has received the request.
func TestShutdownAnswersReceivedRequest(t *testing.T) {
	r := newTestRelay(t)
	ctx, stop := context.WithCancel(context.Background())
	go r.loop(ctx)
	defer func() {
		stop()
		<-r.loopDone
	}()
	listener := nettest.ListenHolding(t)
	serveClientsAt(t, r, listener)
	peer := nettest.Dial(t, listener.Addr().String(), "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
	responses := bufio.NewReader(peer)
	nettest.ReadResponse(t, responses)
	served := listener.Accepted(t)
	served.AwaitHeld(t) // the connection is idle, and its next read is held back
	if _, err := io.WriteString(peer, requestText("m1")); err != nil {
		t.Fatal(err)
	}
	nettest.Eventually(t, "the operating system has the request", func() bool {
		return netconn.New(served).Pending() == netconn.PendingBytes
	})
	r.ingress.Drain()
	served.ReleaseReads()
	response := nettest.ReadResponse(t, responses)
	if response.StatusCode != http.StatusAccepted || !response.Close {
		t.Errorf("status %d, closing %v", response.StatusCode, response.Close)
	}
}

// addrOf returns the address of a test server.
func addrOf(s *httptest.Server) string { return s.Listener.Addr().String() }
