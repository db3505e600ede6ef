package catalog

import (
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// A destination that was added of late does not wake as if it had always been known; of very many that were, none does.
func TestWhatWasAddedOfLateIsNotSettled(t *testing.T) {
	for _, added := range []int{1, 100, MaxEagerEndpoints, MaxEagerEndpoints + 1, 3 * MaxEagerEndpoints} {
		w := NewWorkingSet(time.Second)
		if !w.Settled(7, 0) {
			t.Error("a destination of a start's list is not settled")
		}
		at := time.Minute
		for d := range added {
			w.EndpointAdded(d, at)
		}
		soon := at + policy.MaxInitialSpread - 1
		for _, d := range []int{0, added - 1} {
			if w.Settled(d, soon) || !w.Settled(d, soon+1) {
				t.Errorf(
					"%d added: destination %d settled %v, a moment later %v",
					added,
					d,
					w.Settled(d, soon),
					w.Settled(d, soon+1),
				)
			}
		}
		if other := w.Settled(added+7, soon); other != (added <= MaxEagerEndpoints) {
			t.Errorf("%d added: another settled %v", added, other)
		}
		if len(w.recentlyAdded) > MaxEagerEndpoints {
			t.Errorf("%d are kept", len(w.recentlyAdded))
		}
		for d := range MaxEagerEndpoints { // later ones take the room of those
			w.EndpointAdded(d+2*added, at+time.Hour)
		}
		if len(w.recentlyAdded) > MaxEagerEndpoints || !w.Settled(0, at+time.Hour) && added < MaxEagerEndpoints {
			t.Errorf("%d added, an hour ago: %d are kept, settled %v", added, len(w.recentlyAdded), w.Settled(0, at+time.Hour))
		}
	}
}
