package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/simulation/engine"
)

// minFaultLength is the minimum time between the steps that mark the beginning and the end of a fault, so that reports
// also show faults without a duration.
const minFaultLength = time.Second

// end returns the time at which a fault ends.
func (fault *Fault) end() time.Duration { return (fault.Start + fault.Duration).AsDuration() }

// addFault adds the steps of a fault, and the steps that mark its beginning and its end.
func (p *planner) addFault(index int, fault Fault) {
	random := engine.NewRandom(p.Seed, streamFault, index)
	name := fmt.Sprintf("%s-%d", fault.Kind, index+1)
	begin, end := fault.Start.AsDuration(), fault.end()
	beginIndex := len(p.Steps)
	p.addStep(Step{At: begin, Op: OpFaultBegins, Target: name})
	var targets []string
	switch fault.Kind {
	case FaultDrain:
		targets = p.addEndpointFault(random, fault)
		end += fault.DrainTime.AsDuration()
	case FaultRemove:
		targets = p.addEndpointFault(random, fault)
	case FaultDiscoveryDown, FaultDiscoveryDelay, FaultTerminate, FaultKill, FaultReload, FaultClockStep, FaultStall,
		FaultCopyReplies, FaultRefuseNotices, FaultRepeatEntries:
		targets = p.addRelayFault(random, fault)
	case FaultLinkCut, FaultLinkLoss, FaultLinkDelay, FaultLinkThrottle, FaultLinkReorder:
		targets = p.addLinkFault(random, fault)
	default:
		targets = p.chooseServices(random, fault)
		for _, service := range targets {
			p.addServiceFault(fault, service)
		}
	}
	p.Steps[beginIndex].Note = strings.Join(targets, " ")
	p.addStep(Step{At: max(end, begin+minFaultLength), Op: OpFaultEnds, Target: name})
}

// addServiceFault adds the steps that begin and end a fault of one service.
func (p *planner) addServiceFault(fault Fault, service string) {
	first := Step{Target: service}
	last := Step{Target: service, Op: OpRestore}
	switch fault.Kind {
	case FaultFailCalls:
		first.Op, first.Value = OpFailCalls, fault.CallRatio
	case FaultSuspend:
		first.Op, first.Duration = OpSuspend, fault.Duration.AsDuration()
	case FaultSlow:
		first.Op, first.Value = OpSlow, fault.Factor
		last.Op, last.Value = OpSlow, 1
	case FaultLowerLimit:
		first.Op, first.Value = OpLowerLimit, fault.Factor
		last.Op, last.Value = OpLowerLimit, 1
	case FaultLoseAnswers:
		first.Op, first.Value = OpLoseAnswers, fault.CallRatio
		last.Op = OpLoseAnswers
	case FaultSilence:
		first.Op = OpSilence
	case FaultCrash:
		first.Op = OpCrash
	case FaultCutOff:
		first.Op = OpCutOff
	case FaultCopyAnswers, FaultStrayAnswers, FaultInformational, FaultCutAnswers,
		FaultTrickleAnswers, FaultJunkAnswers, FaultBreakIdle:
		first.Op, first.Value, first.Duration = answerOps[fault.Kind], fault.CallRatio, fault.Delay.AsDuration()
		last.Op = first.Op
	}
	p.addStepPair(fault.Start.AsDuration(), fault.end(), first, last)
}

// chooseServices returns the names of the services that a fault affects.
func (p *planner) chooseServices(random *rand.Rand, fault Fault) []string {
	inZone := map[string]bool{}
	for _, e := range p.Endpoints {
		if fault.Zone == "" || e.Zone == fault.Zone {
			inZone[e.Service] = true
		}
	}
	destinations := setOf(fault.Destinations)
	var names []string
	for _, s := range p.Services {
		if (len(destinations) == 0 || destinations[s.Destination]) && inZone[s.Name] {
			names = append(names, s.Name)
		}
	}
	if fault.Share > 0 {
		shuffle(random, names)
		names = names[:shareOf(fault.Share, len(names))]
	}
	return names
}

// addRelayFault adds the steps of a fault of relays, and returns the names of the affected relays.
func (p *planner) addRelayFault(random *rand.Rand, fault Fault) (names []string) {
	for i, number := range p.chooseRelays(random, fault) {
		name := RelayName(number)
		names = append(names, name)
		delay := time.Duration(i) * fault.Stagger.AsDuration()
		p.addStepsOfRelay(fault, name, fault.Start.AsDuration()+delay, fault.end()+delay)
	}
	return names
}

func (p *planner) addStepsOfRelay(fault Fault, name string, begin, end time.Duration) {
	step := Step{At: begin, Target: name}
	last := Step{Target: name}
	switch fault.Kind {
	case FaultDiscoveryDown:
		step.Op, last.Op = OpSilenceDiscovery, OpRestoreDiscovery
	case FaultDiscoveryDelay:
		step.Op, last.Op = OpDelayDiscovery, OpDelayDiscovery
		step.Duration = fault.Delay.AsDuration()
	case FaultCopyReplies:
		step.Op, last.Op = OpCopyReplies, OpCopyReplies
		step.Value, step.Duration = fault.CallRatio, fault.Delay.AsDuration()
	case FaultRefuseNotices:
		step.Op, last.Op = OpRefuseNotices, OpRefuseNotices
		step.Value = fault.CallRatio
	case FaultRepeatEntries:
		step.Op, last.Op = OpRepeatEntries, OpRepeatEntries
		step.Value = fault.CallRatio
	case FaultStall:
		step.Op, last.Op = OpStall, OpResume
	case FaultTerminate:
		step.Op = OpTerminate
	case FaultKill:
		step.Op = OpKill
		if fault.StateFolder != StateFolderKept {
			step.StateFolder = fault.StateFolder
		}
	case FaultReload:
		step.Op = OpReload
	case FaultClockStep:
		step.Op, step.Duration = OpStepClock, fault.ClockOffset.AsDuration()
	}
	if last.Op == "" {
		p.addStep(step)
		return
	}
	p.addStepPair(begin, end, step, last)
}

// chooseRelays returns the numbers, counted from 1, of the relays that a fault affects.
func (p *planner) chooseRelays(random *rand.Rand, fault Fault) []int {
	if len(fault.Relays) > 0 {
		return fault.Relays
	}
	var numbers []int
	for i := range p.File.Relays {
		zone := p.File.Zones[i%len(p.File.Zones)] // relays are assigned to the zones in turn
		if fault.Zone == "" || zone == fault.Zone {
			numbers = append(numbers, i+1)
		}
	}
	if count := fault.relayCount(len(numbers)); count < len(numbers) {
		shuffle(random, numbers)
		numbers = numbers[:count]
		slices.Sort(numbers)
	}
	return numbers
}

// relayCount returns how many of the given number of relays a fault affects.
func (fault *Fault) relayCount(relays int) int {
	if fault.Share > 0 {
		return shareOf(fault.Share, relays)
	}
	switch fault.RelayGroup {
	case GroupOne:
		return 1
	case GroupHalf:
		return max(1, relays/2)
	case GroupThird:
		return max(1, relays/3)
	case GroupAllButOne:
		return max(1, relays-1)
	default:
		return relays
	}
}

// addLinkFault adds the steps of a fault of the links between the affected relays and all others, or of all links if
// all relays are affected. It returns the names of the affected relays.
func (p *planner) addLinkFault(random *rand.Rand, fault Fault) (names []string) {
	affected := p.chooseRelays(random, fault)
	for _, number := range affected {
		name := RelayName(number)
		names = append(names, name)
		for i := range p.File.Relays {
			other := i + 1
			bothAffected := len(affected) < p.File.Relays && slices.Contains(affected, other)
			if other == number || bothAffected {
				continue
			}
			if fault.Direction != DirectionIn {
				p.addStepsOfLink(fault, LinkName(name, RelayName(other)))
			}
			if fault.Direction != DirectionOut {
				p.addStepsOfLink(fault, LinkName(RelayName(other), name))
			}
		}
	}
	return names
}

func (p *planner) addStepsOfLink(fault Fault, link string) {
	first := Step{Target: link}
	switch fault.Kind {
	case FaultLinkCut:
		first.Op = OpLinkCut
	case FaultLinkLoss:
		first.Op, first.Value = OpLinkLoss, fault.LossRatio
	case FaultLinkDelay:
		first.Op, first.Duration = OpLinkDelay, fault.Delay.AsDuration()
	case FaultLinkReorder:
		first.Op, first.Value = OpLinkReorder, fault.ReorderRatio
	case FaultLinkThrottle:
		first.Op, first.Value = OpLinkThrottle, float64(fault.BytesPerSecond)
	}
	p.addStepPair(fault.Start.AsDuration(), fault.end(), first, Step{Op: OpLinkRestore, Target: link})
}

// shareOf returns a share (0 to 1) of a count, rounded up.
func shareOf(share float64, count int) int { return int(math.Ceil(share * float64(count))) }

func shuffle[T any](random *rand.Rand, items []T) {
	random.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
}

func setOf(numbers []int) map[int]bool {
	set := make(map[int]bool, len(numbers))
	for _, number := range numbers {
		set[number] = true
	}
	return set
}
