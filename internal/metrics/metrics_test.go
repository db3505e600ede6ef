package metrics

import (
	"strings"
	"sync"
	"testing"
)

const wantText = `router.completed.a:100|c
router.rejected.a:1|c
router.failed.a:0|c
router.completed.b:0|c
router.rejected.b:0|c
router.failed.b:100|c
router.upstream_requests:200|c
router.pending:14|g
router.members:0|g
router.members_unavailable:0|g
router.config_reloads:0|c
router.config_reload_errors:1|c
router.connections_opened:0|c
router.connections_closed.keep_alive:0|c
router.connections_closed.peer:100|c
router.notifications_sent:0|c
router.notification_retries:7|c
router.client_connections:0|g
router.client_connections_opened:0|c
router.memory_resident:0|g
router.memory_peak:0|g
router.heap_bytes:0|g
router.gc_cycles:0|c
router.memory_reserved.calls:31|g
router.memory_refused.calls:2|c
`

// TestWriteTo counts and writes in many goroutines at once, then checks the totals and the order of the lines.
func TestWriteTo(t *testing.T) {
	var registry Registry
	registry.RegisterClass("b")
	registry.ConnectionsClosed.Add("keep_alive", 0)
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() {
			registry.CountResult("a", Completed)
			registry.CountResult("b", Failed)
			registry.UpstreamRequests.Add(2)
			registry.ConnectionsClosed.Add("peer", 1)
			if _, err := registry.WriteTo(&strings.Builder{}); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	registry.CountResult("a", Rejected)
	registry.Pending.Store(14)
	registry.ReloadErrors.Add(1)
	registry.NotificationRetries.Add(7)
	registry.MemoryReserved.Set("calls", 31)
	registry.MemoryRefused.Add("calls", 2)
	var text strings.Builder
	if _, err := registry.WriteTo(&text); err != nil {
		t.Fatal(err)
	}
	if text.String() != wantText {
		t.Errorf("got\n%s\nwant\n%s", text.String(), wantText)
	}
}
