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

	"cherrytrestle.example/cherrytrestle/policy"
)

var testMembers = []string{"a", "b", "c"}

func newTestTable() *Table { return New("me", Incarnation{1, 1}, testMembers) }

func newScopeLoad(destination policy.DestinationID, calls float64) ScopeLoad {
	return ScopeLoad{Destination: destination, Calls: calls, Demand: 2 * calls}
}

// drawReport draws each field from few values, so that reports often have the same member, number or version.
func drawReport(t *rapid.T) Report {
	r := Report{
		Name: rapid.SampledFrom(testMembers).Draw(t, "name"),
		Incarnation: Incarnation{
			rapid.Uint64Range(1, 3).Draw(t, "generation"),
			rapid.Uint32Range(1, 2).Draw(t, "boot"),
		},
		Number:   rapid.IntRange(0, 2).Draw(t, "number"),
		Sequence: rapid.Uint64Range(1, 4).Draw(t, "sequence"),
		Age:      time.Duration(rapid.IntRange(0, 60).Draw(t, "age")) * time.Second,
	}
	for i := range rapid.IntRange(0, 2).Draw(t, "scopes") {
		calls := float64(rapid.IntRange(0, 3).Draw(t, "calls"))
		r.Scopes = append(r.Scopes, newScopeLoad(policy.DestinationID(r.Number<<reportShift+i), calls))
	}
	return r
}

// mergeTime is the time at which mergeAll merges. It is greater than any age that is drawn.
const mergeTime = 100 * time.Second

// mergeAll merges drawn reports. Which of them are rejected must not depend on the order either.
func mergeAll(table *Table, reports ...Report) {
	for _, r := range reports {
		_, _ = table.Merge(mergeTime, r)
	}
}

// mustMerge merges a report that must be valid.
func mustMerge(t *testing.T, table *Table, now time.Duration, r Report) MergeResult {
	t.Helper()
	result, err := table.Merge(now, r)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func allReports(table *Table, now time.Duration) (reports []Report) {
	table.Each(now, func(r Report) { reports = append(reports, r) })
	return reports
}

// The content of a table does not depend on the order in which it receives reports, nor on how often it receives them.
// Two tables that send each other the missing reports have the same content afterwards.
func TestMergeIsOrderIndependent(t *testing.T) {
	const now = mergeTime
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.Custom(drawReport), 1, 12).Draw(t, "reports")
		shuffled := rapid.Permutation(reports).Draw(t, "order")
		a, b := newTestTable(), newTestTable()
		mergeAll(a, reports...)
		for _, r := range shuffled {
			mergeAll(b, r, r)
		}
		if x, y := allReports(a, now), allReports(b, now); !reflect.DeepEqual(x, y) {
			t.Fatalf("merged in order: %v\nmerged in random order, twice each: %v", x, y)
		}

		c, d := newTestTable(), newTestTable()
		for i, r := range reports {
			if i%2 == 0 {
				mergeAll(c, r)
			} else {
				mergeAll(d, r)
			}
		}
		missingFromC, missingFromD := d.MissingFrom(now, c.Digest(now)), c.MissingFrom(now, d.Digest(now))
		mergeAll(c, missingFromC...)
		mergeAll(d, missingFromD...)
		if x, y := len(c.MissingFrom(now, d.Digest(now))), len(d.MissingFrom(now, c.Digest(now))); x+y > 0 {
			t.Fatalf("after the exchange the tables still lack %d and %d reports", x, y)
		}

		a.RemoveExpired(now + MaxAge + time.Second)
		if members, _ := a.Stats(now); len(members) > 0 {
			t.Fatalf("the table still holds reports that are older than MaxAge: %v", members)
		}
	})
}

// If one version of a report is received with several ages, the least counts. Ages grow with the receiver's time.
func TestReportAges(t *testing.T) {
	table := newTestTable()
	r := Report{
		Name:        "a",
		Incarnation: Incarnation{1, 1},
		Sequence:    1,
		Age:         5 * time.Second,
		Scopes:      []ScopeLoad{{Destination: 1, Calls: 8, RetryAfter: 10 * time.Second, WarmingUp: true}},
	}
	const receivedAt = 20 * time.Second
	mustMerge(t, table, receivedAt, r)
	for _, copied := range []struct {
		name string
		age  time.Duration
		want MergeResult
	}{
		{"much younger", 3 * time.Second, Updated},
		{"slightly younger, which is not forwarded again", 3*time.Second - 2*time.Millisecond, Known},
		{"older", 4 * time.Second, Known},
	} {
		r.Age = copied.age
		if result := mustMerge(t, table, receivedAt, r); result != copied.want {
			t.Errorf("%s: %v, want %v", copied.name, result, copied.want)
		}
	}

	const later = 24 * time.Second
	if got, ok := table.Get(later, "a", 0); !ok || got.Age != 7*time.Second-2*time.Millisecond {
		t.Errorf("report %+v, found %v", got, ok)
	}
	sum := table.AggregateOthers(later, 1, "")
	callsDecayed := math.Abs(sum.Calls-8*math.Exp2(-6.998/5)) <= 1e-9
	if !callsDecayed || sum.RetryAfter != 3002*time.Millisecond || !sum.WarmingUp {
		t.Errorf("aggregate: %+v", sum)
	}
	checkDecay(t, table, receivedAt)
}

// checkDecay checks that a table's calls at destination 1 decay to 0 without sudden changes.
func checkDecay(t *testing.T, table *Table, start time.Duration) {
	t.Helper()
	last := table.AggregateOthers(start, 1, "").Calls
	for now := start; now < 90*time.Second; now += 50 * time.Millisecond {
		calls := table.AggregateOthers(now, 1, "").Calls
		if calls > last || last-calls > 0.01*8 {
			t.Fatalf("calls change from %g to %g at %v", last, calls, now)
		}
		last = calls
	}
	if last != 0 {
		t.Errorf("calls have not decayed to 0 but to %g", last)
	}
}

// Invalid reports are rejected and counted, and change nothing.
func TestMergeRejectsInvalidReports(t *testing.T) {
	table := New("me", Incarnation{2, 5}, testMembers)
	table.SetLimits(Limits{5: {"": 10}})
	for _, test := range []struct {
		name   string
		reason RejectReason
		modify func(*Report) // makes a valid report invalid
	}{
		{"unlisted member", UnlistedMember, func(r *Report) { r.Name = "stranger" }},
		{"negative rate", OutOfRange, func(r *Report) { r.Scopes[0].Calls = -1 }},
		{"rate not a number", OutOfRange, func(r *Report) { r.Scopes[0].Demand = math.NaN() }},
		{"infinite rate", OutOfRange, func(r *Report) { r.Scopes[1].Rejections = math.Inf(1) }},
		{"rate far over the limit", OutOfRange, func(r *Report) { r.Scopes[1].Calls = 10*MaxRateMultiple + 1 }},
		{"rate without a limit", OutOfRange, func(r *Report) { r.Scopes[0].Calls = MaxRate + 1 }},
		{"negative backlog", OutOfRange, func(r *Report) { r.Scopes[0].Backlog = -1 }},
		{"long Retry-After", OutOfRange, func(r *Report) { r.Scopes[0].RetryAfter = 2 * maxRetryAfter }},
		{"negative age", OutOfRange, func(r *Report) { r.Age = -1 }},
		{"too old", Expired, func(r *Report) { r.Age = MaxAge + 1 }},
		{"no generation", Malformed, func(r *Report) { r.Generation = 0 }},
		{"greatest sequence", Malformed, func(r *Report) { r.Sequence = math.MaxUint64 }},
		{"destination of another report", Malformed, func(r *Report) { r.Scopes[0].Destination = 9 }},
		{"unsorted scopes", Malformed, func(r *Report) { r.Scopes[0], r.Scopes[1] = r.Scopes[1], r.Scopes[0] }},
		{"too many scopes", Malformed, func(r *Report) { r.Scopes = make([]ScopeLoad, MaxScopes+1) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := Report{
				Name:        "a",
				Incarnation: Incarnation{1, 1},
				Number:      1,
				Sequence:    1,
				Scopes:      []ScopeLoad{newScopeLoad(4, 1), newScopeLoad(5, 1)},
			}
			test.modify(&r)
			_, before := table.Stats(0)
			result, err := table.Merge(0, r)
			members, after := table.Stats(0)
			var rejected *RejectedError
			if result != Rejected || !errors.As(err, &rejected) || rejected.Reason != test.reason {
				t.Errorf("report %v: result %v, error %v, want reason %q", r, result, err, test.reason)
			}
			if after[test.reason] != before[test.reason]+1 {
				t.Errorf(
					"%d reports were rejected as %q, %d before the merge",
					after[test.reason], test.reason, before[test.reason],
				)
			}
			if len(members) > 0 {
				t.Error("the table holds a rejected report:", members)
			}
		})
	}
}

func TestReportsOfAMemberAreBounded(t *testing.T) {
	table := newTestTable()
	for number := range MaxReports + 5 {
		r := Report{Name: "b", Incarnation: Incarnation{1, 1}, Number: number, Sequence: uint64(number + 1)}
		mustMerge(t, table, 0, r)
	}
	if members, rejected := table.Stats(0); members[0].Reports != MaxReports || rejected[TooManyReports] != 5 {
		t.Errorf("members %+v, rejected reports %v", members, rejected)
	}
}

// When the first report of an incarnation arrives, all reports of the member's earlier incarnations are dropped. A
// report of an earlier incarnation that arrives later is stale.
func TestIncarnationReplacesEarlierOnes(t *testing.T) {
	table := newTestTable()
	earlier, later := Incarnation{1, 9}, Incarnation{2, 1}
	mustMerge(t, table, 0, Report{
		Name:        "a",
		Incarnation: earlier,
		Number:      0,
		Sequence:    50,
		Scopes:      []ScopeLoad{newScopeLoad(1, 5)},
	})
	mustMerge(t, table, 0, Report{
		Name:        "a",
		Incarnation: later,
		Number:      1,
		Sequence:    1,
		Scopes:      []ScopeLoad{newScopeLoad(4, 1)},
	})
	if got := allReports(table, 0); len(got) != 1 || got[0].Number != 1 {
		t.Error("the earlier incarnation was not dropped:", got)
	}
	late := Report{Name: "a", Incarnation: earlier, Number: 2, Sequence: 99}
	if result := mustMerge(t, table, 0, late); result != Stale {
		t.Errorf("late report of the earlier incarnation: %v, want %v", result, Stale)
	}
}

// A report under the own member's name is Own up to the current incarnation, and Rival beyond it.
func TestIncarnations(t *testing.T) {
	table := New("me", Incarnation{3, 7}, append(testMembers, "me"))
	for incarnation, want := range map[Incarnation]MergeResult{
		{3, 7}: Own,
		{2, 9}: Own,
		{3, 6}: Own,
		{3, 8}: Rival,
		{4, 1}: Rival,
	} {
		r := Report{Name: "me", Incarnation: incarnation, Sequence: 1}
		if result := mustMerge(t, table, 0, r); result != want {
			t.Errorf("%v: %v, want %v", incarnation, result, want)
		}
	}
	if table.Rival() != (Incarnation{4, 1}) {
		t.Errorf("rival %v, want the greatest one", table.Rival())
	}
	if _, err := table.Publish(0, 0, 1, []ScopeLoad{newScopeLoad(1, 1)}); err != nil {
		t.Error(err)
	}
	table.SetIncarnation(Incarnation{5, 7})
	if _, ok := table.Get(0, "me", 0); ok || table.Incarnation() != (Incarnation{5, 7}) {
		t.Error("the table still holds a report of the earlier incarnation, or has not begun the new one")
	}
}

func heapSize() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// A table with reports of 300 members, each with 30 destinations, takes at most 4 MB.
func TestTableMemory(t *testing.T) {
	const destinations = 30
	var names []string
	for i := range 300 {
		names = append(names, fmt.Sprintf("relay-%03d", i))
	}
	before := heapSize()
	table := New("me", Incarnation{1, 1}, names)
	for _, name := range names {
		for number := range ReportNumber(destinations-1) + 1 {
			r := Report{Name: name, Incarnation: Incarnation{1, 1}, Number: number, Sequence: uint64(number + 1)}
			for d := number << reportShift; d < min(destinations, (number+1)<<reportShift); d++ {
				r.Scopes = append(r.Scopes, ScopeLoad{
					Destination: policy.DestinationID(d),
					Demand:      1,
					Calls:       1,
					Deliveries:  1,
				})
			}
			mustMerge(t, table, 0, r)
		}
	}
	used := heapSize() - before
	t.Logf("the table takes %.2f MB", float64(used)/1e6)
	if members, _ := table.Stats(0); len(members) != 300 || used > 4e6 {
		t.Errorf("%d members take %d bytes", len(members), used)
	}
	runtime.KeepAlive(table)
}
