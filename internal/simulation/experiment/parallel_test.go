package experiment

import (
	"context"
	"slices"
	"sync"
	"testing"
)

func TestForEach(t *testing.T) {
	for _, workers := range []int{0, 1, 3, 50} {
		var mu sync.Mutex
		var seen []int
		ForEach(t.Context(), workers, 20, func(i int) {
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, i)
		})
		slices.Sort(seen)
		if len(seen) != 20 || len(slices.Compact(seen)) != 20 || seen[19] != 19 {
			t.Errorf("%d workers: called with %v, want each of 0 to 19 once", workers, seen)
		}
	}
}

// TestForEachCancelled checks that a single worker starts at most one more call after the context is done.
func TestForEachCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	calls := 0
	ForEach(ctx, 1, 1000, func(int) {
		calls++
		if calls == 3 {
			cancel()
		}
	})
	if calls < 3 || calls > 4 {
		t.Errorf("%d calls, want 3 or 4", calls)
	}
}
