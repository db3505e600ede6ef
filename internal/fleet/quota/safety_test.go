package quota

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// faultyNetwork loses, duplicates and delays messages between the members of a testFleet, and stops and restarts
// members.
type faultyNetwork struct {
	fleet *testFleet
	draw  func(from, to int) int
	// random decides on each packet, because there are too many packets for draws of rapid.
	random   *rand.Rand
	lossRate float64
	maxDelay time.Duration
	cutUntil map[[2]int]time.Duration // by sender and receiver
}

func newFaultyNetwork(t *rapid.T, n int, injected defects) *faultyNetwork {
	draw := func(from, to int) int { return rapid.IntRange(from, to).Draw(t, "x") }
	return &faultyNetwork{
		fleet:    newTestFleet(n, n+draw(0, 2), float64(draw(1, 40)), injected, draw),
		draw:     draw,
		cutUntil: map[[2]int]time.Duration{},
		random:   rand.New(rand.NewPCG(uint64(draw(0, 1<<30)), 1)),
		lossRate: float64(draw(0, 60)) / 100,
		maxDelay: time.Duration(draw(0, 3000)) * time.Millisecond,
	}
}

func (network *faultyNetwork) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(network.random.Int64N(int64(limit)))
}

// delays returns the time in transit of each copy of a message, and none if the message is lost.
func (network *faultyNetwork) delays(from, to int) []time.Duration {
	if network.fleet.now < network.cutUntil[[2]int{from, to}] || network.random.Float64() < network.lossRate {
		return nil
	}
	delays := []time.Duration{network.randomDelay(10 * time.Millisecond)}
	if network.random.IntN(10) == 0 { // a late duplicate
		delays = append(delays, network.randomDelay(network.maxDelay+1))
	}
	if network.random.IntN(20) == 0 {
		delays[0] += network.randomDelay(network.maxDelay + 1)
	}
	return delays
}

func (network *faultyNetwork) requested(int) int {
	if network.random.IntN(4) == 0 {
		return 1 + network.random.IntN(3)
	}
	return 0
}

// injectFault stops, resumes, restarts or disconnects a random member, cuts one of its links, or does nothing. The
// following fault comes at next.
func (network *faultyNetwork) injectFault(next time.Duration) {
	n := len(network.fleet.members)
	i := network.draw(0, n-1)
	member := network.fleet.members[i]
	switch network.draw(0, 5) {
	case 0:
		network.fleet.boot(i)
	case 1:
		if member.stopped {
			network.fleet.resume(member)
		} else {
			member.stopped = true
		}
	case 2: // one link is cut, one way
		link := [2]int{i, network.draw(0, n-1)}
		network.cutUntil[link] = network.fleet.now + time.Duration(network.draw(500, 12000))*time.Millisecond
	case 3: // all links of a member are cut, both ways
		for j := range n {
			network.cutUntil[[2]int{i, j}] = next
			network.cutUntil[[2]int{j, i}] = next
		}
	case 5: // the member starts without its data directory
		member.generation = 0
		network.fleet.boot(i)
	}
}

// runFaultyFleet runs a fleet under random faults for 40 simulated seconds. It returns an error if the limit is
// exceeded.
func runFaultyFleet(t *rapid.T, n int, injected defects) error {
	network := newFaultyNetwork(t, n, injected)
	f := network.fleet
	next := f.now
	for f.now < fleetStart+40*time.Second {
		if f.now >= next {
			next = f.now + time.Duration(network.draw(200, 4000))*time.Millisecond
			network.injectFault(next)
		}
		if (f.now-fleetStart)%time.Second == 0 || len(f.granted) == 0 {
			f.granted = append(f.granted, 0)
		}
		if err := f.step(network.delays, network.requested); err != nil {
			return err
		}
		f.now += 50 * time.Millisecond
	}
	return nil
}

// All members together may never use more than the limit, whichever messages are lost, duplicated or delayed, and
// whichever members are stopped, restarted or disconnected.
func TestTotalRateStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runFaultyFleet(t, rapid.IntRange(2, 5).Draw(t, "n"), defects{}); err != nil {
			t.Fatal(err)
		}
	})
}

// If any one safeguard of the protocol is disabled, the limit is exceeded within 400 random runs.
func TestEachSafeguardIsNeeded(t *testing.T) {
	for name, injected := range map[string]defects{
		"a lease counted from its arrival":       {leaseFromArrival: true},
		"no margin for drift":                    {noMargin: true},
		"a restart that ignores earlier leases":  {ignoreEarlierLeases: true},
		"shares of silent members redistributed": {redistributeSilent: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 400 {
				run := rapid.Custom(func(t *rapid.T) error { return runFaultyFleet(t, 3, injected) })
				if err := run.Example(seed); err != nil {
					t.Logf("after %d runs: %v", seed+1, err)
					return
				}
			}
			t.Error("the limit was not exceeded in any run without the safeguard")
		})
	}
}

// A member that has lost its data directory uses its share as soon as all others have answered that they hold no lease
// of its earlier incarnation. A lease of that incarnation that is still in transit must not be accepted after that: if
// the restriction to the new incarnation is lifted, the limit is exceeded.
func TestLeasesOfEarlierIncarnationAreRejected(t *testing.T) {
	for name, restricted := range map[string]bool{"acceptance restricted": true, "restriction lifted": false} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(2, 2, 10, defects{}, midpoint)
			f.granted = []float64{0}
			lender, holder := lenderAndHolder(f)
			f.members[lender].generation = 40
			f.boot(lender)

			isLease := func(p packet) bool { return p.from == lender && len(p.message.Leases) > 0 }
			inTransit := runWithholding(t, f, 2*LeaseDuration, isLease)
			if inTransit == nil {
				t.Fatal("the lender has sent no lease")
			}
			f.members[lender].generation = 0
			f.boot(lender)
			ledger := f.members[lender].ledger
			for ledger.earlierLeasesPossible() {
				if last := runWithholding(t, f, 10*time.Millisecond, isLease); last != nil {
					inTransit = last
				}
				if f.now > fleetStart+time.Minute {
					t.Fatal("the restarted lender still waits for earlier leases after a minute")
				}
			}
			if waited := f.members[lender].clock(f.now) - ledger.StartedAt; waited > LeaseDuration/2 {
				t.Errorf("the restarted lender waited %v although no lease is held", waited)
			}

			ledger.Accounts[testScope].LentLeases = nil // as if the lender had lent nothing yet
			if !restricted {
				f.members[holder].ledger.peer(f.members[lender].name).AcceptOnlyUntil = 0
			}
			f.deliver(*inTransit)
			if exceeded := f.check() != nil; exceeded == restricted {
				t.Errorf("acceptance restricted: %v, limit exceeded: %v", restricted, exceeded)
			}
		})
	}
}

// lenderAndHolder returns which of two members is the lease holder of testScope, and which lends to it.
func lenderAndHolder(f *testFleet) (lender, holder int) {
	ledger := f.members[0].ledger
	ledger.peer("m1").LastSentAt = ledger.Now
	if ledger.leaseHolder(testScope) == "m0" {
		return 1, 0
	}
	return 0, 1
}

// runWithholding steps the fleet on a network that is reliable except that it does not deliver the withheld packets. It
// returns the last packet withheld, or nil.
func runWithholding(t *testing.T, f *testFleet, length time.Duration, withheld func(packet) bool) (last *packet) {
	t.Helper()
	for end := f.now + length; f.now < end; f.now += 10 * time.Millisecond {
		if err := f.step(reliableDelay, noRequests); err != nil {
			t.Fatal(err)
		}
		for i := len(f.inFlight) - 1; i >= 0; i-- {
			if p := f.inFlight[i]; withheld(p) {
				last = &p
				f.inFlight = slices.Delete(f.inFlight, i, i+1)
			}
		}
	}
	return last
}
