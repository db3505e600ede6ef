package policy

import (
	"testing"
	"time"
)

// Messages once waited to their deadlines at destinations that would open after them.
func TestUnservableMessagesAreRejected(t *testing.T) {
	settings := testSettings()
	settings.FleetSize = 400
	h := newHarness(t, settings, Endpoint{ID: "a", Weight: 4})
	ep := h.engine.endpoints["a"]
	h.engine.now = h.now
	h.engine.suspect(ep)
	ep.scope.recoveryTokens = 0
	if actions := h.accept(1, 0); !hasAction(actions, Reject) {
		t.Errorf("opens in %v: %+v, want a refusal", h.engine.recoveryBudgetAt(ep)-h.now, actions)
	}
	if actions := h.accept(2, 2); hasAction(actions, Reject) != h.engine.mayReject(&message{class: &settings.Classes[2]}) {
		t.Errorf("unsafe, nothing sent: %+v", actions)
	}
	ep.scope.recoveryTokens = 1 - h.engine.recoveryRate(ep) // opens in a second
	h.engine.recheck(ep.scope.destination)
	if actions := h.accept(3, 0); hasAction(actions, Reject) {
		t.Errorf("opens in a second: %+v, want it held", actions)
	}
}

// Calls of a route whose last call failed carry one message: ten once shared each failed trial.
func TestBatches(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a", Kind: 2})
	three := func(first uint32) int {
		var events []Event
		for i := range uint32(3) {
			events = append(events, Event{Kind: MessageAccepted, MessageID: first + i, TimeLeft: 9 * time.Second})
		}
		before := len(h.engine.endpoints["a"].calls)
		h.step(events...)
		return len(h.engine.endpoints["a"].calls) - before
	}
	if n := three(1); n != 1 {
		t.Errorf("three messages in %d calls, want 1", n)
	}
	h.engine.endpoints["a"].consecutiveFailures = 1
	if n := three(4); n != 3 {
		t.Errorf("three messages in %d calls after a failure, want 3", n)
	}
}

// Destinations with nothing to do are not looked at: the next dispatch once walked them all.
func TestBlockedDestinationsAreNotRechecked(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1})
	h.accept(1, 0)
	h.finish(1, "a", Overloaded, ms, 5*time.Second)
	if len(h.engine.active) != 1 || h.engine.active[0].blockedUntil <= h.now {
		t.Fatalf("active %d, want the one destination that waits, closed", len(h.engine.active))
	}
	opens := h.engine.active[0].blockedUntil
	h.step(Event{Kind: MessageAccepted, MessageID: 2, Destination: 1, TimeLeft: 9 * time.Second})
	if len(h.engine.active) != 1 || h.engine.active[0].blockedUntil != opens {
		t.Error("a message for another destination had the closed one looked at again")
	}
}
