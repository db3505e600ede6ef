// Package endpointhealth carries the health of endpoints across a restart of the relay. It selects what to save of the
// endpoints that failed, rejected messages or asked for a pause, and converts it to events that restore the same
// state in a new engine. These are ordinary events, as if the engine had observed them itself: a Retry-After, a
// rejection, consecutive failures. The package is pure: it reads no clock and does no I/O.
package endpointhealth

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// maxRecords limits the number of records, and so their size in the journal: about 100 bytes each.
	maxRecords = 256
	// healthyTTL is the age of a record up to which RecentlyHealthy is restored.
	healthyTTL = 3 * time.Second
	// rejectedTTL is how long a rejection above a rate limit counts as recent when a record is made, and the age of a
	// record up to which RecentlyRejected is restored.
	rejectedTTL = 10 * time.Second
)

// Record is the health of an unhealthy endpoint, or of a healthy endpoint whose destination has an unhealthy one.
// Records are stored, so their JSON keys are fixed. All times are on the journal's timeline: see
// journal.Journal.Stamp.
type Record struct {
	Endpoint         string    `json:"Route"`
	ObservedAt       time.Time `json:"At"`
	RetryAfterUntil  time.Time `json:"Wait,omitzero"`   // the endpoint asked for no message before this time
	Ejected          bool      `json:"Down,omitempty"`  // it is ejected, and has delivered nothing since
	WarmingUp        bool      `json:"Cold,omitempty"`  // it is suspected of an outage, or is recovering from one
	RecentlyRejected bool      `json:"Paced,omitempty"` // it recently rejected messages above a rate limit
	RecentlyHealthy  bool      `json:"Alive,omitempty"` // it recently delivered, and is neither ejected nor warming up
}

func (r *Record) unhealthy() bool {
	return r.Ejected || r.WarmingUp || r.RecentlyRejected || !r.RetryAfterUntil.IsZero()
}

// age returns the time since the endpoint was observed. It is 0 if ObservedAt is in the future because the clock was
// set back.
func (r *Record) age(now time.Time) time.Duration { return max(0, now.Sub(r.ObservedAt)) }

// FromViews returns the records to save for the endpoints of an engine. now is the engine's time, and timestamp is the
// same moment on the journal's timeline.
func FromViews(views []policy.EndpointView, now time.Duration, timestamp time.Time) []Record {
	var records []Record
	unhealthyDestinations := map[policy.DestinationID]bool{}
	for i := range views {
		record := fromView(&views[i], now, timestamp)
		if record.unhealthy() && len(records) < maxRecords {
			records = append(records, record)
			unhealthyDestinations[views[i].Destination] = true
		}
	}
	for i := range views {
		if !unhealthyDestinations[views[i].Destination] {
			continue
		}
		record := fromView(&views[i], now, timestamp)
		if record.RecentlyHealthy && !record.unhealthy() && len(records) < maxRecords {
			records = append(records, record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return records
}

func fromView(view *policy.EndpointView, now time.Duration, timestamp time.Time) Record {
	record := Record{
		Endpoint:         view.ID,
		ObservedAt:       timestamp,
		Ejected:          view.Ejected,
		WarmingUp:        view.WarmingUp,
		RecentlyRejected: view.DecreasedAt > 0 && now < view.DecreasedAt+rejectedTTL,
		RecentlyHealthy:  view.RecentlyHealthy && !view.Ejected && !view.WarmingUp,
	}
	if view.RetryAfterUntil > now {
		record.RetryAfterUntil = timestamp.Add(view.RetryAfterUntil - now)
	}
	return record
}

const (
	// refreshInterval is the age beyond which saved records are replaced while an endpoint stays unhealthy. What a
	// restart restores depends on the time since the endpoint was last observed.
	refreshInterval = 2 * time.Second
	// retryAfterTolerance is the difference below which two ends of a Retry-After count as equal. Each end is computed
	// from two clocks, and so varies a little.
	retryAfterTolerance = 20 * time.Millisecond
)

// Changed reports whether the current records must be saved because they differ from the saved ones. An endpoint that
// became healthy again is a difference. While an endpoint stays unhealthy, the records also differ once the saved ones
// are older than refreshInterval.
func Changed(saved, current []Record) bool {
	saved = onlyUnhealthy(saved)
	current = onlyUnhealthy(current)
	if len(saved) > 0 && len(current) > 0 {
		elapsed := current[0].ObservedAt.Sub(saved[0].ObservedAt)
		if elapsed.Abs() > refreshInterval {
			return true
		}
	}
	return !slices.EqualFunc(saved, current, sameHealth)
}

func onlyUnhealthy(records []Record) []Record {
	return slices.DeleteFunc(slices.Clone(records), func(r Record) bool { return !r.unhealthy() })
}

// sameHealth reports whether the saved record still describes the health in the current one. A Retry-After that has
// ended since is not a difference.
func sameHealth(saved, current Record) bool {
	return saved.Endpoint == current.Endpoint &&
		saved.Ejected == current.Ejected &&
		saved.WarmingUp == current.WarmingUp &&
		saved.RecentlyRejected == current.RecentlyRejected &&
		(current.RetryAfterUntil.IsZero() ||
			current.RetryAfterUntil.Sub(saved.RetryAfterUntil).Abs() < retryAfterTolerance)
}

// Encode returns the JSON form of records, or nil if it cannot encode them.
func Encode(records []Record) []byte {
	data, err := json.Marshal(records)
	if err != nil {
		return nil // a record has a time whose year JSON cannot represent, so a restart could not use it
	}
	return data
}

// Decode decodes records. It returns nil if it cannot decode them: a restart without records is as safe as one that has
// lost its journal.
func Decode(data []byte) []Record {
	if len(data) == 0 {
		return nil
	}
	var records []Record
	if err := json.Unmarshal(data, &records); err != nil || len(records) > maxRecords {
		return nil
	}
	return records
}
