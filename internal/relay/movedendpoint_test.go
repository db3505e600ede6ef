package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
	"cherrytrestle.example/cherrytrestle/internal/relay/egress"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

// TestLateConnectionToLeftAddressIsNotUsed guards against a call to the process that has taken over the address of an
// endpoint: the endpoint moves to another address while a connection to its old one is slow to come up.
func TestLateConnectionToLeftAddressIsNotUsed(t *testing.T) {
	r := newTestRelay(t)
	const oldAddr = "127.0.0.1:1"
	var atOld, atNew atomic.Int32
	server := func(requests *atomic.Int32) string {
		addr, _ := nettest.RawServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
			requests.Add(1)
			nettest.Send(conn, `HTTP/1.1 200 OK`+"\r\nContent-Length: 0\r\n\r\n")
			return true
		})
		return addr
	}
	stranger, moved := server(&atOld), server(&atNew)
	dialed, up := make(chan struct{}, 16), make(chan struct{})
	config := r.egressConfig()
	config.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		var dialer net.Dialer
		if addr != oldAddr {
			return dialer.DialContext(ctx, network, addr)
		}
		dialed <- struct{}{}
		<-up
		return dialer.DialContext(ctx, network, stranger)
	}
	r.egress = egress.New(config)
	entry := `{"id":"s-9","addr":%q,"zone":"a","kind":"gateway","cell":9,"state":"ready","weight":50}`
	r.cfg.Known.Entries = entriesOf(r, fmt.Sprintf(entry, oldAddr))
	m := &journal.Message{
		ID: 1, TraceID: "m", IdempotencyKey: "k", Terms: firstTerms(&r.cfg), Destination: 9,
		Deadline: time.Now().Add(10 * time.Second),
	}
	recoverAccepted(t, r, m)
	runLoop(t, r)
	<-dialed
	applied := make(chan bool, 1)
	r.post(listEvent{discovery.List{Version: 50, Entries: entriesOf(r, fmt.Sprintf(entry, moved))}})
	r.post(handOverRequest{applied}) // answered at the end of the step, as there is no successor
	<-applied
	close(up)
	nettest.Eventually(t, "the message reaches an endpoint", func() bool { return atOld.Load()+atNew.Load() > 0 })
	if atOld.Load() != 0 {
		t.Error("the message was sent to the process that now has the old address")
	}
}
