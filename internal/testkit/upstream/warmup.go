package upstream

import (
	"math"
	"time"
)

// WarmUp describes the capacity of a service after it has recovered from an outage.
type WarmUp struct {
	StartedAt       time.Duration // when the service recovered
	FullCapacity    float64       // calls a second when warm
	InitialCapacity float64       // the ratio of FullCapacity at StartedAt
	Duration        time.Duration // time from StartedAt to full capacity
}

// CapacityAt returns the capacity at a time, in calls a second. It rises linearly.
func (w WarmUp) CapacityAt(at time.Duration) float64 {
	switch elapsed := at - w.StartedAt; {
	case elapsed >= w.Duration:
		return w.FullCapacity
	case elapsed < 0:
		return 0
	default:
		gained := (1 - w.InitialCapacity) * float64(elapsed) / float64(w.Duration)
		return w.FullCapacity * (w.InitialCapacity + gained)
	}
}

// OverloadBudget returns how many calls a service of a capacity (calls a second) bears within a window if it bears a
// multiple of its capacity. The square root allows for chance: it is one standard deviation of as many independent
// arrivals.
func OverloadBudget(factor, capacity float64, window time.Duration) float64 {
	calls := factor * capacity * window.Seconds()
	return calls + math.Sqrt(calls)
}

// arrival is a call that reached a service while it warmed up.
type arrival struct {
	at     time.Duration
	weight float64
}

// Recover ends an outage at a time: the service warms up, and calls from before the outage occupy no slot any more.
func (s *Service) Recover(at time.Duration) WarmUp {
	s.warmUp = WarmUp{
		StartedAt:       at,
		FullCapacity:    s.Capacity(),
		InitialCapacity: s.WarmUpInitialCapacity,
		Duration:        s.WarmUpDuration,
	}
	s.warmingUp = true
	s.arrivals = s.arrivals[:0]
	for _, slots := range s.endpoints {
		clear(slots)
	}
	return s.warmUp
}

// recordArrival adds a call to the load of a service that warms up, and reports whether this call overloads it.
func (s *Service) recordArrival(at time.Duration, messages int) bool {
	if !s.warmingUp || s.overloaded || s.OverloadFactor <= 0 {
		return false
	}
	if at-s.warmUp.StartedAt >= s.warmUp.Duration {
		s.warmingUp = false
		s.arrivals = nil
		return false
	}
	expired := 0
	for expired < len(s.arrivals) && s.arrivals[expired].at <= at-s.OverloadWindow {
		expired++
	}
	s.arrivals = append(s.arrivals[expired:], arrival{at: at, weight: s.CallWeight(messages)})
	load := 0.0
	for _, a := range s.arrivals {
		load += a.weight
	}
	if load > OverloadBudget(s.OverloadFactor, s.warmUp.CapacityAt(at), s.OverloadWindow) {
		s.overloaded = true
		s.arrivals = nil
	}
	return s.overloaded
}
