package relay

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/notify"
	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/policy"
)

// An endpoint may go by the first message of a call, and respond once that one's time is over: what it then says of the
// others is not certain, however complete it is. Here the response comes as soon as the message with the least time has
// had its final answer.
func TestNoCallOutlastsItsFirstMessage(t *testing.T) {
	for _, order := range [][]string{
		{"short", "long", "middle"},
		{"long", "short", "middle"},
		{"middle", "short", "long"},
	} {
		t.Run(strings.Join(order, " "), func(t *testing.T) { testFirstMessageOfCall(t, order) })
	}
}

// testFirstMessageOfCall submits messages in an order, and checks which one leads their call.
func testFirstMessageOfCall(t *testing.T, order []string) {
	timeLeft := map[string]time.Duration{
		"short":  400 * time.Millisecond,
		"middle": 8 * time.Second,
		"long":   10 * time.Second,
	}
	r := newTestRelay(t)
	shortEnded := make(chan struct{})
	var mu sync.Mutex
	var first []string
	addr, _ := nettest.RawServer(t, func(_ int, conn net.Conn, request *http.Request) bool {
		var items []struct{ ID string }
		if err := json.NewDecoder(request.Body).Decode(&items); err != nil || len(items) != 3 {
			t.Errorf("%d messages, %v", len(items), err)
			return false
		}
		mu.Lock()
		first = append(first, items[0].ID)
		mu.Unlock()
		<-shortEnded
		text := `[{"id":"long","state":"ok"},{"id":"middle","state":"ok"},{"id":"short","state":"ok"}]`
		nettest.Send(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text))
		return true
	})
	r.catalog.Upsert(catalog.Endpoint{Endpoint: policy.Endpoint{ID: "s-1", Kind: 0, InService: true}, Addr: addr})
	var submissions []*submitEvent
	for i, id := range order {
		submission := newHandIn(id, 7, timeLeft[id])
		submission.message.OrderingKey = fmt.Sprint(i)
		submissions = append(submissions, submission)
	}
	decide(r, submissions...)
	settle(t, r, "the short one has its final answer", func() bool {
		return slices.ContainsFunc(r.finals.Pending(), func(n notify.Notice) bool { return n.TraceID == "short" })
	})
	close(shortEnded)
	settle(t, r, "the others are over", func() bool {
		return r.messagesByTrace["long"] == nil && r.messagesByTrace["middle"] == nil
	})
	mu.Lock()
	defer mu.Unlock()
	if !slices.Equal(first, []string{"long"}) {
		t.Errorf("calls led by %v: their response came after that one's time", first)
	}
}
