package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// expectClosed reads what is left on a connection, to its end; a reset fails the test.
func expectClosed(t *testing.T, what string, r *bufio.Reader) {
	t.Helper()
	if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
		t.Errorf("%s: %d more bytes, then %v", what, len(rest), err)
	}
}

// What cannot be read, or cannot be, is answered and goes no further.
func TestBadRequestsAreRejected(t *testing.T) {
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
		"both lengths":            {chunked("HTTP/1.1"), 400},
		"both lengths, old":       {chunked("HTTP/1.0"), 400},
		"a length in two ways":    {requestText("a", "Content-Length: 4", "Content-Length: 4\r\nContent-Length: 5"), 400},
		"noise":                   {"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400},
		"half a head":             {good[:60], 400},
		"half a body":             {good[:len(good)-2], 400},
		"a head without end":      {"POST /order HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("X-More: and more\r\n", 4000), 431},
		"a line without end":      {"POST /" + strings.Repeat("o", 100_000), 431},
		"negative length":         {requestText("a", "Length: 4", "Length: -4"), 400},
		"huge length":             {requestText("a", "Length: 4", "Length: 99999999999999999999"), 400},
		"large length":            {requestText("a", "Length: 4", "Length: 3000000000"), 413},
		"short length":            {requestText("a", "Length: 4", "Length: 3"), 400},
		"no such class":           {requestText("a", "/order", "/other", "Qos: order", "Qos: other"), 400},
		"no id":                   {requestText(""), 400},
		"two ids":                 {requestText("a", "X-Qos", "X-Trace-Id: b\r\nX-Qos"), 400},
		"a deadline in words":     {requestText("a", "5000", "soon"), 400},
		"more time than there is": {requestText("a", "5000", "5000000"), 400},
		"no length":               {requestText("a", "Content-Length: 4\r\n", ""), 400},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newTestRelay(t)
			conn := dial(t, serveClients(t, r), "")
			go func() { // the relay may refuse before all is written
				io.WriteString(conn, c.text)
				conn.(*net.TCPConn).CloseWrite()
			}()
			answers := bufio.NewReader(conn)
			if res := readResponse(t, answers); res.StatusCode != c.want {
				t.Errorf("status %d, want %d", res.StatusCode, c.want)
			}
			expectClosed(t, name, answers)
			if n := len(r.events); n > 0 {
				t.Errorf("%d messages went on", n)
			}
		})
	}
}

// A destination that no list has named never reaches the module, which would keep it.
func TestUnknownDestinationsAreRejected(t *testing.T) {
	r := newTestRelay(t)
	answers := bufio.NewReader(dial(t, serveClients(t, r), requestText("a", "dest=7", "dest=8")))
	r.next()
	if res := readResponse(t, answers); res.StatusCode != http.StatusBadRequest || len(r.messages) > 0 {
		t.Errorf("status %d, %d messages", res.StatusCode, len(r.messages))
	}
}

// The answer is not lost with a connection that is reset under it, however much is still on its way.
func TestErrorResponsePrecedesClose(t *testing.T) {
	const size = 60 << 20
	addr := serveClients(t, newTestRelay(t))
	for _, length := range []string{fmt.Sprint(size), "x"} {
		conn := dial(t, addr, requestText("a", "Length: 4", "Length: "+length))
		for chunk := make([]byte, 1<<20); ; {
			n, err := conn.Write(chunk)
			if err != nil {
				t.Fatalf("after %d bytes: %v", n, err)
			}
			if length = length[min(len(length), 1):]; length == "" {
				break
			}
		}
		if _, err := io.CopyN(conn, zeros{}, size); err != nil {
			t.Fatalf("not read to its end: %v", err)
		}
		conn.(*net.TCPConn).CloseWrite()
		answers := bufio.NewReader(conn)
		if res := readResponse(t, answers); res.StatusCode != http.StatusRequestEntityTooLarge &&
			res.StatusCode != http.StatusBadRequest {
			t.Errorf("status %d", res.StatusCode)
		}
		expectClosed(t, "the rest", answers)
	}
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { clear(b); return len(b), nil }

// A bad request that has come whole costs a client no connection.
func TestConnectionSurvivesBadRequest(t *testing.T) {
	r := newTestRelay(t)
	conn := dial(t, serveClients(t, r), requestText("a", "X-Qos: order", "X-Qos: what"))
	answers := bufio.NewReader(conn)
	if res := readResponse(t, answers); res.StatusCode != http.StatusBadRequest {
		t.Errorf("status %d", res.StatusCode)
	}
	io.WriteString(conn, requestText("b"))
	stepUntil(t, r, "taken on", func() bool { return r.messagesByTrace["b"] != nil })
	if res := readResponse(t, answers); res.StatusCode != http.StatusAccepted {
		t.Errorf("status %d", res.StatusCode)
	}
}

// A connection on which nothing comes is closed within the 3 s that such a client is owed.
func TestSilentConnectionIsClosedInTime(t *testing.T) {
	began := time.Now()
	expectClosed(t, "silent", bufio.NewReader(dial(t, serveClients(t, newTestRelay(t)), "")))
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("closed after %v", took)
	}
}
