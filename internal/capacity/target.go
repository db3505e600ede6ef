// Package capacity estimates what a fleet of the design target needs. It fits models to costs that were measured at
// three sizes or more, extrapolates them to the target, compares the results with budgets and generates the tables of
// docs/CAPACITY.md. It does no I/O: callers pass the measurements as Data.
package capacity

import "math"

const secondsPerDay = 86_400

// heartbeatRate is the number of empty lines per second that discovery sends on a watch.
const heartbeatRate = 0.5

// Target describes the fleet to design for and its budgets. Rates are per second and times are in seconds, unless a
// field states another unit.
type Target struct {
	Relays               float64
	MessageRate          float64 // of all relays together
	Destinations         float64
	UnavailableFraction  float64 // fraction of the destinations that is unavailable at any time
	Backlog              float64 // messages queued in all relays together
	Regions              float64
	Zones                float64 // in all regions together
	ChangesPerDay        float64 // of the endpoint list
	MaxPropagationTime   float64 // until a change reaches all relays
	ControlPlane         ResourceBudget
	ControlMachines      float64 // machines that would serve the endpoint list to the relays
	MachineFailures      float64 // per day
	Restarts             float64 // of relays, per day
	DestinationEndpoints float64 // endpoints of one destination
	IdleTimeout          float64 // how long a destination is active after its last message; default of warm_within_ms
	RackRelays           float64 // relays behind one switch
	RelayCores           float64 // cores that one relay may use
	MaxStartupTime       float64 // until a restarted relay is ready
}

// ResourceBudget is what the control plane of one relay may use.
type ResourceBudget struct {
	Cores    float64
	Memory   float64 // bytes
	ByteRate float64 // bytes per second
}

// Design returns the operators' target. The operators do not specify DestinationEndpoints, IdleTimeout, RackRelays,
// RelayCores and MaxStartupTime: their values are assumptions.
func Design() Target {
	return Target{
		Relays:               2600,
		MessageRate:          1.2e6,
		Destinations:         140_000,
		UnavailableFraction:  0.016,
		Backlog:              5.2e9,
		Regions:              8,
		Zones:                19,
		ChangesPerDay:        12_000,
		MaxPropagationTime:   3,
		ControlPlane:         ResourceBudget{Cores: 0.042, Memory: 128e6, ByteRate: 13e3},
		ControlMachines:      14,
		MachineFailures:      12,
		Restarts:             390,
		DestinationEndpoints: 2,
		IdleTimeout:          30,
		RackRelays:           24,
		RelayCores:           1,
		MaxStartupTime:       10,
	}
}

// RelayMessageRate is the message rate of one relay.
func (t Target) RelayMessageRate() float64 { return t.MessageRate / t.Relays }

// DestinationMessageRate is the message rate to one destination, of all relays together.
func (t Target) DestinationMessageRate() float64 { return t.MessageRate / t.Destinations }

// MessageInterval is the mean time between two messages of one relay to one destination.
func (t Target) MessageInterval() float64 { return t.Relays / t.DestinationMessageRate() }

// RelayBacklog is the number of messages queued in one relay.
func (t Target) RelayBacklog() float64 { return t.Backlog / t.Relays }

// ZoneRelays is the number of relays in one zone.
func (t Target) ZoneRelays() float64 { return t.Relays / t.Zones }

// RegionRelays is the number of relays in one region.
func (t Target) RegionRelays() float64 { return t.Relays / t.Regions }

// ActiveDestinations is the expected number of destinations that are active at one relay: those that are unavailable,
// and those that the relay had a message for within IdleTimeout. Messages are assumed to arrive at random times.
func (t Target) ActiveDestinations() float64 {
	recentlyUsed := 1 - math.Exp(-t.IdleTimeout/t.MessageInterval())
	return t.Destinations * (t.UnavailableFraction + (1-t.UnavailableFraction)*recentlyUsed)
}
