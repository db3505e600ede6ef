package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

// testFleet is a fleet of books on clocks that run apart, and a network that does what it likes.
type testFleet struct {
	set      Settings
	now      time.Duration
	limit    float64
	members  []*testMember
	inFlight []packet
	faults   faults
	used     []float64 // calls that were made by right, of each second
}

// faults is what is wrong with the fleet; the zero value is nothing.
type faults struct {
	leaseFromArrival bool // a lease is counted from when the loan came
	noMargin         bool // a lender uses its part again when its lease is over by its own clock
	forgetsLeases    bool // a process that begins anew lends at once, and uses all of its part
	reassignsSilent  bool // the parts of those who are silent are given away
}

type testMember struct {
	name       string
	ledger     *Ledger
	transit    loadreport.TransitEstimator
	offset     time.Duration
	drift      float64
	generation uint64 // of its folder
	boots      uint32
	stopped    bool
	inbox      []packet
}

type packet struct {
	from, to  int
	boot      uint32
	clock     time.Duration
	arrivesAt time.Duration // it comes
	message   Message
}

var testScope = Scope{Destination: 3}

func newTestFleet(n, senders int, limit float64, w faults, draw func(from, to int) int) *testFleet {
	t := &testFleet{limit: limit, faults: w, now: time.Hour, set: Settings{FleetSize: senders}}
	for i := range n {
		t.set.Members = append(t.set.Members, fmt.Sprint("m", i))
	}
	if w.noMargin {
		t.set.LeaseMargin = -time.Duration(2 * loadreport.MaxClockDrift * float64(LeaseDuration))
	}
	t.set.Fresh = w.forgetsLeases
	for i := range n {
		t.members = append(t.members, &testMember{
			name: t.set.Members[i], offset: time.Duration(draw(0, 1000)) * time.Hour, drift: float64(draw(-100, 100)) / 100 * loadreport.MaxClockDrift / 2,
		})
	}
	for i := range n {
		t.boot(i)
	}
	return t
}

func (m *testMember) clock(now time.Duration) time.Duration {
	return m.offset + now + time.Duration(float64(now-time.Hour)*m.drift)
}

func (t *testFleet) boot(i int) {
	m := t.members[i]
	m.generation, m.boots = m.generation+1, m.boots+1
	set := t.set
	set.Self, set.Incarnation = m.name, loadreport.Incarnation{Generation: m.generation, Boot: m.boots}
	now := m.clock(t.now)
	if m.ledger = New(now, set); t.faults.forgetsLeases && m.generation > 1 {
		m.ledger.StartedAt = now
	}
	m.ledger.SetLimits(now, loadreport.Limits{testScope.Destination: {"": t.limit}})
	m.transit, m.inbox, m.stopped = loadreport.TransitEstimator{}, nil, false
	for j, o := range t.members { // questions for clocks are the carrier's, and answered at once here
		if o.ledger != nil {
			m.transit.Calibrate(o.name, o.boots, o.clock(t.now), now, now)
			t.members[j].transit.Calibrate(m.name, m.boots, now, o.clock(t.now), o.clock(t.now))
		}
	}
}

func (t *testFleet) deliver(f packet) {
	m := t.members[f.to]
	if m.stopped {
		m.inbox = append(m.inbox, f)
		return
	}
	now := m.clock(t.now)
	held, known, _ := m.transit.Estimate(t.members[f.from].name, f.boot, f.clock, now)
	if !known {
		return
	}
	if t.faults.leaseFromArrival {
		held = 0
	}
	f.message.Member, f.message.TransitTime = t.members[f.from].name, held
	m.ledger.Receive(now, f.message)
}

// step has all that run take a step, and what they tell leave; after tells how long each message is under way, below 0:
// for ever.
func (t *testFleet) step(after func(from, to int) []time.Duration, wants func(i int) int) (err error) {
	var later []packet
	for _, f := range t.inFlight {
		if f.arrivesAt > t.now {
			later = append(later, f)
		} else {
			t.deliver(f)
		}
	}
	t.inFlight = later
	for i, m := range t.members {
		if m.stopped {
			continue
		}
		now := m.clock(t.now)
		if t.faults.reassignsSilent {
			m.ledger.Settings.FleetSize = 0
			for _, name := range t.set.Members {
				if m.ledger.alive(name) {
					m.ledger.Settings.FleetSize++
				}
			}
		}
		if n := wants(i); n > 0 {
			m.ledger.Request(now, testScope, n)
		}
		send, changes := m.ledger.Step(now)
		for _, c := range changes {
			t.used[len(t.used)-1] += float64(c.Calls)
		}
		for _, x := range send {
			to := 0
			for j, o := range t.members {
				if o.name == x.Member {
					to = j
				}
			}
			for _, d := range after(i, to) {
				t.inFlight = append(t.inFlight, packet{i, to, m.boots, now, t.now + d, x})
			}
		}
	}
	return t.check()
}

// check holds the sum of what all may use at this moment against the limit.
func (t *testFleet) check() error {
	sum, text := 0.0, ""
	for _, m := range t.members {
		now := m.clock(t.now)
		own, mints := m.ledger.OwnRate(now, testScope), m.ledger.GrantRate(now, testScope)
		sum += own + mints
		text += fmt.Sprintf(" %s %.3f+%.3f", m.name, own, mints)
	}
	if sum > t.limit*(1+1e-9) {
		return fmt.Errorf("at %v all may use %.3f of %.3f:%s", t.now-time.Hour, sum, t.limit, text)
	}
	return nil
}

// runFaultyFleet drives a fleet through losses, doublings, delays, cuts, stops and restarts, and returns what was broken.
func runFaultyFleet(t *rapid.T, n int, w faults) error {
	draw := func(from, to int) int { return rapid.IntRange(from, to).Draw(t, "x") }
	f := newTestFleet(n, n+draw(0, 2), float64(draw(1, 40)), w, draw)
	cut := map[[2]int]time.Duration{}
	seed := rand.New(rand.NewPCG(uint64(draw(0, 1<<30)), 1))
	lose, late := float64(draw(0, 60))/100, time.Duration(draw(0, 3000))*time.Millisecond
	after := func(from, to int) (when []time.Duration) {
		if f.now < cut[[2]int{from, to}] || seed.Float64() < lose {
			return nil
		}
		when = append(when, time.Duration(seed.Int64N(int64(10*time.Millisecond))))
		if seed.IntN(10) == 0 {
			when = append(when, time.Duration(seed.Int64N(int64(late)+1))) // twice, and late
		}
		if seed.IntN(20) == 0 {
			when[0] += time.Duration(seed.Int64N(int64(late) + 1))
		}
		return when
	}
	wants := func(i int) int {
		if seed.IntN(4) == 0 {
			return 1 + seed.IntN(3)
		}
		return 0
	}
	next := f.now
	for f.now < time.Hour+40*time.Second {
		if f.now >= next { // something happens
			next = f.now + time.Duration(draw(200, 4000))*time.Millisecond
			i := draw(0, n-1)
			switch draw(0, 5) {
			case 5: // without its folder
				f.members[i].generation = 0
				f.boot(i)
			case 0:
				f.boot(i)
			case 1:
				if m := f.members[i]; !m.stopped {
					m.stopped = true
				} else {
					m.stopped = false
					inbox := m.inbox
					m.inbox = nil
					for _, x := range inbox {
						f.deliver(x)
					}
				}
			case 2:
				cut[[2]int{i, draw(0, n-1)}] = f.now + time.Duration(draw(500, 12000))*time.Millisecond
			case 3: // cut off from all, both ways
				for j := range n {
					cut[[2]int{i, j}], cut[[2]int{j, i}] = next, next
				}
			}
		}
		if (f.now-time.Hour)%time.Second == 0 || len(f.used) == 0 {
			f.used = append(f.used, 0)
		}
		if err := f.step(after, wants); err != nil {
			return err
		}
		f.now += 50 * time.Millisecond
	}
	return nil
}

// Whatever is lost, doubled, late, cut off, stopped or restarted, all together may never use more than the limit.
func TestTotalRateStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runFaultyFleet(t, rapid.IntRange(2, 5).Draw(t, "n"), faults{}); err != nil {
			t.Fatal(err)
		}
	})
}

// Each thing that keeps it is needed: without it the sum is broken within some hundred plays.
func TestEachSafeguardIsNeeded(t *testing.T) {
	for name, w := range map[string]faults{
		"a lease counted from its arrival": {leaseFromArrival: true}, "no margin for drift": {noMargin: true}, "a restart that forgets": {forgetsLeases: true},
		"parts of the silent given away": {reassignsSilent: true},
	} {
		found := 0
		for seed := 0; seed < 400 && found == 0; seed++ {
			ex := rapid.Custom(func(t *rapid.T) error { return runFaultyFleet(t, 3, w) }).Example(seed)
			if ex != nil {
				found = seed + 1
				t.Logf("%s: after %d plays: %v", name, found, ex)
			}
		}
		if found == 0 {
			t.Errorf("%s: not found", name)
		}
	}
}

// A member that has lost its folder uses its part as soon as all others say that they hold nothing of an earlier life
// of it. What that life had lent and is still under way is not taken any more: one that took it all the same would
// break the sum.
func TestLeasesOfEarlierIncarnationAreRefused(t *testing.T) {
	for _, keeps := range []bool{true, false} {
		f := newTestFleet(2, 2, 10, faults{}, func(from, to int) int { return (from + to) / 2 })
		f.used = []float64{0}
		var lent *packet
		sound := func(from, to int) []time.Duration { return []time.Duration{time.Millisecond} }
		run := func(d time.Duration, hold func(packet) bool) {
			for end := f.now + d; f.now < end; f.now += 10 * time.Millisecond {
				if err := f.step(sound, func(int) int { return 0 }); err != nil {
					t.Fatal(err)
				}
				for i := len(f.inFlight) - 1; i >= 0; i-- {
					if x := f.inFlight[i]; hold(x) {
						lent, f.inFlight = &x, slices.Delete(f.inFlight, i, i+1)
					}
				}
			}
		}
		lender, keeper := 0, 1
		f.members[0].ledger.peer("m1").ReceivedAt = f.members[0].ledger.Now
		if f.members[0].ledger.leaseHolder(testScope) == "m0" {
			lender, keeper = 1, 0
		}
		f.members[lender].generation = 40
		f.boot(lender)
		loans := func(x packet) bool { return x.from == lender && len(x.message.Leases) > 0 }
		run(2*LeaseDuration, loans) // no loan of it comes to the keeper
		if lent == nil {
			t.Fatal("it lends nothing")
		}
		f.members[lender].generation = 0
		f.boot(lender)
		for f.members[lender].ledger.earlierLeasesPossible() {
			run(10*time.Millisecond, loans)
			if f.now > time.Hour+time.Minute {
				t.Fatal("it waits for good")
			}
		}
		if waited := f.members[lender].clock(f.now) - f.members[lender].ledger.StartedAt; waited > LeaseDuration/2 {
			t.Errorf("waited %v, though nothing is held", waited)
		}
		f.members[lender].ledger.Accounts[testScope].LentLeases = nil // as where it has lent nothing yet
		if !keeps {
			f.members[keeper].ledger.peer(f.members[lender].name).AcceptOnlyUntil = 0
		}
		f.deliver(*lent)
		if broken := f.check() != nil; broken == keeps {
			t.Errorf("the promise is kept: %v, the sum is broken: %v", keeps, broken)
		}
	}
}

// run plays a sound network for a while and returns how many calls were given to each member.
func (t *testFleet) run(length time.Duration, wants func(i int) int) (err error) {
	for end := t.now + length; t.now < end; t.now += 10 * time.Millisecond {
		if err = t.step(func(int, int) []time.Duration { return []time.Duration{time.Millisecond} }, wants); err != nil {
			return err
		}
	}
	return nil
}

// One member with all the backlog uses all that is lent, and its own part beside it; when its keeper has gone, another
// one's within seconds.
func TestSingleBackloggedMemberUsesAllLentRate(t *testing.T) {
	const limit, n = 40.0, 20
	f := newTestFleet(n, n, limit, faults{}, func(from, to int) int { return (from + to) / 2 })
	f.used = []float64{0}
	one := func(i int) int {
		if i == 7 {
			return 16
		}
		return 0
	}
	rate := func(d time.Duration) float64 {
		f.used = []float64{0}
		if err := f.run(d, one); err != nil {
			t.Fatal(err)
		}
		return f.used[0] / d.Seconds()
	}
	rate(6 * time.Second) // what an earlier life may have lent is over
	if got := rate(10 * time.Second); got < 0.95*(1-ReservedFraction)*limit || got > (1-ReservedFraction)*limit+1 {
		t.Errorf("%.1f calls a second by right, of %.1f lent", got, (1-ReservedFraction)*limit)
	}
	keeper := f.members[7].ledger.Accounts[testScope].LeaseHolder
	for _, m := range f.members {
		if m.name == keeper {
			m.stopped = true
		}
	}
	rate(10 * time.Second)
	if got := rate(10 * time.Second); got < 0.9*(1-ReservedFraction)*limit {
		t.Errorf("%.1f calls a second by right, ten seconds after the keeper stopped", got)
	}
}

// What a destination refuses lowers what is minted for it within seconds, and what it takes again raises it again.
func TestCapacityEstimateFollowsDestination(t *testing.T) {
	const limit, n = 40.0, 12
	f := newTestFleet(n, n, limit, faults{}, func(from, to int) int { return (from + to) / 2 })
	takes, room := limit, 0.0
	total, refused := 0.0, 0.0
	run := func(d time.Duration) (rate, share float64) {
		total, refused = 0, 0
		for end := f.now + d; f.now < end; f.now += 20 * time.Millisecond {
			room = min(takes/4, room+takes*0.02)
			f.used = []float64{0}
			if err := f.step(func(int, int) []time.Duration { return []time.Duration{time.Millisecond} }, func(int) int { return 2 }); err != nil {
				t.Fatal(err)
			}
			for k := range int(f.used[0]) {
				total++
				full := room < 1
				if full {
					refused++
				} else {
					room--
				}
				f.members[k%n].ledger.RecordOutcome(testScope, full)
			}
		}
		return (total - refused) / d.Seconds(), refused / max(1, total)
	}
	run(10 * time.Second)
	if rate, share := run(10 * time.Second); rate < 0.9*(1-ReservedFraction)*limit || share > 0.02 {
		t.Errorf("at rest %.1f a second, %.2f refused", rate, share)
	}
	takes = limit / 4
	run(8 * time.Second)
	rate, share := run(20 * time.Second)
	if t.Logf("lowered to %.0f: %.1f a second, %.2f refused", takes, rate, share); rate < 0.6*takes || share > 0.2 {
		t.Errorf("lowered to %.0f: %.1f a second, %.2f refused", takes, rate, share)
	}
	takes = limit
	run(40 * time.Second)
	if rate, share := run(10 * time.Second); rate < 0.85*(1-ReservedFraction)*limit || share > 0.1 {
		t.Errorf("raised again %.1f a second, %.2f refused", rate, share)
	}
}

// Of more limits than are lent, equal events lend the same.
func TestScopeSelectionIsDeterministic(t *testing.T) {
	limits := loadreport.Limits{}
	for dest := range maxScopes + 100 {
		limits[dest] = map[string]float64{"": 10, "a": 5, "b": 5}
	}
	var first map[Scope]*Account
	for range 3 {
		b := New(0, Settings{})
		b.SetLimits(time.Second, limits)
		if len(b.Accounts) != maxScopes {
			t.Fatalf("%d limits are lent, want %d", len(b.Accounts), maxScopes)
		}
		if first == nil {
			first = b.Accounts
		}
		for s := range b.Accounts {
			if first[s] == nil {
				t.Fatalf("%v is lent by one of two equal books alone", s)
			}
		}
	}
}
