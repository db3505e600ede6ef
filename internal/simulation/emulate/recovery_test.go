package emulate

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/policy"
)

// site is a world of one destination of a kind, for so many relays; takes is what all of it takes, calls a second.
func startAtLimit(t testing.TB, kind string, relays int, seed uint64) (w *testWorld, takes float64) {
	t.Helper()
	k := scenario.DestinationKind{ServiceTime: scenario.Duration(200 * time.Millisecond), MaxConcurrentCalls: 4, Limit: "rate"}
	rate, takes := 12.0, 12.0
	switch kind {
	case "window":
		k.Limit = "window"
	case "separate":
		k.Limit, k.SeparateEndpoints, rate = "window", true, 6
	case "counts": // refused calls use up the limit
		k.CountsRejected = true
	}
	spec := worldSpec{relays: relays, seed: seed, kind: k, destination: scenario.Destination{LimitRate: rate}}
	return spec.start(t), takes
}

// load offers messages to the relays in turn.
func submitRandomly(w *testWorld, from, to time.Duration, rate float64) {
	n := 0
	w.ScheduleRandomly(from, to, rate, func() {
		w.Submit(scenario.Arrival{Relay: n % len(w.relays), Destination: 1})
		n++
	})
}

var faults = map[string]func(w *testWorld, from, to time.Duration){
	"overload": func(w *testWorld, from, to time.Duration) { submitRandomly(w, from, to, 30) },
	"errors": func(w *testWorld, from, to time.Duration) {
		atEachService(w, from, func(p *Service) { p.SetFailureRatio(0.8) })
		atEachService(w, to, func(p *Service) { p.SetFailureRatio(0); p.Recover(w.Now()) })
	},
	"silence": func(w *testWorld, from, to time.Duration) {
		atEachService(w, from, func(p *Service) { p.SetSilent(true) })
		atEachService(w, to, func(p *Service) { p.SetSilent(false); p.Recover(w.Now()) })
	},
	"shut": func(w *testWorld, from, to time.Duration) {
		atEachService(w, from, func(p *Service) { p.Suspend(to) })
		atEachService(w, to, func(p *Service) { p.Resume(); p.Recover(w.Now()) })
	},
	"throttle": func(w *testWorld, from, to time.Duration) {
		atEachService(w, from, func(p *Service) { p.LimitRate /= 4 })
		atEachService(w, to, func(p *Service) { p.LimitRate *= 4 })
	},
	"resets of one": func(w *testWorld, from, to time.Duration) {
		w.Schedule(from, func() { w.serviceOrder[0].ResetRatio = func(int) float64 { return 1 } })
		w.Schedule(to, func() { w.serviceOrder[0].ResetRatio = nil })
	},
}

func atEachService(w *testWorld, at time.Duration, do func(*Service)) {
	w.Schedule(at, func() {
		for _, p := range w.serviceOrder {
			do(p)
		}
	})
}

// back is how long after the trouble's end the destination is served, over the next 5 s, at 80 % of what it takes or of
// what is asked for; the end of the watch if never.
func recoveryTime(w *testWorld, end, watch time.Duration, want float64) time.Duration {
	const over = 5 * time.Second
	for at := end; at+over <= end+watch; at += 500 * time.Millisecond {
		if w.deliveryRate(at, at+over) >= want {
			return at - end
		}
	}
	return watch
}

// bundles is the shape of the churn day's worst destination: a platform that takes bundles, at 15 calls a second from
// two relays, in two zones; for eight seconds most answers get lost after the calls ran.
func playLostAnswers(t testing.TB, relays int, seed uint64, resets func(relay int) float64) *testWorld {
	t.Helper()
	ms := scenario.Duration(time.Millisecond)
	k := scenario.DestinationKind{
		MaxMessagesPerCall: 10,
		ServiceTime:        250 * ms,
		MaxConcurrentCalls: 8,
		ExtraMessageCost:   0.1,
		Limit:              "rate",
		RetryAfterRatio:    0.75,
		MinRetryAfter:      700 * ms,
	}
	var calls []string
	w := worldSpec{
		relays:             relays,
		seed:               seed,
		maxConcurrentCalls: 70,
		maxMessages:        1200,
		kind:               k,
		destination: scenario.Destination{
			LimitRate: 15,
			Endpoints: 3,
			Zones:     []string{"north", "north", "south"},
		},
		options: Options{
			OnStep: func(relay int, now time.Duration, _ []policy.Event, acts []policy.Action) {
				calls = append(calls, fmt.Sprint(relay, now, acts))
			},
		},
	}.start(t)
	submitRandomly(w, time.Second, 60*time.Second, 80)
	w.Schedule(12*time.Second, func() { w.serviceOrder[0].ResetRatio = resets })
	w.Schedule(20*time.Second, func() { w.serviceOrder[0].ResetRatio = nil })
	w.run(t, 75*time.Second)
	w.trace = calls
	return w
}

// most answers get lost; uneven, most of the first relay's and few of the others'.
func mostLost(int) float64 { return 0.7 }

func unevenlyLost(relay int) float64 {
	if relay == 0 {
		return 0.8
	}
	return 0.2
}

// Messages that cannot go, since their repeats are bound to a zone in trouble, hold up none that can; and a relay
// without a backlog leaves room to one that has one. Once the answers come again the destination is served at 80 % of
// what is asked for, with each seed, and most of a day's worth is delivered. With no more than 24 messages looked at,
// as it once was, bundles of one left at the pace of full ones, and seed 7 stayed at half for good.
func TestServedAfterLostAnswers(t *testing.T) {
	for _, c := range []struct {
		name   string
		resets func(int) float64
		relays int
		worth  float64 // share in the mean of the seeds
	}{
		{"even", mostLost, 1, 0.92}, {"even", mostLost, 2, 0.93}, {"even", mostLost, 20, 0.78}, {"uneven", unevenlyLost, 2, 0.95}, {"uneven", unevenlyLost, 20, 0.88},
	} {
		worth, offered := 0.0, 0
		for seed := range uint64(12) {
			w := playLostAnswers(t, c.relays, seed, c.resets)
			for _, d := range w.deliveries { // all of it within 3 s, 40 % at 12 s
				worth += 1 - 0.6*max(0, (d.deliveredAt-d.submittedAt).Seconds()-3)/9
			}
			offered += w.Submitted
			if rate := w.deliveryRate(26*time.Second, 56*time.Second); rate < 0.8*80 {
				t.Errorf(
					"%s, %d relays, seed %d: %.1f messages a second once the trouble was over",
					c.name,
					c.relays,
					seed,
					rate,
				)
			}
		}
		share := worth / float64(offered)
		if t.Logf("%s, %d relays: %.3f of the worth", c.name, c.relays, share); share < c.worth {
			t.Errorf("%s, %d relays: %.3f of the worth, want %.2f", c.name, c.relays, share, c.worth)
		}
	}
}

// A destination that recovers is served, over the next 5 s, at 80 % of what is asked for within 20 s of the trouble's
// end: twice its length, or its warm-up and a skip. With 20 relays at a place whose refused calls use up its limit it
// is 35 s: see docs/design/many-relays.md.
func TestServiceRecoversAfterFaults(t *testing.T) {
	for name, trouble := range faults {
		for _, kind := range []string{"rate", "window", "separate", "counts"} {
			for _, relays := range []int{1, 2, 20} {
				bound := 20 * time.Second
				if kind == "counts" && relays >= 20 {
					bound = 35 * time.Second
				}
				for seed := range uint64(10) {
					w, takes := startAtLimit(t, kind, relays, seed)
					rate := 0.8 * takes
					submitRandomly(w, time.Second, 90*time.Second, rate)
					trouble(w, 20*time.Second, 30*time.Second)
					w.run(t, 100*time.Second)
					if after := recoveryTime(w, 30*time.Second, 55*time.Second, 0.8*rate); after > bound {
						t.Errorf(
							"%s, %s, %d relays, seed %d: served again %v after the trouble",
							name,
							kind,
							relays,
							seed,
							after,
						)
					}
					for _, p := range w.serviceOrder {
						if p.Overloaded() {
							t.Errorf("%s, %s, %d relays, seed %d: pushed over", name, kind, relays, seed)
						}
					}
				}
			}
		}
	}
}

// A limit that is halved for good is not tried again and again: the paces stay down, and few calls are refused.
func TestLimitHalvedForGood(t *testing.T) {
	for _, relays := range []int{1, 2, 20} {
		w, takes := startAtLimit(t, "rate", relays, 3)
		submitRandomly(w, time.Second, 90*time.Second, takes)
		w.Schedule(30*time.Second, func() { w.serviceOrder[0].LimitRate /= 2 })
		w.run(t, 40*time.Second)
		full, ok := -w.CallsRejected, -w.CallsServed
		w.run(t, 90*time.Second)
		full, ok = full+w.CallsRejected, ok+w.CallsServed
		if rate := w.deliveryRate(40*time.Second, 90*time.Second); rate < 0.6*takes/2 || full > ok {
			t.Errorf(
				"%d relays: %.1f a second of %.1f, %d calls refused for %d served",
				relays,
				rate,
				takes/2,
				full,
				ok,
			)
		}
	}
}

// A destination that flaps with a period near the skip's is served in between, and never pushed over.
func TestFlappingDestination(t *testing.T) {
	for _, period := range []time.Duration{1500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 5 * time.Second} {
		for seed := range uint64(5) {
			w, takes := startAtLimit(t, "rate", 2, seed)
			submitRandomly(w, time.Second, 80*time.Second, 0.5*takes)
			for at := 20 * time.Second; at < 50*time.Second; at += 2 * period {
				atEachService(w, at, func(p *Service) { w.BeginOutage(p.Name, scenario.OpCrash, 0, 0) })
				atEachService(w, at+period, func(p *Service) { w.EndOutage(p.Name) })
			}
			atEachService(w, 50*time.Second, func(p *Service) { w.EndOutage(p.Name) })
			w.run(t, 95*time.Second)
			if rate := w.deliveryRate(65*time.Second, 80*time.Second); rate < 0.8*0.5*takes {
				t.Errorf("period %v, seed %d: %.1f a second after it", period, seed, rate)
			}
		}
	}
}

// Endpoints that are replaced in mid-outage by healthy ones are used, also where relays learn of it seconds apart.
func TestEndpointsReplacedDuringOutage(t *testing.T) {
	for seed := range uint64(10) {
		w, takes := startAtLimit(t, "separate", 2, seed)
		w.options.ListDelay = func(relay int) time.Duration { return time.Duration(relay) * 4 * time.Second }
		submitRandomly(w, time.Second, 60*time.Second, 0.5*takes)
		atEachService(w, 20*time.Second, func(p *Service) { p.SetSilent(true) })
		w.Schedule(26*time.Second, func() {
			for _, e := range w.plan.Endpoints {
				fresh := e
				fresh.ID += "-2"
				fresh.Service = fresh.ID
				w.AddEndpoint(fresh)
				w.ChangeEndpoint(e.ID, eventlog.StateGone)
			}
		})
		w.run(t, 75*time.Second)
		if after := recoveryTime(w, 26*time.Second, 30*time.Second, 0.8*0.5*takes); after > 20*time.Second {
			t.Errorf("seed %d: served again %v after they were replaced", seed, after)
		}
	}
}

// The same plan and seed give the same history.
func TestRunsAreReproducible(t *testing.T) {
	a, b, c := playLostAnswers(t, 2, 1, mostLost), playLostAnswers(t, 2, 1, mostLost), playLostAnswers(t, 2, 2, mostLost)
	if !slices.Equal(a.trace, b.trace) || slices.Equal(a.trace, c.trace) {
		t.Error("a seed is not one history")
	}
}
