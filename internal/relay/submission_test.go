package relay

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

// A request that cannot be parsed or is invalid is answered with an error and never reaches the loop.
func TestBadRequestsGoNoFurther(t *testing.T) {
	hidden := requestText("hidden")
	chunked := func(proto string) string {
		body := "0\r\n\r\n" + hidden
		return fmt.Sprintf("POST /order %s\r\nHost: x\r\nConnection: keep-alive\r\nX-Trace-Id: a\r\nX-Qos: order\r\n"+
			"X-Customer: bolt\r\nIdempotency-Key: k\r\nEnvelope: dest=7\r\nX-Expires-In-Ms: 5000\r\n"+
			"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", proto, len(body), body)
	}
	good := requestText("a")
	for name, c := range map[string]struct {
		text string
		want int
	}{
		"Content-Length and chunked":           {chunked("HTTP/1.1"), 400},
		"Content-Length and chunked, HTTP/1.0": {chunked("HTTP/1.0"), 400},
		"two values of Content-Length": {
			requestText("a", "Content-Length: 4", "Content-Length: 4\r\nContent-Length: 5"), 400,
		},
		"noise":         {"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400},
		"half a header": {good[:60], 400},
		"half a body":   {good[:len(good)-2], 400},
		"a header without end": {
			"POST /order HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("X-More: and more\r\n", 4000), 431,
		},
		"a line without end":      {"POST /" + strings.Repeat("o", 100_000), 431},
		"negative length":         {requestText("a", "Length: 4", "Length: -4"), 400},
		"huge length":             {requestText("a", "Length: 4", "Length: 99999999999999999999"), 400},
		"large length":            {requestText("a", "Length: 4", "Length: 3000000000"), 413},
		"short length":            {requestText("a", "Length: 4", "Length: 3"), 400},
		"unknown class":           {requestText("a", "/order", "/other", "Qos: order", "Qos: other"), 400},
		"no id":                   {requestText(""), 400},
		"an id that is not UTF-8": {requestText("a\xff"), 400},
		"a key that is not UTF-8": {requestText("a", "Idempotency-Key: ", "Idempotency-Key: \xff"), 400},
		"an order not UTF-8":      {requestText("a", "/order", "/order?key=%ff"), 400},
		"too many fields": {
			requestText("a", "X-Qos", strings.Repeat("X-More: a\r\n", 100)+"X-Qos"), 431,
		},
		"two ids":                 {requestText("a", "X-Qos", "X-Trace-Id: b\r\nX-Qos"), 400},
		"a deadline in words":     {requestText("a", "5000", "soon"), 400},
		"time above the deadline": {requestText("a", "5000", "5000000"), 400},
		"no length":               {requestText("a", "Content-Length: 4\r\n", ""), 400},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newTestRelay(t)
			conn := nettest.Dial(t, serveClients(t, r), "")
			go func() { // the relay may reject the request before all of it is written
				nettest.Send(conn, c.text)
				nettest.CloseWrite(conn)
			}()
			responses := bufio.NewReader(conn)
			if response := nettest.ReadResponse(t, responses); response.StatusCode != c.want {
				t.Errorf("status %d, want %d", response.StatusCode, c.want)
			}
			nettest.ExpectEnd(t, name, responses)
			if n := len(r.events); n > 0 {
				t.Errorf("%d events reached the loop", n)
			}
		})
	}
}

// A message to a destination that no list has named is rejected and never reaches the policy, which would keep
// state for the destination.
func TestUnknownDestinationsAreRejected(t *testing.T) {
	r := newTestRelay(t)
	answers := bufio.NewReader(nettest.Dial(t, serveClients(t, r), requestText("a", "dest=7", "dest=8")))
	nextEvent(t, r)
	if res := nettest.ReadResponse(t, answers); res.StatusCode != http.StatusBadRequest || len(r.messages) > 0 {
		t.Errorf("status %d, %d messages", res.StatusCode, len(r.messages))
	}
}

// After a bad request that was read to its end, the connection serves further requests.
func TestConnOutlastsBadRequest(t *testing.T) {
	r := newTestRelay(t)
	conn := nettest.Dial(t, serveClients(t, r), requestText("a", "X-Qos: order", "X-Qos: what"))
	responses := bufio.NewReader(conn)
	if response := nettest.ReadResponse(t, responses); response.StatusCode != http.StatusBadRequest {
		t.Errorf("status %d", response.StatusCode)
	}
	nettest.Send(conn, requestText("b"))
	stepUntil(t, r, "message b is accepted", func() bool { return r.messagesByTrace["b"] != nil })
	if response := nettest.ReadResponse(t, responses); response.StatusCode != http.StatusAccepted {
		t.Errorf("status %d", response.StatusCode)
	}
}
