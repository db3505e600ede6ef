package policy

import (
	"slices"
	"testing"
	"time"
)

func (sim *simulation) checkSend(msg *clientMessage, a Action) {
	entry, known := sim.listed[a.Endpoint]
	if msg.ended || sim.now >= msg.deadline || len(msg.attempts) >= sim.settings.MaxAttempts {
		sim.violate(1, "message %d sent after its end", msg.id)
	}
	for _, t := range msg.attempts {
		if t.inFlight {
			sim.violate(2, "message %d sent twice at once", msg.id)
		}
	}
	if i := slices.IndexFunc(msg.attempts, func(t sentAttempt) bool { return t.mayHaveRun }); i >= 0 {
		first := msg.attempts[i]
		switch {
		case msg.class.Effect == NonIdempotent:
			sim.violate(2, "non-idempotent message %d sent again", msg.id)
		case msg.class.Effect == IdempotentByKey && sim.now >= first.sentAt+msg.class.DedupWindow:
			sim.violate(2, "idempotent-by-key message %d sent after its window", msg.id)
		case msg.class.Effect == IdempotentByKey && !msg.class.DedupAllZones && sim.listed[first.endpoint].Zone != entry.Zone:
			sim.violate(2, "idempotent-by-key message %d sent outside its group", msg.id)
		}
	}
	if !known || !entry.InService || entry.Removed || entry.Destination != msg.destination {
		sim.violate(3, "message %d sent to %s, which is not in service", msg.id, a.Endpoint)
	}
	if sim.retryAfterUntil[sim.scopeKey(entry)] > sim.now {
		sim.violate(5, "message %d sent to %s during a wait", msg.id, a.Endpoint)
	}
	if msg.key != "" {
		for _, earlier := range sim.byKey[msg.key] {
			if earlier == msg {
				break
			}
			if !earlier.ended || slices.ContainsFunc(earlier.attempts, func(t sentAttempt) bool { return t.inFlight }) {
				sim.violate(6, "message %d sent before %d", msg.id, earlier.id)
			}
		}
		if len(msg.attempts) == 0 && sim.pausedUntil[msg.key] > sim.now {
			sim.violate(6, "message %d sent while its key rests", msg.id)
		}
	}
}

// checkRecovery checks the budget of a destination that came back suspect: calls of any window since the
// return, for an Engine told of its failures.
func (sim *simulation) checkRecovery(d string, back time.Duration) {
	sim.callsSinceRecovery[d] = append(sim.callsSinceRecovery[d], sim.now)
	n := 0
	for _, at := range sim.callsSinceRecovery[d] {
		if at > sim.now-sim.settings.OverloadWindow {
			n++
		}
	}
	share := sim.settings.WarmUpInitialCapacity + (1-sim.settings.WarmUpInitialCapacity)*float64(
		sim.now-back,
	)/float64(
		sim.settings.WarmUpDuration,
	)
	if share >= 1 {
		return
	}
	most := sim.settings.OverloadFactor*share*6*sim.settings.OverloadWindow.Seconds() + 1.5 // 6: the listed weight
	if float64(n) > most {
		sim.violate(4, "%d calls to %s in %v, %.1f at most", n, d, sim.settings.OverloadWindow, most)
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
		if sim.delivered < 150 || sim.actionCounts[1] == 0 || sim.actionCounts[2] == 0 {
			t.Errorf("seed %d: %d answered, %v sends, rejections, failures: the run shows too little",
				seed, sim.delivered, sim.actionCounts)
		}
	}
}

func TestCheckerDetectsDisabledGuards(t *testing.T) {
	for _, guard := range []disabledGuard{
		{name: "deadline", rule: 1, event: func(event *Event) { event.TimeLeft += time.Second }},
		{name: "unsafe", rule: 2, settings: func(s *Settings) { s.Classes[3].Effect = Idempotent }},
		{name: "group", rule: 2, settings: func(s *Settings) { s.Classes[1].DedupAllZones = true }},
		{name: "window", rule: 2, settings: func(s *Settings) { s.Classes[1].DedupWindow = time.Hour }},
		{name: "drain", rule: 3, event: func(event *Event) {
			if event.Kind == EndpointDelta {
				event.Endpoints = nil
			}
		}},
		{name: "recovery", rule: 4, settings: func(s *Settings) { s.OverloadFactor = 1000 }},
		{name: "wait", rule: 5, event: func(event *Event) { event.RetryAfter = 0 }},
		{name: "turn", rule: 6, settings: func(s *Settings) { s.Classes[3].Ordered, s.Classes[4].Ordered = false, false }},
		{name: "rest", rule: 6, settings: func(s *Settings) { s.OrderingPause = 0 }},
	} {
		t.Run(guard.name, func(t *testing.T) {
			for seed := range uint64(12) {
				if simulate(t, seed, guard).violations[guard.rule] != "" {
					return
				}
			}
			t.Errorf("rule %d was broken by no run without its guard", guard.rule)
		})
	}
}

// Equal events give equal actions.
func TestDeterminism(t *testing.T) {
	a, b := simulate(t, 3, disabledGuard{}), simulate(t, 3, disabledGuard{})
	if a.actionCounts != b.actionCounts || a.delivered != b.delivered || a.nextID != b.nextID {
		t.Errorf("two runs differ: %v %d, %v %d", a.actionCounts, a.delivered, b.actionCounts, b.delivered)
	}
}
