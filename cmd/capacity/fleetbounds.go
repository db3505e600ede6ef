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

// measureFleet measures the bounds of what relays share, and what that costs.
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

// measureBound tries sizes. handled returns how much of a size is handled: a size fails if that is not all of it.
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

// membersAccepted returns the size of a member table if the operator's file may have it, or 0.
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

// newAgent returns the agent of one of eight members, after an endpoint snapshot.
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

// destinationsPublished returns of how many destinations a member publishes load. It has ten messages a second to each.
func destinationsPublished(destinations int) int {
	const maxDestinations = 10_000 // for message IDs that differ
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

// quotaAccounts returns of how many destinations with a limit a member's quota ledger has an account.
func quotaAccounts(destinations int) int { return len(newAgent(destinations, true).Quota().Accounts) }
