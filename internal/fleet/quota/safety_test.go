package quota

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// faultyNetwork loses, duplicates and delays messages between the members of a testFleet, stops and restarts them.
type faultyNetwork struct {
	fleet *testFleet
	draw  func(from, to int) int
	// random decides on each packet: too many for rapid's draws.
	random   *rand.Rand
	lossRate float64
	maxDelay time.Duration
	cutUntil map[[2]int]time.Duration // by sender and receiver
}

func newFaultyNetwork(t *rapid.T, n int, off faults) *faultyNetwork {
	draw := func(from, to int) int { return rapid.IntRange(from, to).Draw(t, "x") }
	return &faultyNetwork{
		fleet:    newTestFleet(n, n+draw(0, 2), float64(draw(1, 40)), off, draw),
		draw:     draw,
		cutUntil: map[[2]int]time.Duration{},
		random:   rand.New(rand.NewPCG(uint64(draw(0, 1<<30)), 1)),
		lossRate: float64(draw(0, 60)) / 100,
		maxDelay: time.Duration(draw(0, 3000)) * time.Millisecond,
	}
}

func (w *faultyNetwork) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit)))
}

// delays returns how long each copy of a message is under way.
func (w *faultyNetwork) delays(from, to int) []time.Duration {
	if w.fleet.now < w.cutUntil[[2]int{from, to}] || w.random.Float64() < w.lossRate {
		return nil
	}
	delays := []time.Duration{w.randomDelay(10 * time.Millisecond)}
	if w.random.IntN(10) == 0 { // a late duplicate
		delays = append(delays, w.randomDelay(w.maxDelay+1))
	}
	if w.random.IntN(20) == 0 {
		delays[0] += w.randomDelay(w.maxDelay + 1)
	}
	return delays
}

func (w *faultyNetwork) requested(int) int {
	if w.random.IntN(4) == 0 {
		return 1 + w.random.IntN(3)
	}
	return 0
}

// injectFault does something to a member; next is when the following fault comes.
func (w *faultyNetwork) injectFault(next time.Duration) {
	n := len(w.fleet.members)
	i := w.draw(0, n-1)
	member := w.fleet.members[i]
	switch w.draw(0, 5) {
	case 0:
		w.fleet.boot(i)
	case 1:
		if member.stopped {
			w.fleet.resume(member)
		} else {
			member.stopped = true
		}
	case 2: // one link is cut, one way
		link := [2]int{i, w.draw(0, n-1)}
		w.cutUntil[link] = w.fleet.now + time.Duration(w.draw(500, 12000))*time.Millisecond
	case 3: // all links of a member are cut, both ways
		for j := range n {
			w.cutUntil[[2]int{i, j}] = next
			w.cutUntil[[2]int{j, i}] = next
		}
	case 5: // the member starts without its data directory
		member.generation = 0
		w.fleet.boot(i)
	}
}

// runFaultyFleet drives a fleet through faults for 40 seconds, and returns an error if the limit was exceeded.
func runFaultyFleet(t *rapid.T, n int, off faults) error {
	network := newFaultyNetwork(t, n, off)
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

// Whatever is lost, duplicated, delayed, cut off, stopped or restarted, all members together may never use more than
// the limit.
func TestTotalRateStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runFaultyFleet(t, rapid.IntRange(2, 5).Draw(t, "n"), faults{}); err != nil {
			t.Fatal(err)
		}
	})
}

// Without any one of the safeguards the limit is exceeded within some hundred runs.
func TestEachSafeguardIsNeeded(t *testing.T) {
	for name, off := range map[string]faults{
		"a lease counted from its arrival":       {leaseFromArrival: true},
		"no margin for drift":                    {noMargin: true},
		"a restart that forgets its leases":      {forgetsLeases: true},
		"shares of silent members redistributed": {reassignsSilent: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 400 {
				run := rapid.Custom(func(t *rapid.T) error { return runFaultyFleet(t, 3, off) })
				if err := run.Example(seed); err != nil {
					t.Logf("after %d runs: %v", seed+1, err)
					return
				}
			}
			t.Error("no run has exceeded the limit")
		})
	}
}

// A member that has lost its data directory uses its share as soon as all others have said that they hold no lease of
// an earlier incarnation. A lease of that incarnation that is still in transit is not accepted any more: a member that
// accepts it all the same would exceed the limit.
func TestLeasesOfEarlierIncarnationAreRejected(t *testing.T) {
	for name, keepsPromise := range map[string]bool{"promise kept": true, "promise broken": false} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(2, 2, 10, faults{}, middle)
			f.granted = []float64{0}
			lender, holder := lenderAndHolder(f)
			f.members[lender].generation = 40
			f.boot(lender)

			isLease := func(p packet) bool { return p.from == lender && len(p.message.Leases) > 0 }
			inTransit := runWithholding(t, f, 2*LeaseDuration, isLease)
			if inTransit == nil {
				t.Fatal("it lends nothing")
			}
			f.members[lender].generation = 0
			f.boot(lender)
			ledger := f.members[lender].ledger
			for ledger.earlierLeasesPossible() {
				if last := runWithholding(t, f, 10*time.Millisecond, isLease); last != nil {
					inTransit = last
				}
				if f.now > fleetStart+time.Minute {
					t.Fatal("it waits for good")
				}
			}
			if waited := f.members[lender].clock(f.now) - ledger.StartedAt; waited > LeaseDuration/2 {
				t.Errorf("waited %v, though no lease is held", waited)
			}

			ledger.Accounts[testScope].LentLeases = nil // as if it had lent nothing yet
			if !keepsPromise {
				f.members[holder].ledger.peer(f.members[lender].name).AcceptOnlyUntil = 0
			}
			f.deliver(*inTransit)
			if exceeded := f.check() != nil; exceeded == keepsPromise {
				t.Errorf("the promise is kept: %v, the limit is exceeded: %v", keepsPromise, exceeded)
			}
		})
	}
}

// lenderAndHolder returns which of two members is the lease holder of testScope, and which lends to it.
func lenderAndHolder(f *testFleet) (lender, holder int) {
	ledger := f.members[0].ledger
	ledger.peer("m1").ReceivedAt = ledger.Now
	if ledger.leaseHolder(testScope) == "m0" {
		return 1, 0
	}
	return 0, 1
}

// runWithholding plays a reliable network that does not deliver some packets, and returns the last of these.
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
