package relay

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
	"cherrytrestle.example/cherrytrestle/internal/relay/egress"
	"cherrytrestle.example/cherrytrestle/internal/relay/ingress"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/policy"
)

// Bad input of every kind, over and over: it is logged, and not each time, and what is good beside it goes on.
func TestBadInputIsLoggedOnce(t *testing.T) {
	var mu sync.Mutex
	var text bytes.Buffer
	log := slog.New(
		slog.NewTextHandler(
			writerFunc(func(b []byte) (int, error) { mu.Lock(); defer mu.Unlock(); return text.Write(b) }),
			nil,
		),
	)
	const times = 20
	for _, c := range []struct {
		name, logged string
		bad          func(t *testing.T, r *Relay, i int)
	}{
		{"requests", "bad request", func(t *testing.T, r *Relay, i int) {
			addr := door(t, r)
			bad := []string{"NONSENSE\r\n\r\n", handInText("x", "X-Qos: order", "X-Qos: what"), handInText("x", "Length: 4", "Length: 99999999")}[i%3]
			io.Copy(io.Discard, nettest.Dial(t, addr, bad+"\r\n"))
		}},
		{"entries of the list", "unreadable entry", func(_ *testing.T, r *Relay, _ int) {
			r.step([]event{listEvent{discovery.List{Version: 5, Entries: entriesOf(r, `{"id":"s-9","state":"asleep"}`, `7`)}}})
		}},
		{"answers of hosts", "malformed response", func(t *testing.T, r *Relay, i int) {
			addr, _ := nettest.RawServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
				fmt.Fprint(conn, "HTTP/1.1 what\r\n\r\n")
				return false
			})
			call := egress.Call{
				EndpointID: "s-1", Addr: addr, SentAt: time.Now(), Deadline: time.Now().Add(nettest.Patience),
				Attempts: []*egress.Attempt{{TraceID: "a", Deadline: time.Now().Add(nettest.Patience)}},
			}
			res := r.egress.Do(t.Context(), &call, func() []*egress.Attempt { return call.Attempts })
			if res[0].Outcome != policy.Reset {
				t.Errorf("%v", res[0].Outcome)
			}
		}},
		{"a full disk", "rejecting new messages", func(t *testing.T, r *Relay, i int) {
			if i == 0 {
				r.journal.Close()
			}
			if a := decide(r, newHandIn(fmt.Sprint("m", i), 7, time.Second)); a[0].Status != http.StatusServiceUnavailable {
				t.Errorf("%+v", a)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRelay(t)
			r.log = log
			r.ingress = ingress.New(r.ingressConfig())
			r.egress = egress.New(r.egressConfig())
			mu.Lock()
			text.Reset()
			mu.Unlock()
			for i := range times {
				c.bad(t, r, i)
			}
			mu.Lock()
			n := strings.Count(text.String(), c.logged)
			mu.Unlock()
			if n != 1 {
				t.Errorf("logged %d times", n)
			}
			if c.logged == "rejecting new messages" {
				return // nothing is taken on
			}
			if res := post(t, r, door(t, r), "good"); res.StatusCode != http.StatusAccepted {
				t.Errorf("a good message: %d", res.StatusCode)
			}
		})
	}
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(b []byte) (int, error) { return f(b) }
