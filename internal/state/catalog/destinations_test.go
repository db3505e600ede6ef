package catalog

import (
	"slices"
	"testing"

	"cherrytrestle.example/cherrytrestle/policy"
)

func TestOldestEmptyDestinationsAreForgotten(t *testing.T) {
	c := New()
	for i := range MaxEagerEndpoints + 3 {
		e := entry(2*i, 0)
		c.Upsert(e)
		e.Removed = true
		c.Upsert(e)
		if i == 1 {
			c.Upsert(entry(0, 1)) // destination 0 has an endpoint again
		}
	}
	wantNamed := map[policy.DestinationID]bool{
		0:                     true,
		1:                     false,
		2:                     false,
		3:                     true,
		MaxEagerEndpoints + 2: true,
		MaxEagerEndpoints + 3: false,
	}
	for destination, want := range wantNamed {
		if got := c.HasDestination(destination); got != want {
			t.Errorf("HasDestination(%d) = %t, want %t", destination, got, want)
		}
	}
	got := slices.Collect(c.RememberedDestinations())
	if len(got) != MaxEagerEndpoints || got[0] != 3 || got[MaxEagerEndpoints-1] != MaxEagerEndpoints+2 {
		t.Errorf("%d empty destinations from %d to %d, want %d from 3 to %d",
			len(got), got[0], got[len(got)-1], MaxEagerEndpoints, MaxEagerEndpoints+2)
	}
	other := New()
	for d := range c.RememberedDestinations() {
		other.RememberDestination(d)
	}
	if !other.HasDestination(3) || other.HasDestination(0) || other.DestinationCount() != 0 {
		t.Error("another catalog has not restored the same destinations")
	}
}
