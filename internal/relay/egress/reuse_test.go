package egress

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/netconn"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	busyResponse  = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
	laterResponse = "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n" + `[{"id":"b","state":"later"}]` + "  "
)

// scriptedServer answers the first request of a connection with "ok" for each message, and each later one with the next
// text of the script.
func scriptedServer(t *testing.T, script ...string) (addr string) {
	addr, _ = nettest.RawServer(t, func(n int, conn net.Conn, r *http.Request) bool {
		if n == 1 {
			nettest.Send(conn, okBatch(t, r))
		} else if n-2 < len(script) {
			nettest.Send(conn, script[n-2])
		}
		return true
	})
	return addr
}

// batchResponse returns a response with status 200, extra header lines and a body.
func batchResponse(header, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
}

// A response on a used connection is believed only if it cannot be a copy of an earlier one, whole or cut.
func TestCopiedResponseSaysNothing(t *testing.T) {
	const okA, okB = `[{"id":"a","state":"ok"}]`, `[{"id":"b","state":"ok"}]`
	const wait = "Retry-After: 7\r\nEndpoint-Load-Metrics: TEXT x0=1, x1=5\r\n"
	for _, c := range []struct {
		name, response string
		want           policy.Outcome
	}{
		{"its own response", batchResponse("", okB), policy.OK},
		{"a rejection, perhaps its own", busyResponse, policy.UnprovenRejection},
		{"an error, perhaps its own", "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", policy.Reset},
		{"a copy", batchResponse(wait, okA), policy.Reset},
		{"a copy and its own response", batchResponse(wait, okA) + batchResponse("", okB), policy.Reset},
		{"a copy and its own rejection", batchResponse(wait, okA) + busyResponse, policy.Reset},
		{"a copy cut in the status line and a rejection", "HTTP/1.1 20" + busyResponse, policy.Reset},
		{"a copy cut in the header and a rejection", "HTTP/1.1 200 OK\r\nDate:" + busyResponse, policy.Reset},
		{"a copy cut in the body and a rejection", batchResponse("", okA)[:45] + busyResponse, policy.Reset},
		{"a response without names", batchResponse(wait, ""), policy.Reset},
		{"a response with another message too", batchResponse(wait, okB[:len(okB)-1]+","+okA[1:]), policy.Reset},
		{"a response with the message twice", batchResponse(wait, okB[:len(okB)-1]+","+okB[1:]), policy.Reset},
		{
			"surplus 1xx responses and its own response",
			strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 3) + batchResponse("", okB), policy.OK,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr := scriptedServer(t, c.response)
			client := newTestClient(t, testConfig())
			if r := doCall(t, client, newBatchCall(addr, "a")); r[0].Outcome != policy.OK {
				t.Fatalf("first call: %v", r[0].Outcome)
			}
			r := doCall(t, client, newBatchCall(addr, "b"))[0]
			if r.Outcome != c.want {
				t.Errorf("outcome %v, want %v", r.Outcome, c.want)
			}
			feedback := r.RetryAfter != 0 || r.LimitReport != (policy.LimitReport{}) || r.MessageEnded
			if r.Outcome != policy.OK && feedback {
				t.Errorf("believed of a response that may be another call's: %+v", r)
			}
			if kept := openConns(client) > 0; kept != (c.want == policy.OK) {
				t.Errorf("connection kept: %v", kept)
			}
		})
	}
}

// A Retry-After on a used connection binds, since it is no copy, but the messages may have run.
func TestRetryAfterOnUsedConnectionBinds(t *testing.T) {
	addr := scriptedServer(t, "HTTP/1.1 429 Busy\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n")
	client := newTestClient(t, testConfig())
	doCall(t, client, newBatchCall(addr, "a"))
	r := doCall(t, client, newBatchCall(addr, "b"))[0]
	if r.Outcome != policy.UnprovenRejection || r.RetryAfter != 1500*time.Millisecond {
		t.Errorf("%+v", r)
	}
}

// A message that is sent again uses a connection that has not carried it, since a copy of its first response names it.
func TestRepeatedMessageUsesAnotherConnection(t *testing.T) {
	addr := scriptedServer(t, laterResponse, batchResponse("", `[{"id":"b","state":"ok"}]`))
	observer := &countingObserver{}
	config := testConfig()
	config.Observer = observer
	client := newTestClient(t, config)
	for i, want := range []policy.Outcome{policy.OK, policy.Overloaded, policy.OK} {
		id := []string{"a", "b", "b"}[i]
		if r := doCall(t, client, newBatchCall(addr, id)); r[0].Outcome != want {
			t.Errorf("call %d: %v, want %v", i+1, r[0].Outcome, want)
		}
	}
	if observer.opened != 2 {
		t.Errorf("%d connections opened, want 2", observer.opened)
	}
}

// A call whose request does not name its message uses a connection that has carried no other call, at an endpoint that
// does not announce the end of a connection.
func TestSingleMessageUsesNewConnection(t *testing.T) {
	addr, requests := nettest.RawServer(t, func(_ int, conn net.Conn, r *http.Request) bool {
		if r.URL.Path == "/events" {
			nettest.Send(conn, nettest.OKResponse)
		} else {
			nettest.Send(conn, okBatch(t, r))
		}
		return true
	})
	observer := &countingObserver{}
	config := testConfig()
	config.Observer = observer
	client := newTestClient(t, config)
	calls := []*Call{newBatchCall(addr, "a"), newCall(addr, "b"), newCall(addr, "c"), newBatchCall(addr, "d")}
	for i, call := range calls {
		if r := doCall(t, client, call); r[0].Outcome != policy.OK {
			t.Errorf("call %d: %v", i+1, r[0].Outcome)
		}
	}
	if observer.opened != 3 || requests.Load() != 4 {
		t.Errorf("%d connections opened for %d requests, want 3 for 4", observer.opened, requests.Load())
	}
}

// closingServer answers single messages with 200, and announces the end of the connection if the request asks for it.
// spoil returns what is written instead of the response to the n-th request, or "".
func closingServer(t *testing.T, spoil func(n int, own string) string) (addr string) {
	addr, _ = nettest.RawServer(t, func(n int, conn net.Conn, r *http.Request) bool {
		own := nettest.OKResponse
		if r.Close {
			own = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
		}
		if spoilt := spoil(n, own); spoilt != "" {
			own = spoilt
		}
		nettest.Send(conn, own)
		return !r.Close
	})
	return addr
}

// An endpoint that announces the end of a connection gets two calls on each. The second asks for the end.
func TestClosingCallSharesConnection(t *testing.T) {
	addr := closingServer(t, func(int, string) string { return "" })
	observer := &countingObserver{}
	config := testConfig()
	config.Observer = observer
	client := newTestClient(t, config)
	for i := range 7 {
		if r := doCall(t, client, newCall(addr, fmt.Sprint(i)))[0]; r.Outcome != policy.OK {
			t.Errorf("call %d: %v", i+1, r.Outcome)
		}
	}
	if observer.opened != 4 || openConns(client) != 0 {
		t.Errorf("%d connections opened and %d kept, want 4 and none", observer.opened, openConns(client))
	}
}

// The second call of a connection believes only a response that announces the end, which no copy of the first does.
func TestClosingCallBelievesNoCopy(t *testing.T) {
	const date = "HTTP/1.1 200 OK\r\nDate: Mon, 0"
	for _, c := range []struct {
		name  string
		spoil func(own string) string
		want  policy.Outcome
	}{
		{"its own response", func(own string) string { return own }, policy.OK},
		{
			"its own rejection",
			func(own string) string { return strings.Replace(own, "200 OK", "503 Busy", 1) }, policy.Overloaded,
		},
		{"a copy", func(string) string { return nettest.OKResponse }, policy.Reset},
		{"a copy of a rejection", func(string) string { return busyResponse }, policy.Reset},
		{"a copy and its own response", func(own string) string { return nettest.OKResponse + own }, policy.Reset},
		{"a copy cut in the version", func(own string) string { return "HTTP/1.1" + own }, policy.Reset},
		{"a copy cut in the reason", func(own string) string { return "HTTP/1.1 200 O" + own }, policy.Reset},
		{"a copy cut in the header", func(own string) string { return date + own }, policy.Reset},
		{"a copy without its header", func(own string) string { return "HTTP/1.1 200 OK\r\n\r\n" + own }, policy.Reset},
		{"a copy in HTTP/1.0", func(own string) string { return "HTTP/1.0 200 OK\r\n\r\n" + own }, policy.Reset},
		{"a status line alone", func(string) string { return "HTTP/1.1 200 OK\r\nno colon\r\n\r\n" }, policy.Reset},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr := closingServer(t, func(n int, own string) string {
				if n == 3 {
					return c.spoil(own)
				}
				return ""
			})
			client := newTestClient(t, testConfig())
			for _, id := range []string{"learns", "first"} {
				if r := doCall(t, client, newCall(addr, id))[0]; r.Outcome != policy.OK {
					t.Fatalf("%s: %v", id, r.Outcome)
				}
			}
			if r := doCall(t, client, newCall(addr, "second"))[0]; r.Outcome != c.want {
				t.Errorf("outcome %v, want %v", r.Outcome, c.want)
			}
			if n := openConns(client); n != 0 {
				t.Errorf("%d connections kept", n)
			}
		})
	}
}

// A message that may run only once can be sent again after a rejection, also on a used connection: its calls prove
// their rejections by the end of the connection or, where endpoints do not announce it, by a connection of their own.
func TestMessageThatMayRunOnlyOnceProvesItsRejection(t *testing.T) {
	for _, announces := range []bool{true, false} {
		addr, _ := nettest.RawServer(t, func(n int, conn net.Conn, r *http.Request) bool {
			response := okBatch(t, r)
			if n%3 == 0 {
				response = busyResponse
			}
			if r.Close && announces {
				response = strings.Replace(response, "\r\n", "\r\nConnection: close\r\n", 1)
			}
			nettest.Send(conn, response)
			return !r.Close
		})
		observer := &countingObserver{}
		config := testConfig()
		config.Observer = observer
		client := newTestClient(t, config)
		for n := 1; n <= 9; n++ {
			call := newBatchCall(addr, fmt.Sprint(n))
			call.OnceOnly = true
			want := policy.OK
			if n%3 == 0 {
				want = policy.Overloaded
			}
			if r := doCall(t, client, call); r[0].Outcome != want {
				t.Errorf("announces %v, call %d: %v, want %v", announces, n, r[0].Outcome, want)
			}
		}
		want := 9
		if announces {
			want = 5 // the first connection shows that the endpoint announces the end; the others carry two calls
		}
		if observer.opened != want {
			t.Errorf("announces %v: %d connections opened, want %d", announces, observer.opened, want)
		}
	}
}

// An endpoint is expected to do what others of its kind do, until it does not. The number of exceptions is bounded.
func TestAnnouncementsAreExpectedByKind(t *testing.T) {
	const kind, otherKind = 1, 2
	one, two := endpointAddr{"s-1", "127.0.0.1:1"}, endpointAddr{"s-2", "127.0.0.1:2"}
	a := newCloseAnnouncements()
	if a.expected(one, kind) {
		t.Error("expected before any endpoint announced the end")
	}
	a.learn(one, kind, true)
	if !a.expected(one, kind) || !a.expected(two, kind) || a.expected(two, otherKind) {
		t.Error("not expected of endpoints of the kind alone")
	}
	a.learn(two, kind, false)
	if !a.expected(one, kind) || a.expected(two, kind) {
		t.Error("expected of an endpoint that did not announce the end, or of no other")
	}
	a.learn(two, kind, true)
	if !a.expected(two, kind) {
		t.Error("not expected of an endpoint that announces the end again")
	}
	for i := range 2 * maxSilentEndpoints {
		a.learn(endpointAddr{fmt.Sprint(i), "127.0.0.1:3"}, kind, false)
	}
	if len(a.silent) > maxSilentEndpoints {
		t.Errorf("%d endpoints are remembered", len(a.silent))
	}
}

// A response that arrives before the request was written belongs to no call.
func TestResponseBeforeItsRequestSaysNothing(t *testing.T) {
	named := batchResponse("", `[{"id":"a","state":"ok"}]`)
	for _, response := range []string{nettest.OKResponse, busyResponse, named} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		nettest.CloseAtEnd(t, listener)
		received := make(chan int64, 1)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			nettest.Send(conn, response)
			n, _ := io.Copy(io.Discard, conn) // an error shows that the relay closed
			received <- n
		}()
		config := testConfig()
		config.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			if err == nil {
				dialed := netconn.New(conn)
				nettest.Eventually(t, "the response arrives", func() bool {
					return dialed.Pending() == netconn.PendingBytes
				})
			}
			return conn, err
		}
		client := newTestClient(t, config)
		if r := doCall(t, client, newBatchCall(listener.Addr().String(), "a")); r[0].Outcome != policy.ConnectFailed {
			t.Errorf("%q: outcome %v", response, r[0].Outcome)
		}
		if n := <-received; n != 0 {
			t.Errorf("%q: %d bytes of a request were written", response, n)
		}
	}
}

// A used connection that its endpoint ends between the check of a delayed call and the write fails no endpoint.
func TestUsedConnectionThatEndsBeforeTheWriteIsNotSent(t *testing.T) {
	served := make(chan net.Conn, 1)
	addr, requests := nettest.RawServer(t, func(_ int, conn net.Conn, r *http.Request) bool {
		served <- conn
		nettest.Send(conn, okBatch(t, r))
		return true
	})
	var observed *netconn.Conn
	config := testConfig()
	config.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err == nil {
			observed = netconn.New(conn)
		}
		return conn, err
	}
	client := newTestClient(t, config)
	doCall(t, client, newBatchCall(addr, "a"))
	delayed := newBatchCall(addr, "b")
	delayed.SentAt = time.Now().Add(-time.Second)
	r := client.Do(t.Context(), delayed, func() []*Attempt {
		nettest.Close(<-served)
		nettest.Eventually(t, "the end arrives", func() bool { return observed.Pending() == netconn.PendingEnd })
		return delayed.Attempts
	})
	if r[0].Outcome != policy.NotSent || requests.Load() != 1 {
		t.Errorf("outcome %v after %d requests, want not sent after 1", r[0].Outcome, requests.Load())
	}
}

// A connection is retired once it has carried as many messages as it may remember.
func TestFullConnectionIsRetired(t *testing.T) {
	addr, _ := nettest.RawServer(t, func(_ int, conn net.Conn, r *http.Request) bool {
		nettest.Send(conn, okBatch(t, r))
		return true
	})
	client := newTestClient(t, testConfig())
	const perCall = 64
	for call := range maxMessagesPerConn / perCall {
		if n := openConns(client); call > 0 && n != 1 {
			t.Fatalf("%d connections open before call %d, want 1", n, call)
		}
		ids := make([]string, perCall)
		for i := range ids {
			ids[i] = fmt.Sprint(call, "-", i)
		}
		doCall(t, client, newBatchCall(addr, ids...))
	}
	if n := openConns(client); n != 0 {
		t.Errorf("%d connections open after %d messages, want none", n, maxMessagesPerConn)
	}
}
