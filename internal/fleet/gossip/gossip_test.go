package gossip

import (
	"fmt"
	"testing"
)

// For all sizes of the fleet, a report is retransmitted often enough to reach all but a few members, and the report
// rate stays in a narrow range.
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
				t.Errorf(
					"fan-out %d and %d retransmissions, want %d and %d",
					fanOut, retransmissions, test.fanOut, test.retransmissions,
				)
			}
			if rate := MaxReportRate(test.members); rate < 45 || rate > 85 {
				t.Errorf("maximum rate of %g reports a second is not between 45 and 85", rate)
			}
		})
	}
}
