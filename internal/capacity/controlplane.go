package capacity

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// controlPlaneRole returns what a relay spends on the endpoint list, on membership and on sharing load reports and
// quotas.
func (e estimator) controlPlaneRole() Role {
	list, fleet := e.listUse(), e.fleetUse()
	settings := unknown("a relay reads its own file at SIGHUP; nothing distributes a change to all relays").
		figure("settings: time until a change reaches all relays", Seconds, noMechanism).
		withBudget(e.MaxPropagationTime, controlPlaneBudget)
	disk := derived(0, "the platform passes the list to the relay; "+
		"the journal stores the health of endpoints, and a small file the generation of the member").
		figure("disk", Bytes, listMechanism)
	return Role{"Relay control plane", slices.Concat(
		[]Figure{
			e.total("total CPU", Cores, list.changeCores.value+list.knownCores-list.baseCores, fleet.cores.value),
			e.total("total memory", Bytes, list.memory.value, fleet.memory.value),
			e.total("total bytes", ByteRate, list.deltaRate.value+list.snapshotRate.value, fleet.byteRate.value),
		},
		e.listFigures(list),
		[]Figure{settings},
		e.fleetFigures(fleet),
		[]Figure{disk},
	)}
}

// listUse is what the endpoint list costs a relay.
type listUse struct {
	memory                estimate // bytes, in addition to those of a relay without an endpoint list
	baseCores, knownCores float64  // cores without load: without an endpoint list, and with the target's list
	idleCores             estimate // knownCores less baseCores
	changeCores           estimate // cores for endpoint changes
	deltaRate             estimate // bytes per second of endpoint changes
	snapshot              estimate // bytes of one endpoint snapshot
	snapshotRate          estimate // bytes per second of snapshots after restarts
}

func (e estimator) listUse() listUse {
	baseMemory := e.cost(RelayMemory, 0).value
	memory := e.cost(RelayMemory, e.Destinations)
	baseCores := e.cost(RelayIdleCores, 0).value
	idleCores := e.cost(RelayIdleCores, e.Destinations)
	change := e.cost(RelayChangeCPU, e.Destinations)
	delta := e.deltaBytes()
	snapshot := e.cost(SnapshotBytes, e.Destinations)
	const withoutList = ", minus %s of a relay without a list"
	return listUse{
		memory:     memory.withValue(memory.value-baseMemory).explained(withoutList, Format(baseMemory, Bytes)),
		baseCores:  baseCores,
		knownCores: idleCores.value,
		idleCores:  idleCores.withValue(idleCores.value-baseCores).explained(withoutList, Format(baseCores, Cores)),
		changeCores: change.withValue(e.ChangesPerDay * change.value / secondsPerDay).
			explained(", times the changes per second"),
		deltaRate: derived(e.ChangesPerDay*delta.value/secondsPerDay, "%s changes per day, %s",
			formatInteger(e.ChangesPerDay), delta.derivation),
		snapshot: snapshot,
		snapshotRate: snapshot.withValue(snapshot.value*e.Restarts/e.Relays/secondsPerDay).
			explained(", %s restarts per day of all relays together", formatInteger(e.Restarts)),
	}
}

func (e estimator) listFigures(list listUse) []Figure {
	startup := e.cost(RelayStartupTime, e.Destinations)
	propagation := e.cost(RelayChangeTime, e.Destinations)
	change := e.cost(RelayChangeCPU, e.Destinations).value
	changesInOneHour := derived(24*e.ChangesPerDay*change/secondsPerDay, "24 times the mean rate of changes")
	transfer := derived(list.snapshot.value/e.ControlPlane.ByteRate, "%s at %s",
		Format(list.snapshot.value, Bytes), Format(e.ControlPlane.ByteRate, ByteRate))
	discovery := derived(e.Destinations, "").
		figure("list: destinations with which a relay becomes ready through discovery", Count, listMechanism)
	discovery.Consequence = "the relay never becomes ready"
	figure := func(name string, unit Unit, value estimate) Figure {
		return e.withControlPlaneBudget(value.figure(name, unit, listMechanism))
	}
	return []Figure{
		derived(e.watchMessageRate(), "%s changes per day", formatInteger(e.ChangesPerDay)).
			figure("list: messages received (changes, and an empty line every 2 s)", Rate, listMechanism),
		e.withMeasuredBudget(discovery, RelayDiscoveryTime),
		startup.figure("list: time to ready with a configured list", Seconds, listMechanism).
			withBudget(e.MaxStartupTime, startupBudget),
		figure("list: memory", Bytes, list.memory),
		figure("list: bytes received for changes", ByteRate, list.deltaRate),
		figure("list: bytes received for snapshots after restarts", ByteRate, list.snapshotRate),
		transfer.figure("list: transfer time of one snapshot", Seconds, listMechanism),
		propagation.figure("list: time until a change takes effect at one relay", Seconds, listMechanism).
			withBudget(e.MaxPropagationTime, propagationBudget),
		figure("list: CPU without changes", Cores, list.idleCores),
		figure("list: CPU for changes", Cores, list.changeCores),
		figure("list: CPU for changes, a day's changes in one hour", Cores, changesInOneHour),
	}
}

// fleetUse is what membership and sharing load reports cost a relay.
type fleetUse struct {
	byteRate, cores, memory estimate
}

func (e estimator) fleetUse() fleetUse {
	return fleetUse{
		byteRate: e.cost(FleetByteRate, e.Relays),
		cores:    e.cost(FleetCores, e.Relays),
		memory:   e.cost(FleetMemory, e.Relays),
	}
}

func (e estimator) fleetFigures(fleet fleetUse) []Figure {
	members := derived(e.Relays, "").figure("membership: relays in the member table", Count, fleetMechanism)
	members.Consequence = "a relay with a larger member table does not start"
	published := derived(e.ActiveDestinations(), "").
		figure("load reports: destinations published at the same time", Count, fleetMechanism)
	published.Consequence = "the load of further destinations is not published"
	quotas := derived(e.Destinations, "").figure("quotas: limits shared by leases", Count, quotaMechanism)
	quotas.Consequence = "each relay keeps to its even share of further limits"

	datagrams := e.cost(FleetDatagramRate, e.Relays)
	idle := e.cost(FleetIdleByteRate, e.Relays)
	propagation := e.cost(FleetPropagationTime, e.Relays)
	quotaBytes := e.cost(FleetQuotaByteRate, e.Relays)
	figure := func(name string, unit Unit, value estimate, mechanism string) Figure {
		return e.withControlPlaneBudget(value.figure(name, unit, mechanism))
	}
	return []Figure{
		e.withMeasuredBudget(members, FleetMaxMembers),
		datagrams.figure("membership and load reports: datagrams sent", Rate, fleetMechanism),
		figure("membership alone: bytes sent", ByteRate, idle, fleetMechanism),
		figure("membership and load reports: bytes sent", ByteRate, fleet.byteRate, fleetMechanism),
		figure("membership and load reports: CPU", Cores, fleet.cores, fleetMechanism),
		figure("membership and load reports: memory", Bytes, fleet.memory, fleetMechanism),
		propagation.figure("load reports: time until a change reaches all members", Seconds, fleetMechanism).
			withBudget(e.MaxPropagationTime, propagationBudget),
		e.withMeasuredBudget(published, FleetMaxPublished),
		e.withMeasuredBudget(quotas, FleetMaxQuotas),
		figure("quotas: bytes sent for 1,000 limits", ByteRate, quotaBytes, quotaMechanism),
	}
}

// withControlPlaneBudget returns f with the control plane's budget for its unit.
func (e estimator) withControlPlaneBudget(f Figure) Figure {
	budget := map[Unit]float64{
		Cores:    e.ControlPlane.Cores,
		Bytes:    e.ControlPlane.Memory,
		ByteRate: e.ControlPlane.ByteRate,
	}[f.Unit]
	return f.withBudget(budget, controlPlaneBudget)
}

// withMeasuredBudget returns f with the largest size of a series that passed as its budget. If no size failed, f gets
// no budget, and its value becomes unknown if it exceeds the largest measured size. Without the series, the value is
// unknown.
func (e estimator) withMeasuredBudget(f Figure, name string) Figure {
	l := e.limit(name)
	switch {
	case !l.measured:
		f.Value, f.Derivation = math.NaN(), fmt.Sprintf("`%s`: %v", name, errNotMeasured)
	case l.found:
		f = f.withBudget(l.passed, measuredBudget)
		f.Derivation = l.derivation()
	default:
		f.Derivation = fmt.Sprintf("`%s`: no failure at the measured sizes, up to %s",
			name, formatInteger(l.largest))
		if l.largest < f.Value {
			f.Value = math.NaN()
		}
	}
	return f
}

// total returns the sum of what the endpoint list and the fleet use of one budget. An unknown part is left out of the
// sum. The sum then becomes unknown, unless the known part alone exceeds the budget.
func (e estimator) total(name string, unit Unit, list, fleet float64) Figure {
	var sum float64
	var known []string
	for _, part := range []struct {
		name  string
		value float64
	}{
		{"endpoint list", list},
		{"membership and load reports (two reports per member)", fleet},
	} {
		if !math.IsNaN(part.value) {
			sum += part.value
			known = append(known, part.name+" "+Format(part.value, unit))
		}
	}
	f := derived(sum, "%s", strings.Join(known, ", ")).figure(name, unit, listMechanism+", "+fleetMechanism)
	f = e.withControlPlaneBudget(f)
	if len(known) < 2 {
		f.Derivation += "; the other part is not measured"
		if f.Value <= f.Budget {
			f.Value = math.NaN()
		}
	}
	return f
}
