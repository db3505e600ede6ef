package quota

import (
	"fmt"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

var testScope = Scope{Destination: 3}

const (
	// fleetStart is the real time at which a testFleet starts.
	fleetStart = time.Hour
	// maxClockOffsetHours is how far apart the clocks of members may be.
	maxClockOffsetHours = 1000
)

// testFleet is a fleet of ledgers on clocks that run at different speeds, and the network between them.
type testFleet struct {
	settings Settings
	now      time.Duration
	limit    float64
	members  []*testMember
	inFlight []packet
	faults   faults
	granted  []float64 // calls granted, by second
}

// faults are safeguards that are switched off; the zero value is none.
type faults struct {
	leaseFromArrival bool // a lease is counted from the arrival of its message
	noMargin         bool // a lender uses its share again as soon as its lease is over by its own clock
	forgetsLeases    bool // a process that starts lends at once, and uses all of its share
	reassignsSilent  bool // the shares of silent members are distributed among the others
}

type testMember struct {
	name       string
	ledger     *Ledger
	transit    loadreport.TransitEstimator
	offset     time.Duration
	drift      float64
	generation uint64 // as stored in its data directory
	boots      uint32
	stopped    bool
	inbox      []packet // received while stopped
}

// packet is a message under way.
type packet struct {
	from, to  int
	boot      uint32
	clock     time.Duration // the sender's, at sending
	arrivesAt time.Duration
	message   Message
}

// middle stands in for a random draw where a test needs none.
func middle(from, to int) int { return (from + to) / 2 }

// noRequests and reliableDelay are the plainest arguments of step.
func noRequests(int) int { return 0 }

func reliableDelay(int, int) []time.Duration { return []time.Duration{time.Millisecond} }

func newTestFleet(n, fleetSize int, limit float64, off faults, draw func(from, to int) int) *testFleet {
	f := &testFleet{limit: limit, faults: off, now: fleetStart, settings: Settings{FleetSize: fleetSize}}
	for i := range n {
		f.settings.Members = append(f.settings.Members, fmt.Sprint("m", i))
	}
	if off.noMargin {
		f.settings.LeaseMargin = -time.Duration(2 * loadreport.MaxClockDrift * float64(LeaseDuration))
	}
	f.settings.Fresh = off.forgetsLeases
	for i := range n {
		f.members = append(f.members, &testMember{
			name:   f.settings.Members[i],
			offset: time.Duration(draw(0, maxClockOffsetHours)) * time.Hour,
			drift:  float64(draw(-100, 100)) / 100 * loadreport.MaxClockDrift / 2,
		})
	}
	for i := range n {
		f.boot(i)
	}
	return f
}

// clock is the member's monotonic time.
func (m *testMember) clock(now time.Duration) time.Duration {
	return m.offset + now + time.Duration(float64(now-fleetStart)*m.drift)
}

// boot starts a member's process, or starts it again.
func (f *testFleet) boot(i int) {
	m := f.members[i]
	m.generation++
	m.boots++
	settings := f.settings
	settings.Self = m.name
	settings.Incarnation = loadreport.Incarnation{Generation: m.generation, Boot: m.boots}
	now := m.clock(f.now)
	m.ledger = New(now, settings)
	if f.faults.forgetsLeases && m.generation > 1 {
		m.ledger.StartedAt = now
	}
	m.ledger.SetLimits(now, loadreport.Limits{testScope.Destination: {"": f.limit}})
	m.transit = loadreport.TransitEstimator{}
	m.inbox = nil
	m.stopped = false
	for _, other := range f.members { // the carrier exchanges clocks; here it does so at once
		if other.ledger != nil {
			otherClock := other.clock(f.now)
			m.transit.Calibrate(other.name, other.boots, otherClock, now, now)
			other.transit.Calibrate(m.name, m.boots, now, otherClock, otherClock)
		}
	}
}

// resume continues a stopped member, which then receives what came meanwhile.
func (f *testFleet) resume(m *testMember) {
	m.stopped = false
	inbox := m.inbox
	m.inbox = nil
	for _, p := range inbox {
		f.deliver(p)
	}
}

// stop stops the process of the member of a name.
func (f *testFleet) stop(name string) {
	for _, m := range f.members {
		if m.name == name {
			m.stopped = true
		}
	}
}

func (f *testFleet) deliver(p packet) {
	m := f.members[p.to]
	if m.stopped {
		m.inbox = append(m.inbox, p)
		return
	}
	now := m.clock(f.now)
	transitTime, known, _ := m.transit.Estimate(f.members[p.from].name, p.boot, p.clock, now)
	if !known {
		return
	}
	if f.faults.leaseFromArrival {
		transitTime = 0
	}
	p.message.Member = f.members[p.from].name
	p.message.TransitTime = transitTime
	m.ledger.Receive(now, p.message)
}

// deliverArrived delivers all packets that have arrived.
func (f *testFleet) deliverArrived() {
	var later []packet
	for _, p := range f.inFlight {
		if p.arrivesAt > f.now {
			later = append(later, p)
		} else {
			f.deliver(p)
		}
	}
	f.inFlight = later
}

// step has all running members take a step, and sends their messages. delays returns how long each copy of a message is
// under way: none if it is lost. requested returns how many calls a member requests.
func (f *testFleet) step(delays func(from, to int) []time.Duration, requested func(i int) int) error {
	f.deliverArrived()
	for i, m := range f.members {
		if m.stopped {
			continue
		}
		now := m.clock(f.now)
		if f.faults.reassignsSilent {
			m.countLiveMembers(f.settings.Members)
		}
		if n := requested(i); n > 0 {
			m.ledger.Request(now, testScope, n)
		}
		messages, changes := m.ledger.Step(now)
		for _, change := range changes {
			f.granted[len(f.granted)-1] += float64(change.Calls)
		}
		for _, message := range messages {
			to := f.indexOf(message.Member)
			for _, d := range delays(i, to) {
				f.inFlight = append(f.inFlight, packet{i, to, m.boots, now, f.now + d, message})
			}
		}
	}
	return f.check()
}

// countLiveMembers has a member take the live ones for the whole fleet.
func (m *testMember) countLiveMembers(members []string) {
	m.ledger.Settings.FleetSize = 0
	for _, name := range members {
		if m.ledger.alive(name) {
			m.ledger.Settings.FleetSize++
		}
	}
}

func (f *testFleet) indexOf(name string) (index int) {
	for i, m := range f.members {
		if m.name == name {
			index = i
		}
	}
	return index
}

// check returns an error if the sum of what all members may use at this moment exceeds the limit.
func (f *testFleet) check() error {
	sum, text := 0.0, ""
	for _, m := range f.members {
		now := m.clock(f.now)
		own, grants := m.ledger.OwnRate(now, testScope), m.ledger.GrantRate(now, testScope)
		sum += own + grants
		text += fmt.Sprintf(" %s %.3f+%.3f", m.name, own, grants)
	}
	if sum > f.limit*(1+1e-9) {
		return fmt.Errorf("at %v all members may use %.3f of %.3f:%s", f.now-fleetStart, sum, f.limit, text)
	}
	return nil
}

// run plays a reliable network for a while and returns how many calls a second were granted.
func (f *testFleet) run(t *testing.T, length time.Duration, requested func(i int) int) float64 {
	t.Helper()
	f.granted = []float64{0}
	for end := f.now + length; f.now < end; f.now += 10 * time.Millisecond {
		if err := f.step(reliableDelay, requested); err != nil {
			t.Fatal(err)
		}
	}
	return f.granted[0] / length.Seconds()
}
