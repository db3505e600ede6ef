package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Effect is what happens when a size exceeds the limit of a bottleneck. The constants are ordered from the most severe
// to the least severe.
type Effect int

// The effects.
const (
	Stops       Effect = iota // the relay does not start or never becomes ready
	DropsExcess               // a mechanism ignores the items above its limit
	OverBudget                // the relay serves messages but uses more than its budget
)

// String returns the effect as the capacity page prints it.
func (e Effect) String() string {
	return [...]string{"relay unavailable", "excess ignored", "over budget"}[e]
}

// Bottleneck describes the size on one axis above which a mechanism fails or exceeds its budget.
type Bottleneck struct {
	Axis        string  // what the sizes count, for example relays
	Target      float64 // size that the target requires
	Limit       float64 // NaN: unknown; +Inf: no limit was found
	Effect      Effect
	Description string
	Derivation  string // the measurements behind the limit, or why it is unknown
	Mechanism   string // the packages that implement it; empty: none do
}

// TargetFraction returns the limit as a fraction of the target.
func (b Bottleneck) TargetFraction() float64 { return b.Limit / b.Target }

// rank returns the first sort key of a bottleneck. Limits below the target rank by the severity of their effect, before
// those at or above the target. Unknown limits rank last.
func (b Bottleneck) rank() int {
	const beyondTarget, unknownLimit = int(OverBudget) + 1, int(OverBudget) + 2
	switch fraction := b.TargetFraction(); {
	case math.IsNaN(fraction):
		return unknownLimit
	case fraction >= 1:
		return beyondTarget
	}
	return int(b.Effect)
}

// Bottlenecks returns the bottlenecks of a target, the most urgent first. Limits below the target are sorted by effect,
// the most severe first, and then by their fraction of the target. Limits at or above the target follow. Unknown limits
// come last.
func Bottlenecks(t Target, r Run) []Bottleneck {
	e := estimator{t, r}
	all := slices.Concat(
		e.destinationBottlenecks(),
		e.relayBottlenecks(),
		e.loadBottlenecks(),
		e.backlogBottlenecks(),
		e.changeBottlenecks(),
		e.regionBottlenecks(),
	)
	slices.SortStableFunc(all, func(a, b Bottleneck) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.TargetFraction(), b.TargetFraction()))
	})
	return all
}

// FirstBottleneck returns the most urgent of the bottlenecks that Bottlenecks has sorted. It returns false if no limit
// is below its target.
func FirstBottleneck(sorted []Bottleneck) (Bottleneck, bool) {
	for _, b := range sorted {
		if b.TargetFraction() < 1 {
			return b, true
		}
	}
	return Bottleneck{}, false
}

// atFailure returns b with its limit set to the largest size of a series that passed. If no size failed, the limit is
// +Inf, or unknown if the largest measured size is below the target.
func (e estimator) atFailure(b Bottleneck, name string) Bottleneck {
	l := e.limit(name)
	switch {
	case !l.measured:
		b.Limit, b.Derivation = math.NaN(), fmt.Sprintf("`%s`: %v", name, errNotMeasured)
	case l.found:
		b.Limit, b.Derivation = l.passed, l.derivation()
	default:
		b.Limit = math.Inf(1)
		if l.largest < b.Target {
			b.Limit = math.NaN()
		}
		b.Derivation = fmt.Sprintf("`%s`: no failure up to %s", name, formatInteger(l.largest))
	}
	return b
}

// atCost returns b with its limit set to the size at which the cost of a series reaches a budget.
func (e estimator) atCost(b Bottleneck, name string, budget float64) Bottleneck {
	return e.atRelayCost(b, name, budget, 1)
}

// atRelayCost is atCost for a series of one relay and an axis that counts all relays together. It multiplies the size
// by the number of relays.
//
// A nonlinear model may reach the budget only at a size to which it must not be extrapolated. In that case the limit is
// +Inf if the model may be extrapolated to the target, and otherwise unknown.
func (e estimator) atRelayCost(b Bottleneck, name string, budget, relays float64) Bottleneck {
	b.Effect = OverBudget
	size := e.sizeAt(name, budget)
	b.Limit, b.Derivation = size.value*relays, size.derivation
	if _, m, err := e.model(name); err == nil && math.IsNaN(b.Limit) && maxExtrapolation*m.MaxSize*relays >= b.Target {
		b.Limit = math.Inf(1)
		b.Derivation = fmt.Sprintf(
			"`%s` (nonlinear model, residual %.0f %%): budget not reached up to ten times the largest measured size",
			name, 100*m.Residual)
	}
	return b
}

func (e estimator) destinationBottlenecks() []Bottleneck {
	bottleneck := func(description string) Bottleneck {
		return Bottleneck{
			Axis:        "destinations",
			Target:      e.Destinations,
			Mechanism:   listMechanism,
			Description: description,
		}
	}
	published := bottleneck("the load of further destinations is not published")
	published.Effect, published.Mechanism = DropsExcess, fleetMechanism
	published.Axis, published.Target = "active destinations", e.ActiveDestinations()
	quotas := bottleneck("further limits are not shared by leases")
	quotas.Effect, quotas.Mechanism = DropsExcess, quotaMechanism
	engine := bottleneck("the engine alone uses more than a core")
	engine.Mechanism = engineMechanism

	discovery := bottleneck("a relay that loads its list from discovery never becomes ready")
	memory := bottleneck(fmt.Sprintf("the list uses more than %s", Format(e.ControlPlane.Memory, Bytes)))
	startup := bottleneck(fmt.Sprintf("a start takes more than %s", Format(e.MaxStartupTime, Seconds)))
	idle := bottleneck(fmt.Sprintf("an unchanged list uses more than %s", Format(e.ControlPlane.Cores, Cores)))
	changes := bottleneck(fmt.Sprintf("%s changes per day use more than %s",
		formatInteger(e.ChangesPerDay), Format(e.ControlPlane.Cores, Cores)))

	memoryWithoutList := e.cost(RelayMemory, 0).value
	coresWithoutList := e.cost(RelayIdleCores, 0).value
	return []Bottleneck{
		e.atFailure(discovery, RelayDiscoveryTime),
		e.atCost(memory, RelayMemory, memoryWithoutList+e.ControlPlane.Memory),
		e.atCost(startup, RelayStartupTime, e.MaxStartupTime),
		e.atCost(idle, RelayIdleCores, coresWithoutList+e.ControlPlane.Cores),
		e.atCost(changes, RelayChangeCPU, e.ControlPlane.Cores*secondsPerDay/e.ChangesPerDay),
		e.atFailure(published, FleetMaxPublished),
		e.atFailure(quotas, FleetMaxQuotas),
		e.atCost(engine, EngineMessageCPU, e.RelayCores/e.RelayMessageRate()),
	}
}

func (e estimator) relayBottlenecks() []Bottleneck {
	bottleneck := func(description string) Bottleneck {
		return Bottleneck{Axis: "relays", Target: e.Relays, Mechanism: fleetMechanism, Description: description}
	}
	budget := e.ControlPlane
	byteRate := Format(budget.ByteRate, ByteRate)
	members := bottleneck("a relay with a larger member table does not start")
	sent := bottleneck("a member sends more than " + byteRate)
	quotas := bottleneck("to lend shares of 1,000 limits, a member sends more than " + byteRate)
	propagation := bottleneck("a change of one member reaches all members after more than " +
		Format(e.MaxPropagationTime, Seconds))
	cores := bottleneck("membership and load reports use more than " + Format(budget.Cores, Cores))
	memory := bottleneck("membership and load reports use more than " + Format(budget.Memory, Bytes))
	return []Bottleneck{
		e.atFailure(members, FleetMaxMembers),
		e.atCost(sent, FleetByteRate, budget.ByteRate),
		e.atCost(quotas, FleetQuotaByteRate, budget.ByteRate),
		e.atCost(propagation, FleetPropagationTime, e.MaxPropagationTime),
		e.atCost(cores, FleetCores, budget.Cores),
		e.atCost(memory, FleetMemory, budget.Memory),
	}
}

// loadBottlenecks returns the message rates of the whole fleet at which each relay uses all its cores. The number of
// relays is that of the target.
func (e estimator) loadBottlenecks() []Bottleneck {
	bottleneck := func(description string) Bottleneck {
		return Bottleneck{
			Axis:        "messages per second",
			Target:      e.MessageRate,
			Mechanism:   loopMechanism,
			Description: description,
		}
	}
	reused := bottleneck("a relay uses more than a core with reused connections")
	fresh := bottleneck("a relay uses more than a core with a new connection for each call")
	return []Bottleneck{
		e.atRelayCost(reused, RelayCores, e.RelayCores, e.Relays),
		e.atRelayCost(fresh, RelayNewConnectionCores, e.RelayCores, e.Relays),
	}
}

func (e estimator) backlogBottlenecks() []Bottleneck {
	recovery := Bottleneck{
		Axis:        "backlog",
		Target:      e.Backlog,
		Mechanism:   loopMechanism,
		Description: fmt.Sprintf("a restart takes more than %s", Format(e.MaxStartupTime, Seconds)),
	}
	engine := Bottleneck{
		Axis:        "backlog",
		Target:      e.Backlog,
		Mechanism:   engineMechanism,
		Description: "the engine uses more than a core",
	}
	return []Bottleneck{
		e.atRelayCost(recovery, RelayRecoveryTime, e.MaxStartupTime, e.Relays),
		e.atRelayCost(engine, EngineBacklogCPU, e.RelayCores/e.RelayMessageRate(), e.Relays),
	}
}

func (e estimator) changeBottlenecks() []Bottleneck {
	change := e.cost(RelayChangeCPU, e.Destinations)
	delta := e.deltaBytes()
	cores := Bottleneck{
		Mechanism:   listMechanism,
		Description: fmt.Sprintf("the changes use more than %s", Format(e.ControlPlane.Cores, Cores)),
		Limit:       e.ControlPlane.Cores * secondsPerDay / change.value,
		Derivation:  change.derivation,
	}
	bytes := Bottleneck{
		Mechanism:   listMechanism,
		Description: fmt.Sprintf("the changes use more than %s", Format(e.ControlPlane.ByteRate, ByteRate)),
		Limit:       e.ControlPlane.ByteRate * secondsPerDay / delta.value,
		Derivation:  delta.derivation,
	}
	propagation := Bottleneck{
		Description: fmt.Sprintf("a change does not reach all relays within %s", Format(e.MaxPropagationTime, Seconds)),
		Limit:       math.NaN(),
		Derivation:  "measured on one relay only",
	}
	all := []Bottleneck{cores, bytes, propagation}
	for i := range all {
		all[i].Axis, all[i].Target, all[i].Effect = "changes per day", e.ChangesPerDay, OverBudget
	}
	return all
}

func (e estimator) regionBottlenecks() []Bottleneck {
	return []Bottleneck{{
		Axis:        "regions",
		Target:      e.Regions,
		Limit:       math.NaN(),
		Effect:      OverBudget,
		Description: "regions are not distinguished: links between regions are used like all other links",
		Derivation:  "not implemented, so no limit is known",
	}}
}
