package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// maxBodySize is the size of the largest body that the relay accepts, in bytes.
const maxBodySize = 64 << 10

func TestAcceptsAndDelivers(t *testing.T) {
	platform := newPlatform(t)
	endpoint := newEndpoint(t, nil)
	r := newRelay(t, platform, endpoint.list(batchKind, "ready"), nil)
	r.mustAccept("m1", 10*time.Second)
	r.mustAccept("m2", 10*time.Second)
	eventually(t, "both delivered", func() bool { return endpoint.count("m1") == 1 && endpoint.count("m2") == 1 })
}

// TestMalformedRequestsAreRejected checks the status of malformed requests. It also checks that a body of the maximum
// size is accepted, and that only the message with this body is sent.
func TestMalformedRequestsAreRejected(t *testing.T) {
	platform := newPlatform(t)
	endpoint := newEndpoint(t, nil)
	r := newRelay(t, platform, endpoint.list(batchKind, "ready"), nil)
	set := func(name, value string) func(*http.Request) {
		return func(request *http.Request) { request.Header.Set(name, value) }
	}
	setBody := func(size, contentLength int64) func(*http.Request) {
		return func(request *http.Request) {
			request.Body = io.NopCloser(bytes.NewReader(make([]byte, size)))
			request.ContentLength = contentLength
		}
	}
	for i, c := range []struct {
		edit func(*http.Request)
		want int
	}{
		{set("X-Trace-Id", ""), 400},
		{set("X-Trace-Id", strings.Repeat("x", 300)), 400},
		{set("X-Qos", "other"), 400},
		{set("X-Customer", "nobody"), 400},
		{set("Idempotency-Key", ""), 400},
		{set("Envelope", ""), 400},
		{set("Envelope", "dest=x"), 400},
		{set("Envelope", "dest=-1"), 400},
		{set("X-Expires-In-Ms", ""), 400},
		{set("X-Expires-In-Ms", "-5"), 400},
		{set("X-Expires-In-Ms", "1e3"), 400},
		{set("X-Expires-In-Ms", "99999999999999999999"), 400},
		{withClass("unknown"), 400},
		{setBody(maxBodySize+1, maxBodySize+1), 413},
		{setBody(maxBodySize+1, -1), 413},
		{func(request *http.Request) { request.Method = http.MethodPut }, 405},
	} {
		id := fmt.Sprint("bad", i)
		if status, _ := r.submit(id, 10*time.Second, c.edit); status != c.want {
			t.Errorf("request %d: status %d, want %d", i, status, c.want)
		}
	}
	status, _ := r.submit("largest", 10*time.Second, setBody(maxBodySize, maxBodySize))
	if status != http.StatusAccepted {
		t.Errorf("the largest body: status %d", status)
	}
	eventually(t, "the valid message is delivered", func() bool { return endpoint.count("largest") == 1 })
	if calls := endpoint.totalCalls(); calls != 1 {
		t.Errorf("%d calls, want 1", calls)
	}
}

// TestPendingMessagesAreBounded submits messages while the endpoint answers no call. Messages above the bound on
// pending messages are rejected with a Retry-After.
func TestPendingMessagesAreBounded(t *testing.T) {
	const maxPending = 5
	wait := make(chan struct{})
	platform := newPlatform(t)
	endpoint := newEndpoint(t, func(_ http.ResponseWriter, r *http.Request, _ []string) {
		select {
		case <-wait:
		case <-r.Context().Done():
		}
	})
	r := newRelay(t, platform, endpoint.list(singleKind, "ready"), func(s map[string]any) {
		setMaxPending(s, maxPending)
		setMaxInFlightCalls(s, 0) // no bound: all messages are sent, and none can be rejected in favour of another
	})
	defer close(wait)
	accepted := 0
	for i := range 3 * maxPending {
		status, retryAfter := r.submit(fmt.Sprint("m", i), 10*time.Second, nil)
		switch {
		case status == http.StatusAccepted:
			accepted++
		case status != http.StatusServiceUnavailable || retryAfter == "":
			t.Errorf("status %d, Retry-After %q, want 202, or 503 with a Retry-After", status, retryAfter)
		}
	}
	if accepted < maxPending-1 || accepted > maxPending { // the engine may reject one message below the bound
		t.Errorf("%d messages accepted, the bound is %d", accepted, maxPending)
	}
}

// TestNotificationsAreRetried checks that the final answer to a message that was not delivered is sent to the
// platform repeatedly until the platform acknowledges it.
func TestNotificationsAreRetried(t *testing.T) {
	platform := newPlatform(t)
	platform.failNotifications = 3
	endpoint := newEndpoint(t, answerStatus(http.StatusServiceUnavailable))
	r := newRelay(t, platform, endpoint.list(batchKind, "ready"), nil)
	r.mustAccept("m1", 700*time.Millisecond)
	eventually(t, "a notification", func() bool { return platform.notification("m1") != nil })
	notification := platform.notification("m1")
	if notification["status"] != "deferred" || notification["again_ms"] == nil {
		t.Errorf("notification %v, want status deferred and again_ms", notification)
	}
}

// TestRetryAfterIsObserved checks that an endpoint receives no message during its Retry-After, except those that were
// already in transit when it sent the Retry-After.
func TestRetryAfterIsObserved(t *testing.T) {
	const wait = 600 * time.Millisecond
	platform := newPlatform(t)
	var mu sync.Mutex
	var rejectedAt time.Time
	endpoint := newEndpoint(t, func(w http.ResponseWriter, _ *http.Request, ids []string) {
		mu.Lock()
		defer mu.Unlock()
		if rejectedAt.IsZero() {
			rejectedAt = time.Now()
			w.Header().Set("Retry-After", "0.600")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		writeStates(w, ids, "ok")
	})
	r := newRelay(t, platform, endpoint.list(batchKind, "ready"), nil)
	r.mustAccept("m1", 10*time.Second)
	eventually(t, "the Retry-After", func() bool { return endpoint.count("m1") == 1 })
	for i := range 5 {
		r.mustAccept(fmt.Sprint("w", i), 10*time.Second)
	}
	eventually(t, "all delivered", func() bool { return endpoint.count("m1") == 2 && endpoint.count("w4") == 1 })
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	for i, id := range endpoint.seen {
		if since := endpoint.at[i].Sub(rejectedAt); i > 0 && since < wait && since > 100*time.Millisecond {
			t.Errorf("%s arrived %v after a Retry-After of %v", id, since, wait)
		}
	}
}

// TestMessagesShareACall checks that messages that wait for the same endpoint are sent in one call, up to the limit
// of ten messages in a call.
func TestMessagesShareACall(t *testing.T) {
	platform := newPlatform(t)
	var mu sync.Mutex
	var maxMessages, calls int
	endpoint := newEndpoint(t, func(w http.ResponseWriter, _ *http.Request, ids []string) {
		mu.Lock()
		defer mu.Unlock()
		if calls++; calls == 1 {
			w.Header().Set("Retry-After", "0.4")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		maxMessages = max(maxMessages, len(ids))
		writeStates(w, ids, "ok", "later")
	})
	r := newRelay(t, platform, endpoint.list(batchKind, "ready"), nil)
	r.mustAccept("m0", 10*time.Second)
	eventually(t, "the Retry-After", func() bool { return endpoint.count("m0") == 1 })
	for i := range 8 {
		r.mustAccept(fmt.Sprint("b", i), 10*time.Second)
	}
	eventually(t, "a call with several messages", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return maxMessages > 1
	})
	mu.Lock()
	defer mu.Unlock()
	if maxMessages > 10 {
		t.Errorf("%d messages in a call, want at most 10", maxMessages)
	}
}

// TestIncompleteRequestsBlockNobody opens connections that send nothing, a part of a request, or data that is not
// HTTP. Messages of other clients are still accepted and delivered, and the relay shuts down without an error.
func TestIncompleteRequestsBlockNobody(t *testing.T) {
	platform := newPlatform(t)
	endpoint := newEndpoint(t, nil)
	r := newRelay(t, platform, endpoint.list(batchKind, "ready"), nil)
	for _, part := range []string{"", "POST /ord", "POST /order HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc"} {
		conn, err := net.Dial("tcp", r.addr)
		must(t, err)
		defer closeQuietly(conn)
		writeQuietly(conn, part)
	}
	bad, err := net.Dial("tcp", r.addr)
	must(t, err)
	defer closeQuietly(bad)
	writeQuietly(bad, "NONSENSE\r\n\r\n")
	if line, err := bufio.NewReader(bad).ReadString('\n'); err != nil || !strings.Contains(line, "400") {
		t.Errorf("answer %q and error %v to data that is not HTTP, want status 400", line, err)
	}
	r.mustAccept("m1", 10*time.Second)
	eventually(t, "delivered", func() bool { return endpoint.count("m1") == 1 })
	if err := r.terminate(); err != nil {
		t.Errorf("the relay ended with an error while requests were incomplete: %v", err)
	}
}
