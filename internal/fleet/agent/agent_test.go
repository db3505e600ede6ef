package agent

import (
	"bytes"
	"fmt"
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/gossip"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder/recordertest"
	"cherrytrestle.example/cherrytrestle/policy"
)

func newSeam() *Agent {
	return New(
		Settings{
			Self:             "me",
			Incarnation:      loadreport.Incarnation{Generation: 1, Boot: 2},
			Members:          []string{"me", "a", "b"},
			DestinationKinds: recordertest.Settings().DestinationKinds,
		},
	)
}

// history is what a module lived through.
func history(t *testing.T, seed uint64) (steps []flightrecorder.Entry) {
	_, rec := recordertest.Drive(seed, 20*time.Second, 64<<20, nil)
	var buf bytes.Buffer
	if _, err := rec.WriteTo(&buf); err != nil {
		t.Fatal(err)
	}
	r, err := flightrecorder.NewReader(buf.Bytes())
	if err != nil {
		t.Fatal(err)
	}
	for {
		e, ok, err := r.Next()
		if err != nil {
			t.Fatal(err)
		}
		if !ok {
			return steps
		}
		if e.Kind == flightrecorder.Step {
			steps = append(steps, e)
		}
	}
}

func input(e flightrecorder.Entry, n int) Input {
	in := Input{Events: e.Events, Actions: e.Actions, Views: func() []policy.EndpointView { return nil }}
	if n%97 == 0 {
		in.Received = []loadreport.Report{
			{
				Name:        "a",
				Incarnation: loadreport.Incarnation{Generation: 1, Boot: 1},
				Sequence:    uint64(n + 1),
				Scopes:      []loadreport.ScopeLoad{{Destination: 1, Calls: 2}},
			},
		}
	}
	return in
}

// A Seam that is restored in the middle goes on as the one that was not: the same pages, the same state.
func TestRestoredGoesOnAlike(t *testing.T) {
	for seed := range uint64(3) {
		steps := history(t, seed)
		set := newSeam().Settings
		set.ShareQuota, set.FleetSize = true, 20
		a, b := New(set), New(set)
		told, rightsTold := 0, 0
		for i, e := range steps {
			in := input(e, i)
			if i%61 == 0 { // another lends and asks, and what is wanted here is asked for
				s := quota.Scope{Destination: 1}
				in.Quota = []quota.Message{{
					Member: "a", Incarnation: loadreport.Incarnation{Generation: 1, Boot: 1}, Seq: uint64(i + 1), Leases: []quota.Lease{{Scope: s, Rate: 0.1, Delivered: uint32(i)}},
					Requests: []quota.Request{{Scope: s, ID: uint32(i), Calls: 1}},
				}}
				in.Actions = append(
					slices.Clip(in.Actions),
					policy.Action{Kind: policy.RequestQuota, Endpoint: "s-1", Calls: 2},
				)
			}
			x, y := a.Step(e.Now, in), b.Step(e.Now, in)
			rightsTold += len(x.Quota) + len(x.Events)
			if !reflect.DeepEqual(x, y) {
				t.Fatalf("seed %d, step %d: %v and %v", seed, i, x, y)
			}
			told += len(x.Published)
			if i%701 == 700 {
				state := a.Snapshot(nil)
				var err error
				if b, err = Restore(state); err != nil {
					t.Fatal(err)
				}
				if again := b.Snapshot(nil); !bytes.Equal(state, again) {
					t.Fatalf("seed %d, step %d: restored, the state is another", seed, i)
				}
			}
		}
		if rightsTold < 50 {
			t.Errorf("seed %d: only %d messages and events of rights", seed, rightsTold)
		}
		if told < 20 || a.Reports().AggregateOthers(a.Now, 1, "").Members == 0 {
			t.Errorf("seed %d: only %d pages were told", seed, told)
		}
	}
	if _, err := Restore([]byte("no state")); err == nil {
		t.Error("no state is restored")
	}
}

// drive has a destination meet so many messages a second, each sent at once, of which every third is refused with a
// wait.
func drive(s *Agent, from, to time.Duration, rate float64) (told []loadreport.Report) {
	every := time.Duration(float64(time.Second) / rate)
	for now, id := from, uint32(from); now < to; now, id = now+every, id+1 {
		told = append(told, s.Step(now, Input{
			Events:  []policy.Event{{Kind: policy.MessageAccepted, MessageID: id, Destination: 9}},
			Actions: []policy.Action{{Kind: policy.Send, MessageID: id, Endpoint: "s-1"}},
			Views:   func() []policy.EndpointView { return nil },
		}).Published...)
		e := policy.Event{
			Kind:         policy.AttemptFinished,
			MessageID:    id,
			Endpoint:     "s-1",
			Outcome:      policy.OK,
			MessageEnded: true,
		}
		if id%3 == 0 {
			e.Outcome, e.MessageEnded, e.RetryAfter = policy.Overloaded, false, 400*time.Millisecond
		}
		s.Step(now+every/2, Input{Events: []policy.Event{e}})
	}
	return told
}

// What is told is what happened, no more often than all others can bear, and fades when nothing happens any more.
func TestWhatIsTold(t *testing.T) {
	s := newSeam()
	s.Step(time.Second, Input{Events: []policy.Event{{Kind: policy.EndpointSnapshot, Endpoints: []policy.Endpoint{
		{ID: "s-1", Destination: 9, Weight: 50, InService: true},
		{ID: "s-2", Destination: 12, Kind: 1, Weight: 5, InService: true},
		{ID: "s-3", Destination: 12, Kind: 1, Weight: 7, InService: true},
	}}}})
	if want := (loadreport.Limits{9: {"": 50}, 12: {"": 12, "s-2": 5, "s-3": 7}}); !reflect.DeepEqual(
		s.Limits(),
		want,
	) {
		t.Errorf("%v, want %v", s.Limits(), want)
	}
	told := drive(s, time.Second, 41*time.Second, 30)
	last := told[len(told)-1]
	if last.Name != "me" || last.Number != loadreport.ReportNumber(9) || len(last.Scopes) != 1 {
		t.Fatalf("%+v", last)
	}
	c := last.Scopes[0]
	for what, got := range map[string][2]float64{
		"demand": {c.Demand, 30}, "calls": {c.Calls, 30}, "refusals": {c.Rejections, 10}, "deliveries": {c.Deliveries, 20}, "failures": {c.Failures, 0},
	} {
		if math.Abs(got[0]-got[1]) > 0.1*got[1] {
			t.Errorf("%s: %g, want %g", what, got[0], got[1])
		}
	}
	if c.Backlog < 100 || c.RetryAfter <= 0 || c.RetryAfter > 400*time.Millisecond {
		t.Errorf("backlog %d, wait %v: each third message waits", c.Backlog, c.RetryAfter)
	}
	if len(told) > 40*8 {
		t.Errorf("%d pages in 40 s", len(told))
	}
	for i := 1; i < len(told); i++ {
		if told[i].Sequence <= told[i-1].Sequence {
			t.Fatal("sequences do not grow")
		}
	}
	var ids []policy.Event
	for id := range s.Pending {
		ids = append(ids, policy.Event{Kind: policy.MessageCancelled, MessageID: id})
	}
	s.Step(41*time.Second, Input{Events: ids})
	empty := false
	for now := 41 * time.Second; now < 200*time.Second; now += 100 * time.Millisecond {
		for _, p := range s.Step(now, Input{Views: func() []policy.EndpointView { return nil }}).Published {
			empty = len(p.Scopes) == 0
		}
	}
	if !empty || len(s.Counters) > 0 || len(s.Published) > 0 || len(s.Pending) > 0 {
		t.Errorf("empty told: %v; kept: %v %v %v", empty, s.Counters, s.Published, s.Pending)
	}
}

// A page holds what fits a datagram, the greatest first; destinations beyond the bound wait.
func TestBoundsOfWhatIsTold(t *testing.T) {
	s := newSeam()
	var list []policy.Endpoint
	for i := range 40 {
		list = append(
			list,
			policy.Endpoint{
				ID:          fmt.Sprintf("a-route-of-some-length-%02d", i),
				Destination: 1,
				Kind:        1,
				Weight:      5,
				InService:   true,
			},
		)
	}
	for d := range 600 {
		list = append(list, policy.Endpoint{ID: fmt.Sprint("x", d), Destination: 4 + d, Weight: 5, InService: true})
	}
	evs := []policy.Event{{Kind: policy.EndpointSnapshot, Endpoints: list}}
	for i, l := range list {
		for n := range 1 + i%3 {
			evs = append(
				evs,
				policy.Event{
					Kind:      policy.AttemptFinished,
					MessageID: uint32(1000*n + i),
					Endpoint:  l.ID,
					Outcome:   policy.OK,
				},
			)
		}
	}
	told := s.Step(time.Second, Input{Events: evs, Views: func() []policy.EndpointView { return nil }}).Published
	if len(told) != loadreport.MaxReports {
		t.Errorf("%d pages", len(told))
	}
	if n := len(told[0].Scopes); n < 10 || n > loadreport.MaxScopes {
		t.Errorf("%d cells on a page", n)
	}
	// A new life tells all again, and the others forget the one before.
	again := s.Step(
		2*time.Second,
		Input{
			Incarnation: loadreport.Incarnation{Generation: 2, Boot: 2},
			Views:       func() []policy.EndpointView { return nil },
		},
	).Published
	if len(again) != loadreport.MaxReports || again[0].Generation != 2 {
		t.Errorf("%d pages of life %v", len(again), again[0].Incarnation)
	}
}

// BenchmarkStep is the cost of a step beside the module's.
func BenchmarkStep(b *testing.B) {
	s := newSeam()
	var list []policy.Endpoint
	for d := range 30 {
		list = append(list, policy.Endpoint{ID: fmt.Sprint("s-", d), Destination: d, Weight: 50, InService: true})
	}
	s.Step(time.Second, Input{Events: []policy.Event{{Kind: policy.EndpointSnapshot, Endpoints: list}}})
	ev, act := make([]policy.Event, 1), make([]policy.Action, 1)
	none := func() []policy.EndpointView { return nil }
	b.ReportAllocs()
	id := uint32(0)
	for now := time.Second; b.Loop(); now += time.Millisecond {
		id++
		ev[0] = policy.Event{Kind: policy.MessageAccepted, MessageID: id, Destination: int(id % 30)}
		act[0] = policy.Action{Kind: policy.Send, MessageID: id, Endpoint: list[id%30].ID}
		s.Step(now, Input{Events: ev, Actions: act, Views: none})
		ev[0] = policy.Event{
			Kind:         policy.AttemptFinished,
			MessageID:    id,
			Endpoint:     list[id%30].ID,
			Outcome:      policy.OK,
			MessageEnded: true,
		}
		s.Step(now, Input{Events: ev, Views: none})
	}
}

// However much changes, the pages of all members together take no more than the links have room for; what is urgent
// goes at once, a few times in a row.
func TestRestsGrowWithTheFleet(t *testing.T) {
	const began, length = 30 * time.Second, 120 * time.Second
	for _, members := range []int{3, 100, 300} {
		set := newSeam().Settings
		set.Members = []string{"me"}
		for i := range members - 1 {
			set.Members = append(set.Members, fmt.Sprint("m", i))
		}
		s := New(set)
		s.Step(
			time.Second,
			Input{
				Events: []policy.Event{
					{
						Kind:      policy.EndpointSnapshot,
						Endpoints: []policy.Endpoint{{ID: "s-1", Destination: 9, Weight: 500, InService: true}},
					},
				},
			},
		)
		told, seq := 0, uint64(0)
		for now := time.Second; now < began+length; now += publishCheckInterval {
			in := Input{
				Views:  func() []policy.EndpointView { return nil },
				Events: []policy.Event{{Kind: policy.MessageAccepted, MessageID: 1, Destination: 9}},
			}
			if now/publishCheckInterval%2 == 0 { // a backlog begins and ends with every look
				in.Events = []policy.Event{
					{
						Kind:         policy.AttemptFinished,
						MessageID:    1,
						Endpoint:     "s-1",
						Outcome:      policy.OK,
						MessageEnded: true,
					},
				}
			}
			if now%(10*time.Second) == 0 { // two pages of each of the others
				seq += 2
				for _, m := range set.Members[1:] {
					for n := range uint64(2) {
						in.Received = append(
							in.Received,
							loadreport.Report{
								Name:        m,
								Incarnation: loadreport.Incarnation{Generation: 1, Boot: 1},
								Number:      int(n),
								Sequence:    seq + n,
							},
						)
					}
				}
			}
			if pages := s.Step(now, in).Published; now >= began {
				told += len(pages)
			}
		}
		pages := 2*(members-1) + 1
		share := gossip.MaxReportRate(members) / float64(pages) // tellings of one page a second
		most := length.Seconds()*min(share, 1/minPublishInterval.Seconds()) + maxUrgentBurst
		if float64(told) > most || float64(told) < 0.7*most {
			t.Errorf("%d members: %d tellings in %v, room for %.0f", members, told, length, most)
		}
	}
	// Coldness that begins is told with the next look, though the page was told just before.
	s := newSeam()
	s.Step(
		time.Second,
		Input{
			Events: []policy.Event{
				{
					Kind:      policy.EndpointSnapshot,
					Endpoints: []policy.Endpoint{{ID: "s-1", Destination: 9, Weight: 500, InService: true}},
				},
			},
		},
	)
	look := func(now time.Duration, cold bool) []loadreport.Report {
		return s.Step(
			now,
			Input{
				Events: []policy.Event{{Kind: policy.MessageAccepted, MessageID: uint32(now), Destination: 9}},
				Views: func() []policy.EndpointView {
					return []policy.EndpointView{{Endpoint: policy.Endpoint{ID: "s-1"}, WarmingUp: cold}}
				},
			},
		).Published
	}
	if len(look(2*time.Second, false)) != 1 || len(look(2*time.Second+publishCheckInterval, true)) != 1 {
		t.Error("coldness waits for the page's rest")
	}
}
