package capacity

import (
	"fmt"
)

// The packages that implement the mechanisms of figures and bottlenecks, as the capacity page prints them.
const (
	engineMechanism   = "`policy`"
	loopMechanism     = "`internal/relay`, `policy`, `internal/state/journal`"
	journalMechanism  = "`internal/state/journal`, `internal/state/store`"
	listMechanism     = "`internal/relay`"
	fleetMechanism    = "`internal/fleet/membership`, `ledger`, `codec`"
	quotaMechanism    = "`internal/fleet/quota`"
	backoffMechanism  = "`internal/relay/discovery/backoff`"
	platformMechanism = "the platform's"
	noMechanism       = ""
)

// The names of the budgets, as the capacity page prints them.
const (
	controlPlaneBudget = "control"
	coreBudget         = "one core"
	startupBudget      = "restart"
	propagationBudget  = "everywhere"
	measuredBudget     = "as measured"
)

// Roles returns the parts of the fleet, each with the figures that follow from the target and a run.
func Roles(t Target, r Run) []Role {
	e := estimator{t, r}
	return []Role{
		e.relayRole(),
		e.controlPlaneRole(),
		e.controlMachineRole(),
		e.discoveryAgentRole(),
		e.takeoverRole(),
	}
}

// knownDestinations estimates how many destinations the engine of a relay has state for.
func (e estimator) knownDestinations() estimate {
	if e.run.ActiveOnly {
		return derived(e.ActiveDestinations(), "awake: traffic within %s or down", Format(e.IdleTimeout, Seconds))
	}
	return derived(e.Destinations, "all are told")
}

func (e estimator) relayRole() Role {
	return Role{"A relay: deciding and sending", append(e.relayLoadFigures(), e.relayBacklogFigures()...)}
}

func (e estimator) relayLoadFigures() []Figure {
	rate := e.RelayMessageRate()
	known := e.knownDestinations()
	reused := e.cost(RelayCores, rate)
	fresh := e.cost(RelayNewConnectionCores, rate)
	engine := e.cost(EngineMessageCPU, known.value)
	besideBacklog := e.cost(EngineBacklogCPU, e.RelayBacklog())
	cores := func(name string, value estimate, mechanism string) Figure {
		return value.figure(name, Cores, mechanism).withBudget(e.RelayCores, coreBudget)
	}
	perMessage := func(cpu estimate) estimate {
		return cpu.withValue(cpu.value * rate).explained(", for each message")
	}
	return []Figure{
		derived(e.RelayBacklog(), "%s of all relays", formatInteger(e.Backlog)).
			figure("state: messages held", Count, journalMechanism),
		known.figure("state: destinations that the module knows", Count, engineMechanism),
		derived(rate, "%s a second of all", formatInteger(e.MessageRate)).figure("messages in", Rate, loopMechanism),
		derived(rate*(1-e.UnavailableFraction), "one for each message but the %.1f %% whose destination is down",
			100*e.UnavailableFraction).figure("calls out", Rate, loopMechanism),
		cores("processor, connections used again", reused, loopMechanism),
		cores("processor, a connection for each call", fresh, loopMechanism),
		cores("processor, the module alone", perMessage(engine), engineMechanism),
		cores("processor, the module beside the backlog", perMessage(besideBacklog), engineMechanism),
	}
}

func (e estimator) relayBacklogFigures() []Figure {
	memory := e.cost(RelayBacklogMemory, e.RelayBacklog())
	disk := e.cost(JournalDisk, e.RelayBacklog())
	recovery := e.cost(RelayRecoveryTime, e.RelayBacklog())
	sync := e.cost(JournalSyncTime, 1)
	return []Figure{
		memory.explained("; `limits.memory_mb` has to allow it").
			figure("memory with the backlog", Bytes, loopMechanism),
		disk.explained("; `limits.disk_mb` has to allow it, and as much again for what is not yet compacted").
			figure("disk with the backlog", Bytes, journalMechanism),
		recovery.figure("ready after a restart with the backlog", Seconds, loopMechanism).
			withBudget(e.MaxStartupTime, startupBudget),
		sync.figure("a commit that outlasts the machine, if `journal.sync` asks for it", Seconds, journalMechanism),
	}
}

func (e estimator) controlMachineRole() Role {
	snapshot := e.cost(SnapshotBytes, e.Destinations)
	delta := e.deltaBytes()
	served := e.Relays / e.ControlMachines
	deltaRate := served * e.ChangesPerDay * delta.value / secondsPerDay
	snapshotRate := snapshot.value * e.Restarts / e.ControlMachines / secondsPerDay
	return Role{fmt.Sprintf("A control machine, of %s", formatInteger(e.ControlMachines)), []Figure{
		snapshot.figure("state: the list", Bytes, noMechanism),
		derived(served, "%s of %s", formatInteger(e.Relays), formatInteger(e.ControlMachines)).
			figure("relays that it would serve", Count, noMechanism),
		derived(served*e.ChangesPerDay/secondsPerDay, "each change to each relay").
			figure("messages out: changes", Rate, noMechanism),
		delta.withValue(deltaRate).figure("bytes out: changes", ByteRate, noMechanism),
		snapshot.withValue(snapshotRate).figure("bytes out: whole lists after restarts", ByteRate, noMechanism),
		snapshot.withValue(served*snapshot.value).figure("bytes out: all its relays ask at once", Bytes, noMechanism),
		unknown("no program of ours runs there").figure("processor, memory, disk", Count, noMechanism),
	}}
}

func (e estimator) discoveryAgentRole() Role {
	snapshot := e.cost(SnapshotBytes, e.Destinations)
	delta := e.deltaBytes()
	deltaToAll := delta.withValue(delta.value * e.Relays)
	dailyDeltas := delta.withValue(delta.value * e.Relays * e.ChangesPerDay)
	snapshotToAll := snapshot.withValue(snapshot.value * e.Relays)
	return Role{"Discovery's agent (the platform's; one beside each relay)", []Figure{
		snapshot.figure("state: the list", Bytes, platformMechanism),
		derived(e.watchMessageRate(), "changes, and an empty line every 2 s").
			figure("messages out", Rate, listMechanism),
		deltaToAll.figure("bytes for one change, to all relays", Bytes, listMechanism),
		dailyDeltas.figure("bytes for a day's changes, to all relays", Bytes, listMechanism),
		snapshotToAll.figure("bytes for a whole list, to all relays", Bytes, listMechanism),
		derived(e.Restarts/secondsPerDay, "one for each restart").
			figure("calls for the list after restarts, where lists are asked for", Rate, backoffMechanism),
		unknown("not ours").figure("processor, memory", Count, platformMechanism),
	}}
}

// watchMessageRate returns the messages per second on one watch of the endpoint list: changes and heartbeats.
func (e estimator) watchMessageRate() float64 { return e.ChangesPerDay/secondsPerDay + heartbeatRate }

// takeoverRole returns the figures of a service that would deliver the backlog of a lost machine. No such service
// exists yet.
func (e estimator) takeoverRole() Role {
	backlog, rate := e.RelayBacklog(), e.RelayMessageRate()
	disk := e.cost(JournalDisk, backlog)
	return Role{"Whoever takes over lost work", []Figure{
		derived(backlog, "a relay's journal lies on its own disk alone").
			figure("state: the backlog of a machine that is gone", Count, noMechanism),
		disk.figure("bytes of it", Bytes, noMechanism),
		derived(2*rate, "each accept and each end").
			figure("messages a second to keep a second copy, of each relay", Rate, noMechanism),
		derived(disk.value/backlog*rate, "each accept, with its body").
			figure("bytes a second to keep a second copy, of each relay", ByteRate, noMechanism),
		derived(e.MachineFailures, "machines that fail on an ordinary day").
			figure("backlogs to take over", CountPerDay, noMechanism),
		unknown("nothing takes over").figure("processor, memory", Count, noMechanism),
	}}
}
