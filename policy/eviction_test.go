package policy

import (
	"testing"
	"time"
)

// forgetfulEviction is an Evictable that overlooks something: it asks a copy of the Engine without that state.
type forgetfulEviction struct {
	name              string
	forgetScope       func(*limitScope)
	forgetDestination func(*destination)
}

// evictable reports what Evictable would; a nil eviction overlooks nothing.
func (eviction *forgetfulEviction) evictable(t fataler, engine *Engine, destinationID DestinationID) bool {
	if eviction == nil {
		return engine.Evictable(destinationID)
	}
	copied, err := Restore(engine.settings, engine.Snapshot(nil))
	if err != nil {
		t.Fatal(err)
	}
	if dest := copied.destinations[destinationID]; dest != nil {
		if eviction.forgetDestination != nil {
			eviction.forgetDestination(dest)
		}
		for _, scope := range dest.scopes {
			if eviction.forgetScope != nil {
				eviction.forgetScope(scope)
			}
		}
	}
	return copied.Evictable(destinationID)
}

// fataler is a *testing.T or a *rapid.T.
type fataler interface{ Fatal(args ...any) }

// forEachEndpoint returns a function that changes all endpoints of a scope.
func forEachEndpoint(set func(*endpoint)) func(*limitScope) {
	return func(scope *limitScope) {
		for _, ep := range scope.endpoints {
			set(ep)
		}
	}
}

// change sets a part of the state of a destination with one scope and two endpoints, of which ep is the first.
type change func(dest *destination, scope *limitScope, ep *endpoint)

// Each part of the binding state prevents an eviction by itself, for as long as it binds.
func TestBindingStatePreventsEviction(t *testing.T) {
	const now = time.Minute
	warmUp := testSettings().WarmUpDuration
	ofEndpoint := func(set func(ep *endpoint)) change {
		return func(_ *destination, _ *limitScope, ep *endpoint) { set(ep) }
	}
	ofScope := func(set func(scope *limitScope)) change {
		return func(_ *destination, scope *limitScope, _ *endpoint) { set(scope) }
	}
	for _, test := range []struct {
		name   string
		change change
		binds  time.Duration // for so long; forever: until an event ends it
	}{
		{"nothing", func(*destination, *limitScope, *endpoint) {}, 0},
		{"one failure, and a reset", func(_ *destination, scope *limitScope, ep *endpoint) {
			scope.consecutiveFailures, scope.connectExhaustions = 1, 1
			ep.consecutiveFailures, ep.recentFailures, ep.answerLost = 1, 1, true
		}, 0},
		{"the initial pacing rate", ofScope(func(scope *limitScope) {
			scope.pacingRate, scope.tokens, scope.tokensUpdatedAt = 1, 1, now
		}), 0},
		{"a warm-up that is over", ofEndpoint(func(ep *endpoint) {
			ep.warmingUp, ep.recoveredAt, ep.lastSuccessAt = true, now-warmUp, now
		}), 0},
		{"a message", func(dest *destination, _ *limitScope, _ *endpoint) { dest.messageCount = 1 }, forever},
		{"a call", ofEndpoint(func(ep *endpoint) { ep.calls = []*call{{endpoint: ep}} }), forever},
		{"a call to a removed endpoint", ofScope(func(scope *limitScope) { scope.inFlight = 1 }), forever},
		{"a Retry-After", ofScope(func(scope *limitScope) { scope.retryAfter(now + 5*time.Second) }), 5 * time.Second},
		{"an ejection", ofEndpoint(func(ep *endpoint) { ep.ejectedUntil = now + 300*ms }), 300 * ms},
		{"an outage", ofEndpoint(func(ep *endpoint) { ep.ejected, ep.lastSuccessAt = true, 1 }), forever},
		{"suspicion", ofEndpoint(func(ep *endpoint) { ep.warmingUp, ep.lastSuccessAt = true, 1 }), forever},
		{"a warm-up", ofEndpoint(func(ep *endpoint) {
			ep.warmingUp, ep.recoveredAt, ep.lastSuccessAt = true, now, now
		}), warmUp},
		{"a sibling's suspicion, inherited with the next call", func(_ *destination, scope *limitScope, ep *endpoint) {
			ep.warmingUp, ep.recoveredAt, ep.lastSuccessAt = true, now-warmUp, now
			scope.endpoints[1].lastSuccessAt = 0
		}, forever},
		{"a removed suspect", ofScope(func(scope *limitScope) { scope.suspectRemovedAt = now }), warmUp},
		{"failures of several endpoints", ofScope(func(scope *limitScope) {
			scope.consecutiveFailures = suspectAfterFailures
		}), forever},
		{"exhausted connection tables", ofScope(func(scope *limitScope) {
			scope.connectExhaustions = maxConnectExhaustions
		}), forever},
		{"a lent limit", ofScope(func(scope *limitScope) {
			scope.quotaShared, scope.reservedFraction = true, 0.2
		}), forever},
		{"a call whose tokens are not yet earned", ofScope(func(scope *limitScope) {
			scope.pacingRate, scope.tokens, scope.tokensUpdatedAt = 0.5, 0, now
		}), 2 * time.Second},
		{"a recent rejection", ofScope(func(scope *limitScope) {
			scope.pacingRate, scope.lastRejectedRate, scope.decreasedAt, scope.tokens = 9, 10, now, 1
		}), rejectionFreeWindow},
		{"a pacing rate at a quarter", ofScope(func(scope *limitScope) { // ln 4 / ln 1.03 s
			scope.pacingRate, scope.lastRejectedRate, scope.decreasedAt, scope.tokens = 2.5, 10, now, 1
		}), 46900 * ms},
	} {
		t.Run(test.name, func(t *testing.T) { checkEvictable(t, now, test.change, test.binds) })
	}
}

// checkEvictable checks that a destination with a change of its state is not evictable for as long as that binds.
func checkEvictable(t *testing.T, now time.Duration, apply change, binds time.Duration) {
	t.Helper()
	a := Endpoint{ID: "a", Destination: 1, Weight: 6}
	b := Endpoint{ID: "b", Destination: 1, Weight: 6}
	engine := newHarness(t, testSettings(), a, b).engine
	dest := engine.destinations[1]
	scope := dest.scopes[0]
	scope.endpoints[1].lastSuccessAt = 1
	apply(dest, scope, scope.endpoints[0])
	for _, after := range []time.Duration{
		0, 300*ms - 1, 2*time.Second - 1, 5*time.Second - 1, testSettings().WarmUpDuration - 1, rejectionFreeWindow - 1,
		46890 * ms, 46900 * ms, 24 * time.Hour,
	} {
		engine.now = now + after
		if got, want := engine.Evictable(1), after >= binds; got != want {
			t.Errorf("evictable after %v: %t", after, got)
		}
	}
	if !engine.Evictable(2) {
		t.Error("an unknown destination is not evictable")
	}
}

// What other relays may use of a limit is reported once: a new scope would not know it.
func TestSharedQuotaPreventsEviction(t *testing.T) {
	r := newEvictingRelay(t, 1, 300, nil, forever)
	r.events(
		Event{Kind: MessageAccepted, MessageID: 1, Destination: 1, TimeLeft: time.Second},
		Event{Kind: MessageCancelled, MessageID: 1},
	)
	if !r.relay.Evictable(1) {
		t.Fatal("an unused destination is not evictable")
	}
	r.events(Event{Kind: QuotaGranted, Destination: 1, Endpoint: "a", ReservedFraction: 0.2})
	if r.relay.Evictable(1) {
		t.Error("a destination whose limit is lent is evictable")
	}
}
