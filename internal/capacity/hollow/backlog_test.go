package hollow

import (
	"fmt"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/scaletest"
)

func TestMeasureBacklog(t *testing.T) {
	for _, destinations := range []int{1, 100, 2240} {
		for _, messages := range scaletest.Sizes(t, []int{10000}, 10000, 30000, 100000, 300000, 1000000) {
			m, err := MeasureBacklog(messages, destinations)
			if err != nil {
				t.Fatal(err)
			}
			scaletest.Record(t, fmt.Sprintf("backlog for %d destinations", destinations), m.Size, m.Values)
			checkRange(t, m, SentFraction, 0.1, 1)
		}
	}
}
