package gossip

import "testing"

// Each page is met by all but a few, and the room hardly depends on the fleet's size.
func TestFleetSizeParameters(t *testing.T) {
	for n, want := range map[int]struct{ targets, times int }{1: {3, 6}, 3: {3, 6}, 20: {3, 6}, 98: {3, 6}, 100: {5, 6}, 300: {5, 6}, 998: {5, 6}, 1000: {5, 8}} {
		if targets, times := FanOut(n), Retransmissions(n); targets != want.targets || times != want.times {
			t.Errorf("%d members: to %d, %d times, want %+v", n, targets, times, want)
		}
		if room := MaxReportRate(n); room < 45 || room > 85 {
			t.Errorf("%d members have room for %g pages a second", n, room)
		}
	}
}
