package emulate

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// shared is a fleet at one destination whose refused calls use up its limit, that shares what it takes or does not.
func startSharingQuota(t testing.TB, relays int, seed uint64, takes float64, on bool) *testWorld {
	t.Helper()
	return worldSpec{
		relays:      relays,
		seed:        seed,
		kind:        sharedLimit(),
		destination: scenario.Destination{LimitRate: takes},
		fleet:       scenario.Fleet{Enabled: true, Quotas: on},
		options:     knownQuota(takes),
	}.start(t)
}

// Relays of which each has a call in three seconds are served better and refused less where they share what a
// destination takes: near its limit, over it, with a third of them cut off all the while, with three in ten messages
// lost, and with the keeper stopped for three leases. What all may use is never more than the limit.
func TestSharedQuota(t *testing.T) {
	const takes, relays, length = 27.0, 80, 30 * time.Second
	cut := func(w *testWorld) {
		for _, a := range w.relays[:relays/3] {
			for _, b := range w.relays[relays/3:] {
				for _, name := range []string{scenario.LinkName(a.name, b.name), scenario.LinkName(b.name, a.name)} {
					w.fleet.linkFaults[name] = scenario.Step{Op: scenario.OpLinkCut}
				}
			}
		}
	}
	lose := func(w *testWorld) {
		for _, a := range w.relays {
			for _, b := range w.relays {
				w.fleet.linkFaults[scenario.LinkName(a.name, b.name)] = scenario.Step{Op: scenario.OpLinkLoss, Value: 0.3}
			}
		}
	}
	stop := func(w *testWorld) {
		w.Schedule(15*time.Second, func() {
			a := w.relays[0].member.agent.Quota().Accounts[quota.Scope{Destination: 1}]
			keeper := w.relay(a.LeaseHolder)
			keeper.setStalled(true)
			w.ScheduleAfter(3*quota.LeaseDuration, func() { keeper.setStalled(false) })
		})
	}
	for _, c := range []struct {
		name   string
		asked  float64 // of the limit
		gain   float64 // served, more than without, at least
		less   float64 // refused calls, of those without, at most
		faults func(w *testWorld)
	}{
		{"near the limit", 0.9, 0.05, 0.5, nil},
		{"over it", 1.3, 0.05, 0.5, nil},
		{"a third cut off", 0.9, 0, 0.7, cut},
		{"three in ten lost", 0.9, 0.03, 0.6, lose},
		{"the keeper stopped", 0.9, 0, 0.7, stop},
	} {
		served, refused := [2]float64{}, [2]int{}
		for i, on := range []bool{false, true} {
			w := startSharingQuota(t, relays, 1, takes, on)
			submitRandomly(w, time.Second, length, c.asked*takes)
			if c.faults != nil && on {
				c.faults(w)
			}
			w.run(t, length)
			served[i], refused[i] = w.deliveryRate(8*time.Second, length)/(takes*min(1, c.asked)), w.CallsRejected
			if wrong := slices.Compact(w.fleet.violations); len(wrong) > 0 || on && w.fleet.quotaCheckCount < 50 {
				t.Errorf("%s: wrong %v in %d sums", c.name, wrong, w.fleet.quotaCheckCount)
			}
		}
		t.Logf("%s: served %.2f and %.2f, refused %d and %d", c.name, served[0], served[1], refused[0], refused[1])
		if served[1] < served[0]+c.gain || float64(refused[1]) > c.less*float64(refused[0]) {
			t.Errorf(
				"%s: served %.2f and %.2f, refused %d and %d",
				c.name,
				served[0],
				served[1],
				refused[0],
				refused[1],
			)
		}
	}
}

// TestRightsOnTheDays tells, with -large, what rights bring on the first 20 s of the days of docs/experiments, by the
// number of relays: some minutes.
func TestSharedQuotaInExperiments(t *testing.T) {
	if !*large {
		t.Skip("measures; -large")
	}
	const length = 20 * time.Second
	for _, relays := range []int{20, 80, 300} {
		for _, day := range []string{"herd", "zone", "join", "split"} {
			t.Run(fmt.Sprint(relays, " ", day), func(t *testing.T) {
				t.Parallel()
				for _, on := range []bool{false, true} {
					f, err := scenario.LoadWithin("../../../docs/experiments/fleet-"+day+".toml", scenario.EmulatorBounds)
					if err != nil {
						t.Fatal(err)
					}
					f.Relays, f.Length, f.Fleet = relays, scenario.Duration(
						length,
					), scenario.Fleet{
						Enabled: true,
						Quotas:  on,
					}
					for i := range f.Traffic {
						f.Traffic[i].To = min(f.Traffic[i].To, f.Length)
					}
					f.Faults = slices.DeleteFunc(
						f.Faults,
						func(x scenario.Fault) bool { return x.Start >= f.Length },
					)
					w := playPlan(t, f.Draw(1), Options{Latency: 20 * time.Millisecond, MaxConnections: 400})
					if len(w.fleet.violations) > 0 {
						t.Errorf("rights %v: wrong %v", on, slices.Compact(w.fleet.violations))
					}
					t.Logf(
						"rights %v: whole day %.3f, %d calls refused of %d",
						on,
						w.Overall(),
						w.CallsRejected,
						w.CallsRejected+w.CallsServed,
					)
				}
			})
		}
	}
}
