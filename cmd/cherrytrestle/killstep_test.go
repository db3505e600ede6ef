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

// killVariable is the environment variable that passes a killStep, in JSON, to a relay process of the tests.
const killVariable = "CHERRYTRESTLE_TEST_KILL"

// killStep specifies the call to its journal's files at which a relay kills itself, and the faults of the files.
type killStep struct {
	At   int  // number of the call to the files, from 1; 0: never
	Torn bool // if that call is a write, half of its data is written
	Late bool // a write reaches its file only with a later call
}

// serveUntilKilled runs a relay that kills itself at a step, a killStep in JSON. The relay's journal accesses its
// files through a faultfs.Killer.
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

// setKillStep makes each later process of the relay kill itself at a step.
func (r *relayProcess) setKillStep(k killStep) {
	r.t.Helper()
	step, err := json.Marshal(k)
	must(r.t, err)
	r.env = []string{killVariable + "=" + string(step)}
}

// gatedEndpoint is an endpoint that answers calls only after the channel gate has been closed.
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

// runKilledAt kills a relay, and then two of its recoveries at the same step:
//
//  1. A relay whose files have the faults of first accepts messages. The endpoint does not answer, and the relay is
//     killed.
//  2. Two further processes, one after the other, recover the messages and kill themselves at step.
//  3. The endpoint begins to answer, and a last process recovers the messages.
//
// It returns the violations that it finds after that, and whether the second process of item 2 reached the step before
// the end of its recovery.
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
		timeout = 2 * time.Second // shorter, because messages are expected to be lost
	}
	wrong = violationsAfter(platform, endpoint, accepted, timeout)
	r.kill()
	return wrong, reached
}

// submitBothClasses submits messages of the classes "order" and "pay" in turn. It returns the ids of the accepted
// ones.
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

// killDuringRecovery starts a process that is to kill itself at its step. It reports whether the process did so before
// the end of its recovery, at which each accepted message has been sent again or has a notification. If the recovery
// ends first, killDuringRecovery kills the process.
func killDuringRecovery(r *relayProcess, platform *fakePlatform, endpoint *gatedEndpoint, accepted []string) bool {
	calls := map[string]int{}
	for _, id := range accepted {
		calls[id] = endpoint.count(id)
	}
	waiting := func(id string) bool { return endpoint.count(id) <= calls[id] && platform.notification(id) == nil }
	r.launch(platform)
	ended := make(chan struct{})
	go func() {
		_ = r.cmd.Wait() // an error is expected: a signal ends the process
		close(ended)
	}()
	reached := false
	eventually(r.t, "the step, or the end of the recovery", func() bool {
		select {
		case <-ended:
			reached = true
		default:
		}
		return reached || !slices.ContainsFunc(accepted, waiting)
	})
	_ = r.cmd.Process.Kill() // fails if the process has already ended
	<-ended
	r.client.CloseIdleConnections()
	return reached
}

// violationsAfter polls until there are no violations, or until the timeout. It returns the violations of the last
// poll.
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

// violations describes the accepted messages that were lost, and the messages of the class "pay" that were sent more
// than once. A message is lost if no call with it was answered and the platform received no notification of it.
func violations(platform *fakePlatform, endpoint *gatedEndpoint, accepted []string) []string {
	var wrong []string
	for _, id := range accepted {
		if _, ok := endpoint.answered.Load(id); !ok && platform.notification(id) == nil {
			wrong = append(wrong, id+" was lost")
		}
		if endpoint.count(id) > 1 && strings.HasPrefix(id, "pay") {
			wrong = append(wrong, id+" was sent more than once")
		}
	}
	return wrong
}

// TestKilledAtEachStepOfRecovery kills a relay twice at the same step of its recovery. It does so for each step:
// before each call to the journal's files, and in the middle of each write. No accepted message is lost, and no
// message of the class "pay" is sent twice.
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
	t.Logf("the recovery has %d steps", last)
	if last < 20 {
		t.Errorf("the recovery has only %d steps, too few for this test", last)
	}
}

// TestLateJournalWriteIsDetected checks that runKilledAt finds a violation if a relay writes a record of its journal
// only after the action that the record is for. A kill then loses the last write.
func TestLateJournalWriteIsDetected(t *testing.T) {
	for at := 1; at <= 10; at++ {
		if wrong, _ := runKilledAt(t, killStep{Late: true}, killStep{At: at}); len(wrong) > 0 {
			t.Logf("%v", wrong)
			return
		}
	}
	t.Error("no violation was found although the journal's writes were late")
}
