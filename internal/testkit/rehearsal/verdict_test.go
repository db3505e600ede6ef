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

// A destination recovers with little capacity while there is a backlog of messages for it. In modeOverload, the relay
// sends the whole backlog at once and retries almost without a pause.
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

// Each badRelay runs as a real process. The checker must find exactly the rule that the relay violates, and nothing for
// the relay that keeps all rules.
func TestBadRelaysViolateTheirRule(t *testing.T) {
	for _, c := range []struct {
		mode badMode
		want checker.Rule // the only rule that is violated; "": none
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
		t.Errorf("run errors %v, inconclusive because %v", verdict.RunErrors, verdict.InconclusiveReasons)
	}
}
