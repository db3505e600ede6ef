// Package endpointhealth decides what a restarted relay must know of the endpoints that its former process saw fail,
// reject messages or ask for a pause, and how its decision engine learns of it. The engine receives ordinary events, as
// if it had observed the same itself: a Retry-After, a rejection, consecutive failures. The package is pure: it reads
// no clock and does no I/O.
package endpointhealth

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// maxRecords bounds the records, and so the space that they take: some 100 bytes each.
	maxRecords = 256
	// healthyTTL is how long after ObservedAt a healthy answer still counts as recent.
	healthyTTL = 3 * time.Second
	// rejectedTTL is how long after ObservedAt a rejection above a rate limit is of use to the next process.
	rejectedTTL = 10 * time.Second
)

// Record is the health of an endpoint that is unhealthy, or that is healthy beside an unhealthy one of its destination.
// It is stored, so its JSON keys are fixed. All times are on the journal's timeline: see journal.Journal.Stamp.
type Record struct {
	Endpoint         string    `json:"Route"`
	ObservedAt       time.Time `json:"At"`
	RetryAfterUntil  time.Time `json:"Wait,omitzero"`   // the endpoint asked for no message before this
	Ejected          bool      `json:"Down,omitempty"`  // and nothing was delivered since
	WarmingUp        bool      `json:"Cold,omitempty"`  // it may be in an outage, or recovering from one
	RecentlyRejected bool      `json:"Paced,omitempty"` // it rejected messages above a rate limit
	RecentlyHealthy  bool      `json:"Alive,omitempty"` // it answered, and is neither ejected nor warming up
}

func (r *Record) unhealthy() bool {
	return r.Ejected || r.WarmingUp || r.RecentlyRejected || !r.RetryAfterUntil.IsZero()
}

// age returns how long ago the endpoint was observed. A clock that was set back makes no record older.
func (r *Record) age(now time.Time) time.Duration { return max(0, now.Sub(r.ObservedAt)) }

// FromViews returns the records for the endpoints of an engine at now, which is its own time and corresponds to
// timestamp on the journal's timeline.
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
	// refreshInterval is how old saved records may become while an endpoint stays unhealthy: a restart depends on
	// their age.
	refreshInterval = 2 * time.Second
	// retryAfterTolerance is by how much a Retry-After may differ without being another one: each is computed from two
	// clocks.
	retryAfterTolerance = 20 * time.Millisecond
)

// Changed reports whether current records differ from the saved ones in a way that is worth saving. An endpoint that is
// healthy again is such a difference. The passage of time is none, until the saved records are older than
// refreshInterval.
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

// sameHealth reports whether a current record says no more than the saved one. A Retry-After that has ended is no
// difference.
func sameHealth(saved, current Record) bool {
	return saved.Endpoint == current.Endpoint &&
		saved.Ejected == current.Ejected &&
		saved.WarmingUp == current.WarmingUp &&
		saved.RecentlyRejected == current.RecentlyRejected &&
		(current.RetryAfterUntil.IsZero() ||
			current.RetryAfterUntil.Sub(saved.RetryAfterUntil).Abs() < retryAfterTolerance)
}

// Encode encodes records.
func Encode(records []Record) []byte {
	data, err := json.Marshal(records)
	if err != nil {
		return nil // a time outside the years that JSON can hold: of no use to a restart
	}
	return data
}

// Decode decodes records. It returns nil if it cannot: a restart without them is as safe as one that lost its folder.
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
