// Package standing decides what a restarted relay must know of the hosts that its former process saw fail, refuse or
// ask for a pause, and how its decision module is told. It is pure: no clock, no I/O. The module is told through its
// own events alone, as if it had seen the same itself: a told wait, a refusal, failures in a row.
package endpointhealth

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// maxRecords bounds the records, and so the room that they take: some 100 bytes each.
const maxRecords = 256

// Record is how a route stands, where that is not well or where another one of its destination does not. Times are on
// one axis over all processes: journal.Stamp.
type Record struct {
	Endpoint         string    `json:"Route"`
	ObservedAt       time.Time `json:"At"`              // seen so
	RetryAfterUntil  time.Time `json:"Wait,omitzero"`   // told: nothing before this
	Ejected          bool      `json:"Down,omitempty"`  // skipped, and nothing delivered since
	WarmingUp        bool      `json:"Cold,omitempty"`  // may be in an outage or coming back from one
	RecentlyRejected bool      `json:"Paced,omitempty"` // refused above a limit of late
	RecentlyHealthy  bool      `json:"Alive,omitempty"` // answered of late, and neither skipped nor in doubt
}

// unhealthy tells whether a route does not stand well.
func (r *Record) unhealthy() bool {
	return r.Ejected || r.WarmingUp || r.RecentlyRejected || !r.RetryAfterUntil.IsZero()
}

// healthyTTL is how long after it was written down an answer still counts as one of late.
const healthyTTL = 3 * time.Second

// rejectedTTL is how long a refusal above a limit is of use to the next process.
const rejectedTTL = 10 * time.Second

// FromViews returns the records of a module's view at now, its own time, which is wall.
func FromViews(views []policy.EndpointView, now time.Duration, wall time.Time) (recs []Record) {
	record := func(v *policy.EndpointView) Record {
		r := Record{
			Endpoint:         v.ID,
			ObservedAt:       wall,
			Ejected:          v.Ejected,
			WarmingUp:        v.WarmingUp,
			RecentlyRejected: v.DecreasedAt > 0 && now < v.DecreasedAt+rejectedTTL,
		}
		if v.RetryAfterUntil > now {
			r.RetryAfterUntil = wall.Add(v.RetryAfterUntil - now)
		}
		r.RecentlyHealthy = v.RecentlyHealthy && !r.Ejected && !r.WarmingUp
		return r
	}
	ill := map[int]bool{} // destinations
	for i := range views {
		if r := record(&views[i]); len(recs) < maxRecords && r.unhealthy() {
			recs, ill[views[i].Destination] = append(recs, r), true
		}
	}
	for i := range views {
		if r := record(&views[i]); len(recs) < maxRecords && r.RecentlyHealthy && !r.unhealthy() && ill[views[i].Destination] {
			recs = append(recs, r)
		}
	}
	slices.SortFunc(recs, func(a, b Record) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return recs
}

// refreshInterval is how old what is written down may become while a route stands so: a restart goes by its age.
const refreshInterval = 2 * time.Second

// retryAfterTolerance is by how much a wait may be told later without that being news: it is read off two clocks.
const retryAfterTolerance = 20 * time.Millisecond

// Changed tells whether there is anything to write down that was is not worth any more. A route that stands well again
// is news, too; that time has passed is none, until what is written down is no longer fresh.
func Changed(was, is []Record) bool {
	well := func(r Record) bool { return !r.unhealthy() }
	was, is = slices.DeleteFunc(slices.Clone(was), well), slices.DeleteFunc(slices.Clone(is), well)
	if len(was) > 0 && len(is) > 0 && is[0].ObservedAt.Sub(was[0].ObservedAt).Abs() > refreshInterval {
		return true
	}
	return !slices.EqualFunc(was, is, func(a, b Record) bool {
		return a.Endpoint == b.Endpoint && a.Ejected == b.Ejected && a.WarmingUp == b.WarmingUp &&
			a.RecentlyRejected == b.RecentlyRejected &&
			(b.RetryAfterUntil.IsZero() || b.RetryAfterUntil.Sub(a.RetryAfterUntil).Abs() < retryAfterTolerance)
	})
}

// Encode writes records.
func Encode(recs []Record) []byte {
	data, err := json.Marshal(recs)
	if err != nil {
		return nil // times out of JSON's years: nothing that a restart could use
	}
	return data
}

// Decode reads them; nil if they cannot be read: a restart without them is as safe as one after the loss of the folder.
func Decode(data []byte) (recs []Record) {
	if len(data) == 0 || json.Unmarshal(data, &recs) != nil || len(recs) > maxRecords {
		return nil
	}
	return recs
}

const (
	failuresToSuspect = 2 // in a row that put a route in doubt
	failuresToEject   = 3 // and that skip it
)

// Events tell a fresh module, at wall, of records that a former process left. They come behind the list. A route is
// told as cold for as long as an outage's traces last: warm after it was seen.
func Events(recs []Record, wall time.Time, warm time.Duration) (evs []policy.Event) {
	// What answered a moment ago is told first. Guards against doubts that the former module had not: it takes a
	// refusal by a route that has not answered for a sign of an outage, and a route that has not for as ill as those
	// beside it.
	for _, r := range recs {
		if age := max(0, wall.Sub(r.ObservedAt)); r.Endpoint != "" && r.RecentlyHealthy && age < healthyTTL {
			evs = append(evs, policy.Event{Kind: policy.HealthChecked, Endpoint: r.Endpoint, Outcome: policy.OK})
		}
	}
	for _, r := range recs {
		if r.Endpoint == "" {
			continue
		}
		age := max(0, wall.Sub(r.ObservedAt)) // a clock that was set back makes nothing older
		tell := func(o policy.Outcome, wait time.Duration) {
			evs = append(
				evs,
				policy.Event{Kind: policy.HealthChecked, Endpoint: r.Endpoint, Outcome: o, RetryAfter: wait},
			)
		}
		failures := 0
		switch {
		case age >= warm:
		case r.Ejected:
			failures = failuresToEject
		case r.WarmingUp:
			failures = failuresToSuspect
		}
		if r.RecentlyRejected && age < rejectedTTL {
			tell(policy.Overloaded, 0)
		}
		for range failures {
			tell(policy.Error, 0)
		}
		if left := r.RetryAfterUntil.Sub(wall); !r.RetryAfterUntil.IsZero() && left > 0 && left <= maxRetryAfter {
			tell(policy.NotSent, left)
		}
	}
	return evs
}

// maxRetryAfter bounds a wait that is kept. Guards against a clock that was set back by far.
const maxRetryAfter = time.Hour
