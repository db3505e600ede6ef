package upstream

import (
	"math"
	"time"
)

// LimitKind is how a service limits the rate of calls. The values appear in scenario files.
type LimitKind string

// The kinds of limit.
const (
	NoLimit     LimitKind = "none"
	TokenBucket LimitKind = "rate"   // calls a second, with bursts of up to burstRatio times that
	FixedWindow LimitKind = "window" // calls in each window of a fixed length
)

// burstRatio is the size of a token bucket, relative to the calls of one second.
const burstRatio = 0.25

// limiter is the state of a service's rate limit.
type limiter struct {
	tokens      float64       // TokenBucket; below 0 if rejected calls used up tokens in advance
	refilledAt  time.Duration // TokenBucket: time of the last refill
	windowIndex int64         // FixedWindow: number of the current window, counted from time 0
	windowCalls int           // FixedWindow: calls served in the current window
}

// effectiveLimitRate returns the limit divided by limitDivisor, in calls a second.
func (s *Service) effectiveLimitRate() float64 { return s.LimitRate / s.limitDivisor }

// burstSize returns the size of the token bucket, in calls.
func (s *Service) burstSize() float64 { return max(1, s.effectiveLimitRate()*burstRatio) }

// maxDebtCalls returns how far below 0 rejected calls may take the tokens of the bucket.
func (s *Service) maxDebtCalls() float64 {
	if s.MaxDebt > 0 {
		return s.effectiveLimitRate() * s.MaxDebt.Seconds()
	}
	return s.burstSize()
}

// checkLimit reports whether the limit rejects a call at a time. If so, wait is the time until the limit admits one.
func (s *Service) checkLimit(at time.Duration) (wait time.Duration, limited bool) {
	switch s.Limit {
	case TokenBucket:
		return s.checkTokenBucket(at)
	case FixedWindow:
		return s.checkFixedWindow(at)
	case NoLimit:
	}
	return 0, false
}

func (s *Service) checkTokenBucket(at time.Duration) (wait time.Duration, limited bool) {
	rate := s.effectiveLimitRate()
	s.limiter.tokens = min(s.burstSize(), s.limiter.tokens+rate*(at-s.limiter.refilledAt).Seconds())
	s.limiter.refilledAt = at
	if s.limiter.tokens >= 1 {
		return 0, false
	}
	if s.CountsRejected {
		s.limiter.tokens = max(s.limiter.tokens-1, -s.maxDebtCalls())
	}
	return time.Duration((1 - s.limiter.tokens) / rate * float64(time.Second)), true
}

func (s *Service) checkFixedWindow(at time.Duration) (wait time.Duration, limited bool) {
	index := int64(at / s.LimitWindow)
	if index != s.limiter.windowIndex {
		s.limiter.windowIndex = index
		s.limiter.windowCalls = 0
	}
	maxCalls := math.Floor(s.effectiveLimitRate() * s.LimitWindow.Seconds())
	if float64(s.limiter.windowCalls) < maxCalls {
		return 0, false
	}
	return time.Duration(index+1)*s.LimitWindow - at, true
}

// consumeLimit counts a served call against the limit.
func (s *Service) consumeLimit() {
	switch s.Limit {
	case TokenBucket:
		s.limiter.tokens--
	case FixedWindow:
		s.limiter.windowCalls++
	case NoLimit:
	}
}
