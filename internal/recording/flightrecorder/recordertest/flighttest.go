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
			{
				Effect:           policy.IdempotentByKey,
				DedupWindow:      10 * time.Second,
				LatencyObjective: 3 * time.Second,
				Deadline:         16 * time.Second,
				Weight:           1,
			},
			{
				Effect:           policy.NonIdempotent,
				Ordered:          true,
				LatencyObjective: 2 * time.Second,
				Deadline:         10 * time.Second,
				Weight:           4,
			},
			{Effect: policy.Idempotent, LatencyObjective: time.Second, Deadline: 5 * time.Second},
		},
		DestinationKinds: []policy.DestinationKind{
			{MaxBatch: 4},
			{LimitPerEndpoint: true, MaxBatch: 1},
		}, Tenants: []policy.Tenant{{Quota: 20}, {}},
		FleetSize: 2, MaxInFlightCalls: 12, MaxPendingMessages: 120, MaxAttempts: 8, MaxRetryAfter: 3 * time.Second, ZoneCosts: []float64{0, 0.03},
		WarmUpInitialCapacity: 0.18, WarmUpDuration: 14 * time.Second, OverloadFactor: 2, OverloadWindow: 3 * time.Second, OrderingPause: 100 * time.Millisecond,
	}
}

type pending struct {
	at time.Duration
	e  policy.Event
}

// Drive has a relay of its own live through a span of time. rec may be nil; each is called after every step, if set.
func Drive(
	seed uint64,
	span time.Duration,
	ring int,
	each func(s *policy.Engine, rec *flightrecorder.Recorder),
) (*policy.Engine, *flightrecorder.Recorder) {
	rng := rand.New(rand.NewPCG(seed, 11))
	set := Settings()
	s, err := policy.New(set, seed)
	if err != nil {
		panic(err) // the settings above are right
	}
	rec := flightrecorder.NewRecorder(
		flightrecorder.Meta{
			Name:     "n1",
			Revision: policy.Revision(),
			Seed:     seed,
			Settings: set,
			Started:  time.Unix(1e9, 0).UTC(),
		},
		ring,
		s.Snapshot,
	)
	var list []policy.Endpoint
	for d := range 5 {
		for i := range 1 + rng.IntN(3) {
			list = append(
				list,
				policy.Endpoint{
					ID:          fmt.Sprintf("s-%d-%d", d, i),
					Destination: d,
					Kind:        d % 2,
					Zone:        i % 2,
					Weight:      5,
					InService:   true,
				},
			)
		}
	}
	outage := map[int][2]time.Duration{}
	for d := range 3 {
		from := span/4 + time.Duration(rng.Int64N(int64(span/4)))
		outage[d] = [2]time.Duration{from, from + span/8}
	}
	evs := []policy.Event{{Kind: policy.EndpointSnapshot, Endpoints: slices.Clone(list)}}
	var queue []pending
	sends := map[uint32]int{}
	dest := map[uint32]int{}
	id := uint32(0)
	for now := time.Second; now < span; now += time.Duration(1+rng.IntN(9)) * time.Millisecond {
		for rng.IntN(3) == 0 {
			id++
			dest[id] = rng.IntN(5)
			e := policy.Event{
				Kind:        policy.MessageAccepted,
				MessageID:   id,
				Class:       rng.IntN(3),
				Tenant:      rng.IntN(2),
				Destination: dest[id],
				TimeLeft:    4*time.Second + time.Duration(rng.IntN(1e9)),
			}
			if e.Class == 1 {
				e.Key = fmt.Sprint("key-", rng.IntN(6))
			}
			if rng.IntN(50) == 0 {
				e.Recovered = &policy.RecoveredMessage{
					Attempts:      1,
					MayHaveRun:    rng.IntN(2) == 0,
					SinceFirstRun: time.Second,
					FirstRunZone:  rng.IntN(2),
				}
				sends[id] = 1
			}
			rec.Label(id, fmt.Sprintf("trace-%d", id))
			evs = append(evs, e)
		}
		switch rng.IntN(300) {
		case 0: // drains, or comes back
			l := &list[rng.IntN(len(list))]
			l.InService = !l.InService
			evs = append(evs, policy.Event{Kind: policy.EndpointDelta, Endpoints: []policy.Endpoint{*l}})
		case 1: // replaced
			l := &list[rng.IntN(len(list))]
			gone := *l
			gone.Removed, gone.InService = true, false
			l.ID, l.InService = l.ID+"n", true
			evs = append(evs, policy.Event{Kind: policy.EndpointDelta, Endpoints: []policy.Endpoint{gone, *l}})
		case 2:
			if id > 0 {
				evs = append(evs, policy.Event{Kind: policy.MessageCancelled, MessageID: 1 + uint32(rng.IntN(int(id)))})
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
			case policy.SetTimer:
				queue = append(queue, pending{now + a.Delay, policy.Event{Kind: policy.TimerFired}})
			case policy.Send:
				n := sends[a.MessageID]
				sends[a.MessageID]++
				queue = append(queue, answer(rng, now, a, n, outage[dest[a.MessageID]]))
			}
		}
		if rng.IntN(40) == 0 {
			l := list[rng.IntN(len(list))]
			ids := []uint32{id}
			rec.SendChecked(now, l.ID, ids, s.StillAllowed(l.ID, ids, now))
		}
		if each != nil {
			each(s, rec)
		}
	}
	return s, rec
}

func answer(rng *rand.Rand, now time.Duration, a policy.Action, n int, outage [2]time.Duration) pending {
	e := policy.Event{Kind: policy.AttemptFinished, MessageID: a.MessageID, Attempt: n, Endpoint: a.Endpoint}
	took := time.Duration(30+rng.IntN(400)) * time.Millisecond
	down := now >= outage[0] && now < outage[1]
	switch k := rng.IntN(30); {
	case down && rng.IntN(3) > 0:
		e.Outcome = []policy.Outcome{policy.Timeout, policy.Error, policy.ConnectFailed, policy.Overloaded}[rng.IntN(4)]
	case k < 2:
		e.Outcome, e.RetryAfter = policy.Overloaded, time.Duration(
			rng.IntN(2),
		)*time.Duration(
			200+rng.IntN(700),
		)*time.Millisecond
	case k == 2:
		e.Outcome = []policy.Outcome{policy.Reset, policy.Cancelled, policy.NotSent, policy.Timeout}[rng.IntN(4)]
	case k == 3:
		e.LimitReport = policy.LimitReport{Present: true, Remaining: 0.5, Limit: 5}
	}
	at := now + took
	if e.Outcome == policy.Timeout || at > a.TimeoutAt {
		at, e.Outcome = max(a.TimeoutAt, now+time.Millisecond), policy.Timeout
	}
	e.Latency, e.MessageEnded = at-now, e.Outcome == policy.OK
	return pending{at, e}
}
