package main

import (
	"time"

	"onyxroad.dev/onyxroad/internal/scenario"
)

// scaleScenario is a world of plain shape whose parts are the same for any number of relays: destinations that take twice what is
// asked of them in the mean, a tenth of which fail together for ten seconds at half time.
func scaleScenario(relays, destinations int, rate float64, length time.Duration) scenario.File {
	d := func(x time.Duration) scenario.Duration { return scenario.Duration(x) }
	f := scenario.File{
		Name: "scale", Length: d(length), Relays: relays, Zones: []string{"north", "south"},
		Classes: []scenario.Class{
			{Name: "order", Share: 8, Effect: "keyed", Window: d(10 * time.Second), Aim: d(3 * time.Second), GiveUp: d(12 * time.Second), LateWorth: 0.4},
			{Name: "payment", Share: 1, Effect: "unsafe", Aim: d(3 * time.Second), GiveUp: d(10 * time.Second), LateWorth: 0.4},
			{Name: "status", Share: 1, Effect: "safe", Aim: d(4 * time.Second), GiveUp: d(10 * time.Second), LateWorth: 0.4},
		},
		Kinds: []scenario.Kind{{
			Name: "store", Pace: d(200 * time.Millisecond), Spread: 0.5, Slots: 8, Limit: "rate", TellsWait: 0.5, Wait: d(300 * time.Millisecond),
		}},
		Destinations: []scenario.Destination{{Kind: "store", Count: destinations, Rate: max(1, 2*rate/float64(destinations))}},
		Traffic:      []scenario.Traffic{{Rate: rate}},
		Troubles:     []scenario.Trouble{{Kind: scenario.Fail, At: d(length / 2), For: d(min(10*time.Second, length/4)), Share: 0.1}},
	}
	f.SetDefaults()
	return f
}
