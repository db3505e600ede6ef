package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/capacity"
	"cherrytrestle.example/cherrytrestle/internal/config/operatorfile"
	"cherrytrestle.example/cherrytrestle/internal/fleet/agent"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/policy"
)

// measureFleet measures the size limits of the fleet features (members, published destinations, quota accounts) and the
// costs of a fleet.
func measureFleet(ctx context.Context, b *bench) ([]capacity.Series, error) {
	bounds := collect(
		measureBound(capacity.FleetMaxMembers, "relays", []int{256, 512, 1024, 1025, 2600}, membersAccepted),
		measureBound(capacity.FleetMaxPublished, "destinations with traffic", []int{64, 128, 256, 260, 1024},
			destinationsPublished),
		measureBound(capacity.FleetMaxQuotas, "destinations with a limit", []int{256, 512, 1024, 1025, 2048},
			quotaAccounts),
	)
	costs, err := measureFleetCosts(ctx, b)
	return append(bounds, costs...), err
}

// measureBound returns a series over sizes. handled returns how many of size items are handled. A size counts as failed
// if fewer than all are handled.
func measureBound(name, axis string, sizes []int, handled func(size int) int) *series {
	s := newSeries(name, axis, capacity.Count)
	for _, size := range sizes {
		if got := handled(size); got < size {
			s.addFailure(size)
		} else {
			s.add(size, float64(got))
		}
	}
	return s
}

// membersAccepted returns the number of members if an operator's file with so many is valid, or else 0.
func membersAccepted(members int) int {
	var text strings.Builder
	text.WriteString("[fleet]\nenabled = true\nname = \"n0\"\nlisten = \"127.0.0.1:7946\"\n[fleet.join]\n")
	for i := range members {
		fmt.Fprintf(&text, "n%d = \"127.0.0.1:%d\"\n", i, 10_000+i)
	}
	if _, err := operatorfile.Parse("operator.toml", []byte(text.String())); err != nil {
		return 0
	}
	return members
}

// newAgent returns the agent of one of eight members. It has received an endpoint snapshot with the given number of
// destinations.
func newAgent(destinations int, shareQuota bool) *agent.Agent {
	a := agent.New(agent.Settings{
		Self:             "n0",
		Incarnation:      loadreport.Incarnation{Generation: 1},
		Members:          []string{"n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7"},
		DestinationKinds: []policy.DestinationKind{{MaxBatch: 1}},
		ShareQuota:       shareQuota,
		FleetSize:        8,
	})
	snapshot := policy.Event{
		Kind:      policy.EndpointSnapshot,
		Endpoints: endpointsOf(destinations, allInService),
	}
	a.Step(time.Second, agent.Input{})
	a.Step(2*time.Second, agent.Input{Events: []policy.Event{snapshot}})
	return a
}

// destinationsPublished returns the number of destinations whose load a member publishes. The member accepts ten
// messages per second for each of the given destinations.
func destinationsPublished(destinations int) int {
	const maxDestinations = 10_000 // With fewer destinations the message IDs of two steps differ.
	a, published := newAgent(destinations, false), map[policy.DestinationID]bool{}
	for now := 3 * time.Second; now < 6*time.Second; now += 100 * time.Millisecond {
		firstID := policy.MessageID(now.Milliseconds()) * maxDestinations
		var events []policy.Event
		for destination := range policy.DestinationID(destinations) {
			events = append(events, policy.Event{
				Kind:        policy.MessageAccepted,
				MessageID:   firstID + policy.MessageID(destination),
				Destination: destination,
			})
		}
		for _, report := range a.Step(now, agent.Input{Events: events}).Published {
			for _, load := range report.Scopes {
				published[load.Destination] = true
			}
		}
	}
	return len(published)
}

// quotaAccounts returns the number of accounts in a member's quota ledger, if the given number of destinations has a
// limit.
func quotaAccounts(destinations int) int { return len(newAgent(destinations, true).Quota().Accounts) }
