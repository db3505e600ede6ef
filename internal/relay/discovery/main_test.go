package discovery

import (
	"log/slog"
	"net/http/httptest"
	"time"
)

// patience is how long a test waits for what must come.
const patience = 10 * time.Second

// testParser knows the zones and kinds of the lists of these tests.
func testParser() *Parser {
	return &Parser{Zones: []string{"a", "b"}, Kinds: []string{"platform", "gateway", "store"}}
}

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

func addrOf(s *httptest.Server) string { return s.Listener.Addr().String() }
