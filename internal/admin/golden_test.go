package admin

import (
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/fleet"
	"cherrytrestle.example/cherrytrestle/internal/metrics"
	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// goldenMetrics returns a registry in which every metric has a different value.
func goldenMetrics() *metrics.Registry {
	registry := &metrics.Registry{}
	for i, result := range []metrics.Result{metrics.Completed, metrics.Rejected, metrics.Failed} {
		for range i + 1 {
			registry.CountResult("order", result)
		}
	}
	registry.UpstreamRequests.Store(11)
	registry.Reloads.Store(12)
	registry.ReloadErrors.Store(13)
	registry.Pending.Store(14)
	registry.Members.Store(15)
	registry.UnavailableMembers.Store(16)
	registry.ConnectionsOpened.Store(17)
	registry.ConnectionsClosed.Add("peer", 18)
	registry.SurplusReceived.Add("idle", 19)
	registry.Attempts.Add("ok", 20)
	registry.NotificationsSent.Store(21)
	registry.NotificationRetries.Store(22)
	registry.ClientConnections.Store(23)
	registry.ClientConnectionsOpened.Store(24)
	registry.ClientConnectionsClosed.Add("client", 25)
	registry.RequestsRejected.Add("400", 26)
	registry.MemoryResident.Store(27)
	registry.MemoryPeak.Store(28)
	registry.HeapBytes.Store(29)
	registry.GCCycles.Store(30)
	registry.MemoryReserved.Set("calls", 31)
	registry.MemoryRefused.Add("calls", 32)
	return registry
}

// TestGoldenAnswers pins the status, content type and body of every answer, with every metric.
func TestGoldenAnswers(t *testing.T) {
	registry := goldenMetrics()
	ready := true
	var member fleet.Member
	server := Server{
		Ready: func() bool { return ready },
		Metrics: func(w io.Writer) {
			if _, err := registry.WriteTo(w); err != nil {
				t.Error(err)
			}
		},
		Fleet: member.WriteJSON,
		Log:   slog.New(slog.DiscardHandler),
	}
	var text strings.Builder
	get := func(path string) {
		answer := httptest.NewRecorder()
		server.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, path, nil))
		fmt.Fprintf(&text, "GET %s\n%d %s\n%s\n", path, answer.Code, answer.Header().Get("Content-Type"), answer.Body)
	}
	for _, path := range []string{"/v1/readyz", "/v1/metrics", "/v1/fleet", "/v1/other"} {
		get(path)
	}
	ready = false
	get("/v1/readyz")
	server.Fleet = nil
	get("/v1/fleet")
	golden.Check(t, *update, "answers.txt", []byte(text.String()))
}
