package quota

import (
	"fmt"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

var testScope = Scope{Destination: 3}

const (
	// fleetStart is the simulated real time at which a testFleet starts.
	fleetStart = time.Hour
	// maxClockOffsetHours bounds the offset of a member's clock from the simulated real time.
	maxClockOffsetHours = 1000
)

// testFleet simulates a fleet of ledgers, whose clocks run at different speeds, and the network between them.
type testFleet struct {
	settings Settings
	now      time.Duration
	limit    float64
	members  []*testMember
	inFlight []packet
	defects  defects
	granted  []float64 // number of granted calls; step adds to the last element
}

// defects are errors in the protocol, each of which disables a safeguard. The zero value disables none.
type defects struct {
	leaseFromArrival    bool // a lease is counted from the arrival of its message
	noMargin            bool // a lender uses its share again as soon as its lease is over by its own clock
	ignoreEarlierLeases bool // a process that starts lends at once, and uses all of its share
	redistributeSilent  bool // the shares of silent members are distributed among the others
}

type testMember struct {
	name       string
	ledger     *Ledger
	transit    loadreport.TransitEstimator
	offset     time.Duration // of its clock from the simulated real time
	drift      float64       // of its clock, as a fraction of the elapsed time
	generation uint64        // as stored in its data directory
	boots      uint32
	stopped    bool
	inbox      []packet // received while stopped
}

// packet is a message in transit.
type packet struct {
	from, to  int
	boot      uint32
	clock     time.Duration // the sender's clock when the message was sent
	arrivesAt time.Duration // in simulated real time
	message   Message
}

// midpoint is an argument of newTestFleet for tests that do not need random draws.
func midpoint(from, to int) int { return (from + to) / 2 }

// noRequests is an argument of step for a fleet in which no member requests calls.
func noRequests(int) int { return 0 }

// reliableDelay is an argument of step for a network that delivers each message once, after a millisecond.
func reliableDelay(int, int) []time.Duration { return []time.Duration{time.Millisecond} }

func newTestFleet(n, fleetSize int, limit float64, injected defects, draw func(from, to int) int) *testFleet {
	f := &testFleet{limit: limit, defects: injected, now: fleetStart, settings: Settings{FleetSize: fleetSize}}
	for i := range n {
		f.settings.Members = append(f.settings.Members, fmt.Sprint("m", i))
	}
	if injected.noMargin {
		f.settings.LeaseMargin = -time.Duration(2 * loadreport.MaxClockDrift * float64(LeaseDuration))
	}
	f.settings.Fresh = injected.ignoreEarlierLeases
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

// clock is the member's monotonic time at the simulated real time now.
func (m *testMember) clock(now time.Duration) time.Duration {
	return m.offset + now + time.Duration(float64(now-fleetStart)*m.drift)
}

// boot starts or restarts a member's process.
func (f *testFleet) boot(i int) {
	m := f.members[i]
	m.generation++
	m.boots++
	settings := f.settings
	settings.Self = m.name
	settings.Incarnation = loadreport.Incarnation{Generation: m.generation, Boot: m.boots}
	now := m.clock(f.now)
	m.ledger = New(now, settings)
	if f.defects.ignoreEarlierLeases && m.generation > 1 {
		m.ledger.StartedAt = now
	}
	m.ledger.SetLimits(now, loadreport.Limits{testScope.Destination: {"": f.limit}})
	m.transit = loadreport.TransitEstimator{}
	m.inbox = nil
	m.stopped = false
	for _, other := range f.members { // the processes exchange clock readings without delay
		if other.ledger != nil {
			otherClock := other.clock(f.now)
			m.transit.Calibrate(other.name, other.boots, otherClock, now, now)
			other.transit.Calibrate(m.name, m.boots, now, otherClock, otherClock)
		}
	}
}

// resume continues a stopped member, which then receives the messages that have arrived meanwhile.
func (f *testFleet) resume(m *testMember) {
	m.stopped = false
	inbox := m.inbox
	m.inbox = nil
	for _, p := range inbox {
		f.deliver(p)
	}
}

// stop stops the process of the named member.
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
	if f.defects.leaseFromArrival {
		transitTime = 0
	}
	p.message.Member = f.members[p.from].name
	p.message.TransitTime = transitTime
	m.ledger.Receive(now, p.message)
}

// deliverArrived delivers all packets whose arrival time has come.
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

// step runs one step of each running member and sends its messages. delays returns the time in transit of each copy of
// a message, and none if the message is lost. requested returns how many calls a member requests.
func (f *testFleet) step(delays func(from, to int) []time.Duration, requested func(i int) int) error {
	f.deliverArrived()
	for i, m := range f.members {
		if m.stopped {
			continue
		}
		now := m.clock(f.now)
		if f.defects.redistributeSilent {
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

// countLiveMembers sets a member's fleet size to the number of members that it considers live.
func (m *testMember) countLiveMembers(members []string) {
	m.ledger.Settings.FleetSize = 0
	for _, name := range members {
		if m.ledger.isLive(name) {
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
		return fmt.Errorf(
			"after %v, all members may use %.3f calls a second, the limit is %.3f; own and granted rate by member:%s",
			f.now-fleetStart, sum, f.limit, text,
		)
	}
	return nil
}

// run steps the fleet on a reliable network for a time, and returns how many calls were granted per second.
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
