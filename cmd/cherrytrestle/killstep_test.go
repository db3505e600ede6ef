package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/store"
	"cherrytrestle.example/cherrytrestle/internal/state/store/faultfs"
)

// killVariable names the step at which a relay of the tests kills itself.
const killVariable = "CHERRYTRESTLE_TEST_KILL"

// killStep is a step at which a relay kills itself, and the faults of its journal's files.
type killStep struct {
	At   int  // number of the call to the files, from 1; 0: never
	Torn bool // a write is cut in the middle
	Late bool // writes reach the files late
}

// serveUntilKilled runs a relay whose journal uses a faultfs.Killer for its files. step is a killStep in JSON.
func serveUntilKilled(step string) {
	var k killStep
	if err := json.Unmarshal([]byte(step), &k); err != nil {
		panic(err)
	}
	relay := serveCommand{
		wrapJournalFS: func(fs store.FS) store.FS {
			return &faultfs.Killer{FS: fs, KillAt: k.At, TornWrite: k.Torn, DelayWrites: k.Late}
		},
	}
	if err := relay.Run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// setKillStep sets the step at which the relay's next processes kill themselves.
func (r *relayProcess) setKillStep(k killStep) {
	r.t.Helper()
	step, err := json.Marshal(k)
	must(r.t, err)
	r.env = []string{killVariable + "=" + string(step)}
}

// gatedEndpoint answers no call until its gate is closed.
type gatedEndpoint struct {
	*fakeEndpoint
	gate     chan struct{}
	answered sync.Map // ids of the messages in answered calls
}

func newGatedEndpoint(t *testing.T) *gatedEndpoint {
	gated := &gatedEndpoint{gate: make(chan struct{})}
	gated.fakeEndpoint = newEndpoint(t, func(_ http.ResponseWriter, r *http.Request, ids []string) {
		select {
		case <-gated.gate:
			for _, id := range ids {
				gated.answered.Store(id, true)
			}
		case <-r.Context().Done():
		}
	})
	return gated
}

// runKilledAt submits messages that the endpoint does not answer to a relay with the faults of first, kills it, starts
// it twice so that it kills itself at the step during its recovery, and lets the next process recover. It returns what
// was wrong, and whether the recovery had such a step.
func runKilledAt(t *testing.T, first, step killStep) (wrong []string, reached bool) {
	t.Helper()
	platform := newPlatform(t)
	endpoint := newGatedEndpoint(t)
	r := newRelay(t, platform, endpoint.list(singleKind, "ready"), func(set map[string]any) {
		withPayments(set)
		setMaxInFlightCalls(set, 40)
	})
	r.kill()
	r.setKillStep(first)
	r.start(platform)
	accepted := submitBothClasses(r, fmt.Sprintf("%d-%v", step.At, step.Torn))
	eventually(r.t, "calls in flight", func() bool { return endpoint.count(accepted[len(accepted)-1]) > 0 })
	r.kill()
	r.setKillStep(step)
	for range 2 {
		reached = killDuringRecovery(r, platform, endpoint, accepted)
	}
	r.env = nil
	close(endpoint.gate)
	r.start(platform)
	timeout := conditionTimeout
	if first.Late {
		timeout = 2 * time.Second // messages are expected to be lost
	}
	wrong = violationsAfter(platform, endpoint, accepted, timeout)
	r.kill()
	return wrong, reached
}

// submitBothClasses submits messages of both classes, and returns the accepted ones.
func submitBothClasses(r *relayProcess, name string) []string {
	var accepted []string
	for i := range 8 {
		class := []string{"order", "pay"}[i%2]
		id := fmt.Sprintf("%s-%s-%d", class, name, i)
		if status, _ := r.submit(id, 12*time.Second, withClass(class)); status == http.StatusAccepted {
			accepted = append(accepted, id)
		}
	}
	return accepted
}

// killDuringRecovery starts a relay that kills itself at a step. It returns whether it did so before each message was
// sent again or had ended; otherwise it kills the relay then.
func killDuringRecovery(r *relayProcess, platform *fakePlatform, endpoint *gatedEndpoint, accepted []string) bool {
	calls := map[string]int{}
	for _, id := range accepted {
		calls[id] = endpoint.count(id)
	}
	waits := func(id string) bool { return endpoint.count(id) <= calls[id] && platform.notification(id) == nil }
	r.launch(platform)
	ended := make(chan struct{})
	go func() {
		_ = r.cmd.Wait() // the signal is its error
		close(ended)
	}()
	reached := false
	eventually(r.t, "the step, or the end of the recovery", func() bool {
		select {
		case <-ended:
			reached = true
		default:
		}
		return reached || !slices.ContainsFunc(accepted, waits)
	})
	_ = r.cmd.Process.Kill() // it may have ended
	<-ended
	r.client.CloseIdleConnections()
	return reached
}

// violationsAfter waits until there are no violations. It returns those that there still are after the timeout.
func violationsAfter(
	platform *fakePlatform, endpoint *gatedEndpoint, accepted []string, timeout time.Duration,
) []string {
	for end := time.Now().Add(timeout); ; time.Sleep(2 * time.Millisecond) {
		wrong := violations(platform, endpoint, accepted)
		if len(wrong) == 0 || time.Now().After(end) {
			return wrong
		}
	}
}

// violations describes the messages that were lost, and the payments that ran twice.
func violations(platform *fakePlatform, endpoint *gatedEndpoint, accepted []string) []string {
	var wrong []string
	for _, id := range accepted {
		if _, ok := endpoint.answered.Load(id); !ok && platform.notification(id) == nil {
			wrong = append(wrong, id+" was lost")
		}
		if endpoint.count(id) > 1 && strings.HasPrefix(id, "pay") {
			wrong = append(wrong, id+" ran twice")
		}
	}
	return wrong
}

// TestKilledAtEachStepOfRecovery kills a relay twice at the same step of its recovery, for each step: before each call
// to the journal's files, and in the middle of each write. Each accepted message ends, and no payment runs twice.
func TestKilledAtEachStepOfRecovery(t *testing.T) {
	last := 0
	for _, torn := range []bool{false, true} {
		for at := 1; ; at++ {
			step := killStep{At: at, Torn: torn}
			wrong, reached := runKilledAt(t, killStep{}, step)
			if len(wrong) > 0 {
				t.Errorf("killed at %+v: %v", step, wrong)
			}
			if !reached {
				break
			}
			last = max(last, at)
		}
	}
	t.Logf("%d steps", last)
	if last < 20 {
		t.Errorf("a recovery of %d steps: the test shows little", last)
	}
}

// TestLateJournalWriteIsDetected shows that runKilledAt can fail: it finds a violation if a relay writes its journal
// only after the action that the record is for, because the last write is lost with the process.
func TestLateJournalWriteIsDetected(t *testing.T) {
	for at := 1; at <= 10; at++ {
		if wrong, _ := runKilledAt(t, killStep{Late: true}, killStep{At: at}); len(wrong) > 0 {
			t.Logf("%v", wrong)
			return
		}
	}
	t.Error("it keeps the rules")
}
