package upstream

import (
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func spec() Spec {
	return Spec{
		Pace: 100 * time.Millisecond, Slots: 2, Queue: 200 * time.Millisecond, Limit: NoLimit, ColdShare: 0.2, Warm: 10 * time.Second,
		FallMultiple: 2, FallWindow: 3 * time.Second,
	}
}

func place(s Spec) *Place {
	p := New(s, 1)
	p.Add("a")
	return p
}

func TestServesWithinItsSlotsAndQueue(t *testing.T) {
	p := place(spec())
	var got []Fate
	for range 8 {
		got = append(got, p.Arrive(0, "a", 1))
	}
	ms := time.Millisecond
	for i, want := range []time.Duration{100 * ms, 100 * ms, 200 * ms, 200 * ms, 300 * ms, 300 * ms} {
		if got[i].Result != Served || got[i].After != want {
			t.Errorf("call %d: %+v, want served after %v", i, got[i], want)
		}
	}
	if got[6].Result != Refused || got[7].Result != Refused {
		t.Errorf("beyond the queue: %+v", got[6:])
	}
}

func TestAPlainLimitTellsWhenThereIsRoom(t *testing.T) {
	s := spec()
	s.Limit, s.Rate, s.TellsWait, s.Slots = Plain, 4, 1, 100
	p := place(s)
	if f := p.Arrive(0, "a", 1); f.Result != Served {
		t.Fatalf("the first: %+v", f)
	}
	f := p.Arrive(0, "a", 1)
	if f.Result != Refused || f.Wait != 250*time.Millisecond {
		t.Fatalf("the second: %+v", f)
	}
	if f := p.Arrive(f.Wait-time.Millisecond, "a", 1); f.Result != Refused {
		t.Errorf("before the wait is over: %+v", f)
	}
	if f := p.Arrive(250*time.Millisecond, "a", 1); f.Result != Served {
		t.Errorf("a told wait was not honest: %+v", f)
	}
}

func TestRefusedCallsMayUseUpTheLimit(t *testing.T) {
	s := spec()
	s.Limit, s.Rate, s.Counts = Plain, 4, true
	p := place(s)
	p.Arrive(0, "a", 1)
	p.Arrive(0, "a", 1) // turned away, and counted
	if f := p.Arrive(250*time.Millisecond, "a", 1); f.Result != Refused {
		t.Errorf("%+v", f)
	}
}

// How far refused calls use a limit up ahead is bounded: by what may come at once, or by the debt that is set.
func TestRefusedCallsUseUpNoMoreThanTheDebt(t *testing.T) {
	for _, c := range []struct{ debt, closed time.Duration }{{0, 500 * time.Millisecond}, {3 * time.Second, 3250 * time.Millisecond}} {
		s := spec()
		s.Limit, s.Rate, s.Counts, s.Debt = Plain, 4, true, c.debt
		p := place(s)
		for range 100 {
			p.Arrive(0, "a", 1)
		}
		if f := p.Arrive(c.closed+time.Millisecond, "a", 1); f.Result != Served {
			t.Errorf("debt %v: %+v once it is paid", c.debt, f)
		}
		p = place(s)
		for range 100 {
			p.Arrive(0, "a", 1)
		}
		if f := p.Arrive(c.closed-time.Millisecond, "a", 1); f.Result != Refused {
			t.Errorf("debt %v: %+v before it is paid", c.debt, f)
		}
	}
}

// A limit that is lowered, of either kind, takes so much less while it lasts, and all of it again after.
func TestALimitIsLoweredForAWhile(t *testing.T) {
	for _, limit := range []Limit{Plain, Counted} {
		s := spec()
		s.Limit, s.Rate, s.Window, s.Slots = limit, 40, time.Second, 100
		p := place(s)
		served := func(from time.Duration) (n int) {
			for i := range 500 { // 100 a second
				if p.Arrive(from+time.Duration(i)*10*time.Millisecond, "a", 1).Result == Served {
					n++
				}
			}
			return n
		}
		full := served(0)
		p.Lower(4)
		less := served(10 * time.Second)
		p.Lower(1)
		again := served(20 * time.Second)
		if full < 200 || full > 211 || less < 50 || less > 64 || again < 200 || again > 211 {
			t.Errorf(
				"%s: %d served of a limit of 40 over five seconds, %d of a quarter, then %d",
				limit,
				full,
				less,
				again,
			)
		}
	}
}

func TestAWindowLimitCountsEachSpan(t *testing.T) {
	s := spec()
	s.Limit, s.Rate, s.Window, s.TellsWait, s.Slots = Counted, 3, time.Second, 1, 100
	p := place(s)
	for i := range 5 {
		f := p.Arrive(400*time.Millisecond, "a", 1)
		if (f.Result == Served) != (i < 3) {
			t.Errorf("call %d: %+v", i, f)
		}
		if f.Result == Refused && f.Wait != 600*time.Millisecond {
			t.Errorf("told to wait %v, the span ends after 600ms", f.Wait)
		}
	}
	if f := p.Arrive(time.Second, "a", 1); f.Result != Served {
		t.Errorf("in the next span: %+v", f)
	}
}

func TestTroubles(t *testing.T) {
	s := spec()
	s.TellsWait = 1
	p := place(s)
	p.Shut(5 * time.Second)
	if f := p.Arrive(2*time.Second, "a", 1); f.Result != Refused || f.Wait != 3*time.Second {
		t.Errorf("shut: %+v", f)
	}
	p.Open()
	p.Fail(1)
	if f := p.Arrive(6*time.Second, "a", 1); f.Result != Failed {
		t.Errorf("failing: %+v", f)
	}
	p.Fail(0)
	p.Slow(10)
	if f := p.Arrive(7*time.Second, "a", 1); f.Result != Served || f.After != time.Second {
		t.Errorf("slow: %+v", f)
	}
	p.Slow(1)
	p.Mute(true)
	if f := p.Arrive(9*time.Second, "a", 1); f.Result != Mute {
		t.Errorf("mute: %+v", f)
	}
	p.Mute(false)
	p.Lose(0.25)
	lost := 0
	for i := range 1000 {
		if f := p.Arrive(time.Duration(10+i)*time.Second, "a", 1); f.Result != Served {
			t.Fatalf("losing answers: %+v", f)
		} else if f.Lost {
			lost++
		}
	}
	if lost < 200 || lost > 300 { // four deviations are 55
		t.Errorf("%d of 1000 answers lost, want 250", lost)
	}
	p.Lose(0)
	if f := p.Arrive(1011*time.Second, "a", 1); f.Lost {
		t.Errorf("lost after its end: %+v", f)
	}
	p.Remove("a")
	if f := p.Arrive(1012*time.Second, "a", 1); f.Result != Refused {
		t.Errorf("an endpoint that has left: %+v", f)
	}
}

// It comes back with a fifth of 20 calls a second; sent more than twice that for 3 s it falls, and stays down.
func TestAColdPlaceFallsOver(t *testing.T) {
	p := place(spec())
	p.Return(0)
	budget := Budget(2, 4, 3*time.Second) // at its return, and more a little later
	n := 0
	for ; n < 100 && !p.Arrive(0, "a", 1).Fell; n++ {
	}
	if n != int(budget) {
		t.Errorf("fell at call %d, it bears %.2f", n+1, budget)
	}
	if f := p.Arrive(time.Hour, "a", 1); f.Result != Mute || !p.Fallen() {
		t.Errorf("an hour later: %+v", f)
	}

	p = place(spec())
	p.Return(0)
	for at := time.Duration(0); at < 20*time.Second; at += 140 * time.Millisecond { // 7.1 a second, under twice 4
		if p.Arrive(at, "a", 1).Fell {
			t.Fatalf("fell at %v", at)
		}
	}
}

func TestItWarmsEvenly(t *testing.T) {
	c := Cold{At: 10 * time.Second, Rate: 20, Share: 0.2, Warm: 10 * time.Second}
	for at, want := range map[time.Duration]float64{9 * time.Second: 0, 10 * time.Second: 4, 15 * time.Second: 12, 20 * time.Second: 20, time.Hour: 20} {
		if got := c.Able(at); math.Abs(got-want) > 1e-9 {
			t.Errorf("at %v: %v, want %v", at, got, want)
		}
	}
}

// Whatever comes: no more is served than the limit and the slots allow, told waits are honest for a lone caller, and
// the same calls fare the same.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := spec()
		s.Limit = rapid.SampledFrom([]Limit{NoLimit, Plain, Counted}).Draw(t, "limit")
		s.Rate = rapid.Float64Range(1, 50).Draw(t, "rate")
		s.Window = time.Second
		s.TellsWait = rapid.Float64Range(0, 1).Draw(t, "tells")
		s.Spread = rapid.Float64Range(0, 1).Draw(t, "spread")
		s.FallMultiple = 0
		if err := s.Validate(); err != nil {
			t.Skip(err)
		}
		gaps := rapid.SliceOfN(rapid.Int64Range(0, int64(time.Second)), 1, 100).Draw(t, "gaps")
		seed := rapid.Uint64().Draw(t, "seed")
		run := func() (fates []Fate, served int, end time.Duration) {
			p := New(s, seed)
			p.Add("a")
			at := time.Duration(0)
			for _, g := range gaps {
				at += time.Duration(g)
				f := p.Arrive(at, "a", 1)
				fates = append(fates, f)
				if f.Result == Served {
					served++
				}
				if f.Result == Refused && f.Wait > 0 && s.Limit == Plain && f.Wait > s.LeastWait {
					q := *p
					q.endpoints = map[string][]time.Duration{"a": make([]time.Duration, 1)}
					if again := q.Arrive(at+f.Wait+time.Microsecond, "a", 1); again.Result != Served {
						t.Fatalf("told to wait %v, then %+v", f.Wait, again)
					}
				}
			}
			return fates, served, at
		}
		fates, served, end := run()
		if again, _, _ := run(); !reflect.DeepEqual(fates, again) {
			t.Fatal("the same calls fared otherwise")
		}
		most := math.Inf(1)
		switch s.Limit {
		case Plain:
			most = max(1, s.Rate/4) + s.Rate*end.Seconds() + 1e-6
		case Counted:
			most = math.Floor(s.Rate) * (math.Floor(end.Seconds()) + 1)
		}
		if float64(served) > most {
			t.Fatalf("%d served in %v at %v a second", served, end, s.Rate)
		}
	})
}

func TestValidateNamesWhatIsWrong(t *testing.T) {
	if err := spec().Validate(); err != nil {
		t.Fatal(err)
	}
	for i, spoil := range []func(*Spec){
		func(s *Spec) { s.Pace = 0 }, func(s *Spec) { s.Slots = 0 }, func(s *Spec) { s.Spread = 4 }, func(s *Spec) { s.Queue = -1 },
		func(s *Spec) { s.Limit = "x" }, func(s *Spec) { s.Limit = Plain }, func(s *Spec) { s.Limit, s.Rate, s.Window = Counted, 1, 1 },
		func(s *Spec) { s.TellsWait = 2 }, func(s *Spec) { s.ColdShare = 0 }, func(s *Spec) { s.Warm = -1 }, func(s *Spec) { s.FallWindow = 0 },
		func(s *Spec) { s.Debt = 1 }, func(s *Spec) { s.Limit, s.Rate, s.Counts, s.Debt = Plain, 1, true, -1 },
	} {
		s := spec()
		if spoil(&s); s.Validate() == nil {
			t.Errorf("case %d passes: %+v", i, s)
		}
	}
}
