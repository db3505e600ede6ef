package rehearsal

import (
	"context"
	"flag"
	"runtime"
	"strings"
	"testing"
)

var load = flag.Int("load", 0, "messages a second that TestLoad submits on one core for 10 s; 0: TestLoad is skipped")

// TestLoad measures how many messages a second the clients can submit on one core without falling behind the plan. The
// relay is a separate process that rejects all messages at once, so that this process only runs the clients and writes
// the record.
func TestLoad(t *testing.T) {
	if *load == 0 {
		t.Skip("run with -load N to submit N messages a second")
	}
	f := parse(t, "10s", 1, "")
	f.Traffic[0].Rate, f.Settings.MaxSockets = float64(*load), 4096
	*f.Clients.RetryRatio = 0
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	options := Options{Dir: t.TempDir(), Binary: badRelayScript(t, modeRejectAll)}
	r, err := Run(context.Background(), f, options)
	if err != nil {
		t.Fatal(err)
	}
	s := r.Verdict.Service
	t.Logf("%d submitted in 10 s, %d rejected; lag behind the plan %v at 99 %%; inconclusive because: %s",
		s.Submitted, s.Rejected, s.LoadLagP99, strings.Join(r.Verdict.InconclusiveReasons, "; "))
}
