package scenario

import (
	"math"
	"testing"
	"time"
)

const (
	steadyTraffic = `
[[traffic]]
rate = 100
body = 1000
`
	dinnerTraffic = steadyTraffic + `shape = "dinner"`
	burstTraffic  = steadyTraffic + `
shape = "bursts"
burst = 10
from = "5s"
to = "15s"
`
)

// countArrivals returns the number of arrivals with 1000 bytes from one time to another. The traffic of the base
// scenario has smaller messages, so that only the added traffic counts.
func countArrivals(t *testing.T, more string, from, to time.Duration) int {
	t.Helper()
	count := 0
	for _, a := range parse(t, more).Draw(1).Arrivals {
		if a.At >= from && a.At < to && a.BodySize == 1000 {
			count++
		}
	}
	return count
}

func TestTrafficHasItsRateAndShape(t *testing.T) {
	for _, c := range []struct {
		name, more string
		from, to   time.Duration
		want       int
	}{
		{"steady", steadyTraffic, 0, 20 * time.Second, 2000},
		{"dinner at its peak", dinnerTraffic, 9 * time.Second, 11 * time.Second, 200},
		{"dinner at its start", dinnerTraffic, 0, time.Second, 31},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := countArrivals(t, c.more, c.from, c.to)
			if math.Abs(float64(got-c.want)) > 5*math.Sqrt(float64(c.want)) {
				t.Errorf("%d arrivals, want about %d", got, c.want)
			}
		})
	}
}

func TestBurstsStayInTheirSpan(t *testing.T) {
	const from, to, end = 5 * time.Second, 15 * time.Second, 20 * time.Second
	if n := countArrivals(t, burstTraffic, from, to); n < 500 || n > 1700 {
		t.Errorf("%d arrivals in bursts, want 500 to 1700", n)
	}
	if n := countArrivals(t, burstTraffic, 0, from) + countArrivals(t, burstTraffic, to, end); n != 0 {
		t.Errorf("%d arrivals before from or after to", n)
	}
}

// The relays' shares of the traffic vary as RelayVariation requires. With a variation of 0 the plan is the same as
// without the key.
func TestRelayVariation(t *testing.T) {
	const relays = 10
	f := parse(t, "")
	f.Relays = relays
	f.Traffic[0].Rate = 2000
	withoutKey := text(t, f.Draw(3))
	for _, variation := range []float64{0, 0.5} {
		f.Clients.RelayVariation = variation
		p := f.Draw(3)
		if variation == 0 && text(t, p) != withoutKey {
			t.Error("a variation of 0 changes the plan")
		}
		counts := make([]float64, relays)
		for _, a := range p.Arrivals {
			counts[a.Relay]++
		}
		mean, variance := float64(len(p.Arrivals))/relays, 0.0
		for _, n := range counts {
			variance += (n/mean - 1) * (n/mean - 1) / relays
		}
		if got := math.Sqrt(variance); got < variation/2 || got > 2*variation+0.05 {
			t.Errorf("variation %v: the shares of the relays have a coefficient of variation of %.2f", variation, got)
		}
	}
}
