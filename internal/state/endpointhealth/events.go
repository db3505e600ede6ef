package endpointhealth

import (
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// failuresToSuspect is how many consecutive failures make the engine suspect an outage of an endpoint.
	failuresToSuspect = 2
	// failuresToEject is how many consecutive failures make the engine eject an endpoint.
	failuresToEject = 3
	// maxRetryAfter bounds a restored Retry-After. It guards against a clock that was set back far.
	maxRetryAfter = time.Hour
)

// Events returns the events that restore the records of a former process in a new engine, at now on the journal's
// timeline. They follow the endpoint list. An endpoint is restored as ejected or warming up for as long as an outage
// may still have effects: for warmUp after it was observed.
func Events(records []Record, now time.Time, warmUp time.Duration) []policy.Event {
	var events []policy.Event
	// Recent healthy answers come first. This guards against suspicions that the former engine did not have: an engine
	// takes a rejection by an endpoint that has not answered for a sign of an outage, and an endpoint that has not
	// answered for as unhealthy as the others of its destination.
	for i := range records {
		record := &records[i]
		if record.Endpoint != "" && record.RecentlyHealthy && record.age(now) < healthyTTL {
			events = append(events, healthChecked(record, policy.OK))
		}
	}
	for i := range records {
		if records[i].Endpoint != "" {
			events = appendEvents(events, &records[i], now, warmUp)
		}
	}
	return events
}

// appendEvents appends the events that restore what is wrong with an endpoint.
func appendEvents(events []policy.Event, record *Record, now time.Time, warmUp time.Duration) []policy.Event {
	age := record.age(now)
	if record.RecentlyRejected && age < rejectedTTL {
		events = append(events, healthChecked(record, policy.Overloaded))
	}
	for range record.failures(age, warmUp) {
		events = append(events, healthChecked(record, policy.Error))
	}
	if record.RetryAfterUntil.IsZero() {
		return events
	}
	if left := record.RetryAfterUntil.Sub(now); left > 0 && left <= maxRetryAfter {
		event := healthChecked(record, policy.NotSent)
		event.RetryAfter = left
		events = append(events, event)
	}
	return events
}

// failures returns how many consecutive failures restore the state of an endpoint.
func (r *Record) failures(age, warmUp time.Duration) int {
	switch {
	case age >= warmUp:
		return 0
	case r.Ejected:
		return failuresToEject
	case r.WarmingUp:
		return failuresToSuspect
	default:
		return 0
	}
}

func healthChecked(record *Record, outcome policy.Outcome) policy.Event {
	return policy.Event{Kind: policy.HealthChecked, Endpoint: record.Endpoint, Outcome: outcome}
}
