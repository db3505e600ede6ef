package egress

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/netconn"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/policy"
)

func TestStatusOutcomes(t *testing.T) {
	for _, c := range []struct {
		status int
		header http.Header
		want   Result
	}{
		{200, nil, Result{Outcome: policy.OK}},
		{500, nil, Result{Outcome: policy.Error}},
		{
			429,
			http.Header{"Retry-After": {"0.75"}},
			Result{Outcome: policy.Overloaded, RetryAfter: 750 * time.Millisecond},
		},
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
		got := doCall(t, newTestClient(t, testConfig()), newCall(addrOf(s), "a"))[0]
		s.Close()
		if got.Latency <= 0 {
			t.Errorf("%d: latency %v", c.status, got.Latency)
		}
		got.Latency = 0
		if got != c.want {
			t.Errorf("%d %v: %+v, want %+v", c.status, c.header, got, c.want)
		}
	}
}

func TestBatches(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f"}
	for _, c := range []struct {
		name       string
		status     int
		retryAfter string
		response   string
		want       []policy.Outcome
	}{
		{
			"every state", 200, "",
			`[{"id":"f","state":"what"},{"id":"e","state":"exhausted"},{"id":"d","state":"gone"},
			{"id":"c","state":"later"},{"id":"b","state":"error"},{"id":"a","state":"ok"}]`,
			[]policy.Outcome{policy.OK, policy.Error, policy.Overloaded, policy.NotSent, policy.NotSent, policy.Error},
		},
		{
			"missing and unreadable items", 200, "", `[{"id":"a","state":"ok"},7,{"id":3},{"id":"f","state":"ok"}]`,
			[]policy.Outcome{policy.OK, policy.Error, policy.Error, policy.Error, policy.Error, policy.OK},
		},
		{"unreadable", 200, "", `{`, slices.Repeat([]policy.Outcome{policy.Error}, 6)},
		{"all rejected", 429, "1.5", ``, slices.Repeat([]policy.Outcome{policy.Overloaded}, 6)},
		{"all failed", 500, "", ``, slices.Repeat([]policy.Outcome{policy.Error}, 6)},
		{
			"a Retry-After with deliveries", 200, "1.5", `[{"id":"a","state":"ok"}]`,
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
				if c.retryAfter != "" {
					w.Header().Set("Retry-After", c.retryAfter)
				}
				w.WriteHeader(c.status)
				nettest.Send(w, c.response)
			}))
			defer s.Close()
			results := doCall(t, newTestClient(t, testConfig()), newCall(addrOf(s), ids...))
			for i, r := range results {
				if r.Outcome != c.want[i] || r.MessageEnded != (c.name == "every state" && i == 3) {
					t.Errorf("%s: %+v, want %v", ids[i], r, c.want[i])
				}
				if (r.RetryAfter > 0) != (c.retryAfter != "") {
					t.Errorf("%s: retry after %v", ids[i], r.RetryAfter)
				}
			}
		})
	}
}

func TestBatchResponseMustBeComplete(t *testing.T) {
	addr, _ := nettest.RawServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		nettest.Send(conn, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n[{\"id\":\"a\",\"state\":\"ok\"}")
		return false
	})
	for i, r := range doCall(t, newTestClient(t, testConfig()), newCall(addr, "a", "b")) {
		if r.Outcome != policy.Reset {
			t.Errorf("attempt %d: outcome %v, want a reset", i, r.Outcome)
		}
	}
	if r := doCall(t, newTestClient(t, testConfig()), newCall(addr, "a")); r[0].Outcome != policy.OK {
		t.Errorf("a single message with status 200: outcome %v", r[0].Outcome)
	}
}

// Bytes that follow a response must not be taken for the response to the next call.
func TestBytesBehindResponseAnswerNoOtherCall(t *testing.T) {
	const busy = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
	for _, trailing := range []string{nettest.OKResponse, busy, "noise", "\r\n"} {
		for _, late := range []bool{false, true} {
			addr, _ := nettest.RawServer(t, func(n int, conn net.Conn, _ *http.Request) bool {
				switch {
				case n > 1:
					nettest.Send(conn, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
				case late:
					nettest.Send(conn, nettest.OKResponse)
					nettest.Send(conn, trailing)
				default:
					nettest.Send(conn, nettest.OKResponse+trailing)
				}
				return true
			})
			client := newTestClient(t, testConfig())
			if r := doCall(t, client, newCall(addr, "a")); r[0].Outcome != policy.OK {
				t.Fatalf("%q: outcome %v", trailing, r[0].Outcome)
			}
			nettest.Eventually(t, "the connection is closed", func() bool { return openConns(client) == 0 })
			if r := doCall(t, client, newCall(addr, "b")); r[0].Outcome != policy.Error {
				t.Errorf("%q after the first response: second call %v, want an error", trailing, r[0].Outcome)
			}
		}
	}
}

// A connection with bytes behind a response that would leave it in use carries no other call.
func TestBytesBehindBatchResponseEndTheConnection(t *testing.T) {
	for _, late := range []bool{false, true} {
		addr, _ := nettest.RawServer(t, func(n int, conn net.Conn, r *http.Request) bool {
			response := okBatch(t, r)
			switch {
			case n > 1:
				nettest.Send(conn, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
			case late:
				nettest.Send(conn, response)
				nettest.Send(conn, response)
			default:
				nettest.Send(conn, response+response)
			}
			return true
		})
		client := newTestClient(t, testConfig())
		if r := doCall(t, client, newBatchCall(addr, "a")); r[0].Outcome != policy.OK {
			t.Fatalf("late %v: outcome %v", late, r[0].Outcome)
		}
		nettest.Eventually(t, "the connection is closed", func() bool { return openConns(client) == 0 })
		if r := doCall(t, client, newBatchCall(addr, "b")); r[0].Outcome != policy.Error {
			t.Errorf("late %v: second call %v, want an error", late, r[0].Outcome)
		}
	}
}

// A message may have run if its response is malformed. A single message counts as delivered if the status line says
// 200. In all cases the call ends before its deadline, and its connection is closed.
func TestMalformedResponses(t *testing.T) {
	const okHeader = "HTTP/1.1 200 OK\r\nContent-Length: "
	for _, c := range []struct {
		name     string
		response string
		single   policy.Outcome
		batch    policy.Outcome
	}{
		{"noise", "\x00\x17\xff\x03 what\r\n\r\n", policy.Reset, policy.Reset},
		{"endless noise", strings.Repeat("\xfe", 20_000), policy.Reset, policy.Reset},
		{"part of a line", "HTTP/1.1 2", policy.Reset, policy.Reset},
		{"broken header", "HTTP/1.1 200 OK\r\nno colon\r\n\r\n", policy.OK, policy.Reset},
		{"broken header of an error", "HTTP/1.1 503 Busy\r\nno colon\r\n\r\n", policy.Reset, policy.Reset},
		{
			"endless header", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-More: and more\r\n", 2000),
			policy.OK, policy.Reset,
		},
		{"incomplete header", "HTTP/1.1 200 OK\r\nX-More: and", policy.OK, policy.Reset},
		{"negative length", okHeader + "-1\r\n\r\n", policy.OK, policy.Reset},
		{"two lengths", okHeader + "5\r\nContent-Length: 7\r\n\r\n", policy.OK, policy.Reset},
		{"too long", okHeader + "500\r\n\r\n[]", policy.OK, policy.Reset},
		{"too short", okHeader + "1\r\n\r\n[]", policy.OK, policy.Error},
		{"3 GB", okHeader + "3000000000\r\n\r\n[", policy.OK, policy.Reset},
		{"a rejection of 3 GB", "HTTP/1.1 503 Busy\r\nContent-Length: 3000000000\r\n\r\n[", policy.Reset, policy.Reset},
		{"endless chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
			strings.Repeat("1000\r\n"+strings.Repeat(" ", 0x1000)+"\r\n", 40), policy.OK, policy.Reset},
		{"only 1xx responses", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100), policy.Reset, policy.Reset},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			addr, _ := nettest.RawServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
				nettest.Send(conn, c.response) // and the connection stays open
				return true
			})
			client := newTestClient(t, testConfig())
			for _, ids := range [][]string{{"a"}, {"a", "b"}} {
				want := c.single
				if len(ids) > 1 {
					want = c.batch
				}
				call := newCall(addr, ids...)
				for _, r := range doCall(t, client, call) {
					if r.Outcome != want {
						t.Errorf("%d messages: outcome %v, want %v", len(ids), r.Outcome, want)
					}
				}
				if time.Now().After(call.Deadline) {
					t.Error("the call ended only at its deadline")
				}
				if openConns(client) > 0 {
					t.Errorf("%d messages: the connection was not closed", len(ids))
				}
			}
		})
	}
}

// 1xx responses before the final response are skipped, and their connection can be reused.
func TestInformationalResponses(t *testing.T) {
	addr, _ := nettest.RawServer(t, func(_ int, conn net.Conn, r *http.Request) bool {
		const informational = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
		nettest.Send(conn, informational+okBatch(t, r))
		return true
	})
	client := newTestClient(t, testConfig())
	for _, id := range []string{"a", "b"} {
		r := doCall(t, client, newBatchCall(addr, id))
		if n := openConns(client); r[0].Outcome != policy.OK || n != 1 {
			t.Errorf("outcome %v, %d connections", r[0].Outcome, n)
		}
	}
}

// Invalid load reports are ignored, so that they never reach the policy.
func TestOddLimitReports(t *testing.T) {
	client := newTestClient(t, testConfig())
	for _, text := range []string{
		"", "TEXT", "x1=25", "TEXT x1", "TEXT x1=", "TEXT x1=NaN", "TEXT x1=Inf", "TEXT x1=-Inf", "TEXT x1=-3",
		"TEXT x1=1e300", "TEXT x1=0x", "TEXT y=3", "TEXT x0=nan",
	} {
		if r := client.parseLimitReport(text); r != (policy.LimitReport{}) {
			t.Errorf("%q: %+v", text, r)
		}
	}
}

// readConn is a connection whose input comes from r. It is not a socket, so it has no receive buffer to check.
type readConn struct {
	net.Conn
	r io.Reader
}

func (readConn) SetReadDeadline(time.Time) error { return nil }

func (c readConn) Read(b []byte) (int, error) { return c.r.Read(b) }

// Whatever an endpoint responds, the size of the returned body and the parsed values stay within their limits.
func FuzzResponses(f *testing.F) {
	f.Add([]byte(nettest.OKResponse), true)
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n"+nettest.OKResponse+nettest.OKResponse), false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n[{\"id\":\"a\"}]"), true)
	f.Fuzz(func(t *testing.T, data []byte, batch bool) {
		conn := &pooledConn{Conn: netconn.New(readConn{r: bytes.NewReader(data)}), pool: &pool{}}
		request, err := newRequest(newCall("x:1", "a"), false)
		if err != nil {
			t.Fatal(err)
		}
		read := readResponse(conn, request, batch)
		if read.err == nil && (read.header == nil || conn.Buffered() > 0) {
			t.Errorf("%q: the connection counts as reusable", data)
		}
		if len(read.body) > netconn.MaxBodySize {
			t.Errorf("body of %d bytes returned", len(read.body))
		}
		if read.header == nil {
			return
		}
		client := &Client{reportFields: []string{"x0", "x1"}}
		result := client.readFeedback(read.header)
		inRange := result.LimitReport.Limit >= 0 && result.LimitReport.Limit <= maxReportedValue // false for NaN
		if !inRange || result.RetryAfter < 0 {
			t.Errorf("%q: %+v", data, result)
		}
	})
}
