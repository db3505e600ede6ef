package relay

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/relay/netconn"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

// Bytes and ends that arrive in the very moment in which the relay uses or closes a connection. The order is made by
// hand: what reads a connection is held back until the system has what the peer sent.

// What comes and goes on a whole relay at the moment of SIGTERM: clients that rest with a request on its way are
// answered.
func TestShutdownAnswersRequestsThatHaveCome(t *testing.T) {
	r := newTestRelay(t)
	ctx, stop := context.WithCancel(context.Background())
	go r.loop(ctx)
	defer func() { stop(); <-r.loopDone }()
	listener := nettest.ListenHolding(t)
	serveClientsAt(t, r, listener)
	peer := dial(t, listener.Addr().String(), "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
	responses := bufio.NewReader(peer)
	readResponse(t, responses)
	served := listener.Accepted(t)
	served.AwaitHeld(t) // the connection is idle, and the next read does not begin
	if _, err := io.WriteString(peer, requestText("m1")); err != nil {
		t.Fatal(err)
	}
	nettest.Eventually(t, "the request is there", func() bool {
		return netconn.New(served).Pending() == netconn.PendingBytes
	})
	r.ingress.Drain()
	served.ReleaseReads()
	if res := readResponse(t, responses); res.StatusCode != http.StatusAccepted || !res.Close {
		t.Errorf("status %d, the last %v", res.StatusCode, res.Close)
	}
}
