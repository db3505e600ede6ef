package capacity

import "fmt"

const secondsPerHour = 3600

// Outage describes the effects of losing a part of the fleet.
type Outage struct {
	Name                string
	LostRelays          float64 // relays that do not serve or are cut off
	MessageRate         float64 // of each remaining relay
	Cores               float64 // used by each remaining relay
	UnreachableMessages float64 // queued in the lost relays, undelivered until their machines are back
	QueuedMessages      float64 // additional messages in each relay that is cut off, at the end of the outage
	QueuedBytes         float64 // of QueuedMessages, on disk
	SnapshotBytes       float64 // of the endpoint snapshots that are sent again
	StartupTime         float64 // seconds until a relay with its backlog is ready
	Guarantees          string  // effect on the guarantees to clients
}

const journalOnOneDisk = "messages that the lost relays accepted wait on their disks, past their deadlines if the " +
	"relays stay away that long; nothing is repeated; messages on a lost disk are lost, as there is no other copy"

// Outages returns the outages that the target includes.
func Outages(t Target, r Run) []Outage {
	e := estimator{t, r}
	machine := e.lostRelays(1)
	machine.Name = fmt.Sprintf("one machine, %s per day", formatInteger(t.MachineFailures))
	rack := e.lostRelays(t.RackRelays)
	rack.Name = fmt.Sprintf("a rack or switch (%s relays), every month or two", formatInteger(t.RackRelays))
	zone := e.lostRelays(t.ZoneRelays())
	zone.Name = "a zone, every two months"
	zone.Guarantees += ". A keyed message that may have run is repeated only in its own zone, so it waits for the zone"
	return []Outage{machine, rack, zone, e.isolatedRegion(), e.dailyRestarts()}
}

// lostRelays returns the outage in which some relays are lost and the others take over their load.
func (e estimator) lostRelays(lost float64) Outage {
	rate := e.RelayMessageRate() * e.Relays / (e.Relays - lost)
	return Outage{
		LostRelays:          lost,
		MessageRate:         rate,
		Cores:               e.cost(RelayCores, rate).value,
		UnreachableMessages: lost * e.RelayBacklog(),
		SnapshotBytes:       lost * e.cost(SnapshotBytes, e.Destinations).value,
		StartupTime:         e.cost(RelayRecoveryTime, e.RelayBacklog()).value,
		Guarantees:          journalOnOneDisk,
	}
}

// isolatedRegion returns the outage in which a region is cut off from the others for an hour.
func (e estimator) isolatedRegion() Outage {
	rate := e.RelayMessageRate()
	// Destinations are assumed to be spread evenly over the regions.
	toOtherRegions := rate * (e.Regions - 1) / e.Regions * secondsPerHour
	toThisRegion := rate / e.Regions * secondsPerHour
	diskPerMessage := e.cost(JournalDisk, e.RelayBacklog()).value / e.RelayBacklog()
	return Outage{
		Name:           "a region cut off for an hour",
		LostRelays:     e.RegionRelays(),
		MessageRate:    rate,
		Cores:          e.cost(RelayCores, rate).value,
		QueuedMessages: toOtherRegions,
		QueuedBytes:    diskPerMessage * toOtherRegions,
		StartupTime:    e.cost(RelayRecoveryTime, e.RelayBacklog()).value,
		Guarantees: fmt.Sprintf("each relay of the region queues its %s messages to other regions "+
			"(destinations are assumed to be spread evenly), and each other relay queues %s to it; "+
			"messages with a deadline of less than an hour end as undeliverable or deferred",
			Format(toOtherRegions, Count), Format(toThisRegion, Count)),
	}
}

// dailyRestarts returns the effects of all restarts of a day. LostRelays is the mean number of relays that are not yet
// ready.
func (e estimator) dailyRestarts() Outage {
	startup := e.cost(RelayRecoveryTime, e.RelayBacklog()).value
	return Outage{
		Name:          fmt.Sprintf("%s restarts per day", formatInteger(e.Restarts)),
		LostRelays:    e.Restarts * startup / secondsPerDay,
		MessageRate:   e.RelayMessageRate(),
		Cores:         e.cost(RelayCores, e.RelayMessageRate()).value,
		SnapshotBytes: e.Restarts * e.cost(SnapshotBytes, e.Destinations).value,
		StartupTime:   startup,
		Guarantees: "all hold: calls in progress may finish or count as may-have-run, " +
			"and queued messages continue when the relay is ready; they are delayed by the time to ready",
	}
}
