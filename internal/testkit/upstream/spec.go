package upstream

import (
	"fmt"
	"strings"
	"time"
)

// maxServiceTimeVariation bounds the coefficient of variation. With a larger one, nearly all lognormal service times
// are far below their mean, and a run is too short for its average to reach the mean.
const maxServiceTimeVariation = 3

// Spec is the specification of an upstream service.
type Spec struct {
	ServiceTime time.Duration // mean time to serve a call when warm
	// ServiceTimeVariation is the coefficient of variation of the lognormal service time; 0: the time is constant.
	ServiceTimeVariation float64
	// ExponentialServiceTime makes the service time exponential instead of lognormal, for comparisons with queueing
	// theory.
	ExponentialServiceTime bool
	MaxConcurrentCalls     int           // calls served by one endpoint at the same time
	MaxQueueTime           time.Duration // longest wait for a free slot; calls that would wait longer are rejected
	ExtraMessageCost       float64       // work for each further message of a call, relative to the first

	Limit           LimitKind
	LimitRate       float64       // calls a second
	LimitWindow     time.Duration // FixedWindow: the length of a window
	RetryAfterRatio float64       // ratio of rejections that carry a Retry-After
	MinRetryAfter   time.Duration // the shortest Retry-After
	CountsRejected  bool          // TokenBucket: rejected calls use up tokens too
	// MaxDebt bounds how far in advance rejected calls use up a TokenBucket, in time at the rate of the limit; 0: the
	// bound is the size of the bucket.
	MaxDebt time.Duration

	WarmUpInitialCapacity float64       // capacity of a service when it recovers, relative to its full capacity
	WarmUpDuration        time.Duration // time from recovery to full capacity
	// OverloadFactor is the multiple of its current capacity above which load overloads a service that is warming up.
	// An overloaded service stays out of service. 0: no load overloads it.
	OverloadFactor float64
	OverloadWindow time.Duration // time over which load is compared with capacity
}

// Validate returns an error that describes the first invalid value.
func (s Spec) Validate() error {
	if err := s.validateCalls(); err != nil {
		return err
	}
	if err := s.validateLimit(); err != nil {
		return err
	}
	return s.validateWarmUp()
}

func (s Spec) validateCalls() error {
	switch {
	case s.ServiceTime <= 0 || s.MaxConcurrentCalls <= 0:
		return fmt.Errorf("pace %v and slots %d must be above 0", s.ServiceTime, s.MaxConcurrentCalls)
	case s.ServiceTimeVariation < 0 || s.ServiceTimeVariation > maxServiceTimeVariation:
		return fmt.Errorf("spread %v must be 0 to %d", s.ServiceTimeVariation, maxServiceTimeVariation)
	case s.MaxQueueTime < 0 || s.MinRetryAfter < 0 || s.ExtraMessageCost < 0:
		return fmt.Errorf("queue %v, wait %v and item_cost %v must not be below 0",
			s.MaxQueueTime, s.MinRetryAfter, s.ExtraMessageCost)
	}
	return nil
}

func (s Spec) validateLimit() error {
	if s.Limit != NoLimit && s.Limit != TokenBucket && s.Limit != FixedWindow {
		return fmt.Errorf("unknown limit %q, must be none, rate or window", s.Limit)
	}
	switch {
	case s.Limit != NoLimit && s.LimitRate <= 0:
		return fmt.Errorf("limit %q needs a rate above 0", s.Limit)
	case s.Limit == FixedWindow && s.LimitRate*s.LimitWindow.Seconds() < 1:
		return fmt.Errorf("limit %q: a rate of %v calls a second admits no call in a window of %v",
			s.Limit, s.LimitRate, s.LimitWindow)
	case s.RetryAfterRatio < 0 || s.RetryAfterRatio > 1:
		return fmt.Errorf("tells_wait %v must be 0 to 1", s.RetryAfterRatio)
	}
	return nil
}

func (s Spec) validateWarmUp() error {
	debtCounts := s.CountsRejected && s.Limit == TokenBucket
	switch {
	case s.WarmUpInitialCapacity <= 0 || s.WarmUpInitialCapacity > 1:
		return fmt.Errorf("cold_from %v must be above 0 and at most 1", s.WarmUpInitialCapacity)
	case s.MaxDebt < 0 || s.MaxDebt > 0 && !debtCounts:
		return fmt.Errorf("refused_debt %v needs limit = \"rate\" and refused_count = true, and must not be below 0",
			s.MaxDebt)
	case s.WarmUpDuration < 0:
		return fmt.Errorf("warm %v must not be below 0", s.WarmUpDuration)
	case s.OverloadFactor > 0 && s.OverloadWindow <= 0:
		return fmt.Errorf("fall_window %v must be above 0", s.OverloadWindow)
	}
	return nil
}

// EndpointCapacity returns the number of calls a second that one warm endpoint can serve.
func (s Spec) EndpointCapacity() float64 {
	return float64(s.MaxConcurrentCalls) / s.ServiceTime.Seconds()
}

// CallWeight returns the work of a call with a number of messages, relative to a call with one message.
func (s Spec) CallWeight(messages int) float64 {
	return 1 + s.ExtraMessageCost*float64(max(0, messages-1))
}

// String returns the text form of a specification. The digest of a plan includes it, and stored records hold the
// digest. The keys in the text and their order must therefore not change, even if a field is renamed. A MaxDebt of 0
// is left out, so that plans from before MaxDebt existed keep their digests.
func (s Spec) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "{Pace:%v Spread:%v", s.ServiceTime, s.ServiceTimeVariation)
	fmt.Fprintf(&text, " Exponential:%v Slots:%v", s.ExponentialServiceTime, s.MaxConcurrentCalls)
	fmt.Fprintf(&text, " Queue:%v ItemCost:%v", s.MaxQueueTime, s.ExtraMessageCost)
	fmt.Fprintf(&text, " Limit:%v Rate:%v Window:%v", s.Limit, s.LimitRate, s.LimitWindow)
	fmt.Fprintf(&text, " TellsWait:%v LeastWait:%v Counts:%v", s.RetryAfterRatio, s.MinRetryAfter, s.CountsRejected)
	if s.MaxDebt != 0 {
		fmt.Fprintf(&text, " Debt:%v", s.MaxDebt)
	}
	fmt.Fprintf(&text, " ColdShare:%v Warm:%v", s.WarmUpInitialCapacity, s.WarmUpDuration)
	fmt.Fprintf(&text, " FallMultiple:%v FallWindow:%v}", s.OverloadFactor, s.OverloadWindow)
	return text.String()
}
