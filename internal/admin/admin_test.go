package admin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startServer serves until the end of the test, and returns the server's address.
func startServer(t *testing.T, ready *atomic.Bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	s := Server{
		Ready: ready.Load,
		Metrics: func(w io.Writer) {
			_, _ = fmt.Fprintln(w, "router.pending:3|g") // fails only if the client has disconnected
		},
		Log: slog.New(slog.DiscardHandler),
	}
	go func() { served <- s.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		if err := <-served; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	return l.Addr().String()
}

// connect opens a connection and closes it at the end of the test.
func connect(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() }) // the test is over, so an error does not matter
	return c
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// sendRequest sends a request on a new connection, which the server must close after its answer.
func sendRequest(t *testing.T, address, text string) (status int, body string) {
	t.Helper()
	c := connect(t, address)
	must(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err := io.WriteString(c, text)
	must(t, err)
	reader := bufio.NewReader(c)
	response, err := http.ReadResponse(reader, nil)
	must(t, err)
	data, err := io.ReadAll(response.Body)
	must(t, err)
	if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection stays open: %v", err)
	}
	return response.StatusCode, string(data)
}

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

// TestAnswers checks the status and the body of each answer, and that the server closes the connection afterwards.
func TestAnswers(t *testing.T) {
	var ready atomic.Bool
	address := startServer(t, &ready)
	for name, c := range map[string]struct {
		request string
		status  int
		body    string
	}{
		"not ready": {getRequest("/v1/readyz"), http.StatusServiceUnavailable, "not ready\n"},
		"metrics":   {getRequest("/v1/metrics"), http.StatusOK, "router.pending:3|g\n"},
		"no path":   {getRequest("/v1/other"), http.StatusNotFound, "404 page not found\n"},
		"no method": {
			"POST /v1/readyz HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
			http.StatusMethodNotAllowed, "Method Not Allowed\n",
		},
		"no request": {"noise\r\n\r\n", http.StatusBadRequest, "400 Bad Request"},
	} {
		t.Run(name, func(t *testing.T) {
			if status, body := sendRequest(t, address, c.request); status != c.status || body != c.body {
				t.Errorf("%q: status %d, body %q", c.request, status, body)
			}
		})
	}
	ready.Store(true)
	if status, _ := sendRequest(t, address, getRequest("/v1/readyz")); status != http.StatusOK {
		t.Errorf("ready: status %d", status)
	}
}

// TestSilentClientsBlockNobody opens hundreds of connections on which clients send nothing or a part of a request. A
// complete request must still be answered, and the server must close all other connections. If neither the bound on
// connections nor the timeout closed them, the last loop would wait until its deadline and fail.
func TestSilentClientsBlockNobody(t *testing.T) {
	var ready atomic.Bool
	ready.Store(true)
	address := startServer(t, &ready)
	var silent []net.Conn
	for i := range 300 {
		c := connect(t, address)
		if i%2 == 0 {
			_, _ = io.WriteString(c, "GET /v1/re") // fails if the server has already closed c for a newer connection
		}
		silent = append(silent, c)
	}
	if status, _ := sendRequest(t, address, getRequest("/v1/metrics")); status != http.StatusOK {
		t.Errorf("metrics: status %d", status)
	}
	for i, c := range silent {
		must(t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
		_, err := io.Copy(io.Discard, c) // ends before the deadline only if the server has closed the connection
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("connection %d is still open", i)
		}
	}
}
