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
	"cherrytrestle.example/cherrytrestle/internal/state/store"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/policy"
)

// An endpoint may take the deadline of a call's first message for that of the call, and respond once it is over: what
// it then says of the others is not certain, however complete it is. Here the response comes as soon as the message
// with the least time has had its final answer.
func TestNoCallOutlastsItsFirstMessage(t *testing.T) {
	for _, order := range [][]string{
		{"short", "long", "middle"},
		{"long", "short", "middle"},
		{"middle", "short", "long"},
	} {
		t.Run(strings.Join(order, " "), func(t *testing.T) { testFirstMessageOfCall(t, order) })
	}
}

// testFirstMessageOfCall submits messages in an order, and checks which one leads their call.
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
			t.Errorf("%d messages, %v", len(items), err)
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
	stepUntil(t, r, "the short one has its final answer", func() bool {
		return slices.ContainsFunc(r.notifier.Pending(), isShort)
	})
	close(shortEnded)
	stepUntil(t, r, "the others are over", func() bool {
		return r.messagesByTrace["long"] == nil && r.messagesByTrace["middle"] == nil
	})
	mu.Lock()
	defer mu.Unlock()
	if !slices.Equal(first, []string{"long"}) {
		t.Errorf("calls led by %v: their response came after that one's time", first)
	}
}

// Together the messages of a step may be larger than any body may.
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
		body := (&egress.Call{Attempts: c.outgoing()}).Body()
		if len(c.attempts) > 1 && (len(body) > netconn.MaxBodySize || len(body) > c.size) {
			t.Errorf("%d messages in %d bytes, %d counted", len(c.attempts), len(body), c.size)
		}
	}
	if sent != 6 || len(calls) != 3 {
		t.Errorf("%d messages in %d calls", sent, len(calls))
	}
}

// delayConnections has connections to endpoints come up only once up is closed. dialed receives a value for each
// attempt to connect, requests the text of each request.
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

// runLoop has the relay's loop run until the test ends.
func runLoop(t *testing.T, r *Relay) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		<-r.loopDone
	})
	go r.loop(ctx)
}

// The connection of a call with several messages comes up late: one of them has failed meanwhile, since its time was
// up. It must not be sent with the others.
func TestFinishedMessageIsLeftOutOfDelayedCall(t *testing.T) {
	r := newTestRelay(t)
	up := make(chan struct{})
	dialed, requests := delayConnections(t, r, up)
	const endpoint = `{"id":"s-9","addr":"127.0.0.1:1","zone":"a","kind":"platform","cell":9,` +
		`"state":"ready","weight":50}`
	r.cfg.Known.Entries = entriesOf(r, endpoint)
	r.recovery = &journal.Recovery{Store: &store.Recovery{}}
	for i, left := range []time.Duration{10 * time.Second, 500 * time.Millisecond, 10 * time.Second} {
		m := &journal.Message{
			ID:             policy.MessageID(i + 1),
			TraceID:        fmt.Sprint("m", i),
			IdempotencyKey: "k",
			Destination:    9,
			Deadline:       time.Now().Add(left),
		}
		if err := r.journal.Accept(m); err != nil {
			t.Fatal(err)
		}
		r.recovery.Messages = append(r.recovery.Messages, m)
	}
	r.recoverState()
	runLoop(t, r)
	<-dialed
	nettest.Eventually(t, "the one whose time is up has failed", func() bool {
		notifications := r.notifier.Pending()
		return len(notifications) == 1 && notifications[0].TraceID == "m1"
	})
	close(up)
	select {
	case got := <-requests:
		if !strings.Contains(got, `"m0"`) || !strings.Contains(got, `"m2"`) || strings.Contains(got, `"m1"`) {
			t.Error("the endpoint was sent", got)
		}
	case <-time.After(nettest.Patience):
		t.Error("the others are not sent")
	}
}

// A retry that was decided inside its deduplication window waits for a connection that comes up only after it, as from
// a machine that is back. It must not be sent then: no endpoint recognizes it as a duplicate any more.
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
		Destination:       7,
		Deadline:          time.Now().Add(10 * time.Second),
		Attempts:          1,
		UncertainAttempts: []journal.Attempt{{Endpoint: "s-1", SentAt: ends.Add(-window)}},
	}
	if err := r.journal.Accept(m); err != nil {
		t.Fatal(err)
	}
	// as an earlier process left it
	r.recovery = &journal.Recovery{Messages: []*journal.Message{m}, Store: &store.Recovery{}}
	r.recoverState()
	runLoop(t, r)
	<-dialed
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		notifications := r.notifier.Pending()
		if len(notifications) == 1 && notifications[0].Status == "undeliverable" {
			break
		}
		if time.Now().After(end) {
			t.Fatal("never ended")
		}
	}
	select {
	case <-requests:
		t.Error("it was sent")
	default:
	}
}

// A Send of an unknown message must not end the loop.
func TestSendOfUnknownMessageIsIgnored(t *testing.T) {
	r := newTestRelay(t)
	r.execute([]policy.Action{{Kind: policy.Send, MessageID: 4711, Endpoint: "s-1", TimeoutAt: time.Minute}}, nil)
	if r.callsInFlight != 0 {
		t.Errorf("%d calls", r.callsInFlight)
	}
}
