package upstream

import (
	"math"
	"time"
)

// WarmUp describes how the capacity of a service rises after an outage.
type WarmUp struct {
	StartedAt       time.Duration // when the service recovered
	FullCapacity    float64       // calls a second when warm
	InitialCapacity float64       // capacity at StartedAt, relative to FullCapacity
	Duration        time.Duration // time from StartedAt to full capacity
}

// CapacityAt returns the capacity at a time, in calls a second. The capacity rises linearly.
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

// OverloadBudget returns the number of calls that a service with a capacity (calls a second) can receive within a
// window without being overloaded. It is factor times the capacity, and the square root of that number as an
// allowance for random variation: one standard deviation of the number of calls if they arrive independently.
func OverloadBudget(factor, capacity float64, window time.Duration) float64 {
	calls := factor * capacity * window.Seconds()
	return calls + math.Sqrt(calls)
}

// arrival is a call that reached a service while the service warmed up.
type arrival struct {
	at     time.Duration
	weight float64 // see Spec.CallWeight
}

// Recover starts the warm-up of a service at the end of an outage. Calls from before the outage no longer occupy slots.
// Recover does not end the fault that caused the outage: the caller does, for example with Resume.
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

// recordArrival adds a call to the load of a service that is warming up, and reports whether the call overloads it.
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
