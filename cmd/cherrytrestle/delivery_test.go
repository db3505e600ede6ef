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

func TestAcceptsAndDelivers(t *testing.T) {
	platform := newPlatform(t)
	endpoint := newEndpoint(t, nil)
	r := newRelay(t, platform, endpoint.list(batchKind, "ready"), nil)
	r.mustAccept("m1", 10*time.Second)
	r.mustAccept("m2", 10*time.Second)
	eventually(t, "both delivered", func() bool { return endpoint.count("m1") == 1 && endpoint.count("m2") == 1 })
}

func TestMalformedRequestsAreRejected(t *testing.T) {
	platform := newPlatform(t)
	endpoint := newEndpoint(t, nil)
	r := newRelay(t, platform, endpoint.list(batchKind, "ready"), nil)
	set := func(k, v string) func(*http.Request) { return func(q *http.Request) { q.Header.Set(k, v) } }
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
		{func(q *http.Request) { q.URL.Path = "/unknown"; q.Header.Set("X-Qos", "unknown") }, 400},
		{func(q *http.Request) {
			q.Body = io.NopCloser(bytes.NewReader(make([]byte, 64<<10+1)))
			q.ContentLength = 64<<10 + 1
		}, 413},
		{func(q *http.Request) {
			q.Body = io.NopCloser(bytes.NewReader(make([]byte, 64<<10+1)))
			q.ContentLength = -1
		}, 413},
		{func(q *http.Request) { q.Method = http.MethodPut }, 405},
	} {
		id := fmt.Sprint("bad", i)
		if status, _ := r.submit(id, 10*time.Second, c.edit); status != c.want {
			t.Errorf("request %d: status %d, want %d", i, status, c.want)
		}
	}
	big := func(q *http.Request) {
		q.Body = io.NopCloser(bytes.NewReader(make([]byte, 64<<10)))
		q.ContentLength = 64 << 10
	}
	if status, _ := r.submit("big", 10*time.Second, big); status != http.StatusAccepted {
		t.Errorf("64 KiB: status %d", status)
	}
	eventually(t, "the good one delivered", func() bool { return endpoint.count("big") == 1 })
	if endpoint.calls != 1 {
		t.Errorf("%d calls", endpoint.calls)
	}
}

func TestPendingMessagesAreBounded(t *testing.T) {
	const held = 5
	wait := make(chan struct{})
	platform, endpoint := newPlatform(t), newEndpoint(t, func(_ http.ResponseWriter, r *http.Request, _ []string) {
		select {
		case <-wait:
		case <-r.Context().Done():
		}
	})
	r := newRelay(t, platform, endpoint.list(singleKind, "ready"), func(s map[string]any) {
		s["bounds"].(map[string]any)["open_cap"] = held
		s["extra"].(map[string]any)["call_slots"] = 0 // no limit: all are sent, and none can be rejected for another
	})
	defer close(wait)
	taken := 0
	for i := range 3 * held {
		status, again := r.submit(fmt.Sprint("m", i), 10*time.Second, nil)
		switch {
		case status == http.StatusAccepted:
			taken++
		case status != http.StatusServiceUnavailable || again == "":
			t.Errorf("status %d, advice %q", status, again)
		}
	}
	if taken < held-1 || taken > held { // the engine rejects a little before the bound
		t.Errorf("%d accepted, the bound is %d", taken, held)
	}
}

// A message that the engine gives up on gets its answer by a notification, which is retried until it is acknowledged.
func TestNotificationsAreRetried(t *testing.T) {
	platform := newPlatform(t)
	platform.failNotifications = 3
	endpoint := newEndpoint(t, answerStatus(http.StatusServiceUnavailable))
	r := newRelay(t, platform, endpoint.list(batchKind, "ready"), nil)
	r.mustAccept("m1", 700*time.Millisecond)
	eventually(t, "a notification", func() bool { return platform.notification("m1") != nil })
	if f := platform.notification("m1"); f["status"] != "deferred" || f["again_ms"] == nil {
		t.Errorf("notification %v", f)
	}
}

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
			t.Errorf("%s came %v after the Retry-After", id, since)
		}
	}
}

// Messages that wait for one endpoint when its Retry-After is over are sent as one call.
func TestMessagesShareACall(t *testing.T) {
	platform := newPlatform(t)
	var mu sync.Mutex
	var most, calls int
	endpoint := newEndpoint(t, func(w http.ResponseWriter, _ *http.Request, ids []string) {
		mu.Lock()
		defer mu.Unlock()
		if calls++; calls == 1 {
			w.Header().Set("Retry-After", "0.4")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		most = max(most, len(ids))
		writeStates(w, ids, "ok", "later")
	})
	r := newRelay(t, platform, endpoint.list(batchKind, "ready"), nil)
	r.mustAccept("m0", 10*time.Second)
	eventually(t, "the Retry-After", func() bool { return endpoint.count("m0") == 1 })
	for i := range 8 {
		r.mustAccept(fmt.Sprint("b", i), 10*time.Second)
	}
	eventually(t, "a bundle", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return most > 1
	})
	if most > 10 {
		t.Errorf("%d in a call", most)
	}
}

// Requests that stop half-way and silent connections block nobody.
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
		t.Errorf("%q, %v", line, err)
	}
	r.mustAccept("m1", 10*time.Second)
	eventually(t, "delivered", func() bool { return endpoint.count("m1") == 1 })
	if err := r.terminate(); err != nil {
		t.Errorf("with half a request open: %v", err)
	}
}
