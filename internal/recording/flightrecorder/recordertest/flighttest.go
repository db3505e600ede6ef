// Package flighttest drives a decision module through random but legal histories, for tests of what records and replays
// them: outages, refusals with and without waits, drains and replacements, restarts, clients that leave.
package recordertest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/policy"
)

// Settings are those of a small site with all kinds of class and destination.
func Settings() policy.Settings {
	return policy.Settings{
		Classes: []policy.Class{
			{Effect: policy.Keyed, Window: 10 * time.Second, Aim: 3 * time.Second, GiveUp: 16 * time.Second, Value: 1},
			{Effect: policy.Unsafe, Ordered: true, Aim: 2 * time.Second, GiveUp: 10 * time.Second, Value: 4},
			{Effect: policy.Safe, Aim: time.Second, GiveUp: 5 * time.Second},
		},
		Kinds: []policy.Kind{{PerCall: 4}, {Separate: true, PerCall: 1}}, Customers: []policy.Customer{{Quota: 20}, {}},
		Senders: 2, Slots: 12, MaxHeld: 120, MaxAttempts: 8, MaxRetryAfter: 3 * time.Second, Carriage: []float64{0, 0.03},
		ColdShare: 0.18, WarmWithin: 14 * time.Second, OverloadFactor: 2, OverloadWindow: 3 * time.Second, OrderPause: 100 * time.Millisecond,
	}
}

type pending struct {
	at time.Duration
	e  policy.Event
}

// Drive has a relay of its own live through a span of time. rec may be nil; each is called after every step, if set.
func Drive(seed uint64, span time.Duration, ring int, each func(s *policy.Sender, rec *flightrecorder.Recorder)) (*policy.Sender, *flightrecorder.Recorder) {
	rng := rand.New(rand.NewPCG(seed, 11))
	set := Settings()
	s, err := policy.New(set, seed)
	if err != nil {
		panic(err) // the settings above are right
	}
	rec := flightrecorder.NewRecorder(flightrecorder.Meta{Name: "n1", Revision: policy.Revision(), Seed: seed, Settings: set, Started: time.Unix(1e9, 0).UTC()}, ring, s.Snapshot)
	var list []policy.Listing
	for d := range 5 {
		for i := range 1 + rng.IntN(3) {
			list = append(list, policy.Listing{Route: fmt.Sprintf("s-%d-%d", d, i), Destination: d, Kind: d % 2, Zone: i % 2, Weight: 5, InService: true})
		}
	}
	outage := map[int][2]time.Duration{}
	for d := range 3 {
		from := span/4 + time.Duration(rng.Int64N(int64(span/4)))
		outage[d] = [2]time.Duration{from, from + span/8}
	}
	evs := []policy.Event{{Kind: policy.ListWhole, List: slices.Clone(list)}}
	var queue []pending
	sends := map[uint32]int{}
	dest := map[uint32]int{}
	id := uint32(0)
	for now := time.Second; now < span; now += time.Duration(1+rng.IntN(9)) * time.Millisecond {
		for rng.IntN(3) == 0 {
			id++
			dest[id] = rng.IntN(5)
			e := policy.Event{Kind: policy.Taken, ID: id, Class: rng.IntN(3), Customer: rng.IntN(2), Destination: dest[id], Left: 4*time.Second + time.Duration(rng.IntN(1e9))}
			if e.Class == 1 {
				e.Key = fmt.Sprint("key-", rng.IntN(6))
			}
			if rng.IntN(50) == 0 {
				e.Resumed = &policy.Resumed{Attempts: 1, Ran: rng.IntN(2) == 0, RanAgo: time.Second, RanZone: rng.IntN(2)}
				sends[id] = 1
			}
			rec.Label(id, fmt.Sprintf("trace-%d", id))
			evs = append(evs, e)
		}
		switch rng.IntN(300) {
		case 0: // drains, or comes back
			l := &list[rng.IntN(len(list))]
			l.InService = !l.InService
			evs = append(evs, policy.Event{Kind: policy.ListChanges, List: []policy.Listing{*l}})
		case 1: // replaced
			l := &list[rng.IntN(len(list))]
			gone := *l
			gone.Gone, gone.InService = true, false
			l.Route, l.InService = l.Route+"n", true
			evs = append(evs, policy.Event{Kind: policy.ListChanges, List: []policy.Listing{gone, *l}})
		case 2:
			if id > 0 {
				evs = append(evs, policy.Event{Kind: policy.Withdrawn, ID: 1 + uint32(rng.IntN(int(id)))})
			}
		}
		slices.SortStableFunc(queue, func(a, b pending) int { return int(a.at - b.at) })
		for len(queue) > 0 && queue[0].at <= now {
			evs = append(evs, queue[0].e)
			queue = queue[1:]
		}
		if len(evs) == 0 {
			continue
		}
		acts := s.Step(now, evs)
		rec.Step(now, evs, acts)
		evs = nil
		for _, a := range acts {
			switch a.Kind {
			case policy.Wake:
				queue = append(queue, pending{now + a.Delay, policy.Event{Kind: policy.Woken}})
			case policy.Send:
				n := sends[a.ID]
				sends[a.ID]++
				queue = append(queue, answer(rng, now, a, n, outage[dest[a.ID]]))
			}
		}
		if rng.IntN(40) == 0 {
			l := list[rng.IntN(len(list))]
			ids := []uint32{id}
			rec.Cleared(now, l.Route, ids, s.MayStill(l.Route, ids, now))
		}
		if each != nil {
			each(s, rec)
		}
	}
	return s, rec
}

func answer(rng *rand.Rand, now time.Duration, a policy.Action, n int, outage [2]time.Duration) pending {
	e := policy.Event{Kind: policy.Finished, ID: a.ID, Attempt: n, Route: a.Route}
	took := time.Duration(30+rng.IntN(400)) * time.Millisecond
	down := now >= outage[0] && now < outage[1]
	switch k := rng.IntN(30); {
	case down && rng.IntN(3) > 0:
		e.Outcome = []policy.Outcome{policy.Timeout, policy.Error, policy.ConnectFailed, policy.Full}[rng.IntN(4)]
	case k < 2:
		e.Outcome, e.Wait = policy.Full, time.Duration(rng.IntN(2))*time.Duration(200+rng.IntN(700))*time.Millisecond
	case k == 2:
		e.Outcome = []policy.Outcome{policy.Reset, policy.Cancelled, policy.Moot, policy.Timeout}[rng.IntN(4)]
	case k == 3:
		e.Report = policy.Report{Told: true, Left: 0.5, Limit: 5}
	}
	at := now + took
	if e.Outcome == policy.Timeout || at > a.At {
		at, e.Outcome = max(a.At, now+time.Millisecond), policy.Timeout
	}
	e.Took, e.Ended = at-now, e.Outcome == policy.OK
	return pending{at, e}
}
