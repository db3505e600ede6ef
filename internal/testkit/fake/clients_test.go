package fake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

const (
	acceptedResponse = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
	rejectedResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.050\r\nContent-Length: 0\r\n\r\n"
)

// relayHandler handles a request on the n-th connection, counted from 1.
type relayHandler func(n int, conn net.Conn, request *http.Request)

// startRelay starts a server that stands in for a relay. It closes with the test.
func startRelay(t testing.TB, handle relayHandler) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", anyLoopbackAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nettest.Close(listener) })
	go func() {
		for n := 1; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRelay(n, conn, handle)
		}
	}()
	return listener.Addr().String()
}

// serveRelay serves a connection until it closes.
func serveRelay(n int, conn net.Conn, handle relayHandler) {
	defer nettest.Close(conn)
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		handle(n, conn, request)
	}
}

func acceptAll(_ int, conn net.Conn, _ *http.Request) { nettest.Send(conn, acceptedResponse) }

// newClients returns the clients of a relay that accepts connections.
func newClients(h *harness, addr string) *Clients {
	clients := NewClients(testRelay, addr, h.plan.File, h.events, h.World)
	clients.SetAccepting(true)
	h.t.Cleanup(clients.Close)
	return clients
}

func testArrival(id string) scenario.Arrival {
	return scenario.Arrival{ID: id, Destination: 1, BodySize: 10}
}

// clientEvent holds the fields of a client's event that tests compare.
type clientEvent struct {
	kind   eventlog.Kind
	status int
	cause  string
}

var (
	submitted = clientEvent{kind: eventlog.MessageSubmitted}
	accepted  = clientEvent{kind: eventlog.SubmissionAnswered, status: http.StatusAccepted}
	rejected  = clientEvent{kind: eventlog.SubmissionAnswered, status: http.StatusServiceUnavailable}
	timedOut  = clientEvent{kind: eventlog.SubmissionUnanswered, cause: eventlog.CauseTimeout}
	closed    = clientEvent{kind: eventlog.SubmissionUnanswered, cause: eventlog.CauseClosed}
)

// submitAndWait submits a message and waits until its client is done. It returns all client events recorded so far.
func (h *harness) submitAndWait(clients *Clients, arrival scenario.Arrival) []eventlog.Event {
	clients.Submit(context.Background(), arrival, 0)
	clients.Wait()
	return slices.DeleteFunc(slices.Clone(h.events.Snapshot()), func(e eventlog.Event) bool {
		switch e.Kind {
		case eventlog.MessageSubmitted, eventlog.SubmissionAnswered, eventlog.SubmissionUnanswered:
			return false
		}
		return true
	})
}

// expectEvents fails the test unless the events equal want.
func expectEvents(t *testing.T, events []eventlog.Event, want ...clientEvent) {
	t.Helper()
	var got []clientEvent
	for _, e := range events {
		got = append(got, clientEvent{kind: e.Kind, status: e.Status, cause: e.Cause})
	}
	if !slices.Equal(got, want) {
		t.Fatalf("client events %+v, want %+v", got, want)
	}
}

func TestClientsRetryOnceAfterRejection(t *testing.T) {
	h := newHarness(t)
	var secondTries []string
	addr := startRelay(t, func(_ int, conn net.Conn, request *http.Request) {
		secondTries = append(secondTries, request.Header.Get("X-Second-Try"))
		nettest.Send(conn, rejectedResponse)
	})
	arrival := testArrival("m")
	arrival.RetryDelay = time.Millisecond
	events := h.submitAndWait(newClients(h, addr), arrival)
	expectEvents(t, events, submitted, rejected, submitted, rejected)
	if events[2].FirstID != "m" || events[2].ID == "m" || events[2].At-events[1].At < 50*time.Millisecond {
		t.Errorf("second submission: %+v", events[2])
	}
	if secondTries[1] != "1" {
		t.Errorf("X-Second-Try of the two requests: %q, want 1 in the second", secondTries)
	}
}

func TestClientsRetryAfterTimeout(t *testing.T) {
	h := newHarness(t)
	addr := startRelay(t, func(n int, conn net.Conn, _ *http.Request) {
		if n > 1 {
			nettest.Send(conn, acceptedResponse)
		}
	})
	events := h.submitAndWait(newClients(h, addr), testArrival("m"))
	expectEvents(t, events, submitted, timedOut, submitted, accepted)
	if waited := events[1].At - events[0].At; waited < 390*time.Millisecond {
		t.Errorf("the client stopped waiting for the answer after %v", waited)
	}
}

// If a relay closes an idle connection while a request is on its way, the client resends the request on a new one.
func TestClientsResendIfIdleConnectionCloses(t *testing.T) {
	h := newHarness(t)
	var answered atomic.Bool
	addr := startRelay(t, func(n int, conn net.Conn, _ *http.Request) {
		if n == 1 && answered.Swap(true) {
			nettest.Close(conn) // the client sees the idle connection close without an answer
			return
		}
		nettest.Send(conn, acceptedResponse)
	})
	clients := newClients(h, addr)
	h.submitAndWait(clients, testArrival("m1"))
	events := h.submitAndWait(clients, testArrival("m2"))
	expectEvents(t, events, submitted, accepted, submitted, accepted)
}

func TestCloseOfNewConnectionIsNoAnswer(t *testing.T) {
	h := newHarness(t)
	var requests atomic.Int32
	addr := startRelay(t, func(_ int, conn net.Conn, _ *http.Request) {
		requests.Add(1)
		nettest.Close(conn)
	})
	events := h.submitAndWait(newClients(h, addr), testArrival("m"))
	expectEvents(t, events, submitted, closed, submitted, closed)
	if n := requests.Load(); n != 2 {
		t.Errorf("2 submissions made %d requests, want 2", n)
	}
}

func TestClientsWaitForRelay(t *testing.T) {
	h := newHarness(t)
	clients := newClients(h, startRelay(t, acceptAll))
	clients.SetAccepting(false)
	clients.Submit(context.Background(), testArrival("m"), 0)
	h.waitFor(eventlog.SubmissionUnanswered, withCause(eventlog.CauseNotSent))
	clients.SetAccepting(true)
	h.waitFor(eventlog.SubmissionAnswered, anyEvent)
	clients.Wait()
}

// BenchmarkSubmit measures how many messages a second one goroutine submits to a relay that answers at once.
func BenchmarkSubmit(b *testing.B) {
	h := newHarness(b)
	clients := newClients(h, startRelay(b, acceptAll))
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		arrival := scenario.Arrival{ID: fmt.Sprint("m", n), IdempotencyKey: "k", Destination: 1, BodySize: 200}
		s := submission{Arrival: arrival, deadline: time.Now().Add(time.Minute)}
		if out := clients.submit(context.Background(), s, 0); out.kind != answered {
			b.Fatalf("outcome of message %d: %v, want %v", n, out.kind, answered)
		}
	}
	b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "messages/s")
}
