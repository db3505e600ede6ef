package scenario

import "cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"

// RecordHeader returns the header of the event record of a run of the scenario with a seed.
func (f *File) RecordHeader(seed uint64) eventlog.Header {
	s := f.Settings
	header := eventlog.Header{
		Scenario: f.Name,
		Seed:     seed,
		Duration: f.Length.AsDuration(),
		Rules: eventlog.Rules{
			DrainGrace:           s.DrainGrace.AsDuration(),
			OverloadFactor:       s.OverloadFactor,
			OverloadWindow:       s.OverloadWindow.AsDuration(),
			OrderingPause:        s.OrderingPause.AsDuration(),
			DuplicatesAllowed:    *s.DuplicatesAllowed,
			OverShareWeightRatio: *s.OverShareWeightRatio,
		},
	}
	for i := range f.Relays {
		header.Relays = append(header.Relays, RelayName(i+1))
	}
	for _, c := range f.Classes {
		header.Classes = append(header.Classes, eventlog.Class{
			Name:             c.Name,
			Effect:           c.Effect,
			DedupAcrossZones: c.DedupScope == DedupAcrossZones,
			DedupWindow:      c.DedupWindow.AsDuration(),
			Ordered:          c.Ordered,
			LatencyObjective: c.LatencyObjective.AsDuration(),
			Deadline:         c.Deadline.AsDuration(),
			Weight:           c.Weight,
			LateWeightRatio:  c.LateWeightRatio,
		})
	}
	for _, c := range f.Customers {
		header.Customers = append(header.Customers, eventlog.Customer{Name: c.Name, RateShare: c.Quota})
	}
	return header
}
