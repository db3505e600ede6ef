package policy_test

import (
	"fmt"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// A relay accepts one message for destination 7. The first endpoint rejects it as overloaded, so the relay sends it
// to the second one.
func Example() {
	engine, err := policy.New(policy.Settings{
		Classes: []policy.Class{
			{Effect: policy.Idempotent, LatencyObjective: 2 * time.Second, Deadline: 20 * time.Second},
		},
		DestinationKinds: []policy.DestinationKind{{LimitPerEndpoint: true, MaxBatch: 1}},
	}, 1)
	if err != nil {
		panic(err)
	}
	show := func(actions []policy.Action) {
		for _, a := range actions {
			if a.Kind == policy.Send {
				fmt.Println("send message", a.MessageID, "to", a.Endpoint)
			}
		}
	}
	show(engine.Step(time.Second, []policy.Event{
		{Kind: policy.EndpointSnapshot, Endpoints: []policy.Endpoint{
			{ID: "b", Destination: 7, InService: true},
			{ID: "a", Destination: 7, InService: true},
		}},
		{Kind: policy.MessageAccepted, MessageID: 1, Destination: 7, TimeLeft: 20 * time.Second},
	}))
	show(engine.Step(2*time.Second, []policy.Event{
		{Kind: policy.AttemptFinished, MessageID: 1, Endpoint: "a", Outcome: policy.Overloaded, Latency: time.Second},
	}))
	// Output:
	// send message 1 to a
	// send message 1 to b
}
