package relay

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/policy"
)

// A host may go by the first message of a call, and answer once that one's time is over: what it then tells of the
// others is not certain, however whole it is. Here the answer comes as soon as the message with the least time has had
// its final answer.
func TestNoCallOutlastsItsFirstMessage(t *testing.T) {
	for _, order := range [][]string{{"short", "long", "middle"}, {"long", "short", "middle"}, {"middle", "short", "long"}} {
		t.Run(strings.Join(order, " "), func(t *testing.T) {
			left := map[string]time.Duration{
				"short":  400 * time.Millisecond,
				"middle": 8 * time.Second,
				"long":   10 * time.Second,
			}
			r := newTestRelay(t)
			given := make(chan struct{}) // the short one is given up on
			var mu sync.Mutex
			var first []string
			addr, _ := nettest.RawServer(t, func(_ int, conn net.Conn, req *http.Request) bool {
				var items []batchItem
				if err := json.NewDecoder(req.Body).Decode(&items); err != nil || len(items) != 3 {
					t.Errorf("%d messages, %v", len(items), err)
					return false
				}
				mu.Lock()
				first = append(first, items[0].ID)
				mu.Unlock()
				<-given
				text := `[{"id":"long","state":"ok"},{"id":"middle","state":"ok"},{"id":"short","state":"ok"}]`
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
				return true
			})
			r.catalog.Upsert(
				catalog.Endpoint{Endpoint: policy.Endpoint{ID: "s-1", Kind: 0, InService: true}, Addr: addr},
			)
			var ins []*submitEvent
			for i, id := range order {
				in := newHandIn(id, 7, left[id])
				in.message.OrderingKey = fmt.Sprint(i)
				ins = append(ins, in)
			}
			decide(r, ins...)
			settle(t, r, "the short one is given up on", func() bool {
				r.finals.mu.Lock()
				defer r.finals.mu.Unlock()
				return slices.ContainsFunc(r.finals.queue, func(n Notice) bool { return n.TraceID == "short" })
			})
			close(given)
			settle(
				t,
				r,
				"the others are over",
				func() bool { return r.messagesByTrace["long"] == nil && r.messagesByTrace["middle"] == nil },
			)
			mu.Lock()
			defer mu.Unlock()
			if !slices.Equal(first, []string{"long"}) {
				t.Errorf("calls led by %v: their answer came after that one's time", first)
			}
		})
	}
}

// The message with the most time may be over before the connection is up: the call is then no longer than what the rest
// has.
func TestACallIsNoLongerThanWhatStillLeaves(t *testing.T) {
	expires := make(chan string, 1)
	addr, _ := nettest.RawServer(t, func(_ int, _ net.Conn, req *http.Request) bool {
		expires <- req.Header.Get("X-Expires-In-Ms")
		return true
	})
	c := newCall(addr, "long", "short", "shorter")
	c.attempts[1].Deadline = time.Now().Add(400 * time.Millisecond)
	c.attempts[2].Deadline = time.Now().Add(200 * time.Millisecond)
	results := testHosts(t, testConfig()).Do(t.Context(), c, func(c *call) []*attempt { return c.attempts[1:] })
	if ms, err := strconv.Atoi(<-expires); err != nil || ms > 400 {
		t.Errorf("the call tells that it waits %d ms, %v", ms, err)
	}
	for i, want := range []policy.Outcome{policy.NotSent, policy.Timeout, policy.Timeout} {
		if results[i].Outcome != want {
			t.Errorf("%s: %v, want %v", c.attempts[i].m.TraceID, results[i].Outcome, want)
		}
	}
}
