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
	fleetMechanism    = "`internal/fleet/membership`, `loadreport`, `codec`"
	quotaMechanism    = "`internal/fleet/quota`"
	backoffMechanism  = "`internal/relay/discovery/backoff`"
	platformMechanism = "the platform"
	noMechanism       = ""
)

// The names of the budgets, as the capacity page prints them.
const (
	controlPlaneBudget = "control plane"
	coreBudget         = "one core"
	startupBudget      = "time to ready"
	propagationBudget  = "propagation"
	measuredBudget     = "measured limit"
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
		return derived(e.ActiveDestinations(), "active: unavailable, or with traffic within %s",
			Format(e.IdleTimeout, Seconds))
	}
	return derived(e.Destinations, "the engine has state for all destinations")
}

func (e estimator) relayRole() Role {
	return Role{"Relay message processing", append(e.relayLoadFigures(), e.relayBacklogFigures()...)}
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
		return cpu.withValue(cpu.value * rate).explained(", times the message rate")
	}
	return []Figure{
		derived(e.RelayBacklog(), "%s in all relays together", formatInteger(e.Backlog)).
			figure("state: queued messages", Count, journalMechanism),
		known.figure("state: destinations known to the engine", Count, engineMechanism),
		derived(rate, "%s per second of all relays together", formatInteger(e.MessageRate)).
			figure("messages received", Rate, loopMechanism),
		derived(rate*(1-e.UnavailableFraction), "one for each message but the %.1f %% to unavailable destinations",
			100*e.UnavailableFraction).figure("calls to endpoints", Rate, loopMechanism),
		cores("CPU, connections reused", reused, loopMechanism),
		cores("CPU, a new connection for each call", fresh, loopMechanism),
		cores("CPU, the engine alone", perMessage(engine), engineMechanism),
		cores("CPU, the engine alone with the backlog", perMessage(besideBacklog), engineMechanism),
	}
}

func (e estimator) relayBacklogFigures() []Figure {
	memory := e.cost(RelayBacklogMemory, e.RelayBacklog())
	disk := e.cost(JournalDisk, e.RelayBacklog())
	recovery := e.cost(RelayRecoveryTime, e.RelayBacklog())
	sync := e.cost(JournalSyncTime, 1)
	return []Figure{
		memory.explained("; `limits.memory_mb` must allow for this").
			figure("memory with the backlog", Bytes, loopMechanism),
		disk.explained("; `limits.disk_mb` must allow for this, and for as much again that is not yet compacted").
			figure("disk with the backlog", Bytes, journalMechanism),
		recovery.figure("time to ready after a restart with the backlog", Seconds, loopMechanism).
			withBudget(e.MaxStartupTime, startupBudget),
		sync.figure("time of a commit that survives a machine crash, if `journal.sync` requires it", Seconds,
			journalMechanism),
	}
}

func (e estimator) controlMachineRole() Role {
	snapshot := e.cost(SnapshotBytes, e.Destinations)
	delta := e.deltaBytes()
	served := e.Relays / e.ControlMachines
	deltaRate := served * e.ChangesPerDay * delta.value / secondsPerDay
	snapshotRate := snapshot.value * e.Restarts / e.ControlMachines / secondsPerDay
	return Role{fmt.Sprintf("Control plane machine, one of %s", formatInteger(e.ControlMachines)), []Figure{
		snapshot.figure("state: endpoint list", Bytes, noMechanism),
		derived(served, "%s relays on %s machines", formatInteger(e.Relays), formatInteger(e.ControlMachines)).
			figure("relays that this machine would serve", Count, noMechanism),
		derived(served*e.ChangesPerDay/secondsPerDay, "each change is sent to each relay").
			figure("messages sent: changes", Rate, noMechanism),
		delta.withValue(deltaRate).figure("bytes sent: changes", ByteRate, noMechanism),
		snapshot.withValue(snapshotRate).figure("bytes sent: snapshots after restarts", ByteRate, noMechanism),
		snapshot.withValue(served*snapshot.value).
			figure("bytes sent: all its relays request a snapshot at once", Bytes, noMechanism),
		unknown("this project has no program for this machine").figure("CPU, memory, disk", Count, noMechanism),
	}}
}

func (e estimator) discoveryAgentRole() Role {
	snapshot := e.cost(SnapshotBytes, e.Destinations)
	delta := e.deltaBytes()
	deltaToAll := delta.withValue(delta.value * e.Relays)
	dailyDeltas := delta.withValue(delta.value * e.Relays * e.ChangesPerDay)
	snapshotToAll := snapshot.withValue(snapshot.value * e.Relays)
	return Role{"Discovery agent (run by the platform beside each relay)", []Figure{
		snapshot.figure("state: endpoint list", Bytes, platformMechanism),
		derived(e.watchMessageRate(), "changes, and a heartbeat (empty line) every 2 s").
			figure("messages sent", Rate, listMechanism),
		deltaToAll.figure("bytes sent for one change, to all relays", Bytes, listMechanism),
		dailyDeltas.figure("bytes sent for the changes of a day, to all relays", Bytes, listMechanism),
		snapshotToAll.figure("bytes sent for one snapshot, to all relays", Bytes, listMechanism),
		derived(e.Restarts/secondsPerDay, "one request for each restart").
			figure("list requests after restarts, where relays request lists", Rate, backoffMechanism),
		unknown("not part of this project").figure("CPU, memory", Count, platformMechanism),
	}}
}

// watchMessageRate returns the messages per second on one watch of the endpoint list: changes and heartbeats.
func (e estimator) watchMessageRate() float64 { return e.ChangesPerDay/secondsPerDay + heartbeatRate }

// takeoverRole returns the figures of a service that would deliver the backlog of a lost machine. No such service
// exists yet.
func (e estimator) takeoverRole() Role {
	backlog, rate := e.RelayBacklog(), e.RelayMessageRate()
	disk := e.cost(JournalDisk, backlog)
	return Role{"Takeover service for the backlogs of lost machines", []Figure{
		derived(backlog, "the journal of a relay is stored on its own disk only").
			figure("state: backlog of a lost machine", Count, noMechanism),
		disk.figure("bytes of this backlog", Bytes, noMechanism),
		derived(2*rate, "one at the acceptance and one at the end of each message").
			figure("messages per second to replicate the journal of one relay", Rate, noMechanism),
		derived(disk.value/backlog*rate, "each accepted message, with its body").
			figure("bytes per second to replicate the journal of one relay", ByteRate, noMechanism),
		derived(e.MachineFailures, "machine failures on an ordinary day").
			figure("backlogs to take over", CountPerDay, noMechanism),
		unknown("no takeover service exists").figure("CPU, memory", Count, noMechanism),
	}}
}
