package scenario

import (
	"slices"
	"strings"
)

// validateFault adds the problems of a fault. The text of each problem begins with at, which identifies the fault.
func (f *File) validateFault(p *problems, bounds Bounds, at string, fault *Fault) {
	if !slices.Contains(faultKinds, fault.Kind) {
		p.add("%s: unknown kind, must be one of %s", at, joinKinds(faultKinds))
		return
	}
	f.validateFaultRanges(p, at, fault)
	fault.validateChoices(p, at)
	f.validateDestinationNumbers(p, at, fault.Destinations)
	for _, relay := range fault.Relays {
		p.require(relay >= 1 && relay <= f.Relays, "%s: relay %d does not exist, there are %d", at, relay, f.Relays)
	}
	f.validateRequiredKeys(p, bounds, at, fault)
}

func joinKinds(kinds []FaultKind) string {
	names := make([]string, 0, len(kinds))
	for _, kind := range kinds {
		names = append(names, string(kind))
	}
	return strings.Join(names, ", ")
}

// validateFaultRanges checks the ranges of the values, whatever the kind of the fault.
func (f *File) validateFaultRanges(p *problems, at string, fault *Fault) {
	p.require(fault.Start >= 0 && fault.Start < f.Length, "%s: at must be within length", at)
	p.require(fault.Duration >= 0, "%s: for must not be below 0", at)
	p.require(
		isRatio(fault.Share) && isRatio(fault.CallRatio) && isRatio(fault.SameAddressRatio),
		"%s: share, calls and same_address must be 0 to 1", at,
	)
	p.require(
		fault.Factor > 0 && fault.BatchSize > 0 && fault.DrainTime >= 0 && fault.Delay >= 0 && fault.Stagger >= 0,
		"%s: factor and batch must be above 0, and drain, delay and stagger must not be below 0", at,
	)
	p.require(fault.Zone == "" || slices.Contains(f.Zones, fault.Zone), "%s: unknown zone %q", at, fault.Zone)
	p.require(
		isRatio(fault.LossRatio) && fault.BytesPerSecond >= 0,
		"%s: loss must be 0 to 1, and rate must not be below 0", at,
	)
	p.require(isRatio(fault.ReorderRatio), "%s: mixed must be 0 to 1", at)
}

// validateChoices checks the keys that take one of a fixed set of values. Each of them may be unset.
func (fault *Fault) validateChoices(p *problems, at string) {
	groups := []RelayGroup{"", GroupOne, GroupHalf, GroupThird, GroupAllButOne}
	p.require(
		slices.Contains(groups, fault.RelayGroup),
		"%s: unknown group %q, must be one, half, third or all-but-one", at, fault.RelayGroup,
	)
	p.require(
		fault.RelayGroup == "" || len(fault.Relays) == 0 && fault.Share == 0,
		"%s: group goes without relays and share", at,
	)
	directions := []Direction{"", DirectionBoth, DirectionOut, DirectionIn}
	requireOneOf(p, fault.Direction, directions, "%s: way must be both, out or in, not %q", at)
	folders := []StateFolder{"", StateFolderKept, StateFolderRemoved, StateFolderOlder}
	requireOneOf(p, fault.StateFolder, folders, "%s: folder must be kept, none or older, not %q", at)
}

// validateRequiredKeys checks that a fault sets the keys that its kind requires.
func (f *File) validateRequiredKeys(p *problems, bounds Bounds, at string, fault *Fault) {
	hasTargets := len(fault.Destinations) > 0 || fault.Share > 0
	switch fault.Kind {
	case FaultFailCalls, FaultSuspend, FaultSlow, FaultLowerLimit,
		FaultLoseAnswers, FaultSilence, FaultCrash, FaultCutOff:
		fault.requireDuration(p, at)
		p.require(hasTargets, "%s: needs destinations or a share of them", at)
	case FaultCopyAnswers, FaultStrayAnswers, FaultInformational, FaultCutAnswers,
		FaultTrickleAnswers, FaultJunkAnswers, FaultBreakIdle:
		fault.requireDuration(p, at)
		p.require(hasTargets, "%s: needs destinations or a share of them", at)
		p.require(bounds.Sockets, "%s: there are no answers on a wire in virtual time; use rehearse", at)
	case FaultCopyReplies, FaultRefuseNotices, FaultRepeatEntries:
		fault.requireDuration(p, at)
		p.require(bounds.Sockets, "%s: there are no answers on a wire in virtual time; use rehearse", at)
	case FaultDrain, FaultRemove:
		p.require(hasTargets, "%s: needs destinations or a share of the endpoints", at)
	case FaultClockStep:
		p.require(bounds.SettableClocks, "%s: a rehearsal of processes cannot set their clocks; use emulate", at)
		p.require(fault.ClockOffset != 0, "%s: needs by, the offset of the clocks", at)
	case FaultStall:
		fault.requireDuration(p, at)
	case FaultLinkCut, FaultLinkLoss, FaultLinkDelay, FaultLinkThrottle, FaultLinkReorder:
		f.validateLinkFault(p, at, fault)
	case FaultDiscoveryDown:
		fault.requireDuration(p, at)
	case FaultDiscoveryDelay:
		fault.requireDuration(p, at)
		p.require(fault.Delay > 0, "%s: needs delay", at)
	case FaultTerminate, FaultKill, FaultReload: // no required keys
	}
}

func (f *File) validateLinkFault(p *problems, at string, fault *Fault) {
	fault.requireDuration(p, at)
	p.require(f.Fleet.Enabled && f.Relays > 1, "%s: needs [fleet] enabled = true and at least two relays", at)
	switch fault.Kind {
	case FaultLinkDelay:
		p.require(fault.Delay > 0, "%s: needs delay", at)
	case FaultLinkLoss:
		p.require(fault.LossRatio > 0, "%s: loss must be above 0", at)
	case FaultLinkReorder:
		p.require(fault.ReorderRatio > 0, "%s: mixed must be above 0", at)
	case FaultLinkThrottle:
		p.require(fault.BytesPerSecond > 0, "%s: rate must be above 0", at)
	}
}

func (fault *Fault) requireDuration(p *problems, at string) {
	p.require(fault.Duration > 0, "%s: needs for, the duration of the fault", at)
}
