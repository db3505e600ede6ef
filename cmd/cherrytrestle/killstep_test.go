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

// killStep is a call of the journal to its files.
type killStep struct {
	At         int
	Torn, Late bool
}

// serveUntilKilled is the relay's process in which the journal's files go through a faultfs.Killer.
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

func (r *relayProcess) setKillStep(k killStep) {
	step, err := json.Marshal(k)
	must(r.t, err)
	r.env = []string{killVariable + "=" + string(step)}
}

// gatedEndpoint holds its answers back until its gate is closed.
type gatedEndpoint struct {
	*fakeEndpoint
	gate     chan struct{}
	answered sync.Map // ids
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

// runKilledAt has a relay accept messages that its endpoint does not answer, killed, killed twice at one step of the
// recovery, and then recover. It returns what was wrong, and whether the recovery had such a step.
func runKilledAt(t *testing.T, first, then killStep) (wrong []string, reached bool) {
	platform := newPlatform(t)
	endpoint := newGatedEndpoint(t)
	r := newRelay(t, platform, endpoint.list(singleKind, "ready"), func(set map[string]any) {
		withPayments(set)
		set["extra"].(map[string]any)["call_slots"] = 40
	})
	r.kill()
	r.setKillStep(first)
	r.start(platform)
	accepted := submitBoth(r, fmt.Sprintf("%d-%v", then.At, then.Torn))
	eventually(r.t, "calls in flight", func() bool { return endpoint.count(accepted[len(accepted)-1]) > 0 })
	r.kill()
	r.setKillStep(then)
	for range 2 {
		reached = killDuringRecovery(r, platform, endpoint, accepted)
	}
	r.env = nil
	close(endpoint.gate)
	r.start(platform)
	timeout := conditionTimeout
	if first.Late {
		timeout = 2 * time.Second // messages are expected to be forgotten
	}
	wrong = violationsAfter(platform, endpoint, accepted, timeout)
	r.kill()
	return wrong, reached
}

// submitBoth submits messages of both classes, and returns the accepted ones.
func submitBoth(r *relayProcess, name string) []string {
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

// killDuringRecovery starts the relay, which kills itself at its step. It returns whether it did before all messages
// went on.
func killDuringRecovery(r *relayProcess, platform *fakePlatform, endpoint *gatedEndpoint, accepted []string) bool {
	calls := map[string]int{}
	for _, id := range accepted {
		calls[id] = endpoint.count(id)
	}
	waits := func(id string) bool { return endpoint.count(id) <= calls[id] && platform.notification(id) == nil }
	r.launch(platform)
	over := make(chan struct{})
	go func() {
		_ = r.cmd.Wait() // the signal is its error
		close(over)
	}()
	reached := false
	eventually(r.t, "the step, or the end of the recovery", func() bool {
		select {
		case <-over:
			reached = true
		default:
		}
		return reached || !slices.ContainsFunc(accepted, waits)
	})
	_ = r.cmd.Process.Kill() // it may have ended
	<-over
	r.client.CloseIdleConnections()
	return reached
}

// violationsAfter returns what is still wrong when the timeout is over, or nil as soon as nothing is.
func violationsAfter(platform *fakePlatform, endpoint *gatedEndpoint, accepted []string, timeout time.Duration) []string {
	for end := time.Now().Add(timeout); ; time.Sleep(2 * time.Millisecond) {
		wrong := violations(platform, endpoint, accepted)
		if len(wrong) == 0 || time.Now().After(end) {
			return wrong
		}
	}
}

// violations are the messages that were forgotten, or ran twice though they must not.
func violations(platform *fakePlatform, endpoint *gatedEndpoint, accepted []string) []string {
	var wrong []string
	for _, id := range accepted {
		if _, ok := endpoint.answered.Load(id); !ok && platform.notification(id) == nil {
			wrong = append(wrong, id+" was forgotten")
		}
		if endpoint.count(id) > 1 && strings.HasPrefix(id, "pay") {
			wrong = append(wrong, id+" ran twice")
		}
	}
	return wrong
}

// Killed at every step of a recovery, before each call to the journal's files and in the middle of each write, twice in
// a row: each accepted message ends, and none runs twice that must not.
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

// A relay that writes its journal after the action that the record is for is detected: the last write is lost with the
// process.
func TestLateJournalWriteIsDetected(t *testing.T) {
	for at := 1; at <= 10; at++ {
		if wrong, _ := runKilledAt(t, killStep{Late: true}, killStep{At: at}); len(wrong) > 0 {
			t.Logf("%v", wrong)
			return
		}
	}
	t.Error("it keeps the rules")
}
