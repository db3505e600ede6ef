package policy

import (
	"testing"
	"time"
)

// forgetfulEviction is a Resting that overlooks something: it is asked of a copy in which that was never so.
type forgetfulEviction struct {
	name              string
	forgetScope       func(*limitScope)
	forgetDestination func(*destination)
}

// evictable asks Resting, or what a forgetful one would say; nil overlooks nothing.
func (eviction *forgetfulEviction) evictable(t fataler, engine *Engine, destinationID int) bool {
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

type fataler interface{ Fatal(args ...any) }

func forEachEndpoint(set func(*endpoint)) func(*limitScope) {
	return func(scope *limitScope) {
		for _, ep := range scope.endpoints {
			set(ep)
		}
	}
}

// Each thing that binds keeps a destination awake by itself, for as long as it binds.
func TestBindingStatePreventsEviction(t *testing.T) {
	const now = time.Minute
	warmUp := testSettings().WarmUpDuration
	for _, test := range []struct {
		name string
		set  func(dest *destination, scope *limitScope, ep *endpoint)
		span time.Duration // it binds so long; forever: until an event ends it
	}{
		{"nothing", func(*destination, *limitScope, *endpoint) {}, 0},
		{"one failure, and a reset", func(_ *destination, scope *limitScope, ep *endpoint) {
			scope.consecutiveFailures, ep.consecutiveFailures, ep.recentFailures, ep.answerLost, scope.connectExhaustions = 1, 1, 1, true, 1
		}, 0},
		{"a pacing rate of its start", func(_ *destination, scope *limitScope, _ *endpoint) {
			scope.pacingRate, scope.tokens, scope.tokensUpdatedAt = 1, 1, now
		}, 0},
		{"a warm-up that is over", func(_ *destination, _ *limitScope, ep *endpoint) {
			ep.warmingUp, ep.recoveredAt, ep.lastSuccessAt = true, now-warmUp, now
		}, 0},
		{"a message", func(dest *destination, _ *limitScope, _ *endpoint) { dest.messageCount = 1 }, forever},
		{"a call", func(_ *destination, _ *limitScope, ep *endpoint) { ep.calls = []*call{{endpoint: ep}} }, forever},
		{"a call of an endpoint that has gone", func(_ *destination, scope *limitScope, _ *endpoint) { scope.inFlight = 1 }, forever},
		{"a Retry-After", func(_ *destination, scope *limitScope, _ *endpoint) { scope.retryAfterUntil = now + 5*time.Second }, 5 * time.Second},
		{"an ejection", func(_ *destination, _ *limitScope, ep *endpoint) { ep.ejectedUntil = now + 300*ms }, 300 * ms},
		{"an outage", func(_ *destination, _ *limitScope, ep *endpoint) { ep.ejected, ep.lastSuccessAt = true, 1 }, forever},
		{"a doubt", func(_ *destination, _ *limitScope, ep *endpoint) { ep.warmingUp, ep.lastSuccessAt = true, 1 }, forever},
		{"a warm-up", func(_ *destination, _ *limitScope, ep *endpoint) {
			ep.warmingUp, ep.recoveredAt, ep.lastSuccessAt = true, now, now
		}, warmUp},
		{"a sibling's doubt, taken on at the next look", func(_ *destination, scope *limitScope, ep *endpoint) {
			ep.warmingUp, ep.recoveredAt, ep.lastSuccessAt, scope.endpoints[1].lastSuccessAt = true, now-warmUp, now, 0
		}, forever},
		{"a doubt that left the list", func(_ *destination, scope *limitScope, _ *endpoint) { scope.suspectRemovedAt = now }, warmUp},
		{"failures over endpoints", func(_ *destination, scope *limitScope, _ *endpoint) { scope.consecutiveFailures = suspectAfterFailures }, forever},
		{"connections that failed", func(_ *destination, scope *limitScope, _ *endpoint) { scope.connectExhaustions = maxConnectExhaustions }, forever},
		{"a lent limit", func(_ *destination, scope *limitScope, _ *endpoint) {
			scope.quotaShared, scope.reservedFraction = true, 0.2
		}, forever},
		{"a call not yet earned back", func(_ *destination, scope *limitScope, _ *endpoint) {
			scope.pacingRate, scope.tokens, scope.tokensUpdatedAt = 0.5, 0, now
		}, 2 * time.Second},
		{"a rejection of late", func(_ *destination, scope *limitScope, _ *endpoint) {
			scope.pacingRate, scope.lastRejectedRate, scope.decreasedAt, scope.tokens = 9, 10, now, 1
		}, rejectionFreeWindow},
		// ln 4 / ln 1.03 s
		{"a pacing rate cut to a quarter", func(_ *destination, scope *limitScope, _ *endpoint) {
			scope.pacingRate, scope.lastRejectedRate, scope.decreasedAt, scope.tokens = 2.5, 10, now, 1
		}, 46900 * ms},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(
				t,
				testSettings(),
				Endpoint{ID: "a", Destination: 1, Weight: 6},
				Endpoint{ID: "b", Destination: 1, Weight: 6},
			)
			engine, dest := h.engine, h.engine.destinations[1]
			scope := dest.scopes[0]
			scope.endpoints[1].lastSuccessAt = 1
			test.set(dest, scope, scope.endpoints[0])
			for _, after := range []time.Duration{0, 300*ms - 1, 2*time.Second - 1, 5*time.Second - 1, warmUp - 1, rejectionFreeWindow - 1, 46890 * ms, 46900 * ms, 24 * time.Hour} {
				engine.now = now + after
				if got, want := engine.Evictable(1), after >= test.span; got != want {
					t.Errorf("after %v it may rest: %t", after, got)
				}
			}
			if !engine.Evictable(2) {
				t.Error("one that is not known binds")
			}
		})
	}
}

// What others may use of a limit is told once: such a destination stays awake.
func TestSharedQuotaPreventsEviction(t *testing.T) {
	ev, step := newTwoEndpointEvictor(t, 1, 300, nil, forever)
	if step(time.Minute, []Event{{Kind: MessageAccepted, MessageID: 1, Destination: 1, TimeLeft: time.Second}, {Kind: MessageCancelled, MessageID: 1}}); !ev.engine.Evictable(
		1,
	) {
		t.Fatal("an unused destination may not rest")
	}
	if step(time.Minute, []Event{{Kind: QuotaGranted, Destination: 1, Endpoint: "a", ReservedFraction: 0.2}}); ev.engine.Evictable(
		1,
	) {
		t.Error("a destination whose limit is lent may rest")
	}
}
