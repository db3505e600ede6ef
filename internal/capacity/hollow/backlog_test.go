package hollow

import (
	"fmt"
	"testing"
)

func TestMeasureBacklog(t *testing.T) {
	for _, destinations := range []int{1, 100, 2240} {
		for _, messages := range sizesToMeasure(t, []int{10000}, 10000, 30000, 100000, 300000, 1000000) {
			m, err := MeasureBacklog(messages, destinations)
			if err != nil {
				t.Fatal(err)
			}
			record(t, fmt.Sprintf("backlog for %d destinations", destinations), m)
			checkRange(t, m, SentFraction, 0.1, 1)
		}
	}
}
