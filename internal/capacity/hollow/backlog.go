package hollow

import (
	"fmt"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	backlogStep  = 8  // messages that come in one step: those of a tick at 1,600 a second
	backlogSlots = 64 // calls out at once
)

// Backlog measures what the decision module spends on held messages, spread over destinations that are out of service:
// on taking the last tenth of them, a step for eight; on a step in which nothing happens; on sending the first tenth of
// them once all are back in service; and on taking all up again in one step, as after a restart. Hollow are the
// journal, the loop and all hosts, which answer at once.
func Backlog(held, destinations int) (Reading, error) {
	set := policy.Settings{
		MaxInFlightCalls: backlogSlots,
		Classes: []policy.Class{
			{Effect: policy.Idempotent, LatencyObjective: 3 * time.Second, Deadline: 24 * time.Hour, Weight: 1},
		},
		DestinationKinds: []policy.DestinationKind{{MaxBatch: 1}},
	}
	list := make([]policy.Endpoint, 0, destinations)
	for d := range destinations {
		// no pace holds up what is measured
		list = append(list, policy.Endpoint{ID: route(d), Destination: policy.DestinationID(d), Weight: 1e6})
	}
	taken := func(i int) policy.Event {
		return policy.Event{
			Kind:        policy.MessageAccepted,
			MessageID:   policy.MessageID(i + 1),
			Destination: policy.DestinationID(i % destinations),
			TimeLeft:    8 * time.Hour,
		}
	}
	before := heap()
	s, err := policy.New(set, 1)
	if err != nil {
		return Reading{}, fmt.Errorf("hollow: %w", err)
	}
	now := time.Minute
	s.Step(now, []policy.Event{{Kind: policy.EndpointSnapshot, Endpoints: list}})
	values := map[string]float64{}
	each := func(n int, f func()) float64 { return micros(spent(f)) / float64(max(1, n)) }
	took := func(from, to int) float64 {
		var evs []policy.Event
		return each(to-from, func() {
			for i := from; i < to; {
				evs = evs[:0]
				for ; len(evs) < backlogStep && i < to; i++ {
					evs = append(evs, taken(i))
				}
				now += 5 * time.Millisecond
				s.Step(now, evs)
			}
		})
	}
	values["take_first_us"] = took(0, held/10)
	took(held/10, held-held/10)
	values["take_last_us"] = took(held-held/10, held)
	after := heap()
	values["memory_bytes_per_message"] = float64(after-min(before, after)) / float64(held)
	const idle = 100
	values["idle_step_us"] = each(idle, func() {
		for range idle {
			now += 5 * time.Millisecond
			s.Step(now, nil)
		}
	})

	for i := range list {
		list[i].InService = true
	}
	// Back in service, in as many steps as it takes.
	now += time.Second
	sent, evs := 0, []policy.Event{{Kind: policy.EndpointSnapshot, Endpoints: list}}
	sending := spent(func() {
		for step := 0; sent < held/10 && step < held; step++ {
			acts := s.Step(now, evs)
			evs = evs[:0]
			for _, a := range acts {
				if a.Kind == policy.Send {
					sent++
					evs = append(
						evs,
						policy.Event{
							Kind:         policy.AttemptFinished,
							MessageID:    a.MessageID,
							Endpoint:     a.Endpoint,
							Outcome:      policy.OK,
							Latency:      5 * time.Millisecond,
							MessageEnded: true,
						},
					)
				}
			}
			now += 5 * time.Millisecond
		}
	})
	values["send_us"], values["sent_share"] = micros(sending)/float64(max(1, sent)), float64(sent)/float64(held)

	if s, err = policy.New(set, 1); err != nil {
		return Reading{}, fmt.Errorf("hollow: %w", err)
	}
	for i := range list {
		list[i].InService = false
	}
	all := make([]policy.Event, 0, held+1)
	all = append(all, policy.Event{Kind: policy.EndpointSnapshot, Endpoints: list})
	for i := range held {
		e := taken(i)
		e.Recovered = &policy.RecoveredMessage{Attempts: 1}
		all = append(all, e)
	}
	values["resume_us"] = each(held, func() { s.Step(time.Minute, all) })
	return Reading{held, values}, nil
}
