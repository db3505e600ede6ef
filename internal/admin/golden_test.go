package admin

import (
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/fleet"
	"cherrytrestle.example/cherrytrestle/internal/metrics"
	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

var update = flag.Bool("update", false, "write the golden files anew")

// Every answer of the second address: status, type and body, with every figure that there is.
func TestGoldenAnswers(t *testing.T) {
	var counted metrics.Registry
	for i, end := range []metrics.Result{metrics.Completed, metrics.Rejected, metrics.Failed} {
		for range i + 1 {
			counted.CountResult("order", end)
		}
	}
	counted.UpstreamRequests.Store(11)
	counted.Reloads.Store(12)
	counted.ReloadErrors.Store(13)
	counted.Pending.Store(14)
	counted.Members.Store(15)
	counted.UnavailableMembers.Store(16)
	ready := true
	var member fleet.Member
	server := Server{
		Ready:   func() bool { return ready },
		Metrics: func(w io.Writer) { counted.WriteTo(w) },
		Fleet:   member.WriteJSON, Log: slog.New(slog.DiscardHandler),
	}
	var text strings.Builder
	ask := func(path string) {
		answer := httptest.NewRecorder()
		server.Handler().ServeHTTP(answer, httptest.NewRequest("GET", path, nil))
		fmt.Fprintf(&text, "GET %s\n%d %s\n%s\n", path, answer.Code, answer.Header().Get("Content-Type"), answer.Body)
	}
	for _, path := range []string{"/v1/readyz", "/v1/metrics", "/v1/fleet", "/v1/other"} {
		ask(path)
	}
	ready = false
	ask("/v1/readyz")
	server.Fleet = nil
	ask("/v1/fleet")
	golden.Check(t, *update, "answers.txt", []byte(text.String()))
}
