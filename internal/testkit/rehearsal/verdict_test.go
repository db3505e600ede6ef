package rehearsal

import (
	"context"
	"os"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
)

const drainAndSuspension = `
[[trouble]]
kind = "drain"
at = "1s"
share = 0.5
drain = "4s"

[[trouble]]
kind = "shut"
at = "500ms"
for = "1500ms"
destinations = [1]
`

// A backlog for a destination that recovers with little capacity: the bad relay calls it at once, and again and again.
const backlogOfRecovery = `
[[traffic]]
from = "1s"
to = "6s"
rate = 60
destinations = [1]

[[trouble]]
kind = "shut"
at = "1s"
for = "2s"
destinations = [1]
`

// The whole kit finds of real processes which rule each violates, and finds nothing of the same process that violates
// none.
func TestBadRelaysViolateTheirRule(t *testing.T) {
	for _, c := range []struct {
		mode badMode
		want checker.Rule // the only one that is violated; "": none
	}{
		{modeNone, ""},
		{modeLoseMessages, checker.NoMessageLost},
		{modeDeliverTwice, checker.NoDuplicateEffect},
		{modeIgnoreDraining, checker.DrainRespected},
		{modeIgnoreWait, checker.RetryAfterRespected},
		{modeReorder, checker.OrderKept},
		{modeOverload, checker.RecoveryNotOverloaded},
	} {
		t.Run(string(c.mode), func(t *testing.T) {
			t.Parallel()
			checkViolatedRule(t, runWithBadRelay(t, c.mode), c.want)
		})
	}
}

func runWithBadRelay(t *testing.T, mode badMode) checker.Result {
	t.Helper()
	faults := drainAndSuspension
	if mode == modeOverload {
		faults = backlogOfRecovery
	}
	f := parse(t, "7s", 1, faults)
	f.Settings.MaxConcurrentCalls = 1000
	if mode == modeOverload {
		f.DestinationKinds[0].RetryAfterRatio = 0
		f.DestinationKinds[0].WarmUpInitialCapacity = 0.05
	}
	dir := t.TempDir()
	result, err := Run(context.Background(), f, Options{Dir: dir, Binary: badRelayScript(t, mode)})
	if err != nil {
		t.Fatal(err)
	}
	checkNoProcessLeft(t, dir)
	return result.Verdict
}

// badRelayScript returns a program that runs this test binary as a bad relay; see TestMain.
func badRelayScript(t *testing.T, mode badMode) string {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return script(t, badModeVariable+"="+string(mode)+" exec "+self)
}

func checkViolatedRule(t *testing.T, verdict checker.Result, want checker.Rule) {
	t.Helper()
	for _, rule := range verdict.Rules {
		if (rule.State == checker.Violated) != (rule.Rule == want) {
			t.Errorf("%s: %s %d of %d; want only %q violated; %.3v", rule.Rule, rule.State,
				rule.ViolationCount, rule.Exercised, want, rule.Violations[:min(2, len(rule.Violations))])
		}
	}
	if len(verdict.RunErrors)+len(verdict.InconclusiveReasons) > 0 {
		t.Errorf("errors of the run %v, inconclusive since %v", verdict.RunErrors, verdict.InconclusiveReasons)
	}
}
