package policy

import (
	"testing"
	"time"
)

// faultyEviction is a faulty variant of Evictable that ignores a part of the state: it clears that part in a copy
// of the Engine, and calls Evictable on the copy.
type faultyEviction struct {
	name             string
	clearScope       func(*limitScope)
	clearDestination func(*destination)
}

// evictable reports whether this variant allows the eviction of a destination. A nil variant is Evictable itself.
func (eviction *faultyEviction) evictable(t fataler, engine *Engine, destinationID DestinationID) bool {
	if eviction == nil {
		return engine.Evictable(destinationID)
	}
	copied, err := Restore(engine.settings, engine.Snapshot(nil))
	if err != nil {
		t.Fatal(err)
	}
	if dest := copied.destinations[destinationID]; dest != nil {
		if eviction.clearDestination != nil {
			eviction.clearDestination(dest)
		}
		for _, scope := range dest.scopes {
			if eviction.clearScope != nil {
				eviction.clearScope(scope)
			}
		}
	}
	return copied.Evictable(destinationID)
}

// fataler is a *testing.T or a *rapid.T.
type fataler interface{ Fatal(args ...any) }

// forEachEndpoint returns a function that applies set to all endpoints of a scope.
func forEachEndpoint(set func(*endpoint)) func(*limitScope) {
	return func(scope *limitScope) {
		for _, ep := range scope.endpoints {
			set(ep)
		}
	}
}

// change sets a part of the state of a destination with one scope and two endpoints, of which ep is the first.
type change func(dest *destination, scope *limitScope, ep *endpoint)

// Each part of the binding state prevents an eviction by itself, for as long as it is in force.
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
		binds  time.Duration // how long the state prevents an eviction; forever: until an event ends it
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
		{"a pacing rate at a quarter", ofScope(func(scope *limitScope) { // grows back in ln 4 / ln 1.03 seconds
			scope.pacingRate, scope.lastRejectedRate, scope.decreasedAt, scope.tokens = 2.5, 10, now, 1
		}), 46900 * ms},
	} {
		t.Run(test.name, func(t *testing.T) { checkEvictable(t, now, test.change, test.binds) })
	}
}

// checkEvictable changes the state of a destination and checks that it is evictable once binds has passed, not
// earlier.
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
			t.Errorf("evictable after %v: %t, want %t", after, got, want)
		}
	}
	if !engine.Evictable(2) {
		t.Error("an unknown destination is not evictable")
	}
}

// Guards against an eviction after which a relay uses quota that it has lent to other relays: only changes of
// grants are reported, so a new scope would start without them.
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
