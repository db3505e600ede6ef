package emulate

import (
	"maps"
	"slices"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// scriptedEngine makes decisions by a few simple rules: it sends each message to the endpoints of its destination in
// turn. So a record shows which events an engine receives and how its calls end, independently of the decisions of
// package policy.
type scriptedEngine struct {
	settings  policy.Settings
	seed      uint64
	endpoints map[policy.DestinationID][]policy.Endpoint // by destination, sorted by ID
	messages  map[policy.MessageID]*scriptedMessage
}

type scriptedMessage struct {
	destination policy.DestinationID
	attempts    int
	inFlight    bool
	deadline    time.Duration
	notBefore   time.Duration // earliest time of the next attempt
}

func newScriptedEngine(settings policy.Settings, seed uint64) DecisionEngine {
	return &scriptedEngine{
		settings:  settings,
		seed:      seed,
		endpoints: map[policy.DestinationID][]policy.Endpoint{},
		messages:  map[policy.MessageID]*scriptedMessage{},
	}
}

func (s *scriptedEngine) Step(now time.Duration, events []policy.Event) (actions []policy.Action) {
	for _, e := range events {
		s.applyEvent(now, e)
		if e.Kind == policy.AttemptFinished && e.Outcome == policy.Overloaded {
			actions = append(actions, policy.Action{Kind: policy.CloseIdle, Endpoint: e.Endpoint})
		}
	}
	timer := time.Duration(0)
	for _, id := range slices.Sorted(maps.Keys(s.messages)) {
		m := s.messages[id]
		if m.inFlight {
			continue
		}
		if a, ok := s.decide(now, id, m); ok {
			actions = append(actions, a)
			continue
		}
		at := min(m.deadline, max(m.notBefore, now+200*time.Millisecond))
		if timer == 0 || at < timer {
			timer = at
		}
	}
	if timer > 0 {
		actions = append(actions, policy.Action{Kind: policy.SetTimer, Delay: max(timer-now, time.Millisecond)})
	}
	return actions
}

func (s *scriptedEngine) applyEvent(now time.Duration, e policy.Event) {
	switch e.Kind {
	case policy.EndpointSnapshot:
		clear(s.endpoints)
		s.applyEntries(e.Endpoints)
	case policy.EndpointDelta:
		s.applyEntries(e.Endpoints)
	case policy.MessageAccepted:
		m := &scriptedMessage{destination: e.Destination, deadline: now + e.TimeLeft}
		if e.Recovered != nil {
			m.attempts = e.Recovered.Attempts
		}
		s.messages[e.MessageID] = m
	case policy.MessageCancelled:
		delete(s.messages, e.MessageID)
	case policy.AttemptFinished:
		if e.MessageEnded {
			delete(s.messages, e.MessageID)
		} else if m := s.messages[e.MessageID]; m != nil {
			m.inFlight = false
			m.notBefore = now + max(e.RetryAfter, 50*time.Millisecond)
		}
	}
}

func (s *scriptedEngine) applyEntries(entries []policy.Endpoint) {
	for _, entry := range entries {
		for destination, endpoints := range s.endpoints {
			s.endpoints[destination] = slices.DeleteFunc(endpoints, func(e policy.Endpoint) bool {
				return e.ID == entry.ID
			})
		}
		if entry.Removed {
			continue
		}
		s.endpoints[entry.Destination] = append(s.endpoints[entry.Destination], entry)
		slices.SortFunc(s.endpoints[entry.Destination], func(a, b policy.Endpoint) int {
			return strings.Compare(a.ID, b.ID)
		})
	}
}

// decide returns the action that ends or sends a message, if it is time for one.
func (s *scriptedEngine) decide(now time.Duration, id policy.MessageID, m *scriptedMessage) (policy.Action, bool) {
	if now >= m.deadline || s.settings.MaxAttempts > 0 && m.attempts >= s.settings.MaxAttempts {
		delete(s.messages, id)
		kind := []policy.ActionKind{policy.Fail, policy.Reject}[id%2]
		return policy.Action{Kind: kind, MessageID: id, Delay: time.Second}, true
	}
	var inService []policy.Endpoint
	for _, e := range s.endpoints[m.destination] {
		if e.InService {
			inService = append(inService, e)
		}
	}
	if len(inService) == 0 || now < m.notBefore {
		return policy.Action{}, false
	}
	next := (s.seed + uint64(id) + uint64(m.attempts)) % uint64(len(inService))
	m.inFlight = true
	m.attempts++
	return policy.Action{
		Kind:      policy.Send,
		MessageID: id,
		Endpoint:  inService[next].ID,
		TimeoutAt: min(m.deadline, now+2*time.Second),
	}, true
}

func (s *scriptedEngine) StillAllowed(endpoint string, _ []policy.MessageID, _ time.Duration) bool {
	for _, endpoints := range s.endpoints {
		for _, e := range endpoints {
			if e.ID == endpoint {
				return e.InService
			}
		}
	}
	return false
}
