package discovery

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// emptyList is a full list without entries.
const emptyList = `{"version":9,"full":true,"servers":[]}`

// testParser returns a parser with the zones and kinds that the lists in the tests use.
func testParser() *Parser {
	return &Parser{Zones: []string{"a", "b"}, Kinds: []string{"platform", "gateway", "store"}}
}

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

func addrOf(s *httptest.Server) string { return s.Listener.Addr().String() }

// newServer starts a server that runs until the test ends.
func newServer(t *testing.T, handler http.HandlerFunc) *httptest.Server {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return s
}

// send writes a text to a client and flushes it. It ignores errors: they mean that the client has closed the
// connection, which ends the request anyway.
func send(w http.ResponseWriter, text string) {
	_, _ = io.WriteString(w, text)
	w.(http.Flusher).Flush()
}

// start runs a watcher until the test ends.
func start(t *testing.T, w *Watcher) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
}
