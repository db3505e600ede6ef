package scenario

import (
	"math"
	"slices"
	"testing"
	"time"
)

// Compares the digest of a plan with a fixed value, so that a change of Go or of this package cannot change plans
// unnoticed.
func TestPlanIsTheSameByteForByte(t *testing.T) {
	f := parse(t, `
[[trouble]]
kind = "drain"
at = "5s"
for = "8s"
share = 0.58
replace = true
same_address = 0.5
`)
	const want = "a1af972bb8b711ad"
	if got := f.Draw(7).Digest(); got != want {
		t.Errorf("digest %s, want %s", got, want)
	}
	if f.Draw(7).Digest() == f.Draw(8).Digest() {
		t.Error("seeds 7 and 8 give the same plan")
	}
	if f.Draw(0).Seed != 1 || f.Draw(0).Digest() != f.Draw(1).Digest() {
		t.Error("seed 0 does not select the seed of the scenario")
	}
}

// Adding a fault to a scenario must not change its arrivals, which have a random stream of their own.
func TestPartsHaveTheirOwnRandomStreams(t *testing.T) {
	plain := parse(t, "").Draw(3)
	withFault := parse(t, `
[[trouble]]
kind = "kill"
at = "5s"
`).Draw(3)
	if !slices.Equal(plain.Arrivals, withFault.Arrivals) {
		t.Error("a fault changed the arrivals")
	}
	if len(withFault.Steps) != 4 { // OpFaultBegins, OpKill of two relays, OpFaultEnds
		t.Errorf("steps: %+v", withFault.Steps)
	}
}

// A fault replaces 58 % of the endpoints, some of them at the address of the old endpoint. These must be added only
// after the process of the old endpoint has stopped.
func TestReplacedEndpoints(t *testing.T) {
	plan := parse(t, `
[[trouble]]
kind = "drain"
at = "2s"
for = "10s"
batch = 2
share = 0.58
replace = true
same_address = 0.5
drain = "1s"
`).Draw(5)
	type change struct {
		op Op
		id string
	}
	at := map[change]time.Duration{}
	for _, s := range plan.Steps {
		at[change{s.Op, s.Target}] = s.At
	}
	first, later, sameAddress := 0, 0, 0
	for _, e := range plan.Endpoints {
		if !e.AddedLater {
			first++
			continue
		}
		later++
		if old := e.ReusesAddressOf; old != "" {
			sameAddress++
			added, stopped := at[change{OpAddEndpoint, e.ID}], at[change{OpStopEndpoint, old}]
			if added <= stopped {
				t.Errorf("%s is added at %v, but %s stops only at %v, and both have the same address",
					e.ID, added, old, stopped)
			}
		}
		isOfEndpoint := func(s Service) bool { return s.Name == e.Service && s.Destination == e.Destination }
		if !slices.ContainsFunc(plan.Services, isOfEndpoint) {
			t.Errorf("endpoint %s: its service %s is not in the plan", e.ID, e.Service)
		}
	}
	if later != int(math.Ceil(0.58*float64(first))) || sameAddress == 0 || sameAddress == later {
		t.Errorf("%d of %d replaced, %d at the same address", later, first, sameAddress)
	}
}

func TestFaultStrikesTheServicesThatItNames(t *testing.T) {
	plan := parse(t, `
[[trouble]]
kind = "silent"
at = "2s"
for = "3s"
destinations = [1, 4]
zone = "b"
`).Draw(1)
	var silenced []string
	for _, s := range plan.Steps {
		if s.Op == OpSilence {
			silenced = append(silenced, s.Target)
		}
	}
	// Destination 1 is one service with an endpoint in zone b. Destination 4 has separate endpoints, one of them in
	// zone b.
	var want []string
	for _, e := range plan.Endpoints {
		if e.Zone == "b" && (e.Destination == 1 || e.Destination == 4) {
			want = append(want, e.Service)
		}
	}
	slices.Sort(silenced)
	slices.Sort(want)
	if len(silenced) != 2 || !slices.Equal(silenced, want) {
		t.Errorf("silenced services: %v, want %v", silenced, want)
	}
}

// A rate limit is lowered and restored. Of ten relays, a share of 0.7 is killed.
func TestLoweredLimitsAndSharesOfRelays(t *testing.T) {
	f := parse(t, `
[[trouble]]
kind = "lowered"
at = "2s"
for = "3s"
factor = 3.0
destinations = [2]

[[trouble]]
kind = "kill"
at = "4s"
share = 0.7
`)
	f.Relays = 10
	var lowered []Step
	killed := map[string]bool{}
	for _, s := range f.Draw(1).Steps {
		switch s.Op {
		case OpLowerLimit:
			lowered = append(lowered, s)
		case OpKill:
			killed[s.Target] = true
		}
	}
	want := []Step{
		{At: 2 * time.Second, Op: OpLowerLimit, Target: "d2", Value: 3},
		{At: 5 * time.Second, Op: OpLowerLimit, Target: "d2", Value: 1},
	}
	if !slices.Equal(lowered, want) {
		t.Errorf("lowered: %+v, want %+v", lowered, want)
	}
	if len(killed) != 7 {
		t.Errorf("%d of 10 relays killed, want 7", len(killed))
	}
}

func TestEndpointsOfALargeWorldHaveIDsOfTheirOwn(t *testing.T) {
	f, err := Load("quiet-day")
	if err != nil {
		t.Fatal(err)
	}
	f.Faults = nil
	f.Destinations = []Destination{{
		Kind:          f.DestinationKinds[0].Name,
		Count:         140_000,
		Endpoints:     2,
		LimitRate:     1,
		TrafficWeight: 1,
		Zones:         f.Zones,
	}}
	ids := map[string]bool{}
	for _, e := range f.DrawWithoutArrivals(1).Endpoints {
		ids[e.ID] = true
	}
	if len(ids) != 280_000 {
		t.Errorf("%d different ids for 280000 endpoints", len(ids))
	}
}
