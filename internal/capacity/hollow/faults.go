package hollow

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/capacity/usage"
)

// Parts of the metrics of faults: what the members learn of, and what is measured of that.
const (
	lossPrefix   = "gone"
	healedPrefix = "healed"

	knownFractionSuffix    = "_known_share"
	knownByteRateSuffix    = "_sent_bytes_per_s"
	knownCPUSuffix         = "_processor_ms_per_s"
	knownByHalfSuffix      = "_half_s"
	knownBy99PercentSuffix = "_99_s"
	knownByAllSuffix       = "_all_s"
)

// LoseZone stops the first members all at once, as if their machines had lost power, and measures how long the others
// need to learn of it, and what they send and spend meanwhile. Nothing reaches the lost members or comes from them.
func (f *Fleet) LoseZone(size int) Measurement {
	isLost := func(index int) bool { return index < size }
	f.network.partition(func(from, to int) bool { return isLost(from) || isLost(to) })
	for _, m := range f.members[:size] {
		m.stop()
	}
	return Measurement{f.options.Members, f.awaitAlive(lossPrefix, f.members[size:], f.options.Members-size)}
}

// PartitionRegion separates the first members from all others for a while, heals the partition, and measures how long
// all members need to be one fleet again, and what they send and spend from then on. For each side it also tells the
// fraction of members that had found all of the other side dead before. A few members that hear nobody of many doubt
// themselves first (Lifeguard), and need longer.
func (f *Fleet) PartitionRegion(size int, duration time.Duration) Measurement {
	f.network.partition(func(from, to int) bool { return (from < size) != (to < size) })
	time.Sleep(duration)
	isolated, remaining := splitFraction(f.members[:size]), splitFraction(f.members[size:])
	f.network.heal()
	values := f.awaitAlive(healedPrefix, f.members, f.options.Members)
	values[IsolatedSplitFraction], values[RemainingSplitFraction] = isolated, remaining
	return Measurement{f.options.Members, values}
}

// splitFraction returns the fraction of members to which exactly these members are alive.
func splitFraction(members []*simulatedMember) float64 {
	split := 0.0
	for _, m := range members {
		if m.member.AliveCount() == len(members) {
			split++
		}
	}
	return split / float64(len(members))
}

// awaitAlive waits until so many members are alive to each of the observers, for ChangeTimeout at most. It returns how
// long they needed, and what they sent and spent, as metrics with a prefix.
func (f *Fleet) awaitAlive(prefix string, observers []*simulatedMember, alive int) map[Metric]float64 {
	began, sentBefore, cpuBefore := time.Now(), f.sentBytes(observers), usage.ProcessCPU()
	var times []float64
	informed := make([]bool, len(observers))
	for len(times) < len(observers) && time.Since(began) < f.options.ChangeTimeout {
		time.Sleep(pollInterval)
		for i, m := range observers {
			if !informed[i] && m.member.AliveCount() == alive {
				informed[i] = true
				times = append(times, time.Since(began).Seconds())
			}
		}
	}
	seconds, count := time.Since(began).Seconds(), float64(len(observers))
	sent, cpu := f.sentBytes(observers)-sentBefore, usage.ProcessCPU()-cpuBefore
	metric := func(suffix string) Metric { return Metric(prefix + suffix) }
	values := map[Metric]float64{
		metric(knownFractionSuffix): float64(len(times)) / count,
		metric(knownByteRateSuffix): float64(sent) / count / seconds,
		metric(knownCPUSuffix):      milliseconds(cpu) / count / seconds,
	}
	slices.Sort(times)
	for suffix, fraction := range map[string]float64{
		knownByHalfSuffix:      0.5,
		knownBy99PercentSuffix: 0.99,
		knownByAllSuffix:       1,
	} {
		if i := int(fraction*count+0.999) - 1; i < len(times) { // without a time for what did not happen
			values[metric(suffix)] = times[i]
		}
	}
	return values
}

// sentBytes returns what members have sent so far.
func (f *Fleet) sentBytes(members []*simulatedMember) (sum uint64) {
	for _, m := range members {
		sum += f.network.transports[m.index].sentBytes.Load()
	}
	return sum
}
