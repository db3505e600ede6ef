package catalog

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// A destination to which an endpoint was added recently is not settled. If there are more such destinations than the
// set tracks, no destination is settled.
func TestSettled(t *testing.T) {
	for _, added := range []int{1, 100, MaxEagerEndpoints, MaxEagerEndpoints + 1, 3 * MaxEagerEndpoints} {
		t.Run(fmt.Sprintf("added=%d", added), func(t *testing.T) {
			w := NewWorkingSet(time.Second)
			if !w.Settled(7, 0) {
				t.Error("a destination is not settled, but no endpoint was added")
			}
			addedAt := time.Minute
			for d := range policy.DestinationID(added) {
				w.EndpointAdded(d, addedAt)
			}
			settledAt := addedAt + policy.MaxInitialSpread
			for _, d := range []policy.DestinationID{0, policy.DestinationID(added - 1)} {
				before := w.Settled(d, settledAt-1)
				after := w.Settled(d, settledAt)
				if before || !after {
					t.Errorf("destination %d: Settled = %v, then %v at %v", d, before, after, settledAt)
				}
			}
			if other := w.Settled(policy.DestinationID(added+7), settledAt-1); other != (added <= MaxEagerEndpoints) {
				t.Errorf("a destination without added endpoints: Settled = %v with %d added", other, added)
			}
			if len(w.recentlyAdded) > MaxEagerEndpoints {
				t.Errorf("%d destinations are tracked, want at most %d", len(w.recentlyAdded), MaxEagerEndpoints)
			}
			later := addedAt + time.Hour
			for d := range MaxEagerEndpoints { // these additions replace the former ones
				w.EndpointAdded(policy.DestinationID(d+2*added), later)
			}
			settled := w.Settled(0, later)
			if len(w.recentlyAdded) > MaxEagerEndpoints || !settled && added < MaxEagerEndpoints {
				t.Errorf("an hour later: %d destinations are tracked, Settled(0) = %v", len(w.recentlyAdded), settled)
			}
		})
	}
}

func TestWorkingSet(t *testing.T) {
	w := NewWorkingSet(30 * time.Second)
	pinned := map[policy.DestinationID]bool{}
	evictable := func(d policy.DestinationID) bool { return !pinned[d] }
	evict := func(now time.Duration, maxChecked int, want ...policy.DestinationID) {
		t.Helper()
		if got := w.EvictIdle(now, maxChecked, evictable); !slices.Equal(got, want) {
			t.Errorf("at %v: evicted %v, want %v", now, got, want)
		}
	}
	for i, d := range []policy.DestinationID{7, -1, 3, 9} {
		now := time.Duration(i) * time.Second
		if !w.Activate(d, now) || w.Activate(d, now) || !w.Contains(d) {
			t.Fatalf("destination %d: want true, then false from Activate, and the destination active", d)
		}
	}
	pinned[-1] = true
	evict(29*time.Second, 9)
	evict(30*time.Second, 9, 7)
	w.Touch(3, 31*time.Second)
	w.Touch(7, 31*time.Second) // stays inactive
	evict(33*time.Second, 1)   // checks only -1, which is not evictable
	evict(33*time.Second, 9, 9)
	delete(pinned, -1)
	evict(60*time.Second, 9)
	evict(63*time.Second, 9, 3, -1)
	if w.Len() != 0 || w.Contains(7) || !w.Activate(7, 64*time.Second) || w.Len() != 1 {
		t.Error("the set is not empty after all evictions, or destination 7 cannot be activated again")
	}
}

// EvictIdle returns even if no destination is evictable and the idle timeout is 0, which makes a checked destination
// idle again at once.
func TestEvictIdleEnds(t *testing.T) {
	w := NewWorkingSet(0)
	w.Activate(1, 0)
	if got := w.EvictIdle(0, 100, func(policy.DestinationID) bool { return false }); got != nil || !w.Contains(1) {
		t.Errorf("evicted %v, want none; destination 1 is active: %t", got, w.Contains(1))
	}
}
