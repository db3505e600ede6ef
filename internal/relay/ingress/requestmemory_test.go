package ingress

import (
	"bufio"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/memory"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

// halfPost returns a request whose second half is missing.
func halfPost(size string, sent int) string {
	return "POST /order HTTP/1.1\r\nHost: x\r\nContent-Length: " + size + "\r\n\r\n" + strings.Repeat("b", sent)
}

// newBudgetServer returns a server with a budget for about two large requests, and the budget.
func newBudgetServer() (*Server, *memory.Budget) {
	budget := memory.NewBudget(2 << 20)
	s := New(Config{MaxConns: 64, Handler: answerAll, Budget: budget, Log: slog.New(slog.DiscardHandler)})
	return s, budget
}

// TestStalledRequestsGiveWay fills the memory for requests with incomplete ones. A large complete request gets the
// memory of one of them, whose client is asked to come again, and small requests are served all the time.
func TestStalledRequestsGiveWay(t *testing.T) {
	s, budget := newBudgetServer()
	addr := serve(t, s)
	var stalled []*bufio.Reader
	for range 2 {
		stalled = append(stalled, bufio.NewReader(nettest.Dial(t, addr, halfPost("65536", 50000))))
	}
	nettest.Eventually(t, "the memory is used up", func() bool {
		return budget.Limit(memory.ClientRequests)-budget.Used(memory.ClientRequests) < 64<<10
	})
	small := bufio.NewReader(nettest.Dial(t, addr, postText))
	if response := nettest.ReadResponse(t, small); response.StatusCode != http.StatusAccepted {
		t.Errorf("a small request: status %d", response.StatusCode)
	}
	time.Sleep(memoryWait) // the others count as stalled only after this time
	conn := nettest.Dial(t, addr, halfPost("65536", 65536))
	if response := nettest.ReadResponse(t, bufio.NewReader(conn)); response.StatusCode != http.StatusAccepted {
		t.Errorf("a large request: status %d", response.StatusCode)
	}
	response := nettest.ReadResponse(t, stalled[0])
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("the oldest stalled request: status %d, want 503 with Retry-After", response.StatusCode)
	}
}

// TestRequestMemoryIsReleased checks that nothing stays reserved once all connections have ended.
func TestRequestMemoryIsReleased(t *testing.T) {
	s, budget := newBudgetServer()
	addr := serve(t, s)
	for _, text := range []string{"", postText, halfPost("60000", 40000), halfPost("60000", 60000), "noise\r\n\r\n"} {
		for range 3 {
			conn := nettest.Dial(t, addr, text)
			if text == postText {
				nettest.ReadResponse(t, bufio.NewReader(conn))
			}
			nettest.Close(conn)
		}
	}
	nettest.Eventually(t, "all memory is released", func() bool {
		return budget.Used(memory.ClientRequests) == 0 && budget.Used(memory.ClientConnections) == 0
	})
}

// TestAnsweredConnOutlivesIncompleteRequests guards against closing the idle connections of clients that are served
// while connections whose first request is incomplete stay open.
func TestAnsweredConnOutlivesIncompleteRequests(t *testing.T) {
	s := newTestServer(4, answerAll)
	s.maxKeptConns = 4
	addr := serve(t, s)
	conn := nettest.Dial(t, addr, postText)
	served := bufio.NewReader(conn)
	nettest.ReadResponse(t, served)
	for range 12 {
		nettest.Dial(t, addr, halfPost("100", 50))
	}
	for range 3 {
		if _, err := io.WriteString(conn, postText); err != nil {
			t.Fatal(err)
		}
		if response := nettest.ReadResponse(t, served); response.StatusCode != http.StatusAccepted || response.Close {
			t.Errorf("status %d, closing %v", response.StatusCode, response.Close)
		}
	}
}

// TestFailedAcceptReservesNothing guards against memory that stays reserved for connections that were never accepted.
func TestFailedAcceptReservesNothing(t *testing.T) {
	listener := &failingListener{Listener: nettest.Listen(t), failures: []syscall.Errno{syscall.EMFILE, syscall.EMFILE}}
	s, budget := newBudgetServer()
	t.Cleanup(func() {
		nettest.Close(listener)
		s.Close(time.Now())
	})
	conn := nettest.Dial(t, listener.Addr().String(), postText)
	go s.Serve(listener)
	nettest.ReadResponse(t, bufio.NewReader(conn))
	nettest.Close(conn)
	nettest.Eventually(t, "all memory is released", func() bool { return budget.Used(memory.ClientConnections) == 0 })
}
