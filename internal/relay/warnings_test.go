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

// lockedBuffer holds the text of a log to which several goroutines write.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns the text that was written so far.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// count returns how often s occurs in the text.
func (b *lockedBuffer) count(s string) int {
	return strings.Count(b.String(), s)
}

// Bad input of one kind that repeats within ratelog's minimum interval is logged only once. Good messages are still
// accepted.
func TestBadInputIsLoggedOnce(t *testing.T) {
	const times = 20
	for _, c := range []struct {
		name, logged string
		bad          func(t *testing.T, r *Relay, i int)
	}{
		{"requests", "bad request", func(t *testing.T, r *Relay, i int) {
			addr := serveClients(t, r)
			bad := []string{
				"NONSENSE\r\n\r\n",
				requestText("x", "X-Qos: order", "X-Qos: what"),
				requestText("x", "Length: 4", "Length: 99999999"),
			}
			_, _ = io.Copy(io.Discard, nettest.Dial(t, addr, bad[i%len(bad)]+"\r\n")) // until the relay closes it
		}},
		{"entries of the list", "unreadable entry", func(_ *testing.T, r *Relay, _ int) {
			entries := entriesOf(r, `{"id":"s-9","state":"asleep"}`, `7`)
			r.step([]event{listEvent{discovery.List{Version: 5, Entries: entries}}})
		}},
		{"endpoints' responses", "malformed response", func(t *testing.T, r *Relay, _ int) {
			callMalformedEndpoint(t, r)
		}},
		{"a full disk", "rejecting new messages", func(t *testing.T, r *Relay, i int) {
			if i == 0 {
				_ = r.journal.Close()
			}
			a := submitAll(r, newSubmission(fmt.Sprint("m", i), 7, time.Second))[0]
			if a.Status != http.StatusServiceUnavailable {
				t.Errorf("journal closed: response %+v", a)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var log lockedBuffer
			r := newTestRelay(t)
			r.log = slog.New(slog.NewTextHandler(&log, nil))
			r.ingress = ingress.New(r.ingressConfig())
			r.egress = egress.New(r.egressConfig())
			for i := range times {
				c.bad(t, r, i)
			}
			if n := log.count(c.logged); n != 1 {
				t.Errorf("%q logged %d times, want 1", c.logged, n)
			}
			if c.logged == "rejecting new messages" {
				return // no message is accepted
			}
			if res := submit(t, r, serveClients(t, r), "good"); res.StatusCode != http.StatusAccepted {
				t.Errorf("a good message: status %d", res.StatusCode)
			}
		})
	}
}

// callMalformedEndpoint makes a call to an endpoint whose responses are malformed.
func callMalformedEndpoint(t *testing.T, r *Relay) {
	t.Helper()
	addr, _ := nettest.RawServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		_, _ = fmt.Fprint(conn, "HTTP/1.1 what\r\n\r\n")
		return false
	})
	deadline := time.Now().Add(nettest.Patience)
	call := egress.Call{
		EndpointID: "s-1",
		Addr:       addr,
		SentAt:     time.Now(),
		Deadline:   deadline,
		Attempts:   []*egress.Attempt{{TraceID: "a", Deadline: deadline}},
	}
	results := r.egress.Do(t.Context(), &call, func() []*egress.Attempt { return call.Attempts })
	if results[0].Outcome != policy.Reset {
		t.Errorf("outcome %v, want %v", results[0].Outcome, policy.Reset)
	}
}
