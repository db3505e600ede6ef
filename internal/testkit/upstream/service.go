// Package upstream models the services to which relays deliver messages: how long they take to serve a call, which
// calls they reject, how they fail and how they recover. It does no I/O and reads no clock: the caller passes the
// time of each call and gets the response. The same calls at the same times always get the same responses.
//
// A Service has one rate limit, one distribution of service times and one outage state. It models a destination with
// all its endpoints, or a single endpoint if the endpoints of the destination have limits of their own.
package upstream

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// errorLatency is the latency of rejections and errors, for which the service does no work.
	errorLatency = 2 * time.Millisecond
	// minRetryAfter is the shortest Retry-After that is sent, since 0 means that none is sent.
	minRetryAfter = time.Millisecond
	// randomStream is the second half of the random generator's seed: the fraction of the golden ratio, in 64 bits.
	randomStream = 0x9e3779b97f4a7c15
)

// Result is the kind of a response.
type Result int

// The kinds of response.
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
	RetryAfter     time.Duration // Rejected: the Retry-After that is sent; 0: none
	CausedOverload bool          // this call overloaded the service
	ResponseLost   bool          // Served: the answer is lost, together with its connection
}

// Service is the state of an upstream service. It is not safe for concurrent use.
type Service struct {
	Spec
	random    *rand.Rand
	endpoints map[string][]time.Duration // by endpoint: the time at which each slot becomes free
	limiter   limiter

	// Faults, set by the caller.
	slowdown          float64 // multiplies service times; 1: none
	limitDivisor      float64 // divides the limit's rate; 1: none
	failureRatio      float64 // ratio of calls that fail
	responseLossRatio float64 // ratio of answers to served calls that are lost
	suspended         bool
	suspendedUntil    time.Duration // the time that Retry-After refers to; 0: no Retry-After
	silent            bool

	overloaded bool
	warmUp     WarmUp
	warmingUp  bool
	arrivals   []arrival // calls within the overload window; used while warming up
}

// New returns a service at full capacity, without endpoints. The seed determines its random choices, such as service
// times.
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

// RemoveEndpoint removes an endpoint. Calls that it has begun to serve complete.
func (s *Service) RemoveEndpoint(endpoint string) { delete(s.endpoints, endpoint) }

// Capacity returns the number of calls a second that the service can serve when warm.
func (s *Service) Capacity() float64 { return float64(len(s.endpoints)) * s.EndpointCapacity() }

// SetSlowdown multiplies service times by a factor; 1 ends the fault.
func (s *Service) SetSlowdown(factor float64) { s.slowdown = factor }

// SetLimitDivisor divides the limit's rate without notice to callers; 1 ends the fault.
func (s *Service) SetLimitDivisor(factor float64) { s.limitDivisor = factor }

// SetFailureRatio sets the ratio of calls that fail immediately; 0 ends the fault.
func (s *Service) SetFailureRatio(ratio float64) { s.failureRatio = ratio }

// SetResponseLossRatio sets the ratio of answers to served calls that are lost; 0 ends the fault.
func (s *Service) SetResponseLossRatio(ratio float64) { s.responseLossRatio = ratio }

// Suspend makes the service reject all calls until Resume is called. A Retry-After that is sent with a rejection
// refers to until; if until is 0 or over, none is sent.
func (s *Service) Suspend(until time.Duration) {
	s.suspended = true
	s.suspendedUntil = until
}

// Resume ends Suspend.
func (s *Service) Resume() {
	s.suspended = false
	s.suspendedUntil = 0
}

// SetSilent sets whether the service leaves all calls unanswered.
func (s *Service) SetSilent(on bool) { s.silent = on }

// Overloaded reports whether the service was overloaded while it warmed up. An overloaded service never recovers.
func (s *Service) Overloaded() bool { return s.overloaded }

// HandleCall returns the response to a call that reaches an endpoint at a time with a number of messages. The times
// must not decrease from call to call.
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

// serve assigns a call to the slot of the endpoint that becomes free first. It rejects a call that would wait longer
// than MaxQueueTime for the slot.
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

// reject returns a rejection. wait is the time until the service admits a call; 0: unknown.
func (s *Service) reject(wait time.Duration) Response {
	response := Response{Result: Rejected, Latency: errorLatency}
	if s.random.Float64() < s.RetryAfterRatio {
		response.RetryAfter = max(wait, s.MinRetryAfter, minRetryAfter)
	}
	return response
}

// rejectSuspended returns the rejection of a call while the service is suspended.
func (s *Service) rejectSuspended(at time.Duration) Response {
	response := s.reject(0)
	if s.suspendedUntil > at && response.RetryAfter > 0 {
		response.RetryAfter = s.suspendedUntil - at
	} else {
		response.RetryAfter = 0
	}
	return response
}

// drawServiceTime draws the time that the service takes to serve a call.
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
