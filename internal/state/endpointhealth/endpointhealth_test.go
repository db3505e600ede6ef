package endpointhealth

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cherrytrestle.example/cherrytrestle/policy"
)

func settings() policy.Settings {
	return policy.Settings{
		Classes: []policy.Class{
			{Effect: policy.Idempotent, LatencyObjective: 3 * time.Second, Deadline: 16 * time.Second, Weight: 1},
		},
		DestinationKinds: []policy.DestinationKind{{MaxBatch: 10}, {MaxBatch: 1, LimitPerEndpoint: true}},
		FleetSize:        2, MaxInFlightCalls: 20, WarmUpInitialCapacity: 0.2, WarmUpDuration: 14 * time.Second, OverloadFactor: 2, OverloadWindow: 3 * time.Second,
	}
}

func endpointSnapshot() policy.Event {
	e := policy.Event{Kind: policy.EndpointSnapshot}
	for _, x := range []policy.Endpoint{
		{ID: "a", Destination: 1, Kind: 0}, {ID: "b", Destination: 1, Kind: 0}, {ID: "c", Destination: 2, Kind: 1}, {ID: "d", Destination: 2, Kind: 1},
	} {
		x.InService, x.Weight = true, 20
		e.Endpoints = append(e.Endpoints, x)
	}
	return e
}

func findView(s *policy.Engine, route string) policy.EndpointView {
	views, _ := s.Views()
	return views[slices.IndexFunc(views, func(v policy.EndpointView) bool { return v.ID == route })]
}

// Over any history: what the former module held back, for an outage or a wait, the restored one does too, and a wait
// for no shorter time; what was well is well.
func TestRestoredEngineKeepsEndpointHealth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, err := policy.New(settings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		now, wall := time.Second, time.Unix(1e9, 0)
		old.Step(now, []policy.Event{endpointSnapshot()})
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			d := time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
			now, wall = now+d, wall.Add(d)
			e := policy.Event{
				Kind:     policy.HealthChecked,
				Endpoint: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "route"),
			}
			e.Outcome = rapid.SampledFrom([]policy.Outcome{policy.OK, policy.OK, policy.Error, policy.Timeout, policy.Overloaded, policy.Reset}).
				Draw(t, "outcome")
			if e.Outcome == policy.Overloaded && rapid.Bool().Draw(t, "told") {
				e.RetryAfter = time.Duration(rapid.IntRange(1, 4000).Draw(t, "wait")) * time.Millisecond
			}
			old.Step(now, []policy.Event{e})
		}
		views, _ := old.Views()
		recs := Decode(Encode(FromViews(views, now, wall)))
		fresh, err := policy.New(settings(), 2)
		if err != nil {
			t.Fatal(err)
		}
		down := time.Duration(rapid.IntRange(0, 1000).Draw(t, "down for")) * time.Millisecond
		const at = time.Second
		fresh.Step(at, append([]policy.Event{endpointSnapshot()}, Events(recs, wall.Add(down), settings().WarmUpDuration)...))
		for _, was := range views {
			is := findView(fresh, was.ID)
			if was.Ejected && !is.Ejected || was.WarmingUp && !is.WarmingUp {
				t.Fatalf("%s: was %+v, is %+v", was.ID, was, is)
			}
			if left := was.RetryAfterUntil - now - down; left > 0 && is.RetryAfterUntil < at+left {
				t.Fatalf("%s: a wait of %v more is %v", was.ID, left, is.RetryAfterUntil-at)
			}
			well := !slices.ContainsFunc(recs, func(r Record) bool { return r.Endpoint == was.ID })
			sibling := slices.ContainsFunc(
				recs,
				func(r Record) bool { return findView(fresh, r.Endpoint).Destination == was.Destination },
			)
			if well && !sibling && (is.Ejected || is.WarmingUp || is.RetryAfterUntil > at || is.PacingRate > 0) {
				t.Fatalf("%s was well, and is %+v", was.ID, is)
			}
		}
	})
}

func TestOldRecordsExpire(t *testing.T) {
	wall := time.Unix(1e9, 0)
	recs := []Record{
		{
			Endpoint:         "a",
			ObservedAt:       wall,
			Ejected:          true,
			WarmingUp:        true,
			RecentlyRejected: true,
			RetryAfterUntil:  wall.Add(time.Second),
		},
		{Endpoint: "c", ObservedAt: wall, WarmingUp: true},
	}
	for _, x := range []struct {
		after time.Duration
		want  int // events
	}{
		{0, 1 + failuresToEject + 1 + failuresToSuspect},
		{2 * time.Second, 1 + failuresToEject + failuresToSuspect},
		{12 * time.Second, failuresToEject + failuresToSuspect},
		{14 * time.Second, 0},
		{-time.Minute, 1 + failuresToEject + 1 + failuresToSuspect},
		{-2 * time.Hour, 1 + failuresToEject + failuresToSuspect},
	} {
		if evs := Events(recs, wall.Add(x.after), 14*time.Second); len(evs) != x.want {
			t.Errorf("after %v: %d events, not %d: %+v", x.after, len(evs), x.want, evs)
		}
	}
}

func TestChanged(t *testing.T) {
	wall := time.Unix(1e9, 0)
	was := []Record{{Endpoint: "a", ObservedAt: wall, WarmingUp: true, RetryAfterUntil: wall.Add(time.Second)}}
	for name, x := range map[string]struct {
		change func(*Record)
		want   bool
	}{
		"nothing":             {func(r *Record) { r.ObservedAt = wall.Add(time.Second) }, false},
		"read off two clocks": {func(r *Record) { r.RetryAfterUntil = r.RetryAfterUntil.Add(time.Millisecond) }, false},
		"the wait is over":    {func(r *Record) { r.RetryAfterUntil = time.Time{} }, false},
		"a longer wait":       {func(r *Record) { r.RetryAfterUntil = r.RetryAfterUntil.Add(time.Second) }, true},
		"skipped":             {func(r *Record) { r.Ejected = true }, true},
		"well":                {func(r *Record) { r.WarmingUp = false }, true},
		"no longer fresh":     {func(r *Record) { r.ObservedAt = wall.Add(3 * time.Second) }, true},
	} {
		is := slices.Clone(was)
		x.change(&is[0])
		if Changed(was, is) != x.want {
			t.Errorf("%s: news is %v", name, !x.want)
		}
	}
	if !Changed(was, nil) || Changed(nil, nil) {
		t.Error("a route that stands well again is news")
	}
}

// What cannot be read is as if nothing had been kept, and there is never more than the bound.
func TestRecordsAreBoundedAndDecodeRejectsDamage(t *testing.T) {
	views := make([]policy.EndpointView, 3*maxRecords)
	for i := range views {
		views[i].ID, views[i].Ejected = string(rune('a'+i%26))+string(rune('a'+i/26)), true
	}
	if n := len(FromViews(views, time.Second, time.Unix(1, 0))); n != maxRecords {
		t.Errorf("%d records", n)
	}
	data := Encode(FromViews(views[:3], time.Second, time.Unix(1, 0)))
	rng := rand.New(rand.NewPCG(1, 1))
	for n := range data {
		if recs := Decode(data[:n]); recs != nil {
			t.Fatalf("cut at %d: %+v", n, recs)
		}
		spoilt := slices.Clone(data)
		spoilt[n] = byte(rng.Uint32())
		Events(Decode(spoilt), time.Unix(2, 0), time.Second)
	}
}

// A refusal that a former module took for a limit's casts no doubt in the next, nor does a sibling's trouble on what
// answers: what had answered a moment before is told so, but not for long, and no more than the former had it.
func TestRecentlyHealthyEndpointIsRestored(t *testing.T) {
	many := settings()
	many.FleetSize = 300
	const at = time.Second
	play := func(seed uint64, recs []Record, wall time.Time) *policy.Engine {
		s, err := policy.New(many, seed)
		if err != nil {
			t.Fatal(err)
		}
		s.Step(at, append([]policy.Event{endpointSnapshot()}, Events(recs, wall, many.WarmUpDuration)...))
		// A message has the routes looked at.
		s.Step(
			at,
			[]policy.Event{{Kind: policy.MessageAccepted, MessageID: 1, Destination: 1, TimeLeft: 10 * time.Second}},
		)
		return s
	}
	wall := time.Unix(1e9, 0)
	for _, c := range []struct {
		name string
		recs []Record
		down time.Duration
		cold bool // "a", under some seed
	}{
		{"refused, alive", []Record{{Endpoint: "a", ObservedAt: wall, RecentlyRejected: true, RecentlyHealthy: true}}, time.Second, false},
		{"refused, not alive", []Record{{Endpoint: "a", ObservedAt: wall, RecentlyRejected: true}}, time.Second, true},
		{"refused, alive long ago", []Record{{Endpoint: "a", ObservedAt: wall, RecentlyRejected: true, RecentlyHealthy: true}}, 4 * time.Second, true},
		{"beside one in doubt, alive", []Record{{Endpoint: "a", ObservedAt: wall, RecentlyHealthy: true}, {Endpoint: "b", ObservedAt: wall, WarmingUp: true}}, time.Second, false},
		{"beside one in doubt, not told", []Record{{Endpoint: "b", ObservedAt: wall, WarmingUp: true}}, time.Second, true},
		{"in doubt", []Record{{Endpoint: "a", ObservedAt: wall, WarmingUp: true}}, time.Second, true},
	} {
		cold := false
		for seed := range uint64(40) {
			s := play(seed, c.recs, wall.Add(c.down))
			cold = cold || findView(s, "a").WarmingUp
			if hasCold := slices.ContainsFunc(c.recs, func(r Record) bool { return r.Endpoint == "b" }); hasCold &&
				!findView(s, "b").WarmingUp {
				t.Fatalf("%s: the doubt is gone", c.name)
			}
		}
		if cold != c.cold {
			t.Errorf("%s: in doubt %v", c.name, cold)
		}
	}
	// Only beside trouble is it worth a record, and it is no news by itself.
	views := []policy.EndpointView{
		{RecentlyHealthy: true},
		{RecentlyHealthy: true},
		{WarmingUp: true, RecentlyHealthy: true},
	}
	for i, name := range []string{"well", "beside", "ill"} {
		views[i].ID, views[i].Destination = name, min(i, 1)
	}
	recs := FromViews(views, time.Second, wall)
	if len(recs) != 2 || recs[0].Endpoint != "beside" || !recs[0].RecentlyHealthy || recs[1].Endpoint != "ill" ||
		recs[1].RecentlyHealthy {
		t.Errorf("records %+v", recs)
	}
	if Changed(recs, recs[1:]) {
		t.Error("a route that answers is news")
	}
}
