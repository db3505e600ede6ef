// Package upstream is a model of the services that a relay delivers to: how fast they are, what they reject, how they
// fail, and how they recover. It does no I/O and reads no clock: the caller passes the time of each call and gets the
// service's response, so that the same calls at the same times always get the same responses.
//
// A Service is what shares one rate limit, one service time and one outage: a destination with all its endpoints, or
// one endpoint if the endpoints of the destination have limits of their own.
package upstream

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// errorLatency is the time to a rejection or an error, which need no work.
	errorLatency = 2 * time.Millisecond
	// minRetryAfter is the least Retry-After that is sent at all, since 0 means none.
	minRetryAfter = time.Millisecond
	// randomStream is the second half of the generator's seed: the fraction of the golden ratio in 64 bits.
	randomStream = 0x9e3779b97f4a7c15
)

// Result is the kind of a response.
type Result int

// The results.
const (
	Served Result = iota
	Rejected
	Failed     // answered with an error; the call may have run
	Unanswered // no answer comes; the call may have run
)

// Response is how a service responds to a call.
type Response struct {
	Result         Result
	Latency        time.Duration // from the call's arrival to its answer; not set if Unanswered
	RetryAfter     time.Duration // Rejected: the Retry-After; 0: none
	CausedOverload bool          // this call overloaded the service
	ResponseLost   bool          // Served: the answer is lost, together with the connection that it is sent on
}

// Service is an upstream service at work. It is not safe for concurrent use.
type Service struct {
	Spec
	random    *rand.Rand
	endpoints map[string][]time.Duration // when each slot of an endpoint becomes free
	limiter   limiter

	// Faults, set by the caller.
	slowdown          float64 // factor on service times; 1: none
	limitDivisor      float64 // divides the limit's rate; 1: none
	failureRatio      float64 // the ratio of calls that fail
	responseLossRatio float64 // the ratio of answers that are lost
	suspended         bool
	suspendedUntil    time.Duration // as Retry-After says; 0: no Retry-After
	silent            bool

	overloaded bool
	warmUp     WarmUp
	warmingUp  bool
	arrivals   []arrival // within the overload window, while warming up
}

// New returns a service at full capacity without endpoints. The seed determines its service times and rejections.
func New(spec Spec, seed uint64) *Service {
	s := &Service{
		Spec:         spec,
		slowdown:     1,
		limitDivisor: 1,
		endpoints:    map[string][]time.Duration{},
		random:       rand.New(rand.NewPCG(seed, randomStream)),
	}
	s.limiter.tokens = s.burstSize()
	return s
}

// AddEndpoint adds an endpoint to the service.
func (s *Service) AddEndpoint(endpoint string) {
	if s.endpoints[endpoint] == nil {
		s.endpoints[endpoint] = make([]time.Duration, s.MaxConcurrentCalls)
	}
}

// RemoveEndpoint removes an endpoint. Calls that it is serving go on.
func (s *Service) RemoveEndpoint(endpoint string) { delete(s.endpoints, endpoint) }

// Capacity returns how many calls a second the service can serve when warm.
func (s *Service) Capacity() float64 { return float64(len(s.endpoints)) * s.EndpointCapacity() }

// SetSlowdown multiplies service times by a factor; 1 ends the fault.
func (s *Service) SetSlowdown(factor float64) { s.slowdown = factor }

// SetLimitDivisor divides the limit's rate without notice to callers; 1 ends the fault.
func (s *Service) SetLimitDivisor(factor float64) { s.limitDivisor = factor }

// SetFailureRatio makes a ratio of the calls fail quickly; 0 ends the fault.
func (s *Service) SetFailureRatio(ratio float64) { s.failureRatio = ratio }

// SetResponseLossRatio makes a ratio of the answers to served calls get lost; 0 ends the fault.
func (s *Service) SetResponseLossRatio(ratio float64) { s.responseLossRatio = ratio }

// Suspend makes the service reject all calls. Its Retry-After refers to until; 0 sends none.
func (s *Service) Suspend(until time.Duration) {
	s.suspended = true
	s.suspendedUntil = until
}

// Resume ends Suspend.
func (s *Service) Resume() {
	s.suspended = false
	s.suspendedUntil = 0
}

// SetSilent makes the service leave all calls unanswered, or ends that.
func (s *Service) SetSilent(on bool) { s.silent = on }

// Overloaded reports whether the service was overloaded while it warmed up. It then stays out of service.
func (s *Service) Overloaded() bool { return s.overloaded }

// HandleCall returns the response to a call with a number of messages that reaches an endpoint at a time. Times must
// not decrease from call to call.
func (s *Service) HandleCall(at time.Duration, endpoint string, messages int) Response {
	if s.recordArrival(at, messages) {
		return Response{Result: Unanswered, CausedOverload: true}
	}
	switch {
	case s.overloaded || s.silent:
		return Response{Result: Unanswered}
	case s.suspended:
		return s.rejectSuspended(at)
	case s.failureRatio > 0 && s.random.Float64() < s.failureRatio:
		return Response{Result: Failed, Latency: errorLatency}
	}
	if wait, limited := s.checkLimit(at); limited {
		return s.reject(wait)
	}
	return s.serve(at, endpoint, messages)
}

// serve assigns a call to the slot of the endpoint that is free first.
func (s *Service) serve(at time.Duration, endpoint string, messages int) Response {
	slots := s.endpoints[endpoint]
	if slots == nil {
		return s.reject(0) // the endpoint was removed
	}
	first := 0
	for i := range slots {
		if slots[i] < slots[first] {
			first = i
		}
	}
	start := max(at, slots[first])
	if start-at > s.MaxQueueTime {
		return s.reject(0)
	}
	s.consumeLimit()
	slots[first] = start + s.drawServiceTime(at, messages)
	return Response{
		Result:       Served,
		Latency:      slots[first] - at,
		ResponseLost: s.responseLossRatio > 0 && s.random.Float64() < s.responseLossRatio,
	}
}

// reject rejects a call. wait is the time until the service admits one, 0 if that is not known.
func (s *Service) reject(wait time.Duration) Response {
	response := Response{Result: Rejected, Latency: errorLatency}
	if s.random.Float64() < s.RetryAfterRatio {
		response.RetryAfter = max(wait, s.MinRetryAfter, minRetryAfter)
	}
	return response
}

// rejectSuspended rejects a call while the service is suspended.
func (s *Service) rejectSuspended(at time.Duration) Response {
	response := s.reject(0)
	if s.suspendedUntil > at && response.RetryAfter > 0 {
		response.RetryAfter = s.suspendedUntil - at
	} else {
		response.RetryAfter = 0
	}
	return response
}

// drawServiceTime draws how long a call takes to serve.
func (s *Service) drawServiceTime(at time.Duration, messages int) time.Duration {
	nanoseconds := float64(s.ServiceTime) * s.slowdown * s.CallWeight(messages)
	if s.warmingUp {
		nanoseconds *= s.warmUp.FullCapacity / s.warmUp.CapacityAt(at)
	}
	if s.ExponentialServiceTime {
		nanoseconds *= s.random.ExpFloat64()
	} else if s.ServiceTimeVariation > 0 {
		variance := math.Log(1 + s.ServiceTimeVariation*s.ServiceTimeVariation)
		nanoseconds *= math.Exp(s.random.NormFloat64()*math.Sqrt(variance) - variance/2)
	}
	return time.Duration(nanoseconds)
}
