package egress

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/netconn"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/policy"
)

func testConfig() Config {
	return Config{
		ConnectTimeout: 2 * time.Second,
		KeepAlive:      time.Minute,
		MaxConns:       368,
		ReportFields:   []string{"x0", "x1"},
		OnWritten:      func(int) {},
		Log:            slog.New(slog.DiscardHandler),
	}
}

func newTestClient(t *testing.T, cfg Config) *Client {
	h := New(cfg)
	t.Cleanup(h.Close)
	return h
}

// newCall is a call to addr with messages of these ids.
func newCall(addr string, ids ...string) *Call {
	c := &Call{EndpointID: "s-1", Addr: addr, SentAt: time.Now(), Deadline: time.Now().Add(nettest.Patience)}
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

// allow lets all attempts of a call leave.
func allow(c *Call) func() []*Attempt {
	return func() []*Attempt { return c.Attempts }
}

// doCall makes a call all of whose attempts may leave.
func doCall(t *testing.T, client *Client, c *Call) []Result {
	t.Helper()
	return client.Do(t.Context(), c, allow(c))
}

func addrOf(s *httptest.Server) string { return s.Listener.Addr().String() }

func TestASingleCallCarriesTheMessageUnchanged(t *testing.T) {
	type seen struct {
		path, id, key, expires, body string
		length                       int64
	}
	got := make(chan seen, 1)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		got <- seen{
			r.URL.Path, r.Header.Get("X-Trace-Id"), r.Header.Get("Idempotency-Key"),
			r.Header.Get("X-Expires-In-Ms"), string(b), r.ContentLength,
		}
	}))
	defer s.Close()
	c := newCall(addrOf(s), "a")
	if r := doCall(t, newTestClient(t, testConfig()), c); r[0].Outcome != policy.OK {
		t.Fatalf("outcome %v", r[0].Outcome)
	}
	g := <-got
	if g.path != "/events" || g.id != "a" || g.key != "key-a" || g.body != "body of a" || g.length != 9 ||
		g.expires == "" {
		t.Errorf("the host saw %+v", g)
	}
}

// A Transport would send this request again by itself: it carries an Idempotency-Key, its connection was used
// before, and no byte of an answer came.
func TestNothingIsSentAgainByItself(t *testing.T) {
	for _, body := range []string{"some", ""} {
		addr, requests := nettest.RawServer(t, func(n int, conn net.Conn, _ *http.Request) bool {
			if n == 1 {
				nettest.Send(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
			return n == 1
		})
		h := newTestClient(t, testConfig())
		first, second := newCall(addr, "a"), newCall(addr, "b")
		second.Attempts[0].Body = []byte(body)
		if r := doCall(t, h, first); r[0].Outcome != policy.OK {
			t.Fatalf("first call: %v", r[0].Outcome)
		}
		if r := doCall(t, h, second); r[0].Outcome != policy.Reset {
			t.Errorf("body %q: outcome %v, want a reset", body, r[0].Outcome)
		}
		if n := requests.Load(); n != 2 {
			t.Errorf("body %q: the host saw %d requests", body, n)
		}
	}
}

func TestARefusedConnectionNeverRan(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	r := doCall(t, newTestClient(t, testConfig()), newCall(l.Addr().String(), "a"))
	if r[0].Outcome != policy.ConnectFailed {
		t.Errorf("outcome %v", r[0].Outcome)
	}
}

func TestAConnectionThatNeverComesUpEndsInTime(t *testing.T) {
	cfg := testConfig()
	cfg.ConnectTimeout = 20 * time.Millisecond
	h := newTestClient(t, cfg)
	h.dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	began := time.Now()
	if r := doCall(t, h, newCall("127.0.0.1:1", "a")); r[0].Outcome != policy.ConnectFailed {
		t.Errorf("outcome %v", r[0].Outcome)
	}
	if took := time.Since(began); took > nettest.Patience/2 {
		t.Errorf("took %v", took)
	}
	if h.open != 0 {
		t.Errorf("%d connections counted", h.open)
	}
}

// stuckConn takes part of a request and then breaks.
type stuckConn struct {
	net.Conn
	left int
}

func (c *stuckConn) Write(b []byte) (int, error) {
	if len(b) > c.left {
		n, _ := c.Conn.Write(b[:c.left])
		c.Conn.Close()
		return n, io.ErrClosedPipe
	}
	c.left -= len(b)
	return c.Conn.Write(b)
}

func TestABreakBeforeTheLastByteNeverRan(t *testing.T) {
	addr, requests := nettest.RawServer(t, func(int, net.Conn, *http.Request) bool { return true })
	h := newTestClient(t, testConfig())
	h.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return &stuckConn{conn, 10_000}, err
	}
	c := newCall(addr, "a")
	c.Attempts[0].Body = make([]byte, 60_000)
	if r := doCall(t, h, c); r[0].Outcome != policy.ConnectFailed {
		t.Errorf("outcome %v", r[0].Outcome)
	}
	if n := requests.Load(); n != 0 {
		t.Errorf("the host saw %d whole requests", n)
	}
}

func TestNoAnswerInTimeClosesTheConnection(t *testing.T) {
	left := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) // only its end is wanted
		<-r.Context().Done()
		close(left)
	}))
	defer s.Close()
	h := newTestClient(t, testConfig())
	c := newCall(addrOf(s), "a")
	c.Deadline = time.Now().Add(100 * time.Millisecond)
	if r := doCall(t, h, c); r[0].Outcome != policy.Timeout {
		t.Errorf("outcome %v", r[0].Outcome)
	}
	select {
	case <-left:
	case <-time.After(nettest.Patience):
		t.Error("the host still has the connection")
	}
}

func TestACallIsLookedAtAgainOnceItsConnectionIsUp(t *testing.T) {
	addr, requests := nettest.RawServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		nettest.Send(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	h := newTestClient(t, testConfig())
	if r := h.Do(t.Context(), newCall(addr, "a"), func() []*Attempt { return nil }); r[0].Outcome != policy.NotSent {
		t.Errorf("outcome %v", r[0].Outcome)
	}
	if n := requests.Load(); n != 0 {
		t.Errorf("the host saw %d requests", n)
	}
	// The connection is kept, and needs no second look.
	r := h.Do(t.Context(), newCall(addr, "b"), func() []*Attempt { t.Error("asked again"); return nil })
	if r[0].Outcome != policy.OK {
		t.Errorf("outcome on the kept connection %v", r[0].Outcome)
	}
}

func TestConnectionsAreKept(t *testing.T) {
	const calls = 6
	var opened atomic.Int32
	var together sync.WaitGroup // every round waits until all of its calls are there
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		together.Done()
		together.Wait()
		io.WriteString(w, strings.Repeat("x", 9000))
	}))
	s.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		if st == http.StateNew {
			opened.Add(1)
		}
	}
	s.Start()
	defer s.Close()
	h := newTestClient(t, testConfig())
	for range 3 {
		together.Add(calls)
		var done sync.WaitGroup
		for i := range calls {
			done.Go(func() {
				if r := doCall(t, h, newCall(addrOf(s), fmt.Sprint(i))); r[0].Outcome != policy.OK {
					t.Errorf("outcome %v", r[0].Outcome)
				}
			})
		}
		done.Wait()
	}
	if n := opened.Load(); n != calls {
		t.Errorf("%d connections for %d calls at once", n, calls)
	}
}

func TestIdleConnectionsCloseBeforeTheHostsLimit(t *testing.T) {
	closed := make(chan struct{}, 1)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		if st == http.StateClosed {
			closed <- struct{}{}
		}
	}
	s.Start()
	defer s.Close()
	cfg := testConfig()
	cfg.KeepAlive = 50 * time.Millisecond
	h := newTestClient(t, cfg)
	if r := doCall(t, h, newCall(addrOf(s), "a")); r[0].Outcome != policy.OK {
		t.Fatalf("outcome %v", r[0].Outcome)
	}
	select {
	case <-closed: // the server sets no limit of its own: the relay closed it
	case <-time.After(nettest.Patience):
		t.Error("still open")
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	one, two := httptest.NewServer(ok), httptest.NewServer(ok)
	defer one.Close()
	defer two.Close()
	h := newTestClient(t, testConfig())
	h.maxConns, h.connectTimeout = 1, 100*time.Millisecond
	for i, s := range []*httptest.Server{one, two, one} { // each takes the place of the idle one before
		if r := doCall(t, h, newCall(addrOf(s), "a")); r[0].Outcome != policy.OK || h.open != 1 {
			t.Errorf("call %d: outcome %v, %d open", i, r[0].Outcome, h.open)
		}
	}
	busy, _, err := h.getConn(t.Context(), endpointAddr{"s-1", addrOf(one)})
	if err != nil {
		t.Fatal(err)
	}
	// That the relay itself has no room is no failure of the host.
	if r := doCall(t, h, newCall(addrOf(two), "a")); r[0].Outcome != policy.NotSent {
		t.Errorf("beyond the bound: outcome %v", r[0].Outcome)
	}
	busy.close()
}

func TestAnswerCodes(t *testing.T) {
	for _, c := range []struct {
		status int
		header http.Header
		want   Result
	}{
		{200, nil, Result{Outcome: policy.OK}},
		{500, nil, Result{Outcome: policy.Error}},
		{429, http.Header{"Retry-After": {"0.75"}}, Result{Outcome: policy.Overloaded, RetryAfter: 750 * time.Millisecond}},
		{429, http.Header{"Retry-After": {"soon"}}, Result{Outcome: policy.Overloaded}},
		{503, nil, Result{Outcome: policy.Overloaded}},
		{503, http.Header{"Retry-After": {"2"}}, Result{Outcome: policy.Overloaded, RetryAfter: 2 * time.Second}},
		{503, http.Header{"Slots-Taken": {"1"}}, Result{Outcome: policy.NotSent}},
		{504, nil, Result{Outcome: policy.NotSent}},
		{410, nil, Result{Outcome: policy.NotSent, MessageEnded: true}},
		{302, http.Header{"Location": {"/elsewhere"}}, Result{Outcome: policy.Error}},
		{418, nil, Result{Outcome: policy.Error}},
		{
			200,
			http.Header{"Endpoint-Load-Metrics": {"TEXT x0=0.4, x1=25, y=7"}},
			Result{Outcome: policy.OK, LimitReport: policy.LimitReport{Present: true, Remaining: 0.4, Limit: 25}},
		},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/events" {
				t.Errorf("a redirect was followed to %s", r.URL.Path)
			}
			for k, v := range c.header {
				w.Header()[k] = v
			}
			w.WriteHeader(c.status)
		}))
		if r := doCall(t, newTestClient(t, testConfig()), newCall(addrOf(s), "a")); r[0].Latency <= 0 {
			t.Errorf("%d: took %v", c.status, r[0].Latency)
		} else if r[0].Latency = 0; r[0] != c.want {
			t.Errorf("%d %v: %+v, want %+v", c.status, c.header, r[0], c.want)
		}
		s.Close()
	}
}

func TestBundles(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f"}
	for _, c := range []struct {
		name   string
		status int
		wait   string
		answer string
		want   []policy.Outcome
	}{
		{
			"every state", 200, "", `[{"id":"f","state":"what"},{"id":"e","state":"exhausted"},{"id":"d","state":"gone"},
			{"id":"c","state":"later"},{"id":"b","state":"error"},{"id":"a","state":"ok"}]`,
			[]policy.Outcome{policy.OK, policy.Error, policy.Overloaded, policy.NotSent, policy.NotSent, policy.Error},
		},
		{
			"missing and unreadable items", 200, "", `[{"id":"a","state":"ok"},7,{"id":3},{"id":"f","state":"ok"}]`,
			[]policy.Outcome{policy.OK, policy.Error, policy.Error, policy.Error, policy.Error, policy.OK},
		},
		{"unreadable", 200, "", `{`, slices.Repeat([]policy.Outcome{policy.Error}, 6)},
		{"all turned away", 429, "1.5", ``, slices.Repeat([]policy.Outcome{policy.Overloaded}, 6)},
		{"all failed", 500, "", ``, slices.Repeat([]policy.Outcome{policy.Error}, 6)},
		{
			"a wait with deliveries", 200, "1.5", `[{"id":"a","state":"ok"}]`,
			append([]policy.Outcome{policy.OK}, slices.Repeat([]policy.Outcome{policy.Error}, 5)...),
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				var items []struct {
					ID, Key string
					Body    []byte
				}
				if err := json.NewDecoder(r.Body).Decode(&items); err != nil || r.URL.Path != "/events/bundle" {
					t.Errorf("%s: %v", r.URL.Path, err)
				}
				for i, id := range ids {
					if items[i].ID != id || items[i].Key != "key-"+id || string(items[i].Body) != "body of "+id {
						t.Errorf("item %d: %+v", i, items[i])
					}
				}
				if c.wait != "" {
					w.Header().Set("Retry-After", c.wait)
				}
				w.WriteHeader(c.status)
				io.WriteString(w, c.answer)
			}))
			defer s.Close()
			results := doCall(t, newTestClient(t, testConfig()), newCall(addrOf(s), ids...))
			for i, r := range results {
				if r.Outcome != c.want[i] || r.MessageEnded != (c.name == "every state" && i == 3) {
					t.Errorf("%s: %+v, want %v", ids[i], r, c.want[i])
				}
				if (r.RetryAfter > 0) != (c.wait != "") {
					t.Errorf("%s: wait %v", ids[i], r.RetryAfter)
				}
			}
		})
	}
}

func TestABundlesAnswerMustBeWhole(t *testing.T) {
	addr, _ := nettest.RawServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		nettest.Send(conn, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n[{\"id\":\"a\",\"state\":\"ok\"}")
		return false
	})
	for i, r := range doCall(t, newTestClient(t, testConfig()), newCall(addr, "a", "b")) {
		if r.Outcome != policy.Reset {
			t.Errorf("attempt %d: %v", i, r.Outcome)
		}
	}
	if r := doCall(t, newTestClient(t, testConfig()), newCall(addr, "a")); r[0].Outcome != policy.OK {
		t.Errorf("a single message is delivered with the first line: %v", r[0].Outcome)
	}
}

// An answer brings more than belongs to it: the rest must not answer the next call.
func TestWhatComesBehindAnAnswerAnswersNoOtherCall(t *testing.T) {
	for _, behind := range []string{nettest.OKResponse, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "noise", "\r\n"} {
		for _, late := range []bool{false, true} {
			var conns sync.Map
			addr, _ := nettest.RawServer(t, func(n int, conn net.Conn, _ *http.Request) bool {
				conns.Store(conn, true)
				switch {
				case n > 1:
					nettest.Send(conn, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
				case late:
					nettest.Send(conn, nettest.OKResponse)
					nettest.Send(conn, behind)
				default:
					nettest.Send(conn, nettest.OKResponse+behind)
				}
				return true
			})
			h := newTestClient(t, testConfig())
			if r := doCall(t, h, newCall(addr, "a")); r[0].Outcome != policy.OK {
				t.Fatalf("%q: outcome %v", behind, r[0].Outcome)
			}
			nettest.Eventually(
				t,
				"the connection dropped",
				func() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.open == 0 },
			)
			if r := doCall(t, h, newCall(addr, "b")); r[0].Outcome != policy.Error {
				t.Errorf("%q: the second call has the first one's rest: %v", behind, r[0].Outcome)
			}
		}
	}
}

// A spoilt answer may have run. A single message is delivered where the first line says 200. In no case does it take
// long, and the connection is of no further use.
func TestSpoiltAnswers(t *testing.T) {
	const bundleHead = "HTTP/1.1 200 OK\r\nContent-Length: "
	for _, c := range []struct {
		name   string
		answer string
		single policy.Outcome
		bundle policy.Outcome
	}{
		{"noise", "\x00\x17\xff\x03 what\r\n\r\n", policy.Reset, policy.Reset},
		{"noise without end", strings.Repeat("\xfe", 20_000), policy.Reset, policy.Reset},
		{"half a line", "HTTP/1.1 2", policy.Reset, policy.Reset},
		{"broken head", "HTTP/1.1 200 OK\r\nno colon\r\n\r\n", policy.OK, policy.Reset},
		{"broken head of an error", "HTTP/1.1 503 Busy\r\nno colon\r\n\r\n", policy.Reset, policy.Reset},
		{"head without end", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-More: and more\r\n", 2000), policy.OK, policy.Reset},
		{"head that stops", "HTTP/1.1 200 OK\r\nX-More: and", policy.OK, policy.Reset},
		{"negative length", bundleHead + "-1\r\n\r\n", policy.OK, policy.Reset},
		{"two lengths", bundleHead + "5\r\nContent-Length: 7\r\n\r\n", policy.OK, policy.Reset},
		{"too long", bundleHead + "500\r\n\r\n[]", policy.OK, policy.Reset},
		{"too short", bundleHead + "1\r\n\r\n[]", policy.OK, policy.Error},
		{"3 GB", bundleHead + "3000000000\r\n\r\n[", policy.OK, policy.Reset},
		{"a refusal of 3 GB", "HTTP/1.1 503 Busy\r\nContent-Length: 3000000000\r\n\r\n[", policy.Reset, policy.Reset},
		{"chunks without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
			strings.Repeat("1000\r\n"+strings.Repeat(" ", 0x1000)+"\r\n", 40), policy.OK, policy.Reset},
		{"nothing but 1xx", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100), policy.Reset, policy.Reset},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			addr, _ := nettest.RawServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
				nettest.Send(conn, c.answer) // and the connection stays open
				return true
			})
			h := newTestClient(t, testConfig())
			for _, ids := range [][]string{{"a"}, {"a", "b"}} {
				want := c.single
				if len(ids) > 1 {
					want = c.bundle
				}
				call := newCall(addr, ids...)
				for _, r := range doCall(t, h, call) {
					if r.Outcome != want {
						t.Errorf("%d messages: outcome %v, want %v", len(ids), r.Outcome, want)
					}
				}
				if time.Now().After(call.Deadline) {
					t.Error("told with the call's time-out alone")
				}
				h.mu.Lock()
				if h.open > 0 {
					t.Errorf("%d messages: the connection is kept", len(ids))
				}
				h.mu.Unlock()
			}
		})
	}
}

// 1xx answers come ahead of the one that counts, and a connection that carried them can carry more.
func TestInformationAheadOfAnAnswer(t *testing.T) {
	addr, _ := nettest.RawServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		nettest.Send(conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+nettest.OKResponse)
		return true
	})
	h := newTestClient(t, testConfig())
	for range 2 {
		if r := doCall(t, h, newCall(addr, "a")); r[0].Outcome != policy.OK || h.open != 1 {
			t.Errorf("outcome %v, %d connections", r[0].Outcome, h.open)
		}
	}
}

// A host that answers before it has read all, and closes, has answered.
func TestAnEarlyAnswerCounts(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		nettest.Send(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		conn.(*net.TCPConn).CloseWrite()
		io.Copy(io.Discard, conn)
		conn.Close()
	}()
	h := newTestClient(t, testConfig())
	if r := doCall(t, h, newCall(l.Addr().String(), "a")); r[0].Outcome != policy.Overloaded {
		t.Errorf("outcome %v", r[0].Outcome)
	}
}

// A host's connections go with it: another one may come up at its address.
func TestAHostThatGoesLosesItsConnections(t *testing.T) {
	addr, _ := nettest.RawServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		nettest.Send(conn, nettest.OKResponse)
		return true
	})
	h := newTestClient(t, testConfig())
	doCall(t, h, newCall(addr, "a"))
	other := newCall(addr, "b")
	other.EndpointID = "s-2"
	asked := false
	h.Do(t.Context(), other, func() []*Attempt { asked = true; return other.Attempts })
	if !asked || h.open != 2 {
		t.Errorf("another host got the connection: %d open", h.open)
	}
	h.CloseIdle("s-1")
	if h.open != 1 {
		t.Errorf("%d open", h.open)
	}
}

// A host that closes an idle connection is noticed before a request is written to it.
func TestAnIdleCloseIsNoticed(t *testing.T) {
	addr, _ := nettest.RawServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		nettest.Send(conn, nettest.OKResponse)
		return false
	})
	h := newTestClient(t, testConfig())
	for range 3 {
		if r := doCall(t, h, newCall(addr, "a")); r[0].Outcome != policy.OK {
			t.Errorf("outcome %v", r[0].Outcome)
		}
		nettest.Eventually(t, "noticed", func() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.open == 0 })
	}
}

// Reports that make no sense never reach the module.
func TestOddReports(t *testing.T) {
	h := newTestClient(t, testConfig())
	for _, text := range []string{
		"", "TEXT", "x1=25", "TEXT x1", "TEXT x1=", "TEXT x1=NaN", "TEXT x1=Inf", "TEXT x1=-Inf", "TEXT x1=-3", "TEXT x1=1e300",
		"TEXT x1=0x", "TEXT y=3", "TEXT x0=nan",
	} {
		if r := h.parseLimitReport(text); r != (policy.LimitReport{}) {
			t.Errorf("%q: %+v", text, r)
		}
	}
}

// Took is from the request's writing: a connection that is slow to come up says nothing of how long answers take.
func TestACallIsTimedFromItsWriting(t *testing.T) {
	addr, _ := nettest.RawServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		nettest.Send(conn, nettest.OKResponse)
		return true
	})
	h := newTestClient(t, testConfig())
	c := newCall(addr, "a")
	var up time.Time
	r := h.Do(t.Context(), c, func() []*Attempt {
		time.Sleep(50 * time.Millisecond) // as a slow dial would take
		up = time.Now()
		return c.Attempts
	})
	if took := r[0].Latency; took <= 0 || took > time.Since(up) {
		t.Errorf("took %v", took)
	}
}

// readConn gives out the bytes of a reader. It is no socket.
type readConn struct {
	net.Conn
	r io.Reader
}

func (readConn) SetReadDeadline(time.Time) error { return nil }

func (c readConn) Read(b []byte) (int, error) { return c.r.Read(b) }

func FuzzAnswers(f *testing.F) {
	f.Add([]byte(nettest.OKResponse), true)
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n"+nettest.OKResponse+nettest.OKResponse), false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n[{\"id\":\"a\"}]"), true)
	f.Fuzz(func(t *testing.T, data []byte, several bool) {
		conn := &pooledConn{Conn: netconn.New(readConn{r: bytes.NewReader(data)})}
		c := newCall("x:1", "a")
		req, err := newRequest(c)
		if err != nil {
			t.Fatal(err)
		}
		a := readResponse(conn, req, several)
		if a.err == nil && (a.header == nil || conn.Reader.Buffered() > 0) {
			t.Errorf("%q can carry another call", data)
		}
		if len(a.body) > netconn.MaxBodySize {
			t.Errorf("%d bytes kept", len(a.body))
		}
		if a.header != nil {
			h := &Client{reportFields: []string{"x0", "x1"}}
			if r := h.readFeedback(a.header); !(r.LimitReport.Limit >= 0 && r.LimitReport.Limit <= maxReportedValue) || r.RetryAfter < 0 {
				t.Errorf("%q: %+v", data, r)
			}
		}
	})
}
