package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Effect is what happens beyond a break.
type Effect int

// The effects, the gravest first: the relay does not serve; a mechanism leaves out what is beyond; a budget is passed.
const (
	StopsEntirely Effect = iota
	LeavesOut
	OverBudget
)

// String is the effect in the page's words.
func (e Effect) String() string {
	return [...]string{"stops", "leaves out the rest", "over budget"}[e]
}

// Break is a size of one axis beyond which a mechanism no longer carries it.
type Break struct {
	Axis      string
	Target    float64
	At        float64 // NaN: not known; +Inf: none found
	Effect    Effect
	What      string
	How       string
	Mechanism string
}

// Share is how much of the axis' target is reached.
func (b Break) Share() float64 { return b.At / b.Target }

// Breaks are those that are below their axes' targets or near, by the readings of a run, in the order in which they
// come: what stops entirely goes before what leaves something out, that before what is over a budget, and each by its
// share of the target. Those that are not known come last.
func Breaks(t Target, r Run) []Break {
	b := book{t, r}
	all := slices.Concat(b.byDestinations(), b.byRelays(), b.byEvents(), b.byBacklog(), b.byChanges(), b.byRegions())
	slices.SortStableFunc(all, func(x, y Break) int {
		rank := func(b Break) int {
			switch s := b.Share(); {
			case math.IsNaN(s):
				return 4
			case s >= 1:
				return 3
			}
			return int(b.Effect)
		}
		if c := cmp.Compare(rank(x), rank(y)); c != 0 {
			return c
		}
		return cmp.Compare(x.Share(), y.Share())
	})
	return all
}

// Missing is the break whose mechanism is missing first: that which stops at the smallest share of its axis' target,
// where what stops entirely goes before what is over a budget. False: nothing breaks below its target.
func Missing(all []Break) (Break, bool) {
	for _, x := range all {
		if x.Share() < 1 {
			return x, true
		}
	}
	return Break{}, false
}

// bound is a break at the largest size of a series that came to an end.
func (b book) bound(x Break, name string) Break {
	s, ok := b.run.series(name)
	if !ok {
		x.At, x.How = math.NaN(), fmt.Sprintf("`%s`: not measured", name)
		return x
	}
	last, first, stopped := s.stopped()
	if !stopped {
		most := s.Points[len(s.Points)-1].N
		if x.At = math.Inf(1); most < x.Target {
			x.At = math.NaN()
		}
		x.How = fmt.Sprintf("`%s`: none up to %s", name, exact(most))
		return x
	}
	x.At, x.How = last, fmt.Sprintf("`%s`: %s did, %s did not", name, exact(last), exact(first))
	return x
}

// budget is a break where a measured cost comes to y. Where the line bends and would only come to it past ten times its
// largest size, which is past the target, none is found.
func (b book) budget(x Break, name string, y float64) Break { return b.budgetOf(x, name, y, 1) }

// budgetOf is budget where the axis counts of many relays together and the readings of one.
func (b book) budgetOf(x Break, name string, y, relays float64) Break {
	x.Effect = OverBudget
	x.At, x.How = b.reaches(name, y)
	x.At *= relays
	if _, l, err := b.line(name); err == nil && math.IsNaN(x.At) && drawnOut*l.Most*relays >= x.Target {
		x.At, x.How = math.Inf(
			1,
		), fmt.Sprintf(
			"`%s` bends by %.0f %%: none up to ten times the largest measured",
			name,
			100*l.Residual,
		)
	}
	return x
}

func (b book) byDestinations() []Break {
	axis := Break{Axis: "destinations", Target: b.Destinations, Mechanism: byList}
	with := func(what string) Break { axis.What = what; return axis }
	base, _ := b.at(RelayMemory, 0)
	none, _ := b.at(RelayRest, 0)
	pages := with("a relay tells of no further destination at once")
	pages.Effect, pages.Mechanism = LeavesOut, byFleet
	pages.Target = b.Awake()
	pages.Axis = "destinations awake"
	rights := with("no further limit is lent")
	rights.Effect, rights.Mechanism = LeavesOut, byRights
	module := with("the module alone takes a core")
	module.Mechanism = byModule
	return []Break{
		b.bound(with("a relay that asks discovery never becomes ready"), RelayDiscovery),
		b.budget(
			with(fmt.Sprintf("the list takes %s", Format(b.ControlMemory, Bytes))),
			RelayMemory,
			base+b.ControlMemory,
		),
		b.budget(with(fmt.Sprintf("a start takes %s", Format(b.ReadyIn, Seconds))), RelayReady, b.ReadyIn),
		b.budget(
			with(fmt.Sprintf("the list at rest takes %s", Format(b.ControlCores, Cores))),
			RelayRest,
			none+b.ControlCores,
		),
		b.budget(
			with(fmt.Sprintf("%s changes a day take %s", exact(b.Changes), Format(b.ControlCores, Cores))),
			RelayChange,
			b.ControlCores*day/b.Changes,
		),
		b.bound(pages, FleetPages),
		b.bound(rights, FleetRights),
		b.budget(module, ModuleMessage, b.Cores/b.PerRelay()),
	}
}

func (b book) byRelays() []Break {
	axis := Break{Axis: "relays", Target: b.Relays, Mechanism: byFleet}
	with := func(what string) Break { axis.What = what; return axis }
	return []Break{
		b.bound(with("a relay with a longer table of members does not start"), FleetJoin),
		b.budget(
			with(fmt.Sprintf("what a member sends takes %s", Format(b.ControlBytes, ByteRate))),
			FleetBytes,
			b.ControlBytes,
		),
		b.budget(
			with(fmt.Sprintf("what a member sends to lend 1,000 limits takes %s", Format(b.ControlBytes, ByteRate))),
			FleetLending,
			b.ControlBytes,
		),
		b.budget(
			with(fmt.Sprintf("what one tells is known to all after %s", Format(b.InForce, Seconds))),
			FleetKnown,
			b.InForce,
		),
		b.budget(with(fmt.Sprintf("membership takes %s", Format(b.ControlCores, Cores))), FleetCores, b.ControlCores),
		b.budget(
			with(fmt.Sprintf("membership takes %s", Format(b.ControlMemory, Bytes))),
			FleetMemory,
			b.ControlMemory,
		),
	}
}

// byEvents holds the relays as many as they are.
func (b book) byEvents() []Break {
	axis := Break{Axis: "events a second", Target: b.Events, Mechanism: byLoop}
	again, fresh := axis, axis
	again.What, fresh.What = "a relay takes a core, connections used again", "a relay takes a core, a connection for each call"
	return []Break{b.budgetOf(again, RelayLoad, b.Cores, b.Relays), b.budgetOf(fresh, RelayFresh, b.Cores, b.Relays)}
}

func (b book) byBacklog() []Break {
	axis := Break{Axis: "backlog", Target: b.Backlog, Mechanism: byLoop}
	ready, module := axis, axis
	ready.What = fmt.Sprintf("a restart takes %s", Format(b.ReadyIn, Seconds))
	module.What, module.Mechanism = "the module takes a core", byModule
	return []Break{
		b.budgetOf(ready, RelayRecovery, b.ReadyIn, b.Relays),
		b.budgetOf(module, ModuleBacklog, b.Cores/b.PerRelay(), b.Relays),
	}
}

func (b book) byChanges() []Break {
	axis := Break{Axis: "changes a day", Target: b.Changes, Mechanism: byList, Effect: OverBudget}
	cores, bytes, force := axis, axis, axis
	cost, costHow := b.at(RelayChange, b.Destinations)
	cores.What, cores.How, cores.At = fmt.Sprintf(
		"they take %s",
		Format(b.ControlCores, Cores),
	), costHow, b.ControlCores*day/cost
	entry, entryHow := b.entry()
	bytes.What, bytes.How, bytes.At = fmt.Sprintf(
		"they take %s",
		Format(b.ControlBytes, ByteRate),
	), entryHow, b.ControlBytes*day/entry
	force.What, force.How, force.At = fmt.Sprintf(
		"not in force everywhere in %s",
		Format(b.InForce, Seconds),
	), "one relay alone was measured", math.NaN()
	force.Mechanism = ""
	return []Break{cores, bytes, force}
}

func (b book) byRegions() []Break {
	return []Break{
		{
			Axis:   "regions",
			Target: b.Regions,
			At:     math.NaN(),
			Effect: OverBudget,
			What:   "nothing knows of regions: links between them are taken like any others",
			How:    "no mechanism, so no value",
		},
	}
}
