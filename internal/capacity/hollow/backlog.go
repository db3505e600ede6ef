package hollow

import (
	"fmt"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/capacity/usage"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// backlogBatch is the number of messages accepted in one step. With a step every minStepInterval this is 1,600
	// messages per second.
	backlogBatch = 8
	// backlogInFlight is the engine's limit on concurrent calls.
	backlogInFlight = 64
	// backlogCallLatency is the latency of each call.
	backlogCallLatency = 5 * time.Millisecond
	// unlimitedWeight is an endpoint weight so high that pacing delays no call.
	unlimitedWeight = 1e6
	// backlogTimeLeft is the remaining lifetime of each message. The measurement takes less virtual time, so no message
	// expires.
	backlogTimeLeft = 8 * time.Hour
	// measuredFraction is the divisor of the number of messages: one measurement accepts or sends a tenth of them.
	measuredFraction = 10
	idleSteps        = 100 // steps without events that are measured
	engineSeed       = 1
	engineStart      = time.Minute // virtual time of the first step
)

// backlogSimulation is a real decision engine with queued messages. The journal, the event loop and all endpoints are
// simulated.
type backlogSimulation struct {
	engine       *policy.Engine
	now          time.Duration
	messages     int
	destinations int
	endpoints    []policy.Endpoint // one for each destination
	values       map[Metric]float64
}

// MeasureBacklog measures the cost of queued messages to the decision engine, in memory and processor time. The
// messages are spread over destinations that are out of service. The measured operations are
//   - accepting the first and the last tenth of the messages, in batches,
//   - a step without events,
//   - sending a tenth of the messages once all destinations are back in service,
//   - accepting all messages in one step, as in a recovery.
func MeasureBacklog(messages, destinations int) (Measurement, error) {
	endpoints := make([]policy.Endpoint, 0, destinations)
	for destination := range policy.DestinationID(destinations) {
		endpoints = append(endpoints, policy.Endpoint{
			ID:          endpointID(destination),
			Destination: destination,
			Weight:      unlimitedWeight,
		})
	}
	before := memoryInUse()
	engine, err := policy.New(backlogSettings(), engineSeed)
	if err != nil {
		return Measurement{}, fmt.Errorf("hollow: %w", err)
	}
	s := backlogSimulation{
		engine:       engine,
		now:          engineStart,
		messages:     messages,
		destinations: destinations,
		endpoints:    endpoints,
		values:       map[Metric]float64{},
	}
	s.engine.Step(s.now, []policy.Event{s.snapshot()})
	s.measureAccept()
	s.values[MemoryPerMessage] = growth(before, memoryInUse()) / float64(messages)
	s.measureIdleSteps()
	s.measureSend()
	if err := s.measureRecovery(); err != nil {
		return Measurement{}, err
	}
	return Measurement{messages, s.values}, nil
}

func backlogSettings() policy.Settings {
	return policy.Settings{
		MaxInFlightCalls: backlogInFlight,
		Classes: []policy.Class{{
			Effect:           policy.Idempotent,
			LatencyObjective: 3 * time.Second,
			Deadline:         24 * time.Hour,
			Weight:           1,
		}},
		DestinationKinds: destinationKinds(),
	}
}

func (s *backlogSimulation) snapshot() policy.Event {
	return policy.Event{Kind: policy.EndpointSnapshot, Endpoints: s.endpoints}
}

func (s *backlogSimulation) setInService(inService bool) {
	for i := range s.endpoints {
		s.endpoints[i].InService = inService
	}
}

func (s *backlogSimulation) message(index int) policy.Event {
	return policy.Event{
		Kind:        policy.MessageAccepted,
		MessageID:   policy.MessageID(index + 1),
		Destination: policy.DestinationID(index % s.destinations),
		TimeLeft:    backlogTimeLeft,
	}
}

// timePerItem runs work, which handles a number of items, and returns the processor time per item in microseconds.
func timePerItem(items int, work func()) float64 {
	return microseconds(usage.ThreadCPU(work)) / float64(max(1, items))
}

func (s *backlogSimulation) measureAccept() {
	tenth := s.messages / measuredFraction
	s.values[FirstAcceptTime] = s.accept(0, tenth)
	s.accept(tenth, s.messages-tenth)
	s.values[LastAcceptTime] = s.accept(s.messages-tenth, s.messages)
}

// accept accepts the messages with the indexes from <= i < to, and returns the processor time per message in
// microseconds.
func (s *backlogSimulation) accept(from, to int) float64 {
	var events []policy.Event
	return timePerItem(to-from, func() {
		for i := from; i < to; {
			events = events[:0]
			for ; len(events) < backlogBatch && i < to; i++ {
				events = append(events, s.message(i))
			}
			s.now += minStepInterval
			s.engine.Step(s.now, events)
		}
	})
}

func (s *backlogSimulation) measureIdleSteps() {
	s.values[IdleStepTime] = timePerItem(idleSteps, func() {
		for range idleSteps {
			s.now += minStepInterval
			s.engine.Step(s.now, nil)
		}
	})
}

// measureSend brings all destinations back into service and steps the engine until it has sent a tenth of the
// messages.
func (s *backlogSimulation) measureSend() {
	s.setInService(true)
	s.now += time.Second
	sent := 0
	events := []policy.Event{s.snapshot()}
	cpu := usage.ThreadCPU(func() {
		for step := 0; sent < s.messages/measuredFraction && step < s.messages; step++ {
			actions := s.engine.Step(s.now, events)
			events = events[:0]
			for _, a := range actions {
				if a.Kind == policy.Send {
					sent++
					events = append(events, successfulCall(a))
				}
			}
			s.now += minStepInterval
		}
	})
	s.values[SendTime] = microseconds(cpu) / float64(max(1, sent))
	s.values[SentFraction] = float64(sent) / float64(s.messages)
}

// successfulCall returns the event that a call has succeeded and thereby ended its message.
func successfulCall(call policy.Action) policy.Event {
	return policy.Event{
		Kind:         policy.AttemptFinished,
		MessageID:    call.MessageID,
		Endpoint:     call.Endpoint,
		Outcome:      policy.OK,
		Latency:      backlogCallLatency,
		MessageEnded: true,
	}
}

// measureRecovery measures one step in which a new engine accepts all messages as recovered from the journal.
func (s *backlogSimulation) measureRecovery() error {
	engine, err := policy.New(backlogSettings(), engineSeed)
	if err != nil {
		return fmt.Errorf("hollow: %w", err)
	}
	s.setInService(false)
	events := make([]policy.Event, 0, s.messages+1)
	events = append(events, s.snapshot())
	for i := range s.messages {
		event := s.message(i)
		event.Recovered = &policy.RecoveredMessage{Attempts: 1}
		events = append(events, event)
	}
	s.values[RecoveryTime] = timePerItem(s.messages, func() { engine.Step(engineStart, events) })
	return nil
}
