package policy

import (
	"slices"
	"testing"
	"time"
)

// disabledGuard changes the input or the steps of an Engine, as if one of its guards were disabled.
type disabledGuard struct {
	name     string
	rule     int // the rule that must be violated then
	settings func(*Settings)
	event    func(*Event)
	replace  func(*Engine) *Engine                                            // called after each step
	step     func(engine *Engine, now time.Duration, events []Event) []Action // in place of Engine.Step
	// acceptInterval is that of the simulation. If it is set, any answer may carry a Retry-After. If it is 0, the
	// simulation uses 4, and only rejections carry a Retry-After.
	acceptInterval int
}

// checkSend checks a Send action against rules 1, 2, 3, 5 and 6.
func (sim *simulation) checkSend(msg *clientMessage, a Action) {
	if msg.ended || sim.now >= msg.deadline || len(msg.attempts) >= sim.settings.MaxAttempts {
		sim.violate(1, "message %d sent after its final answer, deadline or last attempt", msg.id)
	}
	if msg.hasAttemptInFlight() {
		sim.violate(2, "message %d sent while another attempt is in flight", msg.id)
	}
	entry, known := sim.listed[a.Endpoint]
	sim.checkRepeat(msg, entry)
	if !known || !entry.InService || entry.Removed || entry.Destination != msg.destination {
		sim.violate(3, "message %d sent to %s, which is not in service", msg.id, a.Endpoint)
	}
	if sim.retryAfterUntil[sim.scopeKey(entry)] > sim.now {
		sim.violate(5, "message %d sent to %s during a Retry-After", msg.id, a.Endpoint)
	}
	if msg.key != "" {
		sim.checkOrder(msg)
	}
}

// checkRepeat checks an attempt of a message that may have run against rule 2.
func (sim *simulation) checkRepeat(msg *clientMessage, entry Endpoint) {
	i := slices.IndexFunc(msg.attempts, func(a sentAttempt) bool { return a.mayHaveRun })
	if i < 0 {
		return
	}
	first := msg.attempts[i]
	switch {
	case msg.class.Effect == NonIdempotent:
		sim.violate(2, "non-idempotent message %d sent again", msg.id)
	case msg.class.Effect == IdempotentByKey && sim.now >= first.sentAt+msg.class.DedupWindow:
		sim.violate(2, "message %d with an idempotency key sent after its dedup window", msg.id)
	case msg.class.Effect != IdempotentByKey || msg.class.DedupAllZones:
	case sim.listed[first.endpoint].Zone != entry.Zone:
		sim.violate(2, "message %d with an idempotency key sent to another zone", msg.id)
	}
}

// checkOrder checks an attempt of a message with an ordering key against rule 6.
func (sim *simulation) checkOrder(msg *clientMessage) {
	for _, earlier := range sim.byKey[msg.key] {
		if earlier == msg {
			break
		}
		if !earlier.ended || earlier.hasAttemptInFlight() {
			sim.violate(6, "message %d sent before %d", msg.id, earlier.id)
		}
	}
	if len(msg.attempts) == 0 && sim.pausedUntil[msg.key] > sim.now {
		sim.violate(6, "message %d sent while its ordering key is paused", msg.id)
	}
}

// checkRejection checks a Reject action against rule 2, since the client may retry the message.
func (sim *simulation) checkRejection(msg *clientMessage) {
	class := msg.class
	if class.Effect == Idempotent || class.Effect == IdempotentByKey && class.DedupAllZones {
		return
	}
	for _, attempt := range msg.attempts {
		if attempt.mayHaveRun || attempt.inFlight {
			sim.violate(2, "message %d rejected though it may have run", msg.id)
		}
	}
}

// checkCall checks a new call against the limit of calls in flight, and against rule 4 if its destination is
// warming up. Rule 4 applies only if the Engine saw three consecutive failures of the scope.
func (sim *simulation) checkCall(msg *clientMessage, entry Endpoint) {
	sim.callsInFlight++
	if sim.callsInFlight > sim.settings.MaxInFlightCalls {
		sim.violate(1, "%d calls in flight, %d at most", sim.callsInFlight, sim.settings.MaxInFlightCalls)
	}
	recoveredAt := sim.outages[msg.destination].to
	if sim.now < recoveredAt || sim.now >= recoveredAt+sim.settings.WarmUpDuration {
		return
	}
	scope := sim.scopeKey(entry)
	if sim.consecutiveFailures[scope] >= 3 || sim.callsSinceRecovery[scope] != nil {
		sim.checkRecovery(scope, recoveredAt)
	}
}

// checkRecovery checks a call to a scope that is warming up against rule 4: the calls of any overload window since the
// recovery stay within the budget.
func (sim *simulation) checkRecovery(scope string, recoveredAt time.Duration) {
	sim.callsSinceRecovery[scope] = append(sim.callsSinceRecovery[scope], sim.now)
	calls := 0
	for _, at := range sim.callsSinceRecovery[scope] {
		if at > sim.now-sim.settings.OverloadWindow {
			calls++
		}
	}
	initial := sim.settings.WarmUpInitialCapacity
	fraction := initial + (1-initial)*float64(sim.now-recoveredAt)/float64(sim.settings.WarmUpDuration)
	if fraction >= 1 {
		return
	}
	budget := sim.settings.OverloadFactor*fraction*listedWeight*sim.settings.OverloadWindow.Seconds() + 1.5
	if float64(calls) > budget {
		sim.violate(4, "%d calls to %s in %v, %.1f at most", calls, scope, sim.settings.OverloadWindow, budget)
	}
}

// checkDeadlines checks messages without a final answer against rule 1, and removes those that have ended, unless
// they have an ordering key.
func (sim *simulation) checkDeadlines() {
	for id, msg := range sim.messages {
		over := msg.ended && !msg.hasAttemptInFlight()
		if !msg.ended && sim.now > msg.deadline+20*time.Millisecond {
			sim.violate(1, "message %d has no answer at its deadline", id)
			msg.ended = true
		}
		if over && msg.key == "" {
			delete(sim.messages, id)
		}
	}
}

func TestSixRules(t *testing.T) {
	for seed := range uint64(60) {
		sim := simulate(t, seed, disabledGuard{})
		for rule := 1; rule <= 6; rule++ {
			if sim.violations[rule] != "" {
				t.Errorf("seed %d, rule %d: %s", seed, rule, sim.violations[rule])
			}
		}
		if sim.delivered < 150 || sim.counts.rejections == 0 || sim.counts.failures == 0 {
			t.Errorf("seed %d: %d delivered, %+v: the run tests too little", seed, sim.delivered, sim.counts)
		}
	}
}

// Verifies that the checker can fail: it finds a violation of each rule if the Engine's guard for the rule is
// disabled.
func TestCheckerDetectsDisabledGuards(t *testing.T) {
	for _, guard := range []disabledGuard{
		{name: "deadline", rule: 1, event: func(event *Event) { event.TimeLeft += time.Second }},
		{name: "non-idempotent", rule: 2, settings: func(s *Settings) { s.Classes[3].Effect = Idempotent }},
		{name: "zone", rule: 2, settings: func(s *Settings) { s.Classes[1].DedupAllZones = true }},
		{name: "window", rule: 2, settings: func(s *Settings) { s.Classes[1].DedupWindow = time.Hour }},
		{name: "draining", rule: 3, event: func(event *Event) {
			if event.Kind == EndpointDelta {
				event.Endpoints = nil
			}
		}},
		{name: "recovery budget", rule: 4, settings: func(s *Settings) { s.OverloadFactor = 1000 }},
		{name: "Retry-After", rule: 5, event: func(event *Event) { event.RetryAfter = 0 }},
		{name: "ordering", rule: 6, settings: func(s *Settings) {
			s.Classes[3].Ordered = false
			s.Classes[4].Ordered = false
		}},
		{name: "ordering pause", rule: 6, settings: func(s *Settings) { s.OrderingPause = 0 }},
	} {
		t.Run(guard.name, func(t *testing.T) {
			for seed := range uint64(12) {
				if simulate(t, seed, guard).violations[guard.rule] != "" {
					return
				}
			}
			t.Errorf("no run without its guard violated rule %d", guard.rule)
		})
	}
}

// Equal events give equal actions.
func TestDeterminism(t *testing.T) {
	a := simulate(t, 3, disabledGuard{})
	b := simulate(t, 3, disabledGuard{})
	if a.counts != b.counts || a.delivered != b.delivered || a.nextID != b.nextID {
		t.Errorf("two runs differ: %+v %d, %+v %d", a.counts, a.delivered, b.counts, b.delivered)
	}
}
