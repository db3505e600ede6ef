package policy

import (
	"testing"
	"time"
)

// resumeSettings have one keyed class whose repeats are dropped in a zone for 10 s.
func resumeSettings() Settings {
	return Settings{
		Classes: []Class{{
			Effect: Keyed, Window: 10 * time.Second, Aim: 3 * time.Second, GiveUp: 16 * time.Second, Value: 1,
		}},
		Kinds: []Kind{{Separate: true, PerCall: 1}}, MaxAttempts: 8, MaxRetryAfter: 3 * time.Second,
	}
}

// twoZones is a list of a better route in zone 1 and another in zone 0.
func twoZones() Event {
	return Event{Kind: ListWhole, List: []Listing{
		{Route: "best", Destination: 5, Zone: 1, Weight: 50, InService: true},
		{Route: "other", Destination: 5, Zone: 0, Weight: 20, InService: true},
	}}
}

func resumeStep(t *testing.T, r *Resumed) []Action {
	t.Helper()
	s, err := New(resumeSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	return s.Step(time.Second, []Event{
		twoZones(), {Kind: Taken, ID: 1, Destination: 5, Left: 8 * time.Second, Resumed: r},
	})
}

func TestResumedMessagesKeepTheirZoneAndWindow(t *testing.T) {
	for _, c := range []struct {
		name    string
		resumed Resumed
		route   string // "" if none may be tried
	}{
		{"nothing ran", Resumed{Attempts: 1}, "best"},
		{"one may have run in zone 0", Resumed{Attempts: 1, Ran: true, RanAgo: 5 * time.Second}, "other"},
		{"too long ago", Resumed{Attempts: 1, Ran: true, RanAgo: 11 * time.Second}, ""},
		{"no attempts left", Resumed{Attempts: 8}, ""},
	} {
		route := ""
		for _, a := range resumeStep(t, &c.resumed) {
			if a.Kind == Send {
				route = a.Route
			}
		}
		if route != c.route {
			t.Errorf("%s: sent to %q, want %q", c.name, route, c.route)
		}
	}
}

func TestOverdueMessagesEndAtOnce(t *testing.T) {
	for _, c := range []struct {
		resumed Resumed
		want    ActionKind
	}{{Resumed{}, Refuse}, {Resumed{Attempts: 1, Ran: true}, Fail}} {
		s, err := New(resumeSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		acts := s.Step(time.Second, []Event{twoZones(), {Kind: Taken, ID: 1, Destination: 5, Left: -time.Second, Resumed: &c.resumed}})
		if len(acts) == 0 || acts[0].Kind != c.want {
			t.Errorf("%+v: %+v", c.resumed, acts)
		}
	}
}

func TestABacklogIsNotPouredOut(t *testing.T) {
	s, err := New(resumeSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	evs := []Event{twoZones()}
	for i := range uint32(40) {
		evs = append(evs, Event{Kind: Taken, ID: i, Destination: 5, Left: 8 * time.Second, Resumed: &Resumed{}})
	}
	sends := 0
	for _, a := range s.Step(time.Second, evs) {
		if a.Kind == Send {
			sends++
		}
	}
	if sends == 0 || sends > 4 { // one for each route, and what rounding adds
		t.Errorf("%d sends at once", sends)
	}
}

func TestACallMayNoLongerLeave(t *testing.T) {
	s, err := New(resumeSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	s.Step(time.Second, []Event{twoZones(), {Kind: Taken, ID: 1, Destination: 5, Left: 8 * time.Second}})
	if !s.MayStill("best", nil, time.Second) || !s.MayStill("other", nil, time.Second) || s.MayStill("none", nil, time.Second) {
		t.Error("routes in service may be called, others not")
	}
	// A wait that comes with a delivery, as in a bundle's answer, binds too.
	s.Step(2*time.Second, []Event{{Kind: Finished, ID: 1, Route: "best", Outcome: OK, Ended: true, Wait: time.Second}})
	if s.MayStill("best", nil, 2900*time.Millisecond) || !s.MayStill("best", nil, 3*time.Second) {
		t.Error("the wait ends at 3 s")
	}
	s.Step(4*time.Second, []Event{{Kind: ListChanges, List: []Listing{
		{Route: "best", Destination: 5, Zone: 1, Weight: 50}, {Route: "other", Gone: true},
	}}})
	if s.MayStill("best", nil, 4*time.Second) || s.MayStill("other", nil, 4*time.Second) {
		t.Error("one drains, one is gone")
	}
}

// A connection that was long in coming must not carry a repeat that is dropped no more. What never ran may go at any
// time, and so may what may be repeated for ever.
func TestACallHeldUpPastTheWindowMayNotLeave(t *testing.T) {
	set := resumeSettings()
	safe := set.Classes[0]
	safe.Effect = Safe
	set.Classes = append(set.Classes, safe)
	s, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	ran := &Resumed{Attempts: 1, Ran: true, RanZone: 1, RanAgo: 9 * time.Second}
	s.Step(time.Second, []Event{
		twoZones(),
		{Kind: Taken, ID: 1, Destination: 5, Left: 14 * time.Second, Resumed: ran},
		{Kind: Taken, ID: 2, Destination: 5, Left: 14 * time.Second},
		{Kind: Taken, ID: 3, Class: 1, Destination: 5, Left: 14 * time.Second, Resumed: ran},
	})
	end := 2*time.Second - endMargin
	for _, c := range []struct {
		ids  []uint32
		at   time.Duration
		want bool
	}{
		{[]uint32{1}, end - 1, true}, {[]uint32{1}, end, false}, {[]uint32{2, 1}, end, false}, {[]uint32{2}, 9 * time.Second, true},
		{[]uint32{3}, 9 * time.Second, true}, {[]uint32{77}, 9 * time.Second, true},
	} {
		if got := s.MayStill("best", c.ids, c.at); got != c.want {
			t.Errorf("messages %v at %v: %v", c.ids, c.at, got)
		}
	}
}

// A message that no route may ever take again gets its answer then, not at its deadline.
func TestSpentMessagesEndAtOnce(t *testing.T) {
	s, err := New(resumeSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	ends := func(at time.Duration, evs ...Event) (kinds []ActionKind) {
		for _, a := range s.Step(at, evs) {
			if a.Kind == Refuse || a.Kind == Fail {
				kinds = append(kinds, a.Kind)
			}
		}
		return kinds
	}
	if got := ends(time.Second, twoZones(),
		Event{Kind: Taken, ID: 1, Destination: 5, Left: 14 * time.Second, Resumed: &Resumed{Attempts: 8, Ran: true, RanZone: 2}},
		Event{Kind: Taken, ID: 2, Destination: 5, Left: 14 * time.Second, Resumed: &Resumed{Attempts: 2, Ran: true, RanZone: 2}},
	); len(got) != 1 || got[0] != Fail {
		t.Errorf("with no attempts left: %v", got)
	}
	// No route stands in zone 2, where the second may have run: it waits for one as long as repeats are dropped.
	if got := ends(10900 * time.Millisecond); len(got) != 0 {
		t.Errorf("inside the window: %v", got)
	}
	if got := ends(11 * time.Second); len(got) != 1 || got[0] != Fail {
		t.Errorf("after the window: %v", got)
	}
}

// untried plays a sender of many that resumes messages nobody has tried, for as long as they have; what becomes of each.
type untried struct {
	sent, refused map[uint32]time.Duration // when
}

func playUntried(t *testing.T, set Settings, first []Event, n int, left time.Duration) untried {
	t.Helper()
	s, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	u := untried{map[uint32]time.Duration{}, map[uint32]time.Duration{}}
	began := time.Second
	now, evs := began, first
	for id := range uint32(n) {
		evs = append(evs, Event{Kind: Taken, ID: id + 1, Destination: 5, Left: left, Resumed: &Resumed{}})
	}
	for now < began+left+time.Second {
		wake := now + time.Second
		var next []Event
		for _, a := range s.Step(now, evs) {
			switch a.Kind {
			case Send:
				u.sent[a.ID] = now - began
				next = append(next, Event{Kind: Finished, ID: a.ID, Route: a.Route, Outcome: OK, Took: 50 * time.Millisecond, Ended: true})
			case Refuse:
				u.refused[a.ID] = now - began
			case Fail:
				t.Errorf("message %d failed", a.ID)
			case Wake:
				wake = min(wake, now+a.Delay)
			}
		}
		if evs = next; len(evs) > 0 {
			wake = min(wake, now+50*time.Millisecond)
		}
		now = wake
	}
	return u
}

// Where nothing tells of limits a part of them tells nothing either: what waits is tried in half of its time. Where a limit bars
// some of it, or no room is left, it is kept until its time is up; it ends early only where a wait is told beyond that.
func TestWhatNobodyTriedIsTriedOrKept(t *testing.T) {
	const left = 10 * time.Second
	plain := resumeSettings()
	plain.Kinds, plain.Senders, plain.WarmWithin, plain.OverloadWindow = []Kind{{PerCall: 1}}, 300, 14*time.Second, 3*time.Second
	untold := plain
	untold.NoWeights = true
	few := untold
	few.Senders = 2
	full := plain
	full.MaxHeld = 20
	list := func(weight float64) []Event {
		return []Event{{Kind: ListWhole, List: []Listing{{Route: "only", Destination: 5, Weight: weight, InService: true}}}}
	}
	told := append(list(500), Event{Kind: Probed, Route: "only", Outcome: Moot, Wait: time.Minute})
	for _, c := range []struct {
		name        string
		set         Settings
		first       []Event
		n           int
		sent        int           // at least
		sentBy      time.Duration // all of these
		refusedFrom time.Duration // none before; the rest
	}{
		{"limits not told", untold, list(0), 20, 20, left/2 + time.Second, left},
		{"limits not told, one message", untold, list(0), 1, 1, left / 2, left},
		{"limits not told, few senders", few, list(0), 20, 20, left/2 + time.Second, left},
		{"a limit that bars most", plain, list(3), 20, 1, left, left - 50*time.Millisecond},
		{"no room", full, list(3), 20, 1, left, left - 50*time.Millisecond},
		{"a wait beyond their time", plain, told, 20, 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := playUntried(t, c.set, c.first, c.n, left)
			if len(u.sent) < c.sent || len(u.sent)+len(u.refused) != c.n {
				t.Errorf("%d sent, %d refused of %d", len(u.sent), len(u.refused), c.n)
			}
			for id, at := range u.sent {
				if at > c.sentBy {
					t.Errorf("message %d sent after %v", id, at)
				}
			}
			for id, at := range u.refused {
				if at < c.refusedFrom {
					t.Errorf("message %d refused after %v", id, at)
				}
				if c.refusedFrom == 0 && at > 0 {
					t.Errorf("message %d, told to wait beyond its time, refused after %v only", id, at)
				}
			}
		})
	}
}

// Where nothing tells what a destination takes, a sender goes by what it took from it: the budget of a route in doubt is then this
// sender's part of a destination of that size, not of one call a second; it is no less than that, and a told limit goes before it.
func TestWhatNobodyTellsIsTakenFromOwnDeliveries(t *testing.T) {
	for _, c := range []struct {
		name       string
		weights    bool
		deliveries int // one in 100 ms
		least      float64
		most       float64
	}{
		{"nothing delivered", false, 0, 1, 1},
		{"some delivered", false, 40, 300 * 1.5, 300 * 5},
		{"told", true, 40, 50, 50},
	} {
		set := resumeSettings()
		set.Kinds, set.Senders, set.NoWeights = []Kind{{PerCall: 1}}, 300, !c.weights
		s, err := New(set, 3)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Second
		s.Step(now, []Event{{Kind: ListWhole, List: []Listing{{Route: "only", Destination: 5, Weight: 50, InService: true}}}})
		for range c.deliveries {
			now += 100 * time.Millisecond
			s.Step(now, []Event{{Kind: Probed, Route: "only", Outcome: OK}})
		}
		r := s.routes["only"]
		if takes := s.takes(r.gate); takes < c.least || takes > c.most {
			t.Errorf("%s: takes %.1f calls a second, want %.1f to %.1f", c.name, takes, c.least, c.most)
		}
		s.Step(now, []Event{{Kind: Probed, Route: "only", Outcome: Error}, {Kind: Probed, Route: "only", Outcome: Error}})
		if all := s.coldRate(r) * float64(set.Senders); !r.cold || c.deliveries > 0 && all < 2 || all > s.takes(r.gate) {
			t.Errorf("%s: in doubt all senders may make %.2f calls a second", c.name, all)
		}
	}
}
