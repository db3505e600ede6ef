package hollow

import (
	"fmt"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/scaletest"
)

// faultSizes returns the fleet sizes at which faults are measured.
func faultSizes(t *testing.T) []int {
	t.Helper()
	return scaletest.Sizes(t, []int{24}, 300)
}

func TestLoseZone(t *testing.T) {
	for _, members := range faultSizes(t) {
		zone := max(4, min(137, members*137/300))
		t.Run(fmt.Sprintf("%d of %d", zone, members), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f, stop := startFleet(t, Options{Members: members, ChangeTimeout: 2 * time.Minute})
				defer stop()
				m := f.LoseZone(zone)
				scaletest.Record(t, fmt.Sprintf("zone of %d lost", zone), m.Size, m.Values)
				checkRange(t, m, LossKnownFraction, 1, 1)
				checkRange(t, m, LossKnownHalf, 1, 120) // No member detects the loss before a probe has failed.
			})
		})
	}
}

func TestPartitionRegion(t *testing.T) {
	duration := time.Minute
	if scaletest.Full() {
		duration = 3 * time.Minute
	}
	for _, members := range faultSizes(t) {
		region := members / 8
		t.Run(fmt.Sprintf("%d of %d", region, members), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f, stop := startFleet(t, Options{Members: members, ChangeTimeout: 2 * time.Minute})
				defer stop()
				m := f.PartitionRegion(region, duration)
				scaletest.Record(t, fmt.Sprintf("a region of an eighth cut off for %v", duration), m.Size, m.Values)
				checkRange(t, m, RemainingSplitFraction, 1, 1)
				checkRange(t, m, HealedKnownFraction, 1, 1)
			})
		})
	}
}
