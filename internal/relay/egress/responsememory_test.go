package egress

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/memory"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/policy"
)

// TestLargeResponsesWithoutMemory has an endpoint answer while no memory for large responses is left. Small responses
// count as always. Of a large one only the status line counts, and a batch may have run.
func TestLargeResponsesWithoutMemory(t *testing.T) {
	fields := "\r\nX: " + strings.Repeat("p", 12000) + "\r\nContent-Length: 0\r\n\r\n"
	body := `[{"id":"a","state":"ok"},{"id":"` + strings.Repeat("x", 20000) + `","state":"ok"}]`
	batch := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for _, c := range []struct {
		name, response string
		batch          bool
		want           policy.Outcome
	}{
		{"small", nettest.OKResponse, false, policy.OK},
		{"large header, delivered", "HTTP/1.1 200 OK" + fields, false, policy.OK},
		{"large header, rejected", "HTTP/1.1 503 Service Unavailable" + fields, false, policy.Reset},
		{"large batch", batch, true, policy.Reset},
	} {
		t.Run(c.name, func(t *testing.T) {
			budget := memory.NewBudget(64 << 20)
			limit := budget.Limit(memory.Responses)
			budget.Add(memory.Responses, limit)
			addr, _ := nettest.RawServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
				nettest.Send(conn, c.response)
				return true
			})
			config := testConfig()
			config.Budget = budget
			client := newTestClient(t, config)
			call := newCall(addr, "a")
			call.Batch = c.batch
			results := client.Do(t.Context(), call, func() []*Attempt { return call.Attempts })
			if len(results) != 1 || results[0].Outcome != c.want {
				t.Errorf("results %+v, want %v", results, c.want)
			}
			if used := budget.Used(memory.Responses); used != limit {
				t.Errorf("%d bytes reserved after the call, %d before", used, limit)
			}
		})
	}
}
