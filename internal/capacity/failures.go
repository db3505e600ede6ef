package capacity

import "fmt"

// Failure is what the loss of a part costs.
type Failure struct {
	Name     string
	Away     float64 // relays that do not serve, or are cut off
	Load     float64 // events a second of each other relay, the same in all
	Cores    float64 // of each other relay
	Beyond   float64 // messages out of reach until the machines are back
	Held     float64 // messages that each relay concerned holds more, at the end
	Disk     float64 // bytes of these
	Lists    float64 // bytes of the lists that come anew
	Ready    float64 // seconds from a start to ready, with the backlog
	Promises string
}

// Failures are those that the target names.
func Failures(t Target, r Run) []Failure {
	b := book{t, r}
	whole, _ := b.at(ListWhole, t.Destinations)
	disk, _ := b.at(JournalDisk, t.HeldByRelay())
	ready, _ := b.at(RelayRecovery, t.HeldByRelay())
	gone := func(name string, n float64, promises string) Failure {
		load := t.PerRelay() * t.Relays / (t.Relays - n)
		cores, _ := b.at(RelayLoad, load)
		return Failure{
			Name:     name,
			Away:     n,
			Load:     load,
			Cores:    cores,
			Beyond:   n * t.HeldByRelay(),
			Lists:    n * whole,
			Ready:    ready,
			Promises: promises,
		}
	}
	const waits = "what they had taken on waits on their disks, past its time if they stay away; nothing is repeated; a disk that is lost loses it, as nothing else holds it"
	zone := gone(
		"a zone, every other month",
		t.InZone(),
		waits+". A keyed message that may have run is repeated in its own zone alone: these wait for the zone",
	)
	away := t.PerRelay() * (t.Regions - 1) / t.Regions * 3600
	region := Failure{
		Name: "a region cut off for an hour", Away: t.InRegion(), Load: t.PerRelay(), Held: away, Disk: disk / t.HeldByRelay() * away, Ready: ready,
		Promises: fmt.Sprintf(
			"each of its relays holds the %s of its events that go to other regions (destinations taken as spread evenly), the others hold %s each; messages whose time is under an hour end as undeliverable or deferred",
			Format(away, Count),
			Format(t.PerRelay()/t.Regions*3600, Count),
		),
	}
	region.Cores, _ = b.at(RelayLoad, t.PerRelay())
	restarts := Failure{
		Name: fmt.Sprintf(
			"%s restarts a day",
			exact(t.RestartedADay),
		), Away: t.RestartedADay * ready / day, Load: t.PerRelay(), Lists: t.RestartedADay * whole, Ready: ready,
		Promises: "none is broken: calls out may finish or count as may-have-run, and what waits is taken up again when the relay is ready; until then it is late by that much",
	}
	restarts.Cores, _ = b.at(RelayLoad, t.PerRelay())
	return []Failure{
		gone(fmt.Sprintf("one machine, %s a day", exact(t.FailedADay)), 1, waits),
		gone(fmt.Sprintf("a rack or switch (%s relays), every month or two", exact(t.Rack)), t.Rack, waits),
		zone, region, restarts,
	}
}
