package policy

import (
	"crypto/sha256"
	"embed"
	"encoding/hex"
	"math"
	"time"
)

// What a Sender tells of itself, for recordings and explanations. Nothing here decides.

//go:embed api.go many.go policy.go resume.go spent.go state.go
var sourceFiles embed.FS

// Revision names the text of the decisions as built: equal revisions decide alike.
func Revision() string {
	sum := sha256.New()
	files, _ := sourceFiles.ReadDir(".") // sorted; cannot fail
	for _, f := range files {
		data, _ := sourceFiles.ReadFile(f.Name())
		sum.Write(data)
	}
	return hex.EncodeToString(sum.Sum(nil)[:6])
}

// BlockCause is what keeps a message from a route.
type BlockCause int

// The causes, as they are looked at: the first that holds is told, of those with a time the one that holds longest.
const (
	NotBlocked        BlockCause = iota // nothing: it goes in its turn
	AttemptsExhausted                   // it has no attempt left, or its time is up
	EndpointDraining                    // the route drains
	WaitingForKey                       // an earlier message of its key is not finished
	WrongDedupZone                      // it may have run, and its repeat is dropped elsewhere only
	InsufficientTime                    // less time is left than an answer of the route takes
	TrialInFlight                       // the route is skipped, and the one trial call is out
	EndpointSaturated                   // too many slots are at the route, or its oldest calls are overdue
	OrderingPause
	RetryAfterPending
	EndpointEjected
	WarmUpBudget // the budget of a route that may be cold
	Paced
	ConcurrencyLimit
	NoEndpoint
)

// Blocker is what keeps a waiting message from a route. Until: math.MaxInt64 where only an outcome or the list ends it.
type Blocker struct {
	MessageID uint32
	Endpoint  string
	Cause     BlockCause
	Until     time.Duration
}

// Blockers tells what keeps the messages that wait, by destination and in order. It must be asked of a copy (Restore of
// a Snapshot): looking may cast doubt on a route, as dispatch itself does.
func (s *Engine) Blockers() (holds []Blocker) {
	for _, d := range s.sortedDestinations {
		for _, m := range d.queue {
			if !d.hasEndpoints() {
				holds = append(holds, Blocker{m.id, "", NoEndpoint, math.MaxInt64})
			}
			for _, g := range d.scopes {
				for _, r := range g.endpoints {
					c, at := s.findBlocker(m, r)
					holds = append(holds, Blocker{m.id, r.ID, c, at})
				}
			}
		}
	}
	return holds
}

func (s *Engine) findBlocker(m *message, r *endpoint) (BlockCause, time.Duration) {
	const never = time.Duration(math.MaxInt64)
	switch {
	case s.attemptsExhausted(m) || s.now >= m.deadline:
		return AttemptsExhausted, never
	case !r.InService || r.Removed:
		return EndpointDraining, never
	case m.keyQueue != nil && m.keyQueue.messages[0] != m:
		return WaitingForKey, never
	case s.attemptAllowedAt(m, r) == never:
		return WrongDedupZone, never
	case m.deadline-s.now < r.latencyMean:
		return InsufficientTime, never
	case r.ejected && len(r.calls) > 0:
		return TrialInFlight, never
	case s.saturated(r):
		return EndpointSaturated, never
	}
	cause, until := NotBlocked, s.now
	longer := func(c BlockCause, at time.Duration) {
		if at > until {
			cause, until = c, at
		}
	}
	if m.keyQueue != nil && m.attempts == 0 {
		longer(OrderingPause, m.keyQueue.pausedUntil)
	}
	longer(RetryAfterPending, r.scope.retryAfterUntil)
	longer(EndpointEjected, r.ejectedUntil)
	longer(WarmUpBudget, s.recoveryBudgetAt(r))
	longer(Paced, s.acceptsCallAt(r))
	if cause == NotBlocked && s.settings.MaxInFlightCalls > 0 && s.callsInFlight >= s.settings.MaxInFlightCalls {
		return ConcurrencyLimit, never
	}
	return cause, until
}

// EndpointView is what a Sender holds of a route and of its gate, the scope that shares a limit. Rates are in calls a
// second.
type EndpointView struct {
	Endpoint
	PacingRate, LastRejectedRate, Limit, FairShare          float64 // 0: free, none, not told
	RetryAfterUntil, DecreasedAt, EjectedUntil, RecoveredAt time.Duration
	LatencyMean                                             time.Duration // of its answers
	Ejected, WarmingUp, RecentlyHealthy                     bool          // Alive: it has answered of late
	// calls of the route, of its gate; messages waiting at the destination
	Calls, InFlight, Queued int
}

// Views tells of all routes, by destination, and how many slots are taken.
func (s *Engine) Views() (views []EndpointView, slots int) {
	for _, d := range s.sortedDestinations {
		for _, g := range d.scopes {
			for _, r := range g.endpoints {
				views = append(views, EndpointView{
					r.Endpoint, g.pacingRate, g.lastRejectedRate, s.knownLimit(g), s.fairShare(g), g.retryAfterUntil, g.decreasedAt, r.ejectedUntil,
					r.recoveredAt, r.latencyMean, r.ejected, r.warmingUp, s.recentlyHealthy(r), len(r.calls), g.inFlight, len(d.queue),
				})
			}
		}
	}
	return views, s.callsInFlight
}
