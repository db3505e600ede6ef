// Package partner is a model of the systems that a relay delivers to: how fast they are, what they refuse, how they
// fail, and how they come back. It does no I/O and reads no clock: it is told when a call comes and says what becomes
// of it, so that the same calls at the same times always fare the same.
//
// A Place is what has one limit, one pace and one outage: a destination with all its endpoints, or one endpoint where
// routes stand apart.
package upstream

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// LimitKind names how a place bounds the calls that it takes.
type LimitKind string

// The kinds of limit.
const (
	NoLimit     LimitKind = "none"
	TokenBucket LimitKind = "rate"   // so many calls a second, with room for a burst of a quarter of a second's
	FixedWindow LimitKind = "window" // so many in each fixed span of time
)

// Spec says what a place is like.
type Spec struct {
	ServiceTime          time.Duration // mean time to serve a call, warm
	ServiceTimeVariation float64       // coefficient of variation of that time (lognormal); 0: always the same
	// Exponential has that time be exponential in place of lognormal: for what queueing theory tells.
	ExponentialServiceTime bool
	MaxConcurrentCalls     int           // calls that an endpoint serves at once
	MaxQueueTime           time.Duration // a call that would wait longer than this for a slot is refused
	ExtraMessageCost       float64       // extra work for each further message in a call, as a share of one

	Limit           LimitKind
	LimitRate       float64       // calls a second
	LimitWindow     time.Duration // Counted: the span
	RetryAfterRatio float64       // share of refusals that tell how long to wait
	MinRetryAfter   time.Duration // and they tell this much at least
	CountsRejected  bool          // refused calls use up the limit too
	// Plain, Counts: what they use up ahead, at the limit's rate, at most; 0: as much as may come at once
	MaxDebt time.Duration

	WarmUpInitialCapacity float64       // of its capacity that a place has right after an outage
	WarmUpDuration        time.Duration // all of it after this
	OverloadFactor        float64       // sent more than so many times what it can do now; 0: it never falls
	OverloadWindow        time.Duration // within so long, it falls over and stays down
}

// Validate returns what is wrong with a specification.
func (s Spec) Validate() error {
	switch {
	case s.ServiceTime <= 0 || s.MaxConcurrentCalls <= 0:
		return fmt.Errorf("pace %v and slots %d must be above 0", s.ServiceTime, s.MaxConcurrentCalls)
	case s.ServiceTimeVariation < 0 || s.ServiceTimeVariation > 3:
		return fmt.Errorf("spread %v must be 0 to 3", s.ServiceTimeVariation)
	case s.MaxQueueTime < 0 || s.MinRetryAfter < 0 || s.ExtraMessageCost < 0:
		return fmt.Errorf("queue, wait and item cost must not be below 0")
	case s.Limit != NoLimit && s.Limit != TokenBucket && s.Limit != FixedWindow:
		return fmt.Errorf("unknown limit %q: none, rate or window", s.Limit)
	case s.Limit != NoLimit && s.LimitRate <= 0:
		return fmt.Errorf("limit %q needs a rate above 0", s.Limit)
	case s.Limit == FixedWindow && s.LimitRate*s.LimitWindow.Seconds() < 1:
		return fmt.Errorf("limit %q of %v a second lets nothing through in a window of %v", s.Limit, s.LimitRate, s.LimitWindow)
	case s.RetryAfterRatio < 0 || s.RetryAfterRatio > 1:
		return fmt.Errorf("tells_wait %v must be 0 to 1", s.RetryAfterRatio)
	case s.WarmUpInitialCapacity <= 0 || s.WarmUpInitialCapacity > 1:
		return fmt.Errorf("cold share %v must be above 0 and at most 1", s.WarmUpInitialCapacity)
	case s.MaxDebt < 0 || s.MaxDebt > 0 && (!s.CountsRejected || s.Limit != TokenBucket):
		return fmt.Errorf("debt %v needs a limit by rate that refused calls use up, and must not be below 0", s.MaxDebt)
	case s.WarmUpDuration < 0:
		return fmt.Errorf("warm %v must not be below 0", s.WarmUpDuration)
	case s.OverloadFactor > 0 && s.OverloadWindow <= 0:
		return fmt.Errorf("fall window %v must be above 0", s.OverloadWindow)
	}
	return nil
}

// EndpointCapacity is how many calls a second a warm endpoint can serve.
func (s Spec) EndpointCapacity() float64 {
	return float64(s.MaxConcurrentCalls) / s.ServiceTime.Seconds()
}

// WarmUp is the return of a place from an outage.
type WarmUp struct {
	StartedAt       time.Duration // when it came back
	FullCapacity    float64       // calls a second that it can do warm
	InitialCapacity float64       // of that, at first
	Duration        time.Duration // all of it after this
}

// CapacityAt is what the place can do at a time, in calls a second. It rises evenly.
func (c WarmUp) CapacityAt(at time.Duration) float64 {
	switch since := at - c.StartedAt; {
	case since >= c.Duration:
		return c.FullCapacity
	case since < 0:
		return 0
	default:
		return c.FullCapacity * (c.InitialCapacity + (1-c.InitialCapacity)*float64(since)/float64(c.Duration))
	}
}

// OverloadBudget is how much a place that can do rate calls a second bears within a span, if it bears multiple times that. The
// square root is the slack for chance: one standard deviation of as many independent arrivals.
func OverloadBudget(multiple, rate float64, span time.Duration) float64 {
	x := multiple * rate * span.Seconds()
	return x + math.Sqrt(x)
}

// CallWeight is how much a call with n messages weighs.
func (s Spec) CallWeight(n int) float64 { return 1 + s.ExtraMessageCost*float64(max(0, n-1)) }

// Result is what becomes of a call.
type Result int

// The results.
const (
	Served Result = iota
	Rejected
	Failed     // answered as an error: it may have run
	Unanswered // no answer comes; it may have run
)

// Response is what becomes of a call, and when.
type Response struct {
	Result         Result
	Latency        time.Duration // from its arrival to its answer; Mute: none comes
	RetryAfter     time.Duration // Refused: told to wait so long; 0: not told
	CausedOverload bool          // this call pushed the place over
	ResponseLost   bool          // Served: and the answer is lost, with the connection that it was to go out on
}

// Service is a destination, or a route apart, at work. It is not safe for concurrent use.
type Service struct {
	Spec
	random    *rand.Rand
	endpoints map[string][]time.Duration // when each slot is free

	// Trouble, set from outside.
	slowdown          float64 // factor; 1: none
	limitDivisor      float64 // the limit, by this factor; 1: it is not
	failureRatio      float64 // share of calls that fail
	responseLossRatio float64 // share of answers that are lost
	suspended         bool
	suspendedUntil    time.Duration // as it tells; 0: it does not tell
	silent            bool

	overloaded bool
	warmUp     WarmUp
	warmingUp  bool
	arrivals   []arrival // while cold, within the fall window

	tokens      float64 // Plain
	refilledAt  time.Duration
	windowCalls int // Counted
	windowIndex int64
}

type arrival struct {
	at     time.Duration
	weight float64
}

// New returns a place at full strength with no endpoints. seed makes its times and refusals.
func New(spec Spec, seed uint64) *Service {
	p := &Service{
		Spec:         spec,
		slowdown:     1,
		limitDivisor: 1,
		endpoints:    map[string][]time.Duration{},
		random:       rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
	}
	p.tokens = p.burstSize()
	return p
}

// limitRate is what the place takes now, in calls a second.
func (p *Service) limitRate() float64 { return p.LimitRate / p.limitDivisor }

func (p *Service) burstSize() float64 { return max(1, p.limitRate()/4) }

// maxDebtCalls is how many calls refused ones may use up ahead.
func (p *Service) maxDebtCalls() float64 {
	if p.MaxDebt > 0 {
		return p.limitRate() * p.MaxDebt.Seconds()
	}
	return p.burstSize()
}

// AddEndpoint gives the place an endpoint.
func (p *Service) AddEndpoint(endpoint string) {
	if p.endpoints[endpoint] == nil {
		p.endpoints[endpoint] = make([]time.Duration, p.MaxConcurrentCalls)
	}
}

// RemoveEndpoint takes an endpoint away; calls that it serves go on.
func (p *Service) RemoveEndpoint(endpoint string) { delete(p.endpoints, endpoint) }

// Capacity is what the place can do warm, in calls a second.
func (p *Service) Capacity() float64 { return float64(len(p.endpoints)) * p.EndpointCapacity() }

// SetSlowdown has everything take factor times as long; 1 ends it.
func (p *Service) SetSlowdown(factor float64) { p.slowdown = factor }

// SetLimitDivisor has the place take so many times less than its limit, untold; 1 ends it.
func (p *Service) SetLimitDivisor(factor float64) { p.limitDivisor = factor }

// SetFailureRatio has a share of the calls fail quickly; 0 ends it.
func (p *Service) SetFailureRatio(share float64) { p.failureRatio = share }

// SetResponseLossRatio has a share of the answers to calls that were served be lost; 0 ends it.
func (p *Service) SetResponseLossRatio(share float64) { p.responseLossRatio = share }

// Suspend has the place refuse all. till is when it says that it opens, 0 if it does not say.
func (p *Service) Suspend(till time.Duration) { p.suspended, p.suspendedUntil = true, till }

// Resume ends Shut.
func (p *Service) Resume() { p.suspended, p.suspendedUntil = false, 0 }

// SetSilent has the place answer nothing, or again.
func (p *Service) SetSilent(on bool) { p.silent = on }

// Recover has the place come back cold from an outage at a time: nothing of what it did before counts.
func (p *Service) Recover(at time.Duration) WarmUp {
	p.warmUp = WarmUp{StartedAt: at, FullCapacity: p.Capacity(), InitialCapacity: p.WarmUpInitialCapacity, Duration: p.WarmUpDuration}
	p.warmingUp, p.arrivals = true, p.arrivals[:0]
	for _, slots := range p.endpoints {
		clear(slots)
	}
	return p.warmUp
}

// Overloaded tells whether the place was pushed over.
func (p *Service) Overloaded() bool { return p.overloaded }

// HandleCall says what becomes of a call with n messages that comes to an endpoint at a time. Times must not go back.
func (p *Service) HandleCall(at time.Duration, endpoint string, n int) Response {
	if p.recordArrival(at, n) {
		return Response{Result: Unanswered, CausedOverload: true}
	}
	switch {
	case p.overloaded || p.silent:
		return Response{Result: Unanswered}
	case p.suspended:
		f := p.reject(0)
		if p.suspendedUntil > at && f.RetryAfter > 0 {
			f.RetryAfter = p.suspendedUntil - at
		} else {
			f.RetryAfter = 0
		}
		return f
	case p.failureRatio > 0 && p.random.Float64() < p.failureRatio:
		return Response{Result: Failed, Latency: errorLatency}
	}
	if wait, full := p.checkLimit(at); full {
		return p.reject(wait)
	}
	slots := p.endpoints[endpoint]
	if slots == nil {
		return p.reject(0) // it has left the place
	}
	free := 0
	for i := range slots {
		if slots[i] < slots[free] {
			free = i
		}
	}
	start := max(at, slots[free])
	if start-at > p.MaxQueueTime {
		return p.reject(0)
	}
	p.consumeLimit()
	slots[free] = start + p.drawServiceTime(at, n)
	return Response{Result: Served, Latency: slots[free] - at, ResponseLost: p.responseLossRatio > 0 && p.random.Float64() < p.responseLossRatio}
}

// errorLatency is how fast refusals and errors come.
const errorLatency = 2 * time.Millisecond

// reject turns a call away; wait is how long there is no room, 0 if that is not known.
func (p *Service) reject(wait time.Duration) Response {
	f := Response{Result: Rejected, Latency: errorLatency}
	if p.random.Float64() < p.RetryAfterRatio {
		f.RetryAfter = max(wait, p.MinRetryAfter, time.Millisecond)
	}
	return f
}

// checkLimit tells whether the limit has no room, and how long.
func (p *Service) checkLimit(at time.Duration) (wait time.Duration, full bool) {
	switch p.Limit {
	case TokenBucket:
		p.tokens = min(p.burstSize(), p.tokens+p.limitRate()*(at-p.refilledAt).Seconds())
		p.refilledAt = at
		if p.tokens < 1 {
			if p.CountsRejected {
				p.tokens = max(p.tokens-1, -p.maxDebtCalls())
			}
			return time.Duration((1 - p.tokens) / p.limitRate() * float64(time.Second)), true
		}
	case FixedWindow:
		if w := int64(at / p.LimitWindow); w != p.windowIndex {
			p.windowIndex, p.windowCalls = w, 0
		}
		if float64(p.windowCalls) >= math.Floor(p.limitRate()*p.LimitWindow.Seconds()) {
			return time.Duration(p.windowIndex+1)*p.LimitWindow - at, true
		}
	}
	return 0, false
}

// consumeLimit counts a call that is served.
func (p *Service) consumeLimit() {
	switch p.Limit {
	case TokenBucket:
		p.tokens--
	case FixedWindow:
		p.windowCalls++
	}
}

// drawServiceTime draws how long a call takes.
func (p *Service) drawServiceTime(at time.Duration, n int) time.Duration {
	x := float64(p.ServiceTime) * p.slowdown * p.CallWeight(n)
	if p.warmingUp {
		x *= p.warmUp.FullCapacity / p.warmUp.CapacityAt(at)
	}
	if p.ExponentialServiceTime {
		x *= p.random.ExpFloat64()
	} else if p.ServiceTimeVariation > 0 {
		v := math.Log(1 + p.ServiceTimeVariation*p.ServiceTimeVariation)
		x *= math.Exp(p.random.NormFloat64()*math.Sqrt(v) - v/2)
	}
	return time.Duration(x)
}

// recordArrival counts a call against what a cold place bears, and tells whether this one is too much.
func (p *Service) recordArrival(at time.Duration, n int) bool {
	if !p.warmingUp || p.overloaded || p.OverloadFactor <= 0 {
		return false
	}
	if at-p.warmUp.StartedAt >= p.warmUp.Duration {
		p.warmingUp, p.arrivals = false, nil
		return false
	}
	old := 0
	for old < len(p.arrivals) && p.arrivals[old].at <= at-p.OverloadWindow {
		old++
	}
	p.arrivals = append(p.arrivals[old:], arrival{at, p.CallWeight(n)})
	sum := 0.0
	for _, a := range p.arrivals {
		sum += a.weight
	}
	if sum > OverloadBudget(p.OverloadFactor, p.warmUp.CapacityAt(at), p.OverloadWindow) {
		p.overloaded, p.arrivals = true, nil
	}
	return p.overloaded
}
