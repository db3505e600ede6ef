package rehearsal

import (
	"context"
	"flag"
	"runtime"
	"strings"
	"testing"
)

var load = flag.Int("load", 0, "messages a second that TestLoad submits, from one core, for 10 s; 0: it is skipped")

// TestLoad measures how many messages a second the clients can submit from one core without being late. The relay is a
// process of its own that rejects all messages at once, so that only the load, the record and the clients work here.
func TestLoad(t *testing.T) {
	if *load == 0 {
		t.Skip("-load N measures it")
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
	t.Logf("%d submitted in 10 s, %d answered; late by %v at 99 %%; inconclusive since: %s",
		s.Submitted, s.Rejected, s.LoadLagP99, strings.Join(r.Verdict.InconclusiveReasons, "; "))
}
