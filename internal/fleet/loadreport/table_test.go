package loadreport

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testMembers = []string{"a", "b", "c"}

func newScopeLoad(dest int, calls float64) ScopeLoad {
	return ScopeLoad{Destination: dest, Calls: calls, Demand: 2 * calls}
}

// drawReport draws few values of each kind, so that pages often meet.
func drawReport(t *rapid.T) Report {
	p := Report{
		Name: rapid.SampledFrom(testMembers).
			Draw(t, "name"),
		Incarnation: Incarnation{
			rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
			rapid.Uint32Range(1, 2).Draw(t, "boot"),
		},
		Number: rapid.IntRange(0, 2).Draw(t, "page"), Sequence: rapid.Uint64Range(1, 4).Draw(t, "sequence"),
		Age: time.Duration(rapid.IntRange(0, 60).Draw(t, "age")) * time.Second,
	}
	for i := range rapid.IntRange(0, 2).Draw(t, "cells") {
		p.Scopes = append(p.Scopes, newScopeLoad(p.Number<<reportShift+i, float64(rapid.IntRange(0, 3).Draw(t, "calls"))))
	}
	return p
}

func allReports(l *Table, now time.Duration) (pages []Report) {
	l.Each(now, func(p Report) { pages = append(pages, p) })
	return pages
}

// What a ledger holds does not depend on the order in which it heard, nor on how often; and it tells others what they
// lack until both hold the same.
func TestMergeIsOrderIndependent(t *testing.T) {
	const now = 100 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		pages := rapid.SliceOfN(rapid.Custom(drawReport), 1, 12).Draw(t, "pages")
		order := rapid.Permutation(pages).Draw(t, "order")
		a, b := New("me", Incarnation{1, 1}, testMembers), New("me", Incarnation{1, 1}, testMembers)
		for _, p := range pages {
			a.Merge(now, p)
		}
		for _, p := range order {
			b.Merge(now, p)
			b.Merge(now, p)
		}
		if x, y := allReports(a, now), allReports(b, now); !reflect.DeepEqual(x, y) {
			t.Fatalf("in order %v\nmixed %v", x, y)
		}
		// Two that heard other halves, and tell each other.
		c, d := New("me", Incarnation{1, 1}, testMembers), New("me", Incarnation{1, 1}, testMembers)
		for i, p := range pages {
			if i%2 == 0 {
				c.Merge(now, p)
			} else {
				d.Merge(now, p)
			}
		}
		toC, toD := d.MissingFrom(now, c.Digest(now)), c.MissingFrom(now, d.Digest(now))
		for _, p := range toC {
			c.Merge(now, p)
		}
		for _, p := range toD {
			d.Merge(now, p)
		}
		if x, y := len(c.MissingFrom(now, d.Digest(now))), len(d.MissingFrom(now, c.Digest(now))); x+y > 0 {
			t.Fatalf("%d and %d pages still differ", x, y)
		}
		// And later all of it is gone, whatever it was.
		a.RemoveExpired(now + MaxAge + time.Second)
		if members, _ := a.Stats(now); len(members) > 0 {
			t.Fatalf("kept past its age: %v", members)
		}
	})
}

// The lesser age of one version is taken, ages grow with the hearer's time, and figures fade without a step.
func TestReportAges(t *testing.T) {
	l := New("me", Incarnation{1, 1}, testMembers)
	p := Report{
		Name:        "a",
		Incarnation: Incarnation{1, 1},
		Sequence:    1,
		Age:         5 * time.Second,
		Scopes:      []ScopeLoad{{Destination: 1, Calls: 8, RetryAfter: 10 * time.Second, WarmingUp: true}},
	}
	l.Merge(20*time.Second, p)
	p.Age = 3 * time.Second
	if out, err := l.Merge(20*time.Second, p); out != Updated || err != nil {
		t.Error(out, err)
	}
	p.Age = 3*time.Second - 2*time.Millisecond
	if out, _ := l.Merge(20*time.Second, p); out != Known {
		t.Error("what is hardly younger is news, which goes round once more:", out)
	}
	p.Age = 4 * time.Second
	if out, _ := l.Merge(20*time.Second, p); out != Known {
		t.Error("an older telling of a version that was heard before is taken:", out)
	}
	if got, ok := l.Get(24*time.Second, "a", 0); !ok || got.Age != 7*time.Second-2*time.Millisecond {
		t.Error(got, ok)
	}
	if s := l.AggregateOthers(24*time.Second, 1, ""); math.Abs(s.Calls-8*math.Exp2(-6.998/5)) > 1e-9 ||
		s.RetryAfter != 3002*time.Millisecond ||
		!s.WarmingUp {
		t.Errorf("%+v", s)
	}
	was := l.AggregateOthers(20*time.Second, 1, "").Calls
	for now := 20 * time.Second; now < 90*time.Second; now += 50 * time.Millisecond {
		x := l.AggregateOthers(now, 1, "").Calls
		if x > was || was-x > 0.01*8 {
			t.Fatalf("a step from %g to %g at %v", was, x, now)
		}
		was = x
	}
	if was != 0 {
		t.Error("something is left:", was)
	}
}

// What cannot be is refused and counted, and changes nothing.
func TestMergeRejectsInvalidReports(t *testing.T) {
	good := func() Report {
		return Report{
			Name:        "a",
			Incarnation: Incarnation{1, 1},
			Number:      1,
			Sequence:    1,
			Scopes:      []ScopeLoad{newScopeLoad(4, 1), newScopeLoad(5, 1)},
		}
	}
	l := New("me", Incarnation{2, 5}, testMembers)
	l.SetLimits(Limits{5: {"": 10}})
	for _, c := range []struct {
		reason RejectReason
		spoil  func(*Report)
	}{
		{UnlistedMember, func(p *Report) { p.Name = "stranger" }},
		{OutOfRange, func(p *Report) { p.Scopes[0].Calls = -1 }},
		{OutOfRange, func(p *Report) { p.Scopes[0].Demand = math.NaN() }},
		{OutOfRange, func(p *Report) { p.Scopes[1].Rejections = math.Inf(1) }},
		{OutOfRange, func(p *Report) { p.Scopes[1].Calls = 10*MaxRateMultiple + 1 }},
		{OutOfRange, func(p *Report) { p.Scopes[0].Calls = MaxRate + 1 }},
		{OutOfRange, func(p *Report) { p.Scopes[0].Backlog = -1 }},
		{OutOfRange, func(p *Report) { p.Scopes[0].RetryAfter = 2 * maxRetryAfter }},
		{OutOfRange, func(p *Report) { p.Age = -1 }},
		{Expired, func(p *Report) { p.Age = MaxAge + 1 }},
		{Malformed, func(p *Report) { p.Generation = 0 }},
		{Malformed, func(p *Report) { p.Sequence = math.MaxUint64 }},
		{Malformed, func(p *Report) { p.Scopes[0].Destination = 9 }},
		{Malformed, func(p *Report) { p.Scopes[0], p.Scopes[1] = p.Scopes[1], p.Scopes[0] }},
		{Malformed, func(p *Report) { p.Scopes = make([]ScopeLoad, MaxScopes+1) }},
	} {
		p := good()
		c.spoil(&p)
		_, before := l.Stats(0)
		out, err := l.Merge(0, p)
		var told *RejectedError
		if _, after := l.Stats(0); out != Rejected || !errors.As(err, &told) || told.RejectReason != c.reason ||
			after[c.reason] != before[c.reason]+1 {
			t.Errorf("%v: %v, %v", p, out, err)
		}
	}
	if members, _ := l.Stats(0); len(members) > 0 {
		t.Error("something was kept:", members)
	}
	for n := range MaxReports + 5 {
		l.Merge(0, Report{Name: "b", Incarnation: Incarnation{1, 1}, Number: n, Sequence: uint64(n + 1)})
	}
	if members, refused := l.Stats(0); members[0].Reports != MaxReports || refused[TooManyReports] != 5 {
		t.Error(members, refused)
	}
}

// A life goes before all that came before it, and one under the own name is told apart from earlier ones.
func TestIncarnations(t *testing.T) {
	l := New("me", Incarnation{3, 7}, append(testMembers, "me"))
	l.Merge(
		0,
		Report{Name: "a", Incarnation: Incarnation{1, 9}, Number: 0, Sequence: 50, Scopes: []ScopeLoad{newScopeLoad(1, 5)}},
	)
	l.Merge(
		0,
		Report{Name: "a", Incarnation: Incarnation{2, 1}, Number: 1, Sequence: 1, Scopes: []ScopeLoad{newScopeLoad(4, 1)}},
	)
	if got := allReports(l, 0); len(got) != 1 || got[0].Number != 1 {
		t.Error("the life before was not forgotten:", got)
	}
	if out, _ := l.Merge(0, Report{Name: "a", Incarnation: Incarnation{1, 9}, Number: 2, Sequence: 99}); out != Stale {
		t.Error(out)
	}
	for life, want := range map[Incarnation]MergeResult{{3, 7}: Own, {2, 9}: Own, {3, 6}: Own, {3, 8}: Rival, {4, 1}: Rival} {
		if out, _ := l.Merge(0, Report{Name: "me", Incarnation: life, Sequence: 1}); out != want {
			t.Errorf("%v: %v, want %v", life, out, want)
		}
	}
	if l.Rival() != (Incarnation{4, 1}) {
		t.Error(l.Rival())
	}
	if _, err := l.Publish(0, 0, 1, []ScopeLoad{newScopeLoad(1, 1)}); err != nil {
		t.Error(err)
	}
	l.SetIncarnation(Incarnation{5, 7})
	if _, ok := l.Get(0, "me", 0); ok || l.Incarnation() != (Incarnation{5, 7}) {
		t.Error("what the life before told is still there")
	}
}

// 300 members that each tell of 30 destinations fit 4 MB.
func TestTableMemory(t *testing.T) {
	var names []string
	for i := range 300 {
		names = append(names, fmt.Sprintf("relay-%03d", i))
	}
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	l := New("me", Incarnation{1, 1}, names)
	for _, n := range names {
		for page := range ReportNumber(29) + 1 {
			p := Report{Name: n, Incarnation: Incarnation{1, 1}, Number: page, Sequence: uint64(page + 1)}
			for d := page << reportShift; d < min(30, (page+1)<<reportShift); d++ {
				p.Scopes = append(p.Scopes, ScopeLoad{Destination: d, Demand: 1, Calls: 1, Deliveries: 1})
			}
			if _, err := l.Merge(0, p); err != nil {
				t.Fatal(err)
			}
		}
	}
	used := heap() - before
	t.Logf("%.2f MB", float64(used)/1e6)
	if members, _ := l.Stats(0); len(members) != 300 || used > 4e6 {
		t.Errorf("%d members, %d bytes", len(members), used)
	}
	runtime.KeepAlive(l)
}

// However long a message, a question or an answer was held up, and whichever clock runs faster, a message's time under
// way is never taken to be less than it was, and hardly to be more.
func TestTransitEstimate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drift := rapid.Float64Range(-MaxClockDrift, MaxClockDrift).Draw(t, "drift")
		offset := time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "offset"))
		other := func(now time.Duration) time.Duration { return offset + now + time.Duration(drift*float64(now)) }
		some := func(name string, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, name))
		}
		var x TransitEstimator
		if _, known, stale := x.Estimate("a", 1, 0, 0); known || !stale {
			t.Fatal("known before it was asked")
		}
		now, worst := time.Duration(0), time.Duration(0)
		asked := time.Duration(0)
		for range rapid.IntRange(1, 4).Draw(t, "questions") {
			asked = now
			there := now + some("there", 3*time.Second)
			now = there + some("back", 3*time.Second)
			x.Calibrate("a", 1, other(there), asked, now)
			worst = now - asked
			now += some("pause", 30*time.Second)
		}
		sent := now
		held := some("held", 20*time.Second)
		now += held
		d, known, _ := x.Estimate("a", 1, other(sent), now)
		if most := held + worst + time.Duration(2*MaxClockDrift*float64(now-asked)); !known ||
			d < held-time.Microsecond ||
			d > most+time.Microsecond {
			t.Fatalf("%v, was %v, %v at most", d, held, most)
		}
		if _, known, _ := x.Estimate("a", 2, other(sent), now); known {
			t.Fatal("a new life goes by the clock of the one before")
		}
	})
	var x TransitEstimator
	for i := range 2 * maxSenders {
		x.Calibrate(fmt.Sprint(i), 1, 0, 0, 0)
	}
	if len(x.senders) > maxSenders {
		t.Error(len(x.senders), "senders are kept")
	}
}
