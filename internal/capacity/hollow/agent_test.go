package hollow

import (
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/scaletest"
)

// An agent needs no more memory for a list than an idle destination may take. Times are recorded, not checked.
func TestMeasureAgent(t *testing.T) {
	for _, destinations := range scaletest.Sizes(t, []int{1000}, 1000, 10000, 50000, 140000) {
		m := MeasureAgent(destinations, false)
		scaletest.Record(t, "seam", m.Size, m.Values)
		checkRange(t, m, Memory, 50*float64(destinations), 800*float64(destinations))
	}
}
