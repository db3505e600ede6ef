package hollow

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/capacity/usage"
)

// Parts of the names of fault metrics: the prefix names the fault, the suffix names the measured quantity.
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

// LoseZone stops the first size members at once, as if their machines had lost power, and separates them from the
// network. It measures how long the other members take to detect the loss, and the bytes that they send and the
// processor time that they use until then.
func (f *Fleet) LoseZone(size int) Measurement {
	isLost := func(index int) bool { return index < size }
	f.network.partition(func(from, to int) bool { return isLost(from) || isLost(to) })
	for _, m := range f.members[:size] {
		m.stop()
	}
	return Measurement{f.options.Members, f.awaitAlive(lossPrefix, f.members[size:], f.options.Members-size)}
}

// PartitionRegion separates the first size members from all others for a duration and then heals the partition. It
// measures how long it takes after the healing until all members are alive to each other again, and the bytes that they
// send and the processor time that they use until then. For each side it also returns the fraction of members that had
// declared all members of the other side dead before the healing. The smaller side takes longer to do that: a member
// whose probes fail for most of the fleet suspects its own connection first (Lifeguard) and waits longer.
func (f *Fleet) PartitionRegion(size int, duration time.Duration) Measurement {
	f.network.partition(func(from, to int) bool { return (from < size) != (to < size) })
	time.Sleep(duration)
	isolated, remaining := splitFraction(f.members[:size]), splitFraction(f.members[size:])
	f.network.heal()
	values := f.awaitAlive(healedPrefix, f.members, f.options.Members)
	values[IsolatedSplitFraction], values[RemainingSplitFraction] = isolated, remaining
	return Measurement{f.options.Members, values}
}

// splitFraction returns the fraction of the given members that see exactly len(members) alive members: each other, and
// no member of the other side.
func splitFraction(members []*simulatedMember) float64 {
	split := 0.0
	for _, m := range members {
		if m.member.AliveCount() == len(members) {
			split++
		}
	}
	return split / float64(len(members))
}

// awaitAlive waits until each observer sees the given number of alive members, but at most ChangeTimeout. It returns
// the times that the observers took, and the bytes that they sent and the processor time that they used meanwhile, as
// metrics whose names begin with the prefix.
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
		if i := int(fraction*count+0.999) - 1; i < len(times) { // no metric if fewer observers succeeded
			values[metric(suffix)] = times[i]
		}
	}
	return values
}

// sentBytes returns the number of bytes that the members have sent so far.
func (f *Fleet) sentBytes(members []*simulatedMember) (sum uint64) {
	for _, m := range members {
		sum += f.network.transports[m.index].sentBytes.Load()
	}
	return sum
}
