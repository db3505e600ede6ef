package emulate

import (
	"flag"
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

var large = flag.Bool("large", false, "also measure fleets of 100 and 300 relays in virtual time")

// TestReportSpread measures how soon all relays have received a report that one relay publishes: within a few seconds
// in a fleet of any size.
func TestReportSpread(t *testing.T) {
	sizes := []int{3, 20}
	if *large {
		sizes = append(sizes, 100, 300)
	}
	for _, relays := range sizes {
		for _, loss := range []float64{0, 0.3} {
			s := newSpreadMeasurement(t, relays, loss)
			if err := s.Play(); err != nil {
				t.Fatal(err)
			}
			delays := s.delays()
			toAll := s.medianDelay(delays, 1)
			t.Logf("%3d relays, %.0f %% lost: received by half after %v, by 99 %% after %v, by all after %v; "+
				"%d bytes a second per member",
				relays, 100*loss, s.medianDelay(delays, 0.5), s.medianDelay(delays, 0.99), toAll, s.bytesPerMember)
			if toAll == 0 || toAll > 5*time.Second && relays < 100 {
				t.Errorf("%d relays, %.0f %% lost: received by all after %v", relays, 100*loss, toAll)
			}
		}
	}
}

// spreadMeasurement is a fleet with the times at which its relays receive the versions of the first relay's reports.
type spreadMeasurement struct {
	*World
	from, to       time.Duration // publications in this span are measured
	publications   []publication
	receivedAt     map[reportVersion]map[int]time.Duration // by version and relay
	bytesPerMember int                                     // bytes a second
}

// publication is the publication of a version of a report.
type publication struct {
	sequence uint64
	at       time.Duration
	number   int
}

func newSpreadMeasurement(t *testing.T, relays int, loss float64) *spreadMeasurement {
	t.Helper()
	length, from := 24*time.Second, 8*time.Second
	if relays >= 100 { // exclude the start, when all relays publish at once
		length, from = 56*time.Second, 32*time.Second
	}
	file := fleetLinks(t)
	file.Relays, file.Length, file.Faults = relays, scenario.Duration(length), nil
	file.Traffic = file.Traffic[:1]
	file.Traffic[0].To, file.Traffic[0].Rate = file.Length, float64(relays)
	w, err := New(file.Draw(1), Options{})
	if err != nil {
		t.Fatal(err)
	}
	if loss > 0 {
		faultAllLinks(w, scenario.Step{Op: scenario.OpLinkLoss, Value: loss})
	}
	s := &spreadMeasurement{
		World:      w,
		from:       from,
		to:         length - 8*time.Second,
		receivedAt: map[reportVersion]map[int]time.Duration{},
	}
	w.fleet.onUpdate = s.update
	bytesBefore := 0
	w.Schedule(from, func() { bytesBefore = w.fleet.byteCount })
	w.Schedule(length-time.Millisecond, func() {
		s.bytesPerMember = (w.fleet.byteCount - bytesBefore) / relays / int((length-from)/time.Second)
	})
	return s
}

// faultAllLinks sets a fault of the links between all relays.
func faultAllLinks(w *World, fault scenario.Step) {
	for _, from := range w.relays {
		for _, to := range w.relays {
			w.fleet.linkFaults[scenario.LinkName(from.name, to.name)] = fault
		}
	}
}

// update records when a relay first receives a version.
func (s *spreadMeasurement) update(by *relay, version reportVersion) {
	publishedAt, ok := s.fleet.publishedAt[version]
	if !ok || version.name != s.relays[0].name || publishedAt < s.from || publishedAt > s.to {
		return
	}
	if s.receivedAt[version] == nil {
		s.receivedAt[version] = map[int]time.Duration{}
		s.publications = append(s.publications, publication{
			sequence: version.sequence,
			at:       publishedAt,
			number:   s.fleet.reportNumber[version],
		})
	}
	if _, received := s.receivedAt[version][by.index]; !received {
		s.receivedAt[version][by.index] = s.Now()
	}
}

// delays returns the sorted delays of each publication that reached all other relays. A delay is the time until one
// relay received the published version or a later one.
func (s *spreadMeasurement) delays() (all [][]time.Duration) {
	for _, p := range s.publications {
		firstAt := map[int]time.Duration{}
		for version, receivedAt := range s.receivedAt {
			if version.sequence < p.sequence || s.fleet.reportNumber[version] != p.number {
				continue
			}
			for relay, at := range receivedAt {
				if before, ok := firstAt[relay]; !ok || at < before {
					firstAt[relay] = at
				}
			}
		}
		var delays []time.Duration
		for _, at := range firstAt {
			delays = append(delays, at-p.at)
		}
		if len(delays) == len(s.relays)-1 {
			slices.Sort(delays)
			all = append(all, delays)
		}
	}
	return all
}

// medianDelay returns the median, over the publications, of the delay until a share of the other relays had received
// the publication; 0 if no publication reached all of them.
func (s *spreadMeasurement) medianDelay(all [][]time.Duration, share float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	others := len(s.relays) - 1
	var delays []time.Duration
	for _, d := range all {
		delays = append(delays, d[min(others-1, int(share*float64(others)))])
	}
	slices.Sort(delays)
	return delays[len(delays)/2].Round(time.Millisecond)
}
