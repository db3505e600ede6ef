package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/egress"
	"cherrytrestle.example/cherrytrestle/internal/relay/netconn"
	"cherrytrestle.example/cherrytrestle/internal/relay/notify"
	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/policy"
)

// An endpoint may apply the deadline of a call's first message to the whole call, and respond after that deadline.
// Such a response proves nothing about the other messages, even if it is complete, so the message with the most time
// left must come first. Here the endpoint responds once the message with the least time left has its final answer.
func TestNoCallOutlastsItsFirstMessage(t *testing.T) {
	for _, order := range [][]string{
		{"short", "long", "middle"},
		{"long", "short", "middle"},
		{"middle", "short", "long"},
	} {
		t.Run(strings.Join(order, " "), func(t *testing.T) { testFirstMessageOfCall(t, order) })
	}
}

// testFirstMessageOfCall submits messages in an order, and checks that the message with the most time left is the first
// of their call.
func testFirstMessageOfCall(t *testing.T, order []string) {
	timeLeft := map[string]time.Duration{
		"short":  400 * time.Millisecond,
		"middle": 8 * time.Second,
		"long":   10 * time.Second,
	}
	r := newTestRelay(t)
	shortEnded := make(chan struct{})
	var mu sync.Mutex
	var first []string
	addr, _ := nettest.RawServer(t, func(_ int, conn net.Conn, request *http.Request) bool {
		var items []struct{ ID string }
		if err := json.NewDecoder(request.Body).Decode(&items); err != nil || len(items) != 3 {
			t.Errorf("the call has %d messages, want 3; decoding error: %v", len(items), err)
			return false
		}
		mu.Lock()
		first = append(first, items[0].ID)
		mu.Unlock()
		<-shortEnded
		text := `[{"id":"long","state":"ok"},{"id":"middle","state":"ok"},{"id":"short","state":"ok"}]`
		nettest.Send(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text))
		return true
	})
	r.catalog.Upsert(catalog.Endpoint{Endpoint: policy.Endpoint{ID: "s-1", Kind: 0, InService: true}, Addr: addr})
	var submissions []*submitEvent
	for i, id := range order {
		submission := newSubmission(id, 7, timeLeft[id])
		submission.message.OrderingKey = fmt.Sprint(i)
		submissions = append(submissions, submission)
	}
	submitAll(r, submissions...)
	isShort := func(n notify.Notification) bool { return n.TraceID == "short" }
	stepUntil(t, r, "message short has its final answer", func() bool {
		return slices.ContainsFunc(r.notifier.Pending(), isShort)
	})
	close(shortEnded)
	stepUntil(t, r, "messages long and middle are finished", func() bool {
		return isDelivered(r, "long") && isDelivered(r, "middle")
	})
	mu.Lock()
	defer mu.Unlock()
	if !slices.Equal(first, []string{"long"}) {
		t.Errorf("first messages of the calls: %v, want a single call that begins with long", first)
	}
}

// The messages of one step may together be larger than the maximum body size. They are split into several calls.
func TestBatchIsNoLargerThanABodyMayBe(t *testing.T) {
	r := newTestRelay(t)
	endpoint := policy.Endpoint{ID: "s-1", Kind: 0, InService: true}
	r.catalog.Upsert(catalog.Endpoint{Endpoint: endpoint, Addr: "127.0.0.1:1"})
	var calls []*call
	for i, size := range []int{20_000, 20_000, 20_000, 0, 64 << 10, 5} {
		m := &message{
			Message: &journal.Message{
				TraceID:        fmt.Sprint("<", i, ">"),
				IdempotencyKey: "&&&&",
				Body:           make([]byte, size),
			},
		}
		calls = r.addToCalls(calls, m, &policy.Action{Kind: policy.Send, Endpoint: "s-1", TimeoutAt: time.Minute})
	}
	sent := 0
	for _, c := range calls {
		sent += len(c.attempts)
		body := (&egress.Call{Attempts: outgoing(c.attempts)}).Body()
		if len(c.attempts) > 1 && (len(body) > netconn.MaxBodySize || len(body) > c.size) {
			t.Errorf("a batch of %d messages has %d bytes, counted as %d", len(c.attempts), len(body), c.size)
		}
	}
	if sent != 6 || len(calls) != 3 {
		t.Errorf("%d messages in %d calls, want 6 in 3", sent, len(calls))
	}
}

// delayConnections delays the connections to endpoints until up is closed. dialed receives a value for each attempt
// to connect. requests receives the path, the trace id and the body of each request.
func delayConnections(t *testing.T, r *Relay, up <-chan struct{}) (dialed <-chan struct{}, requests <-chan string) {
	t.Helper()
	dials := make(chan struct{}, 16)
	received := make(chan string, 16)
	addr, _ := nettest.RawServer(t, func(_ int, conn net.Conn, req *http.Request) bool {
		body, _ := io.ReadAll(req.Body)
		received <- req.URL.Path + " " + req.Header.Get("X-Trace-Id") + string(body)
		nettest.Send(conn, nettest.OKResponse)
		return true
	})
	config := r.egressConfig()
	config.Dial = func(ctx context.Context, network, _ string) (net.Conn, error) {
		dials <- struct{}{}
		select {
		case <-up:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		var d net.Dialer
		return d.DialContext(ctx, network, addr)
	}
	r.egress = egress.New(config)
	return dials, received
}

// runLoop runs the relay's loop until the test ends.
func runLoop(t *testing.T, r *Relay) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		<-r.loopDone
	})
	go r.loop(ctx)
}

// The connection of a call with several messages is established only after one of the messages has failed at its
// deadline. That message must not be sent with the others.
func TestFinishedMessageIsLeftOutOfDelayedCall(t *testing.T) {
	r := newTestRelay(t)
	up := make(chan struct{})
	dialed, requests := delayConnections(t, r, up)
	const endpoint = `{"id":"s-9","addr":"127.0.0.1:1","zone":"a","kind":"platform","cell":9,` +
		`"state":"ready","weight":50}`
	r.cfg.Known.Entries = entriesOf(r, endpoint)
	var messages []*journal.Message
	for i, left := range []time.Duration{10 * time.Second, 500 * time.Millisecond, 10 * time.Second} {
		messages = append(messages, &journal.Message{
			ID:             policy.MessageID(i + 1),
			TraceID:        fmt.Sprint("m", i),
			IdempotencyKey: "k",
			Terms:          firstTerms(&r.cfg),
			Destination:    9,
			Deadline:       time.Now().Add(left),
		})
	}
	recoverAccepted(t, r, messages...)
	runLoop(t, r)
	<-dialed
	nettest.Eventually(t, "message m1 has failed at its deadline", func() bool {
		notifications := r.notifier.Pending()
		return len(notifications) == 1 && notifications[0].TraceID == "m1"
	})
	close(up)
	select {
	case got := <-requests:
		if !strings.Contains(got, `"m0"`) || !strings.Contains(got, `"m2"`) || strings.Contains(got, `"m1"`) {
			t.Errorf("the endpoint received %q, want messages m0 and m2", got)
		}
	case <-time.After(nettest.Patience):
		t.Error("messages m0 and m2 were not sent")
	}
}

// A retry is decided within its deduplication window, but its connection is established only after the window has
// ended, as with a machine that was unreachable and is back. The retry must not be sent then: no endpoint still
// recognizes it as a duplicate.
func TestDelayedRetryPastItsWindowIsNotSent(t *testing.T) {
	r := newTestRelay(t)
	window := r.cfg.Settings.Classes[0].DedupWindow
	ends := time.Now().Add(300 * time.Millisecond)
	up := make(chan struct{})
	time.AfterFunc(time.Until(ends), func() { close(up) })
	dialed, requests := delayConnections(t, r, up)
	m := &journal.Message{
		ID:                1,
		TraceID:           "m",
		IdempotencyKey:    "k",
		Terms:             firstTerms(&r.cfg),
		Destination:       7,
		Deadline:          time.Now().Add(10 * time.Second),
		Attempts:          1,
		UncertainAttempts: []journal.Attempt{{Endpoint: "s-1", ZoneName: "a", SentAt: ends.Add(-window)}},
	}
	recoverAccepted(t, r, m)
	runLoop(t, r)
	<-dialed
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		notifications := r.notifier.Pending()
		if len(notifications) == 1 && notifications[0].Status == "undeliverable" {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the message has no final answer after 10 s")
		}
	}
	select {
	case <-requests:
		t.Error("the retry was sent after its deduplication window")
	default:
	}
}

// A Send action for an unknown message is ignored, and must not crash the loop.
func TestSendOfUnknownMessageIsIgnored(t *testing.T) {
	r := newTestRelay(t)
	r.execute([]policy.Action{{Kind: policy.Send, MessageID: 4711, Endpoint: "s-1", TimeoutAt: time.Minute}}, nil)
	if r.callsInFlight != 0 {
		t.Errorf("%d calls in flight, want none", r.callsInFlight)
	}
}
