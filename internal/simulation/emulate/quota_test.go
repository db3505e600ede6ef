package emulate

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// startQuotaWorld starts a fleet with one destination of the kind sharedLimit. If shareQuota is set, the relays share
// the quota of the destination.
func startQuotaWorld(t testing.TB, relays int, limitRate float64, shareQuota bool) *testWorld {
	t.Helper()
	return worldSpec{
		relays:      relays,
		seed:        1,
		kind:        sharedLimit(),
		destination: scenario.Destination{LimitRate: limitRate},
		fleet:       scenario.Fleet{Enabled: true, Quotas: shareQuota},
		options:     knownQuota(limitRate),
	}.start(t)
}

// TestSharedQuota: each relay has a message in about three seconds. If relays share the quota of the destination,
// they deliver more messages and fewer calls are rejected: with a demand near the limit or above it, with a third of
// the relays cut off all the time, with three in ten datagrams lost, and with the lease holder stalled for three
// lease durations. The sum of all quotas never exceeds the limit.
func TestSharedQuota(t *testing.T) {
	const limitRate, relays, length = 27.0, 80, 30 * time.Second
	for _, c := range []struct {
		name          string
		demand        float64 // ratio to the limit
		minGain       float64 // difference of the ratios served with and without sharing
		maxRejections float64 // ratio to the rejections without sharing
		fault         func(w *testWorld)
	}{
		{"near the limit", 0.9, 0.05, 0.5, nil},
		{"over it", 1.3, 0.05, 0.5, nil},
		{"a third cut off", 0.9, 0, 0.7, cutOffThird},
		{"three in ten lost", 0.9, 0.03, 0.6, loseDatagrams},
		{"the lease holder stalled", 0.9, 0, 0.7, stallLeaseHolder},
	} {
		t.Run(c.name, func(t *testing.T) {
			play := func(shareQuota bool) (served float64, rejected int) {
				w := startQuotaWorld(t, relays, limitRate, shareQuota)
				submitRandomly(w, time.Second, length, c.demand*limitRate)
				if c.fault != nil && shareQuota {
					c.fault(w)
				}
				w.run(t, length)
				violations := slices.Compact(w.fleet.violations)
				if len(violations) > 0 || shareQuota && w.fleet.quotaCheckCount < 50 {
					t.Errorf("violations %v in %d checks, want none in 50 or more", violations, w.fleet.quotaCheckCount)
				}
				return w.deliveryRate(8*time.Second, length) / (limitRate * min(1, c.demand)), w.CallsRejected
			}
			servedAlone, rejectedAlone := play(false)
			served, rejected := play(true)
			figures := fmt.Sprintf("without and with sharing: served %.2f and %.2f, rejected %d and %d",
				servedAlone, served, rejectedAlone, rejected)
			t.Log(figures)
			if served < servedAlone+c.minGain || float64(rejected) > c.maxRejections*float64(rejectedAlone) {
				t.Error(figures)
			}
		})
	}
}

// cutOffThird cuts the links between a third of the relays and the others.
func cutOffThird(w *testWorld) {
	third := len(w.relays) / 3
	for _, a := range w.relays[:third] {
		for _, b := range w.relays[third:] {
			w.fleet.linkFaults[scenario.LinkName(a.name, b.name)] = scenario.Step{Op: scenario.OpLinkCut}
			w.fleet.linkFaults[scenario.LinkName(b.name, a.name)] = scenario.Step{Op: scenario.OpLinkCut}
		}
	}
}

// loseDatagrams makes all links lose three in ten datagrams.
func loseDatagrams(w *testWorld) {
	faultAllLinks(w.World, scenario.Step{Op: scenario.OpLinkLoss, Value: 0.3})
}

// stallLeaseHolder stalls the lease holder of the destination for three lease durations.
func stallLeaseHolder(w *testWorld) {
	w.Schedule(15*time.Second, func() {
		account := w.relays[0].member.agent.Quota().Accounts[quota.Scope{Destination: 1}]
		holder := w.relay(account.LeaseHolder)
		holder.setStalled(true)
		w.ScheduleAfter(3*quota.LeaseDuration, func() { holder.setStalled(false) })
	})
}

// TestSharedQuotaInExperiments measures the effect of shared quotas in the first 20 s of scenarios of
// docs/experiments, with several numbers of relays. It runs only with the flag -large, and takes some minutes.
func TestSharedQuotaInExperiments(t *testing.T) {
	if !*large {
		t.Skip("long measurement; run it with -large")
	}
	const length = scenario.Duration(20 * time.Second)
	for _, relays := range []int{20, 80, 300} {
		for _, name := range []string{"herd", "zone", "join", "split"} {
			t.Run(fmt.Sprint(relays, " ", name), func(t *testing.T) {
				t.Parallel()
				for _, shareQuota := range []bool{false, true} {
					file := loadExperiment(t, "fleet-"+name)
					file.Relays = relays
					file.Length = length
					file.Fleet = scenario.Fleet{Enabled: true, Quotas: shareQuota}
					for i := range file.Traffic {
						file.Traffic[i].To = min(file.Traffic[i].To, length)
					}
					file.Faults = slices.DeleteFunc(file.Faults, func(f scenario.Fault) bool {
						return f.Start >= length
					})
					w := playPlan(t, file.Draw(1), Options{Latency: 20 * time.Millisecond, MaxConnections: 400})
					if len(w.fleet.violations) > 0 {
						t.Errorf("shared quota %v: violations %v", shareQuota, slices.Compact(w.fleet.violations))
					}
					t.Logf("shared quota %v: %.3f of the weight delivered, %d calls rejected of %d",
						shareQuota, w.Overall(), w.CallsRejected, w.CallsRejected+w.CallsServed)
				}
			})
		}
	}
}
