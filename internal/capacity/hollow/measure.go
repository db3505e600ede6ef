package hollow

import (
	"errors"
	"maps"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"cherrytrestle.example/cherrytrestle/internal/capacity/usage"
)

// Measure starts a fleet, measures the propagation of changes and the rates and memory of its members, and stops the
// fleet.
func Measure(options Options) (m Measurement, err error) {
	before, began := memoryInUse(), time.Now()
	f, err := Start(options)
	if err != nil {
		return Measurement{}, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	joinTime := time.Since(began)
	time.Sleep(f.options.SettleTime)
	propagation := f.measurePropagation()
	m = f.measureRates()
	m.Values[JoinTime] = joinTime.Seconds()
	m.Values[Memory] = growth(before, memoryInUse()) / float64(f.options.Members)
	maps.Copy(m.Values, propagation)
	return m, nil
}

// measurePropagation makes Options.Changes changes, one after the other, and returns statistics of the times until the
// other members receive them.
func (f *Fleet) measurePropagation() map[Metric]float64 {
	if f.options.Changes == 0 {
		return nil
	}
	others := f.options.Members - 1
	var half, most, all, informed []float64
	for i := range f.options.Changes {
		times := f.Change(i * f.options.Members / f.options.Changes)
		timeUntil := func(count int) float64 {
			if count > len(times) {
				return f.options.ChangeTimeout.Seconds() // a lower bound: the change did not get that far
			}
			return times[count-1].Seconds()
		}
		half = append(half, timeUntil((others+1)/2))
		most = append(most, timeUntil((others*99+99)/100))
		all = append(all, timeUntil(others))
		informed = append(informed, float64(len(times))/float64(others))
	}
	return map[Metric]float64{
		PropagationHalf:  median(half),
		Propagation99:    median(most),
		PropagationAll:   median(all),
		PropagationWorst: slices.Max(all),
		InformedFraction: slices.Min(informed),
	}
}

// counters are the totals of all members so far, with the time at which they were read.
type counters struct {
	at                               time.Time
	cpu                              time.Duration
	sentBytes, receivedBytes         uint64
	sentDatagrams, receivedDatagrams uint64
	droppedDatagrams, streams, steps uint64
	sentBytesByMember                []uint64
}

func (f *Fleet) counters() counters {
	c := counters{at: time.Now(), cpu: usage.ProcessCPU()}
	for i, t := range f.network.transports {
		c.sentBytes += t.sentBytes.Load()
		c.receivedBytes += t.receivedBytes.Load()
		c.sentDatagrams += t.sentDatagrams.Load()
		c.receivedDatagrams += t.receivedDatagrams.Load()
		c.streams += t.streams.Load()
		c.droppedDatagrams += t.droppedDatagrams.Load()
		c.steps += f.members[i].steps.Load()
		c.sentBytesByMember = append(c.sentBytesByMember, t.sentBytes.Load())
	}
	return c
}

// measureRates returns the traffic, steps and processor time of a member per second, as means over all members and over
// MeasureTime.
func (f *Fleet) measureRates() Measurement {
	before := f.counters()
	time.Sleep(f.options.MeasureTime)
	after := f.counters()
	members, seconds := float64(f.options.Members), after.at.Sub(before.at).Seconds()
	rate := func(before, after uint64) float64 { return float64(after-before) / members / seconds }
	byMember := make([]float64, len(before.sentBytesByMember))
	for i := range byMember {
		byMember[i] = float64(after.sentBytesByMember[i]-before.sentBytesByMember[i]) / seconds
	}
	slices.Sort(byMember)
	return Measurement{f.options.Members, map[Metric]float64{
		SentByteRate:         rate(before.sentBytes, after.sentBytes),
		SentByteRateP99:      stat.Quantile(0.99, stat.Empirical, byMember, nil),
		ReceivedByteRate:     rate(before.receivedBytes, after.receivedBytes),
		SentDatagramRate:     rate(before.sentDatagrams, after.sentDatagrams),
		ReceivedDatagramRate: rate(before.receivedDatagrams, after.receivedDatagrams),
		StreamRate:           rate(before.streams, after.streams),
		DroppedDatagramRate:  rate(before.droppedDatagrams, after.droppedDatagrams),
		StepRate:             rate(before.steps, after.steps),
		CPUPerSecond:         milliseconds(after.cpu-before.cpu) / members / seconds,
	}}
}
