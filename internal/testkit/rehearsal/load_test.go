package rehearsal

import (
	"context"
	"flag"
	"os"
	"runtime"
	"strings"
	"testing"
)

var load = flag.Int("load", 0, "messages a second that TestLoad hands in, from one core, for 10 s; 0: it is left out")

// How many messages a second the load side can hand in from one core without being late by itself. The relay is a
// process of its own that turns all away at once, so that only the load, the record and the clients work here.
func TestLoad(t *testing.T) {
	if *load == 0 {
		t.Skip("-load N measures it")
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	f := parse(t, "10s", 1, "")
	f.Traffic[0].Rate, f.Settings.MaxSockets = float64(*load), 4096
	*f.Clients.RetryRatio = 0
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	r, err := Run(
		context.Background(),
		f,
		Options{Dir: t.TempDir(), Binary: script(t, "REHEARSAL_BAD_RELAY=door exec "+self)},
	)
	if err != nil {
		t.Fatal(err)
	}
	s := r.Verdict.Service
	t.Logf(
		"%d handed in in 10 s, %d answered; late by %v at 99 %%; doubts: %s",
		s.Submitted,
		s.Rejected,
		s.LoadLagP99,
		strings.Join(r.Verdict.InconclusiveReasons, "; "),
	)
}
