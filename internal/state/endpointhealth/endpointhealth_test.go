package endpointhealth

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

var observedAt = time.Unix(1e9, 0)

func TestChanged(t *testing.T) {
	saved := []Record{
		{Endpoint: "a", ObservedAt: observedAt, WarmingUp: true, RetryAfterUntil: observedAt.Add(time.Second)},
	}
	for name, c := range map[string]struct {
		change func(*Record)
		want   bool
	}{
		"time has passed": {
			change: func(r *Record) { r.ObservedAt = observedAt.Add(time.Second) },
		},
		"Retry-After computed from two clocks": {
			change: func(r *Record) { r.RetryAfterUntil = r.RetryAfterUntil.Add(time.Millisecond) },
		},
		"Retry-After has ended": {
			change: func(r *Record) { r.RetryAfterUntil = time.Time{} },
		},
		"longer Retry-After": {
			change: func(r *Record) { r.RetryAfterUntil = r.RetryAfterUntil.Add(time.Second) },
			want:   true,
		},
		"ejected": {
			change: func(r *Record) { r.Ejected = true },
			want:   true,
		},
		"warmed up": {
			change: func(r *Record) { r.WarmingUp = false },
			want:   true,
		},
		"saved records are old": {
			change: func(r *Record) { r.ObservedAt = observedAt.Add(3 * time.Second) },
			want:   true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			current := slices.Clone(saved)
			c.change(&current[0])
			if got := Changed(saved, current); got != c.want {
				t.Errorf("Changed = %v, want %v", got, c.want)
			}
		})
	}
	if !Changed(saved, nil) || Changed(nil, nil) {
		t.Error("want a change if the endpoint is healthy again, and none if there are no records at all")
	}
}

// FromViews returns at most maxRecords records. Decode returns nil for truncated data, and Events does not panic on the
// records of damaged data.
func TestRecordsAreBoundedAndDecodeRejectsDamage(t *testing.T) {
	views := make([]policy.EndpointView, 3*maxRecords)
	for i := range views {
		views[i].ID = string(rune('a'+i%26)) + string(rune('a'+i/26))
		views[i].Ejected = true
	}
	if n := len(FromViews(views, time.Second, time.Unix(1, 0))); n != maxRecords {
		t.Errorf("%d records, want %d", n, maxRecords)
	}
	data := Encode(FromViews(views[:3], time.Second, time.Unix(1, 0)))
	rng := rand.New(rand.NewPCG(1, 1))
	for n := range data {
		if records := Decode(data[:n]); records != nil {
			t.Fatalf("truncated to %d bytes: %+v, want nil", n, records)
		}
		damaged := slices.Clone(data)
		damaged[n] = byte(rng.Uint32())
		Events(Decode(damaged), time.Unix(2, 0), time.Second)
	}
}

// A healthy endpoint has a record only if its destination has an unhealthy one. The records of healthy endpoints do not
// count as a change.
func TestHealthyEndpointsAreRecordedBesideUnhealthyOnes(t *testing.T) {
	view := func(id string, destination policy.DestinationID, warmingUp bool) policy.EndpointView {
		v := policy.EndpointView{RecentlyHealthy: true, WarmingUp: warmingUp}
		v.ID = id
		v.Destination = destination
		return v
	}
	views := []policy.EndpointView{
		view("alone", 0, false),
		view("beside", 1, false),
		view("unhealthy", 1, true),
	}
	records := FromViews(views, time.Second, observedAt)
	want := []Record{
		{Endpoint: "beside", ObservedAt: observedAt, RecentlyHealthy: true},
		{Endpoint: "unhealthy", ObservedAt: observedAt, WarmingUp: true},
	}
	if !slices.Equal(records, want) {
		t.Errorf("records %+v, want %+v", records, want)
	}
	if Changed(records, records[1:]) {
		t.Error("the record of a healthy endpoint counts as a change")
	}
}
