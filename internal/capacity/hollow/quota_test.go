package hollow

import (
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/scaletest"
)

// TestMeasureQuota measures the cost to one member of sharing limits. cmd/capacity runs this test by its name.
func TestMeasureQuota(t *testing.T) {
	destinations := []int{30}
	if scaletest.Full() {
		destinations = []int{30, 100, 1000}
	}
	for _, members := range scaletest.Sizes(t, []int{20}, 100, 300, 1000, 2600) {
		for _, d := range destinations {
			m, err := MeasureQuota(members, d, 27)
			if err != nil {
				t.Fatal(err)
			}
			scaletest.Record(t, CaseQuota(d), m.Size, m.Values)
			checkRange(t, m, SharedDestinations, float64(d), float64(d))
			// Every renewInterval the member renews a lease for each destination whose lease holder is another member.
			lent := (float64(d) - m.Values[HeldDestinations]) / renewInterval.Seconds()
			granted := float64(members) / renewInterval.Seconds() * float64(d)
			checkRange(t, m, LeaseRate, 0.9*lent, 1.1*lent)
			checkRange(t, m, SentDatagramRate, lent/maxLeasesPerDatagram, 2*lent+granted)
		}
	}
}

func TestMeasureQuotaRejectsSizes(t *testing.T) {
	for _, c := range []struct{ members, destinations int }{
		{1, 1}, {2, 0}, {maxQuotaSize + 1, 1}, {2, maxQuotaSize + 1},
	} {
		if _, err := MeasureQuota(c.members, c.destinations, 27); err == nil {
			t.Errorf("%d members and %d destinations are accepted", c.members, c.destinations)
		}
	}
}
