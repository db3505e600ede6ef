package hollow

import (
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/scaletest"
)

// An agent needs at most 800 bytes of memory for each listed destination, the budget of an idle destination. The times
// are recorded, not checked.
func TestMeasureAgent(t *testing.T) {
	for _, destinations := range scaletest.Sizes(t, []int{1000}, 1000, 10000, 50000, 140000) {
		m := MeasureAgent(destinations, false)
		scaletest.Record(t, "seam", m.Size, m.Values)
		checkRange(t, m, Memory, 50*float64(destinations), 800*float64(destinations))
	}
}
