package endpointhealth

import (
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// failuresToSuspect is the number of consecutive failures after which the engine suspects an outage of an endpoint.
	failuresToSuspect = 2
	// failuresToEject is the number of consecutive failures after which the engine ejects an endpoint.
	failuresToEject = 3
	// maxRetryAfter is the longest Retry-After that is restored. It guards against a clock that was set back far.
	maxRetryAfter = time.Hour
)

// Events returns the events that restore the records of a former process in a new engine. now is the time on the
// journal's timeline. The engine must receive the endpoint list before these events. An endpoint is restored as
// ejected or warming up only if it was observed less than warmUp ago, since an outage may have effects for that long.
func Events(records []Record, now time.Time, warmUp time.Duration) []policy.Event {
	var events []policy.Event
	// Deliveries by healthy endpoints come first, since the engine could otherwise suspect endpoints that the former
	// engine did not suspect. If an endpoint has not answered yet, the engine may take a rejection for a sign of an
	// outage, and it suspects the endpoint if another one with the same rate limit is suspect.
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

// appendEvents appends the events that restore the rejections, failures and Retry-After of an endpoint.
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

// failures returns the number of consecutive failures that restore the ejection or the warm-up of an endpoint.
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
