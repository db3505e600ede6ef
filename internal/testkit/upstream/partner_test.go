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
		ServiceTime: 100 * time.Millisecond, MaxConcurrentCalls: 2, MaxQueueTime: 200 * time.Millisecond, Limit: NoLimit, WarmUpInitialCapacity: 0.2, WarmUpDuration: 10 * time.Second,
		OverloadFactor: 2, OverloadWindow: 3 * time.Second,
	}
}

func place(s Spec) *Service {
	p := New(s, 1)
	p.AddEndpoint("a")
	return p
}

func TestServesWithinItsSlotsAndQueue(t *testing.T) {
	p := place(spec())
	var got []Response
	for range 8 {
		got = append(got, p.HandleCall(0, "a", 1))
	}
	ms := time.Millisecond
	for i, want := range []time.Duration{100 * ms, 100 * ms, 200 * ms, 200 * ms, 300 * ms, 300 * ms} {
		if got[i].Result != Served || got[i].Latency != want {
			t.Errorf("call %d: %+v, want served after %v", i, got[i], want)
		}
	}
	if got[6].Result != Rejected || got[7].Result != Rejected {
		t.Errorf("beyond the queue: %+v", got[6:])
	}
}

func TestAPlainLimitTellsWhenThereIsRoom(t *testing.T) {
	s := spec()
	s.Limit, s.LimitRate, s.RetryAfterRatio, s.MaxConcurrentCalls = TokenBucket, 4, 1, 100
	p := place(s)
	if f := p.HandleCall(0, "a", 1); f.Result != Served {
		t.Fatalf("the first: %+v", f)
	}
	f := p.HandleCall(0, "a", 1)
	if f.Result != Rejected || f.RetryAfter != 250*time.Millisecond {
		t.Fatalf("the second: %+v", f)
	}
	if f := p.HandleCall(f.RetryAfter-time.Millisecond, "a", 1); f.Result != Rejected {
		t.Errorf("before the wait is over: %+v", f)
	}
	if f := p.HandleCall(250*time.Millisecond, "a", 1); f.Result != Served {
		t.Errorf("a told wait was not honest: %+v", f)
	}
}

func TestRefusedCallsMayUseUpTheLimit(t *testing.T) {
	s := spec()
	s.Limit, s.LimitRate, s.CountsRejected = TokenBucket, 4, true
	p := place(s)
	p.HandleCall(0, "a", 1)
	p.HandleCall(0, "a", 1) // turned away, and counted
	if f := p.HandleCall(250*time.Millisecond, "a", 1); f.Result != Rejected {
		t.Errorf("%+v", f)
	}
}

// How far refused calls use a limit up ahead is bounded: by what may come at once, or by the debt that is set.
func TestRefusedCallsUseUpNoMoreThanTheDebt(t *testing.T) {
	for _, c := range []struct{ debt, closed time.Duration }{{0, 500 * time.Millisecond}, {3 * time.Second, 3250 * time.Millisecond}} {
		s := spec()
		s.Limit, s.LimitRate, s.CountsRejected, s.MaxDebt = TokenBucket, 4, true, c.debt
		p := place(s)
		for range 100 {
			p.HandleCall(0, "a", 1)
		}
		if f := p.HandleCall(c.closed+time.Millisecond, "a", 1); f.Result != Served {
			t.Errorf("debt %v: %+v once it is paid", c.debt, f)
		}
		p = place(s)
		for range 100 {
			p.HandleCall(0, "a", 1)
		}
		if f := p.HandleCall(c.closed-time.Millisecond, "a", 1); f.Result != Rejected {
			t.Errorf("debt %v: %+v before it is paid", c.debt, f)
		}
	}
}

// A limit that is lowered, of either kind, takes so much less while it lasts, and all of it again after.
func TestALimitIsLoweredForAWhile(t *testing.T) {
	for _, limit := range []LimitKind{TokenBucket, FixedWindow} {
		s := spec()
		s.Limit, s.LimitRate, s.LimitWindow, s.MaxConcurrentCalls = limit, 40, time.Second, 100
		p := place(s)
		served := func(from time.Duration) (n int) {
			for i := range 500 { // 100 a second
				if p.HandleCall(from+time.Duration(i)*10*time.Millisecond, "a", 1).Result == Served {
					n++
				}
			}
			return n
		}
		full := served(0)
		p.SetLimitDivisor(4)
		less := served(10 * time.Second)
		p.SetLimitDivisor(1)
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
	s.Limit, s.LimitRate, s.LimitWindow, s.RetryAfterRatio, s.MaxConcurrentCalls = FixedWindow, 3, time.Second, 1, 100
	p := place(s)
	for i := range 5 {
		f := p.HandleCall(400*time.Millisecond, "a", 1)
		if (f.Result == Served) != (i < 3) {
			t.Errorf("call %d: %+v", i, f)
		}
		if f.Result == Rejected && f.RetryAfter != 600*time.Millisecond {
			t.Errorf("told to wait %v, the span ends after 600ms", f.RetryAfter)
		}
	}
	if f := p.HandleCall(time.Second, "a", 1); f.Result != Served {
		t.Errorf("in the next span: %+v", f)
	}
}

func TestTroubles(t *testing.T) {
	s := spec()
	s.RetryAfterRatio = 1
	p := place(s)
	p.Suspend(5 * time.Second)
	if f := p.HandleCall(2*time.Second, "a", 1); f.Result != Rejected || f.RetryAfter != 3*time.Second {
		t.Errorf("shut: %+v", f)
	}
	p.Resume()
	p.SetFailureRatio(1)
	if f := p.HandleCall(6*time.Second, "a", 1); f.Result != Failed {
		t.Errorf("failing: %+v", f)
	}
	p.SetFailureRatio(0)
	p.SetSlowdown(10)
	if f := p.HandleCall(7*time.Second, "a", 1); f.Result != Served || f.Latency != time.Second {
		t.Errorf("slow: %+v", f)
	}
	p.SetSlowdown(1)
	p.SetSilent(true)
	if f := p.HandleCall(9*time.Second, "a", 1); f.Result != Unanswered {
		t.Errorf("mute: %+v", f)
	}
	p.SetSilent(false)
	p.SetResponseLossRatio(0.25)
	lost := 0
	for i := range 1000 {
		if f := p.HandleCall(time.Duration(10+i)*time.Second, "a", 1); f.Result != Served {
			t.Fatalf("losing answers: %+v", f)
		} else if f.ResponseLost {
			lost++
		}
	}
	if lost < 200 || lost > 300 { // four deviations are 55
		t.Errorf("%d of 1000 answers lost, want 250", lost)
	}
	p.SetResponseLossRatio(0)
	if f := p.HandleCall(1011*time.Second, "a", 1); f.ResponseLost {
		t.Errorf("lost after its end: %+v", f)
	}
	p.RemoveEndpoint("a")
	if f := p.HandleCall(1012*time.Second, "a", 1); f.Result != Rejected {
		t.Errorf("an endpoint that has left: %+v", f)
	}
}

// It comes back with a fifth of 20 calls a second; sent more than twice that for 3 s it falls, and stays down.
func TestAColdPlaceFallsOver(t *testing.T) {
	p := place(spec())
	p.Recover(0)
	budget := OverloadBudget(2, 4, 3*time.Second) // at its return, and more a little later
	n := 0
	for ; n < 100 && !p.HandleCall(0, "a", 1).CausedOverload; n++ {
	}
	if n != int(budget) {
		t.Errorf("fell at call %d, it bears %.2f", n+1, budget)
	}
	if f := p.HandleCall(time.Hour, "a", 1); f.Result != Unanswered || !p.Overloaded() {
		t.Errorf("an hour later: %+v", f)
	}

	p = place(spec())
	p.Recover(0)
	for at := time.Duration(0); at < 20*time.Second; at += 140 * time.Millisecond { // 7.1 a second, under twice 4
		if p.HandleCall(at, "a", 1).CausedOverload {
			t.Fatalf("fell at %v", at)
		}
	}
}

func TestItWarmsEvenly(t *testing.T) {
	c := WarmUp{StartedAt: 10 * time.Second, FullCapacity: 20, InitialCapacity: 0.2, Duration: 10 * time.Second}
	for at, want := range map[time.Duration]float64{9 * time.Second: 0, 10 * time.Second: 4, 15 * time.Second: 12, 20 * time.Second: 20, time.Hour: 20} {
		if got := c.CapacityAt(at); math.Abs(got-want) > 1e-9 {
			t.Errorf("at %v: %v, want %v", at, got, want)
		}
	}
}

// Whatever comes: no more is served than the limit and the slots allow, told waits are honest for a lone caller, and
// the same calls fare the same.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := spec()
		s.Limit = rapid.SampledFrom([]LimitKind{NoLimit, TokenBucket, FixedWindow}).Draw(t, "limit")
		s.LimitRate = rapid.Float64Range(1, 50).Draw(t, "rate")
		s.LimitWindow = time.Second
		s.RetryAfterRatio = rapid.Float64Range(0, 1).Draw(t, "tells")
		s.ServiceTimeVariation = rapid.Float64Range(0, 1).Draw(t, "spread")
		s.OverloadFactor = 0
		if err := s.Validate(); err != nil {
			t.Skip(err)
		}
		gaps := rapid.SliceOfN(rapid.Int64Range(0, int64(time.Second)), 1, 100).Draw(t, "gaps")
		seed := rapid.Uint64().Draw(t, "seed")
		run := func() (fates []Response, served int, end time.Duration) {
			p := New(s, seed)
			p.AddEndpoint("a")
			at := time.Duration(0)
			for _, g := range gaps {
				at += time.Duration(g)
				f := p.HandleCall(at, "a", 1)
				fates = append(fates, f)
				if f.Result == Served {
					served++
				}
				if f.Result == Rejected && f.RetryAfter > 0 && s.Limit == TokenBucket && f.RetryAfter > s.MinRetryAfter {
					q := *p
					q.endpoints = map[string][]time.Duration{"a": make([]time.Duration, 1)}
					if again := q.HandleCall(at+f.RetryAfter+time.Microsecond, "a", 1); again.Result != Served {
						t.Fatalf("told to wait %v, then %+v", f.RetryAfter, again)
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
		case TokenBucket:
			most = max(1, s.LimitRate/4) + s.LimitRate*end.Seconds() + 1e-6
		case FixedWindow:
			most = math.Floor(s.LimitRate) * (math.Floor(end.Seconds()) + 1)
		}
		if float64(served) > most {
			t.Fatalf("%d served in %v at %v a second", served, end, s.LimitRate)
		}
	})
}

func TestValidateNamesWhatIsWrong(t *testing.T) {
	if err := spec().Validate(); err != nil {
		t.Fatal(err)
	}
	for i, spoil := range []func(*Spec){
		func(s *Spec) { s.ServiceTime = 0 }, func(s *Spec) { s.MaxConcurrentCalls = 0 }, func(s *Spec) { s.ServiceTimeVariation = 4 }, func(s *Spec) { s.MaxQueueTime = -1 },
		func(s *Spec) { s.Limit = "x" }, func(s *Spec) { s.Limit = TokenBucket }, func(s *Spec) { s.Limit, s.LimitRate, s.LimitWindow = FixedWindow, 1, 1 },
		func(s *Spec) { s.RetryAfterRatio = 2 }, func(s *Spec) { s.WarmUpInitialCapacity = 0 }, func(s *Spec) { s.WarmUpDuration = -1 }, func(s *Spec) { s.OverloadWindow = 0 },
		func(s *Spec) { s.MaxDebt = 1 }, func(s *Spec) { s.Limit, s.LimitRate, s.CountsRejected, s.MaxDebt = TokenBucket, 1, true, -1 },
	} {
		s := spec()
		if spoil(&s); s.Validate() == nil {
			t.Errorf("case %d passes: %+v", i, s)
		}
	}
}
