package gossip

import (
	"fmt"
	"testing"
)

// Each report reaches all but a few members, and the report rate hardly depends on the fleet's size.
func TestFleetSizeParameters(t *testing.T) {
	for _, test := range []struct {
		members, fanOut, retransmissions int
	}{
		{1, 3, 6},
		{3, 3, 6},
		{20, 3, 6},
		{98, 3, 6},
		{100, 5, 6},
		{300, 5, 6},
		{998, 5, 6},
		{1000, 5, 8},
	} {
		t.Run(fmt.Sprint(test.members, " members"), func(t *testing.T) {
			fanOut, retransmissions := FanOut(test.members), Retransmissions(test.members)
			if fanOut != test.fanOut || retransmissions != test.retransmissions {
				t.Errorf("to %d, %d times, want %+v", fanOut, retransmissions, test)
			}
			if rate := MaxReportRate(test.members); rate < 45 || rate > 85 {
				t.Errorf("%g reports a second", rate)
			}
		})
	}
}
