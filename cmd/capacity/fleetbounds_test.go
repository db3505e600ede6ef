package main

import "testing"

// A member publishes all of 256 destinations, and no more than 256 of a greater number.
func TestDestinationsPublished(t *testing.T) {
	for destinations, want := range map[int]int{16: 16, 256: 256, 300: 256} {
		if got := destinationsPublished(destinations); got != want {
			t.Errorf("a member publishes %[2]d of %[1]d destinations, want %[3]d", destinations, got, want)
		}
	}
}

func TestQuotaAccounts(t *testing.T) {
	for destinations, want := range map[int]int{16: 16, 1024: 1024, 1100: 1024} {
		if got := quotaAccounts(destinations); got != want {
			t.Errorf("the ledger has %[2]d accounts for %[1]d destinations, want %[3]d", destinations, got, want)
		}
	}
}

func TestMembersAccepted(t *testing.T) {
	for members, want := range map[int]int{2: 2, 1024: 1024, 1025: 0} {
		if got := membersAccepted(members); got != want {
			t.Errorf("for %d members in the operator's file: %d accepted, want %d", members, got, want)
		}
	}
}

func TestMeasureBound(t *testing.T) {
	s := measureBound("x", "things", []int{1, 2, 3}, func(size int) int { return min(size, 2) })
	if len(s.Points) != 3 || s.Points[1].Failed || s.Points[1].Value != 2 || !s.Points[2].Failed {
		t.Errorf("points %+v, want the first two passed and the third failed", s.Points)
	}
}
