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
var text embed.FS

// Revision names the text of the decisions as built: equal revisions decide alike.
func Revision() string {
	sum := sha256.New()
	files, _ := text.ReadDir(".") // sorted; cannot fail
	for _, f := range files {
		data, _ := text.ReadFile(f.Name())
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
	for _, d := range s.order {
		for _, m := range d.queue {
			if !d.routed() {
				holds = append(holds, Blocker{m.id, "", NoEndpoint, math.MaxInt64})
			}
			for _, g := range d.gates {
				for _, r := range g.routes {
					c, at := s.hold(m, r)
					holds = append(holds, Blocker{m.id, r.ID, c, at})
				}
			}
		}
	}
	return holds
}

func (s *Engine) hold(m *message, r *route) (BlockCause, time.Duration) {
	const never = time.Duration(math.MaxInt64)
	switch {
	case s.spent(m) || s.now >= m.deadline:
		return AttemptsExhausted, never
	case !r.InService || r.Removed:
		return EndpointDraining, never
	case m.turn != nil && m.turn.line[0] != m:
		return WaitingForKey, never
	case s.mayAttempt(m, r) == never:
		return WrongDedupZone, never
	case m.deadline-s.now < r.mean:
		return InsufficientTime, never
	case r.down && len(r.calls) > 0:
		return TrialInFlight, never
	case s.crammed(r):
		return EndpointSaturated, never
	}
	cause, until := NotBlocked, s.now
	longer := func(c BlockCause, at time.Duration) {
		if at > until {
			cause, until = c, at
		}
	}
	if m.turn != nil && m.sends == 0 {
		longer(OrderingPause, m.turn.rest)
	}
	longer(RetryAfterPending, r.gate.wait)
	longer(EndpointEjected, r.skipUntil)
	longer(WarmUpBudget, s.coldUntil(r))
	longer(Paced, s.opensAt(r))
	if cause == NotBlocked && s.set.MaxInFlightCalls > 0 && s.slots >= s.set.MaxInFlightCalls {
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
	for _, d := range s.order {
		for _, g := range d.gates {
			for _, r := range g.routes {
				views = append(views, EndpointView{
					r.Endpoint, g.pace, g.ceiling, s.limit(g), s.part(g), g.wait, g.halvedAt, r.skipUntil,
					r.back, r.mean, r.down, r.cold, s.alive(r), len(r.calls), g.out, len(d.queue),
				})
			}
		}
	}
	return views, s.slots
}
