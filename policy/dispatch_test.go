package policy

import (
	"testing"
	"time"
)

// Guards against messages that wait until their deadlines although their destination is blocked for longer.
func TestUnservableMessagesAreRejected(t *testing.T) {
	settings := testSettings()
	settings.FleetSize = 400
	h := newHarness(t, settings, Endpoint{ID: "a", Weight: 4})
	ep := h.engine.endpoints["a"]
	h.engine.now = h.now
	h.engine.suspect(ep)
	ep.scope.recoveryTokens = 0
	if actions := h.accept(1, 0); !hasAction(actions, Reject) {
		t.Errorf("blocked for %v: %+v, want a rejection", h.engine.recoveryBudgetAt(ep)-h.now, actions)
	}
	mayReject := h.engine.mayReject(&message{class: &settings.Classes[2]})
	if actions := h.accept(2, 2); hasAction(actions, Reject) != mayReject {
		t.Errorf("non-idempotent message without an attempt: %+v, rejection wanted: %v", actions, mayReject)
	}
	ep.scope.recoveryTokens = 1 - h.engine.recoveryRate(ep) // blocked for a second
	h.engine.recheck(ep.scope.destination)
	if actions := h.accept(3, 0); hasAction(actions, Reject) {
		t.Errorf("blocked for a second: %+v, want the message queued", actions)
	}
}

// A call to an endpoint whose last call failed carries one message. Guards against trials that fail ten messages at
// once.
func TestBatches(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a", Kind: 2})
	acceptThree := func(first MessageID) (calls int) {
		var events []Event
		for i := range MessageID(3) {
			events = append(events, Event{Kind: MessageAccepted, MessageID: first + i, TimeLeft: 9 * time.Second})
		}
		before := len(h.engine.endpoints["a"].calls)
		h.step(events...)
		return len(h.engine.endpoints["a"].calls) - before
	}
	if n := acceptThree(1); n != 1 {
		t.Errorf("three messages in %d calls, want 1", n)
	}
	h.engine.endpoints["a"].consecutiveFailures = 1
	if n := acceptThree(4); n != 3 {
		t.Errorf("three messages in %d calls after a failure, want 3", n)
	}
}

// A dispatch skips blocked destinations. Guards against dispatches that check all blocked destinations each time.
func TestBlockedDestinationsAreNotRechecked(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1})
	h.accept(1, 0)
	h.finish(1, "a", Overloaded, ms, 5*time.Second)
	if len(h.engine.active) != 1 || h.engine.active[0].blockedUntil <= h.now {
		t.Fatalf("%d destinations are active, want one that is blocked", len(h.engine.active))
	}
	blockedUntil := h.engine.active[0].blockedUntil
	h.step(Event{Kind: MessageAccepted, MessageID: 2, Destination: 1, TimeLeft: 9 * time.Second})
	if len(h.engine.active) != 1 || h.engine.active[0].blockedUntil != blockedUntil {
		t.Error("a message for another destination triggered a recheck of the blocked one")
	}
}
