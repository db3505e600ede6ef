package admin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startServer(t *testing.T, ready *atomic.Bool) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	s := Server{
		Ready:   ready.Load,
		Metrics: func(w io.Writer) { fmt.Fprintln(w, "router.pending:3|g") },
		Log:     slog.New(slog.DiscardHandler),
	}
	go func() { ended <- s.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("ended: %v", err)
		}
	})
	return l.Addr().String()
}

// sendRequest makes a call on a connection of its own.
func sendRequest(t *testing.T, addr, text string) (status int, body string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	io.WriteString(c, text)
	r := bufio.NewReader(c)
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	data, _ := io.ReadAll(res.Body)
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("the connection stays open: %v", err)
	}
	return res.StatusCode, string(data)
}

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

func TestAnswers(t *testing.T) {
	var ready atomic.Bool
	addr := startServer(t, &ready)
	for _, x := range []struct {
		text   string
		status int
		body   string
	}{
		{getRequest("/v1/readyz"), 503, "not ready\n"},
		{getRequest("/v1/metrics"), 200, "router.pending:3|g\n"},
		{getRequest("/v1/other"), 404, "404 page not found\n"},
		{"POST /v1/readyz HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 405, "Method Not Allowed\n"},
		{"noise\r\n\r\n", 400, "400 Bad Request"},
	} {
		if status, body := sendRequest(t, addr, x.text); status != x.status || body != x.body {
			t.Errorf("%q: %d %q", x.text, status, body)
		}
	}
	ready.Store(true)
	if status, _ := sendRequest(t, addr, getRequest("/v1/readyz")); status != 200 {
		t.Errorf("ready: %d", status)
	}
}

// Hundreds that say nothing, or half of a call, and stay: others have their answers, and none of the silent is held for
// good. Without the bound on connections or the deadline the last loop waits for ever.
func TestSilentClientsBlockNobody(t *testing.T) {
	var ready atomic.Bool
	ready.Store(true)
	addr := startServer(t, &ready)
	var silent []net.Conn
	for i := range 300 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "GET /v1/re")
		}
		silent = append(silent, c)
	}
	if status, _ := sendRequest(t, addr, getRequest("/v1/metrics")); status != 200 {
		t.Errorf("%d", status)
	}
	for i, c := range silent {
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		if _, err := io.Copy(io.Discard, c); err != nil {
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				t.Fatalf("connection %d is still open", i)
			}
		}
	}
}
