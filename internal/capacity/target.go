// Package capacity works out what a fleet of a size to design for asks of each of its parts: from slopes that were
// measured at three sizes or more, by arithmetic that a test holds, into the tables of docs/CAPACITY.md. It is pure:
// what is measured comes as Data.
package capacity

// Target is the size to design for, and what may be spent on it. Rates are by the second, times in seconds, amounts in
// bytes.
type Target struct {
	Relays       float64
	Events       float64 // a second, that all relays take
	Destinations float64
	Down         float64 // share of the destinations that are down at any time
	Backlog      float64 // messages, of all relays
	Regions      float64
	Zones        float64
	Changes      float64 // of configuration, a day
	InForce      float64 // everywhere within this

	ControlCores    float64 // of a relay, for its control
	ControlMemory   float64
	ControlBytes    float64 // a second
	ControlMachines float64

	FailedADay    float64 // machines
	RestartedADay float64 // relays

	// What the operators' page does not tell, and is taken here.
	Endpoints float64 // of a destination
	Body      float64 // of a message
	Rest      float64 // a destination without traffic is awake for so long: the default of warm_within_ms
	Rack      float64 // relays behind one switch
	Cores     float64 // of a relay, for all that it does
	ReadyIn   float64 // a restarted relay
}

// Design is the operators' target.
func Design() Target {
	return Target{
		Relays: 2600, Events: 1.2e6, Destinations: 140_000, Down: 0.016, Backlog: 5.2e9, Regions: 8, Zones: 19, Changes: 12_000, InForce: 3,
		ControlCores: 0.042, ControlMemory: 128e6, ControlBytes: 13e3, ControlMachines: 14, FailedADay: 12, RestartedADay: 390,
		Endpoints: 2, Body: 1000, Rest: 30, Rack: 24, Cores: 1, ReadyIn: 10,
	}
}

const day = 86_400 // seconds

// PerRelay is what a relay takes, events a second.
func (t Target) PerRelay() float64 { return t.Events / t.Relays }

// PerDestination is what a destination is sent by all, events a second.
func (t Target) PerDestination() float64 { return t.Events / t.Destinations }

// Between is how long a relay waits for its next event to one destination, in seconds.
func (t Target) Between() float64 { return t.Relays / t.PerDestination() }

// HeldByRelay is a relay's backlog, messages.
func (t Target) HeldByRelay() float64 { return t.Backlog / t.Relays }

// InZone is the relays of a zone.
func (t Target) InZone() float64 { return t.Relays / t.Zones }

// InRegion is the relays of a region.
func (t Target) InRegion() float64 { return t.Relays / t.Regions }

// Awake is how many destinations a relay has had an event to within Rest, with those that are down.
func (t Target) Awake() float64 {
	busy := 1 - exp(-t.Rest/t.Between())
	return t.Destinations * (t.Down + (1-t.Down)*busy)
}
