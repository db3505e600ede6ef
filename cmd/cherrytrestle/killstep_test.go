package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
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
	*endpoint
	gate     chan struct{}
	answered sync.Map // ids
}

func newGatedEndpoint(t *testing.T) *gatedEndpoint {
	g := &gatedEndpoint{gate: make(chan struct{})}
	g.endpoint = newEndpoint(t, func(_ http.ResponseWriter, r *http.Request, ids []string) {
		select {
		case <-g.gate:
			for _, id := range ids {
				g.answered.Store(id, true)
			}
		case <-r.Context().Done():
		}
	})
	return g
}

// runKilledAt has a relay take messages that its host does not answer, killed, and killed twice at one step of the
// recovery, and then recover. It tells what was wrong, and whether the recovery had such a step.
func runKilledAt(t *testing.T, first, then killStep) (wrong []string, reached bool) {
	p, h := newPlatform(t), newGatedEndpoint(t)
	r := newRelay(t, p, []listEntry{newEntry("s-1", h.addr(), "a", "gateway", "ready")}, func(set map[string]any) {
		withPayments(set)
		set["extra"].(map[string]any)["call_slots"] = 40
	})
	r.kill()
	var taken []string
	r.setKillStep(first)
	r.start(p)
	for i := range 8 {
		class := []string{"order", "pay"}[i%2]
		id := fmt.Sprintf("%s-%d-%v-%d", class, then.At, then.Torn, i)
		if status, _ := r.submit(id, 12*time.Second, withClass(class)); status == http.StatusAccepted {
			taken = append(taken, id)
		}
	}
	eventually(r.t, "calls that are out", func() bool { return h.count(taken[len(taken)-1]) > 0 })
	r.kill()
	for range 2 {
		calls := map[string]int{}
		for _, id := range taken {
			calls[id] = h.count(id)
		}
		resumed := func(id string) bool { return h.count(id) > calls[id] || p.notification(id) != nil }
		r.setKillStep(then)
		r.launch(p)
		over := make(chan struct{})
		go func() { r.cmd.Wait(); close(over) }()
		reached = false
		eventually(r.t, "the step, or the end of the recovery", func() bool {
			select {
			case <-over:
				reached = true
			default:
			}
			for _, id := range taken {
				if !reached && !resumed(id) {
					return false
				}
			}
			return true
		})
		r.cmd.Process.Kill()
		<-over
		r.client.CloseIdleConnections()
	}
	r.env = nil
	close(h.gate)
	r.start(p)
	for end := time.Now().Add(conditionTimeout); ; time.Sleep(2 * time.Millisecond) {
		wrong = nil
		for _, id := range taken {
			if _, ok := h.answered.Load(id); !ok && p.notification(id) == nil {
				wrong = append(wrong, id+" was forgotten")
			}
			if n := h.count(id); n > 1 && strings.HasPrefix(id, "pay") {
				wrong = append(wrong, id+" ran twice")
			}
		}
		if len(wrong) == 0 || time.Now().After(end) || first.Late && time.Now().After(end.Add(2*time.Second-conditionTimeout)) {
			break
		}
	}
	r.kill()
	return wrong, reached
}

// Killed at every step of a recovery, before each call to the journal's files and in the midst of each write, twice in
// a row: what was taken on ends, and nothing runs twice that must not.
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
	if t.Logf("%d steps", last); last < 20 {
		t.Errorf("a recovery of %d steps: the test shows little", last)
	}
}

// A relay whose journal is written behind what it is for is convicted: the last write is lost with the process.
func TestLateJournalWriteIsDetected(t *testing.T) {
	for at := 1; at <= 10; at++ {
		if wrong, _ := runKilledAt(t, killStep{Late: true}, killStep{At: at}); len(wrong) > 0 {
			t.Logf("%v", wrong)
			return
		}
	}
	t.Error("it keeps the rules")
}
