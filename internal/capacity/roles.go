package capacity

import (
	"fmt"
	"math"
	"strings"
)

// Names of the series that the figures are worked out from. A total stands over its size, a cost of one over the size
// at which it was had.
const (
	ModuleMessage = "module.message" // seconds of a processor for a message, over the destinations told
	ModuleBacklog = "module.backlog" // the same, over the messages held
	ModuleHeld    = "module.held"    // bytes of all messages held
	ModuleTold    = "module.told"    // bytes of all destinations told
	ModuleList    = "module.list"    // seconds of a processor for a whole list that changes nothing
	ModuleChange  = "module.change"  // seconds of a processor for a change of one endpoint, over the destinations told

	JournalDisk    = "journal.disk"    // bytes of all messages
	JournalLive    = "journal.live"    // bytes of memory for all messages, bodies on disk
	JournalMessage = "journal.message" // seconds of a processor for an accept and an end, over the messages live
	JournalOpen    = "journal.open"    // seconds to recover all messages
	JournalSync    = "journal.sync"    // seconds to a commit that outlasts the machine, over the messages in it

	ListWhole = "list.whole" // bytes of a whole list on the wire, over destinations

	// highest resident bytes of a relay process that was handed its list, over destinations
	RelayMemory    = "relay.memory"
	RelayReady     = "relay.ready"     // seconds until it is ready
	RelayStart     = "relay.start"     // seconds of a processor until it is ready
	RelayDiscovery = "relay.discovery" // seconds until a relay that must ask discovery is ready
	RelayRest      = "relay.rest"      // cores at rest, over destinations
	RelayChange    = "relay.change"    // seconds of a processor for a change of one endpoint told by discovery
	RelayForce     = "relay.force"     // seconds from a change's telling until messages go by it, over destinations
	RelayFresh     = "relay.fresh"     // as RelayLoad, nearly each call on a connection of its own
	RelayLoad      = "relay.load"      // cores, over messages a second taken and delivered
	RelayBacklog   = "relay.backlog"   // highest resident bytes with so many messages found in the journal
	RelayRecovery  = "relay.recovery"  // seconds until ready with so many messages found in the journal

	FleetBytes    = "fleet.bytes"    // bytes a second that a member sends, over members
	FleetCores    = "fleet.cores"    // of a member
	FleetMemory   = "fleet.memory"   // bytes of a member
	FleetRest     = "fleet.rest"     // the same with nothing to tell
	FleetMessages = "fleet.messages" // datagrams a second that a member sends
	FleetKnown    = "fleet.known"    // seconds until all members know what one has told
	FleetLending  = "fleet.lending"  // bytes a second that a member sends to lend 1,000 limits
	FleetJoin     = "fleet.join"     // names of a table of members that a relay starts with
	FleetPages    = "fleet.pages"    // destinations that a member tells of, of so many with traffic
	FleetRights   = "fleet.rights"   // destinations whose limit is lent, of so many listed
)

// The packages that carry what is figured.
const (
	byModule  = "`policy`"
	byLoop    = "`internal/relay`, `policy`, `internal/state/journal`"
	byJournal = "`internal/state/journal`, `internal/state/store`"
	byList    = "`internal/relay`"
	byFleet   = "`internal/fleet/membership`, `ledger`, `codec`"
	byRights  = "`internal/fleet/quota`"
	byHerd    = "`internal/relay/discovery/backoff`"
)

const (
	control   = "control"
	coreOfAll = "one core"
	restart   = "restart"
)

// Roles are the parts of the fleet with what the target asks of each, by the readings of a run.
func Roles(t Target, r Run) []Role {
	b := book{t, r}
	return []Role{b.relay(), b.control(), b.machine(), b.agent(), b.heir()}
}

// told is how many destinations a relay's module is told of.
func (b book) told() (float64, string) {
	if b.run.AtRest {
		return b.Awake(), fmt.Sprintf("awake: traffic within %s or down", Format(b.Rest, Seconds))
	}
	return b.Destinations, "all are told"
}

func (b book) relay() Role {
	told, why := b.told()
	load, loadHow := b.at(RelayLoad, b.PerRelay())
	fresh, freshHow := b.at(RelayFresh, b.PerRelay())
	module, moduleHow := b.at(ModuleMessage, told)
	backlog, backlogHow := b.at(ModuleBacklog, b.HeldByRelay())
	memory, memoryHow := b.at(RelayBacklog, b.HeldByRelay())
	disk, diskHow := b.at(JournalDisk, b.HeldByRelay())
	recovery, recoveryHow := b.at(RelayRecovery, b.HeldByRelay())
	sync, syncHow := b.at(JournalSync, 1)
	return Role{"A relay: deciding and sending", []Figure{
		{
			What:      "state: messages held",
			Value:     b.HeldByRelay(),
			How:       fmt.Sprintf("%s of all relays", exact(b.Backlog)),
			Mechanism: byJournal,
		},
		{What: "state: destinations that the module knows", Value: told, How: why, Mechanism: byModule},
		{
			What:      "messages in",
			Value:     b.PerRelay(),
			Unit:      Rate,
			How:       fmt.Sprintf("%s a second of all", exact(b.Events)),
			Mechanism: byLoop,
		},
		{
			What:      "calls out",
			Value:     b.PerRelay() * (1 - b.Down),
			Unit:      Rate,
			How:       fmt.Sprintf("one for each message but the %.1f %% whose destination is down", 100*b.Down),
			Mechanism: byLoop,
		},
		{
			What:      "processor, connections used again",
			Value:     load,
			Unit:      Cores,
			How:       loadHow,
			Budget:    b.Cores,
			Allowed:   coreOfAll,
			Mechanism: byLoop,
		},
		{
			What:      "processor, a connection for each call",
			Value:     fresh,
			Unit:      Cores,
			How:       freshHow,
			Budget:    b.Cores,
			Allowed:   coreOfAll,
			Mechanism: byLoop,
		},
		{
			What:      "processor, the module alone",
			Value:     module * b.PerRelay(),
			Unit:      Cores,
			How:       moduleHow + ", for each message",
			Budget:    b.Cores,
			Allowed:   coreOfAll,
			Mechanism: byModule,
		},
		{
			What:      "processor, the module beside the backlog",
			Value:     backlog * b.PerRelay(),
			Unit:      Cores,
			How:       backlogHow + ", for each message",
			Budget:    b.Cores,
			Allowed:   coreOfAll,
			Mechanism: byModule,
		},
		{
			What:      "memory with the backlog",
			Value:     memory,
			Unit:      Bytes,
			How:       memoryHow + "; `limits.memory_mb` has to allow it",
			Mechanism: byLoop,
		},
		{
			What:      "disk with the backlog",
			Value:     disk,
			Unit:      Bytes,
			How:       diskHow + "; `limits.disk_mb` has to allow it, and as much again for what is not yet compacted",
			Mechanism: byJournal,
		},
		{
			What:      "ready after a restart with the backlog",
			Value:     recovery,
			Unit:      Seconds,
			How:       recoveryHow,
			Budget:    b.ReadyIn,
			Allowed:   restart,
			Mechanism: byLoop,
		},
		{
			What:      "a commit that outlasts the machine, if `journal.sync` asks for it",
			Value:     sync,
			Unit:      Seconds,
			How:       syncHow,
			Mechanism: byJournal,
		},
	}}
}

// entry is the bytes on the wire of a change to one endpoint.
func (b book) entry() (float64, string) {
	_, l, err := b.line(ListWhole)
	if err != nil {
		return math.NaN(), fmt.Sprintf("`%s`: %v", ListWhole, err)
	}
	return l.Slope / b.Endpoints, fmt.Sprintf("%s an endpoint by `%s`", Format(l.Slope/b.Endpoints, Bytes), ListWhole)
}

func (b book) control() Role {
	base, _ := b.at(RelayMemory, 0)
	memory, memoryHow := b.at(RelayMemory, b.Destinations)
	ready, readyHow := b.at(RelayReady, b.Destinations)
	change, changeHow := b.at(RelayChange, b.Destinations)
	force, forceHow := b.at(RelayForce, b.Destinations)
	whole, wholeHow := b.at(ListWhole, b.Destinations)
	entry, entryHow := b.entry()
	rest, restHow := b.at(FleetRest, b.Relays)
	messages, messagesHow := b.at(FleetMessages, b.Relays)
	known, knownHow := b.at(FleetKnown, b.Relays)
	lending, lendingHow := b.at(FleetLending, b.Relays)
	bytes, bytesHow := b.at(FleetBytes, b.Relays)
	cores, coresHow := b.at(FleetCores, b.Relays)
	fleetMemory, fleetMemoryHow := b.at(FleetMemory, b.Relays)
	discovery := b.stops(Figure{
		What: "list: destinations with which it becomes ready by discovery", Value: b.Destinations, Mechanism: byList,
		Stops: "it never becomes ready",
	}, RelayDiscovery)
	join := b.stops(
		Figure{
			What:      "membership: relays that hear of each other",
			Value:     b.Relays,
			Mechanism: byFleet,
			Stops:     "it does not start with the table",
		},
		FleetJoin,
	)
	awake := b.Awake()
	pages := b.stops(
		Figure{
			What:      "what is shared: destinations told of at once",
			Value:     awake,
			Mechanism: byFleet,
			Stops:     "of the others it tells nothing",
		},
		FleetPages,
	)
	rights := b.stops(
		Figure{
			What:      "rights: limits lent",
			Value:     b.Destinations,
			Mechanism: byRights,
			Stops:     "the others go by their even parts",
		},
		FleetRights,
	)
	cpu := b.Changes * change / day
	none, _ := b.at(RelayRest, 0)
	rested, restedHow := b.at(RelayRest, b.Destinations)
	return Role{"A relay: its control", []Figure{
		b.together("all: processor", Cores, b.ControlCores, []float64{cpu + rested - none, cores}),
		b.together("all: memory", Bytes, b.ControlMemory, []float64{memory - base, fleetMemory}),
		b.together(
			"all: bytes",
			ByteRate,
			b.ControlBytes,
			[]float64{b.Changes*entry/day + whole*b.RestartedADay/b.Relays/day, bytes},
		),
		{
			What:      "messages in: changes, and an empty line every 2 s",
			Value:     b.Changes/day + 0.5,
			Unit:      Rate,
			How:       fmt.Sprintf("%s changes a day", exact(b.Changes)),
			Mechanism: byList,
		},
		discovery,
		{
			What:      "list: ready when handed over",
			Value:     ready,
			Unit:      Seconds,
			How:       readyHow,
			Budget:    b.ReadyIn,
			Allowed:   restart,
			Mechanism: byList,
		},
		{
			What: "list: memory", Value: memory - base, Unit: Bytes, How: memoryHow + fmt.Sprintf(", less %s of a relay with no list", Format(base, Bytes)),
			Budget: b.ControlMemory, Allowed: control, Mechanism: byList,
		},
		{
			What: "list: bytes in by changes", Value: b.Changes * entry / day, Unit: ByteRate, How: fmt.Sprintf("%s changes a day, %s", exact(b.Changes), entryHow),
			Budget: b.ControlBytes, Allowed: control, Mechanism: byList,
		},
		{
			What: "list: bytes in by whole lists after restarts", Value: whole * b.RestartedADay / b.Relays / day, Unit: ByteRate,
			How: wholeHow + fmt.Sprintf(
				", %s restarts a day of all",
				exact(b.RestartedADay),
			), Budget: b.ControlBytes, Allowed: control, Mechanism: byList,
		},
		{
			What: "list: one whole list", Value: whole / b.ControlBytes, Unit: Seconds, How: fmt.Sprintf("%s at %s", Format(whole, Bytes), Format(b.ControlBytes, ByteRate)),
			Mechanism: byList,
		},
		{
			What:      "list: a change in force at a relay",
			Value:     force,
			Unit:      Seconds,
			How:       forceHow,
			Budget:    b.InForce,
			Allowed:   "everywhere",
			Mechanism: byList,
		},
		{
			What:      "list: processor with no change",
			Value:     rested - none,
			Unit:      Cores,
			How:       restedHow + fmt.Sprintf(", less %s of a relay with no list", Format(none, Cores)),
			Budget:    b.ControlCores,
			Allowed:   control,
			Mechanism: byList,
		},
		{
			What:      "list: processor for changes",
			Value:     cpu,
			Unit:      Cores,
			How:       changeHow + ", for each change",
			Budget:    b.ControlCores,
			Allowed:   control,
			Mechanism: byList,
		},
		{
			What: "list: the same, all changes of a day in one hour", Value: 24 * b.Changes * change / day, Unit: Cores, How: "24 times as many a second",
			Budget: b.ControlCores, Allowed: control, Mechanism: byList,
		},
		{
			What:    "settings: in force everywhere",
			Value:   math.NaN(),
			Unit:    Seconds,
			How:     "a relay reads its own file at SIGHUP; nothing takes a change to all of them",
			Budget:  b.InForce,
			Allowed: control,
		},
		join,
		{
			What:      "membership and what is shared: messages out",
			Value:     messages,
			Unit:      Rate,
			How:       messagesHow,
			Mechanism: byFleet,
		},
		{
			What:      "membership alone: bytes out",
			Value:     rest,
			Unit:      ByteRate,
			How:       restHow,
			Budget:    b.ControlBytes,
			Allowed:   control,
			Mechanism: byFleet,
		},
		{
			What:      "membership and what is shared: bytes out",
			Value:     bytes,
			Unit:      ByteRate,
			How:       bytesHow,
			Budget:    b.ControlBytes,
			Allowed:   control,
			Mechanism: byFleet,
		},
		{
			What:      "membership and what is shared: processor",
			Value:     cores,
			Unit:      Cores,
			How:       coresHow,
			Budget:    b.ControlCores,
			Allowed:   control,
			Mechanism: byFleet,
		},
		{
			What:      "membership and what is shared: memory",
			Value:     fleetMemory,
			Unit:      Bytes,
			How:       fleetMemoryHow,
			Budget:    b.ControlMemory,
			Allowed:   control,
			Mechanism: byFleet,
		},
		{
			What:      "what is shared: a change known to all",
			Value:     known,
			Unit:      Seconds,
			How:       knownHow,
			Budget:    b.InForce,
			Allowed:   "everywhere",
			Mechanism: byFleet,
		},
		pages,
		rights,
		{
			What:      "rights: bytes out for 1,000 limits",
			Value:     lending,
			Unit:      ByteRate,
			How:       lendingHow,
			Budget:    b.ControlBytes,
			Allowed:   control,
			Mechanism: byRights,
		},
		{
			What:      "disk",
			Value:     0,
			Unit:      Bytes,
			How:       "the list is handed over by the platform; the journal keeps hosts' standing, and a number for the fleet's life",
			Mechanism: byList,
		},
	}}
}

// together is what the list and the fleet take of one budget. What is not known of either is left out, and the sum is
// one only where it is over without.
func (b book) together(what string, u Unit, budget float64, parts []float64) Figure {
	f := Figure{What: what, Unit: u, Budget: budget, Allowed: control, Mechanism: byList + ", " + byFleet}
	names, known := []string{"the list", "membership and what is shared with two busy pages"}, []string{}
	for i, v := range parts {
		if !math.IsNaN(v) {
			f.Value += v
			known = append(known, names[i]+" "+Format(v, u))
		}
	}
	f.How = strings.Join(known, ", ")
	if len(known) < len(parts) {
		f.How += "; the rest is not measured"
		if f.Value <= budget {
			f.Value = math.NaN()
		}
	}
	return f
}

// stops makes the budget of f the largest size at which a series came to an end below one that did not.
func (b book) stops(f Figure, name string) Figure {
	s, ok := b.run.series(name)
	if !ok {
		f.Value, f.How = math.NaN(), fmt.Sprintf("`%s`: not measured", name)
		return f
	}
	last, first, stopped := s.stopped()
	if !stopped {
		most := s.Points[len(s.Points)-1].N
		f.How = fmt.Sprintf("`%s`: none of the sizes measured was too large, up to %s", name, exact(most))
		if most < f.Value {
			f.Value = math.NaN()
		}
		return f
	}
	f.Budget, f.Allowed = last, "as measured"
	f.How = fmt.Sprintf("`%s`: %s did, %s did not", name, exact(last), exact(first))
	return f
}

func (b book) machine() Role {
	whole, wholeHow := b.at(ListWhole, b.Destinations)
	entry, entryHow := b.entry()
	served := b.Relays / b.ControlMachines
	return Role{fmt.Sprintf("A control machine, of %s", exact(b.ControlMachines)), []Figure{
		{What: "state: the list", Value: whole, Unit: Bytes, How: wholeHow},
		{
			What:  "relays that it would serve",
			Value: served,
			How:   fmt.Sprintf("%s of %s", exact(b.Relays), exact(b.ControlMachines)),
		},
		{What: "messages out: changes", Value: served * b.Changes / day, Unit: Rate, How: "each change to each relay"},
		{What: "bytes out: changes", Value: served * b.Changes * entry / day, Unit: ByteRate, How: entryHow},
		{
			What:  "bytes out: whole lists after restarts",
			Value: whole * b.RestartedADay / b.ControlMachines / day,
			Unit:  ByteRate,
			How:   wholeHow,
		},
		{What: "bytes out: all its relays ask at once", Value: served * whole, Unit: Bytes, How: wholeHow},
		{What: "processor, memory, disk", Value: math.NaN(), How: "no program of ours runs there"},
	}}
}

func (b book) agent() Role {
	whole, wholeHow := b.at(ListWhole, b.Destinations)
	entry, entryHow := b.entry()
	return Role{"Discovery's agent (the platform's; one beside each relay)", []Figure{
		{What: "state: the list", Value: whole, Unit: Bytes, How: wholeHow, Mechanism: "the platform's"},
		{
			What:      "messages out",
			Value:     b.Changes/day + 0.5,
			Unit:      Rate,
			How:       "changes, and an empty line every 2 s",
			Mechanism: byList,
		},
		{
			What:      "bytes for one change, to all relays",
			Value:     entry * b.Relays,
			Unit:      Bytes,
			How:       entryHow,
			Mechanism: byList,
		},
		{
			What:      "bytes for a day's changes, to all relays",
			Value:     entry * b.Relays * b.Changes,
			Unit:      Bytes,
			How:       entryHow,
			Mechanism: byList,
		},
		{
			What:      "bytes for a whole list, to all relays",
			Value:     whole * b.Relays,
			Unit:      Bytes,
			How:       wholeHow,
			Mechanism: byList,
		},
		{
			What:      "calls for the list after restarts, where lists are asked for",
			Value:     b.RestartedADay / day,
			Unit:      Rate,
			How:       "one for each restart",
			Mechanism: byHerd,
		},
		{What: "processor, memory", Value: math.NaN(), How: "not ours", Mechanism: "the platform's"},
	}}
}

func (b book) heir() Role {
	disk, diskHow := b.at(JournalDisk, b.HeldByRelay())
	return Role{"Whoever takes over lost work", []Figure{
		{
			What:  "state: the backlog of a machine that is gone",
			Value: b.HeldByRelay(),
			How:   "a relay's journal lies on its own disk alone",
		},
		{What: "bytes of it", Value: disk, Unit: Bytes, How: diskHow},
		{
			What:  "messages a second to keep a second copy, of each relay",
			Value: 2 * b.PerRelay(),
			Unit:  Rate,
			How:   "each accept and each end",
		},
		{
			What:  "bytes a second to keep a second copy, of each relay",
			Value: disk / b.HeldByRelay() * b.PerRelay(),
			Unit:  ByteRate,
			How:   "each accept, with its body",
		},
		{
			What:  "backlogs to take over",
			Value: b.FailedADay,
			Unit:  CountADay,
			How:   "machines that fail on an ordinary day",
		},
		{What: "processor, memory", Value: math.NaN(), How: "nothing takes over"},
	}}
}
