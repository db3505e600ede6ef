package egress

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/policy"
)

// testConfig returns a client configuration as on a small machine.
func testConfig() Config {
	return Config{
		ConnectTimeout: 2 * time.Second,
		KeepAlive:      time.Minute,
		MaxConns:       368,
		ReportFields:   []string{"x0", "x1"},
		Observer:       &countingObserver{},
		Log:            slog.New(slog.DiscardHandler),
	}
}

// countingObserver counts what happens on connections.
type countingObserver struct {
	mu      sync.Mutex
	opened  int
	closed  [closeReasonCount]int
	surplus [surplusCount]int
}

func (*countingObserver) RequestWritten(int) {}

func (o *countingObserver) ConnOpened() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.opened++
}

func (o *countingObserver) ConnClosed(reason CloseReason) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed[reason]++
}

func (o *countingObserver) SurplusReceived(when Surplus) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.surplus[when]++
}

// newTestClient returns a client that is closed at the end of the test.
func newTestClient(t *testing.T, config Config) *Client {
	t.Helper()
	client := New(config)
	t.Cleanup(client.Close)
	return client
}

// newCall returns a call to addr with one message for each id. With several ids it has the form for several messages.
func newCall(addr string, ids ...string) *Call {
	c := &Call{
		EndpointID: "s-1",
		Addr:       addr,
		Batch:      len(ids) > 1,
		SentAt:     time.Now(),
		Deadline:   time.Now().Add(nettest.Patience),
	}
	for _, id := range ids {
		c.Attempts = append(c.Attempts, &Attempt{
			TraceID:        id,
			IdempotencyKey: "key-" + id,
			Body:           []byte("body of " + id),
			Deadline:       c.Deadline,
		})
	}
	return c
}

// newBatchCall returns a call to addr in the form for several messages, with one message for each id.
func newBatchCall(addr string, ids ...string) *Call {
	c := newCall(addr, ids...)
	c.Batch = true
	return c
}

// okBatchBody returns the body of the response that reports each message of a batch as delivered.
func okBatchBody(t testing.TB, request io.Reader) string {
	var items []batchItem
	if err := json.NewDecoder(request).Decode(&items); err != nil {
		t.Errorf("the request is no batch: %v", err)
	}
	states := make([]batchState, 0, len(items))
	for _, item := range items {
		states = append(states, batchState{item.ID, stateOK})
	}
	body, err := json.Marshal(states)
	if err != nil {
		t.Error(err)
	}
	return string(body)
}

// okBatch returns the response that reports each message of a batch as delivered.
func okBatch(t testing.TB, request *http.Request) string {
	body := okBatchBody(t, request.Body)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// allow returns a check that permits all attempts of a call.
func allow(c *Call) func() []*Attempt {
	return func() []*Attempt { return c.Attempts }
}

// doCall makes a call with a check that permits all attempts.
func doCall(t *testing.T, client *Client, c *Call) []Result {
	t.Helper()
	return client.Do(t.Context(), c, allow(c))
}

// openConns returns how many connections a client has open.
func openConns(client *Client) int {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.open
}

func addrOf(s *httptest.Server) string { return s.Listener.Addr().String() }

func TestSingleCallCarriesMessageUnchanged(t *testing.T) {
	type receivedRequest struct {
		path, id, key, expires, body string
		length                       int64
	}
	requests := make(chan receivedRequest, 1)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		requests <- receivedRequest{
			r.URL.Path, r.Header.Get("X-Trace-Id"), r.Header.Get("Idempotency-Key"),
			r.Header.Get("X-Expires-In-Ms"), string(body), r.ContentLength,
		}
	}))
	defer s.Close()
	c := newCall(addrOf(s), "a")
	if r := doCall(t, newTestClient(t, testConfig()), c); r[0].Outcome != policy.OK {
		t.Fatalf("outcome %v", r[0].Outcome)
	}
	got := <-requests
	if got.path != "/events" || got.id != "a" || got.key != "key-a" || got.expires == "" {
		t.Errorf("the endpoint received %+v", got)
	}
	if got.body != "body of a" || got.length != 9 {
		t.Errorf("the endpoint received %+v", got)
	}
}

// http.Transport would resend the second request by itself, because the request has an Idempotency-Key, its
// connection was used before, and no byte of a response arrived. The client must not, because the message may have
// run.
func TestNoAutomaticResend(t *testing.T) {
	for _, body := range []string{"some", ""} {
		addr, requests := nettest.RawServer(t, func(n int, conn net.Conn, r *http.Request) bool {
			if n == 1 {
				nettest.Send(conn, okBatch(t, r))
			}
			return n == 1
		})
		client := newTestClient(t, testConfig())
		first, second := newBatchCall(addr, "a"), newBatchCall(addr, "b")
		second.Attempts[0].Body = []byte(body)
		if r := doCall(t, client, first); r[0].Outcome != policy.OK {
			t.Fatalf("first call: %v", r[0].Outcome)
		}
		if r := doCall(t, client, second); r[0].Outcome != policy.Reset {
			t.Errorf("body %q: outcome %v, want a reset", body, r[0].Outcome)
		}
		if n := requests.Load(); n != 2 {
			t.Errorf("body %q: the endpoint received %d requests", body, n)
		}
	}
}

func TestRefusedConnNeverRan(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nettest.Close(listener)
	r := doCall(t, newTestClient(t, testConfig()), newCall(listener.Addr().String(), "a"))
	if r[0].Outcome != policy.ConnectFailed {
		t.Errorf("outcome %v", r[0].Outcome)
	}
}

func TestConnectTimeout(t *testing.T) {
	config := testConfig()
	config.ConnectTimeout = 20 * time.Millisecond
	config.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	client := newTestClient(t, config)
	began := time.Now()
	if r := doCall(t, client, newCall("127.0.0.1:1", "a")); r[0].Outcome != policy.ConnectFailed {
		t.Errorf("outcome %v", r[0].Outcome)
	}
	if took := time.Since(began); took > nettest.Patience/2 {
		t.Errorf("the call took %v", took)
	}
	if n := openConns(client); n != 0 {
		t.Errorf("%d connections counted as open, want 0", n)
	}
}

// stuckConn accepts a limited number of bytes and then fails.
type stuckConn struct {
	net.Conn
	left int // bytes that it still accepts
}

func (c *stuckConn) Write(b []byte) (int, error) {
	if len(b) > c.left {
		n, _ := c.Conn.Write(b[:c.left])
		nettest.Close(c.Conn)
		return n, io.ErrClosedPipe
	}
	c.left -= len(b)
	return c.Conn.Write(b)
}

func TestIncompleteRequestNeverRan(t *testing.T) {
	addr, requests := nettest.RawServer(t, func(int, net.Conn, *http.Request) bool { return true })
	config := testConfig()
	config.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return &stuckConn{conn, 10_000}, err
	}
	client := newTestClient(t, config)
	c := newCall(addr, "a")
	c.Attempts[0].Body = make([]byte, 60_000)
	if r := doCall(t, client, c); r[0].Outcome != policy.ConnectFailed {
		t.Errorf("outcome %v", r[0].Outcome)
	}
	if n := requests.Load(); n != 0 {
		t.Errorf("the endpoint received %d complete requests, want 0", n)
	}
}

func TestCallTimeoutClosesConn(t *testing.T) {
	left := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			t.Error(err)
		}
		<-r.Context().Done()
		close(left)
	}))
	defer s.Close()
	client := newTestClient(t, testConfig())
	c := newCall(addrOf(s), "a")
	c.Deadline = time.Now().Add(100 * time.Millisecond)
	if r := doCall(t, client, c); r[0].Outcome != policy.Timeout {
		t.Errorf("outcome %v", r[0].Outcome)
	}
	select {
	case <-left:
	case <-time.After(nettest.Patience):
		t.Error("the connection was not closed after the call timed out")
	}
}

// A response counts even if the endpoint sends it before it has read the whole request, and then closes the
// connection.
func TestEarlyResponseCounts(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer nettest.Close(listener)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			return
		}
		nettest.Send(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		nettest.CloseWrite(conn)
		_, _ = io.Copy(io.Discard, conn) // until the relay closes
		nettest.Close(conn)
	}()
	client := newTestClient(t, testConfig())
	if r := doCall(t, client, newCall(listener.Addr().String(), "a")); r[0].Outcome != policy.Overloaded {
		t.Errorf("outcome %v", r[0].Outcome)
	}
}

// Latency is measured from the start of writing the request. The time to open a connection says nothing about
// response times, so it must not count.
func TestLatencyStartsWithWriting(t *testing.T) {
	addr, _ := nettest.RawServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		nettest.Send(conn, nettest.OKResponse)
		return true
	})
	client := newTestClient(t, testConfig())
	c := newCall(addr, "a")
	var checkedAt time.Time
	r := client.Do(t.Context(), c, func() []*Attempt {
		time.Sleep(50 * time.Millisecond) // simulates a slow dial
		checkedAt = time.Now()
		return c.Attempts
	})
	if took := r[0].Latency; took <= 0 || took > time.Since(checkedAt) {
		t.Errorf("latency %v, want more than 0 and less than the time since the check", took)
	}
}
