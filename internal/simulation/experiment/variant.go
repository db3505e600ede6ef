package experiment

import (
	"math/rand/v2"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// The bounds of the faults that a search draws.
const (
	maxFaults            = 5
	maxFaultDestinations = 3
	minFaultTime         = time.Second // the earliest start and the shortest duration of a fault
	maxFaultDuration     = 12 * time.Second
	// latestFaultTenths is the latest start of a fault, in tenths of the scenario's length.
	latestFaultTenths = 7
	minDiscoveryDelay = 500 * time.Millisecond
	maxDiscoveryDelay = 5 * time.Second
)

// faultKinds are the kinds of faults that a search draws from.
var faultKinds = []scenario.FaultKind{
	scenario.FaultDrain,
	scenario.FaultRemove,
	scenario.FaultFailCalls,
	scenario.FaultSuspend,
	scenario.FaultSlow,
	scenario.FaultSilence,
	scenario.FaultCrash,
	scenario.FaultCutOff,
	scenario.FaultDiscoveryDown,
	scenario.FaultDiscoveryDelay,
	scenario.FaultTerminate,
	scenario.FaultKill,
}

// drawVariant returns the scenario with random faults in place of its own, and with 0.5 to 1.5 times its load. The
// order of the draws is fixed, so that equal seeds give equal variants.
func drawVariant(base scenario.File, random *rand.Rand) scenario.File {
	file := base.Clone()
	file.Name = base.Name + "-hunted"
	file.Description = "Found by a hunt."
	file.Faults = nil
	for range 1 + random.IntN(maxFaults) {
		file.Faults = append(file.Faults, drawFault(&file, random))
	}
	factor := 0.5 + random.Float64()
	for i := range file.Traffic {
		file.Traffic[i].Rate = max(1, float64(int(file.Traffic[i].Rate*factor)))
	}
	file.SetDefaults()
	return file
}

func drawFault(file *scenario.File, random *rand.Rand) scenario.Fault {
	fault := scenario.Fault{
		Kind:     faultKinds[random.IntN(len(faultKinds))],
		Start:    drawDuration(random, minFaultTime, file.Length.AsDuration()*latestFaultTenths/10),
		Duration: drawDuration(random, minFaultTime, maxFaultDuration),
	}
	switch fault.Kind {
	case scenario.FaultDrain, scenario.FaultRemove:
		fault.Share = 0.1 + 0.6*random.Float64()
		fault.ReplaceEndpoints = random.IntN(4) > 0
		fault.BatchSize = 1 + random.IntN(3)
	case scenario.FaultDiscoveryDown:
	case scenario.FaultDiscoveryDelay:
		fault.Delay = drawDuration(random, minDiscoveryDelay, maxDiscoveryDelay)
	case scenario.FaultTerminate, scenario.FaultKill:
		fault.Duration = 0
		fault.Relays = []int{1 + random.IntN(file.Relays)}
	case scenario.FaultFailCalls:
		fault.CallRatio = 0.3 + 0.7*random.Float64()
		fault.Destinations = drawDestinations(file, random)
	case scenario.FaultSlow:
		fault.Factor = 2 + 15*random.Float64()
		fault.Destinations = drawDestinations(file, random)
	default:
		fault.Destinations = drawDestinations(file, random)
	}
	return fault
}

func drawDuration(random *rand.Rand, shortest, longest time.Duration) scenario.Duration {
	drawn := shortest + time.Duration(random.Int64N(int64(longest-shortest)))
	return scenario.Duration(drawn.Round(timeUnit))
}

// drawDestinations draws up to maxFaultDestinations destinations, and returns their numbers, counted from 1.
func drawDestinations(file *scenario.File, random *rand.Rand) (numbers []int) {
	total := 0
	for _, destination := range file.Destinations {
		total += destination.Count
	}
	for range 1 + random.IntN(maxFaultDestinations) {
		if number := 1 + random.IntN(total); !slices.Contains(numbers, number) {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}
