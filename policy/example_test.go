package policy_test

import (
	"fmt"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// A relay takes one message for destination 7, whose first route answers that it is full.
func Example() {
	sender, err := policy.New(policy.Settings{
		Classes: []policy.Class{{Effect: policy.Safe, Aim: 2 * time.Second, GiveUp: 20 * time.Second}},
		Kinds:   []policy.Kind{{Separate: true, PerCall: 1}},
	}, 1)
	if err != nil {
		panic(err)
	}
	show := func(actions []policy.Action) {
		for _, a := range actions {
			if a.Kind == policy.Send {
				fmt.Println("send message", a.ID, "to", a.Route)
			}
		}
	}
	show(sender.Step(time.Second, []policy.Event{
		{Kind: policy.ListWhole, List: []policy.Listing{
			{Route: "b", Destination: 7, InService: true},
			{Route: "a", Destination: 7, InService: true},
		}},
		{Kind: policy.Taken, ID: 1, Destination: 7, Left: 20 * time.Second},
	}))
	show(sender.Step(2*time.Second, []policy.Event{
		{Kind: policy.Finished, ID: 1, Route: "a", Outcome: policy.Full, Took: time.Second},
	}))
	// Output:
	// send message 1 to a
	// send message 1 to b
}
