package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/simulation/engine"
)

const (
	orderingKeysPerDestination = 4
	burstInterval              = time.Millisecond // time between the messages of a burst
	// dinnerMinRatio is the rate of ShapeDinner at its start and end, relative to its peak.
	dinnerMinRatio = 0.25
	// A retry is sent after RetryBackoff times a factor that is drawn between minRetryFactor and minRetryFactor + 1.
	minRetryFactor = 0.5
)

// TrafficGenerator draws the messages of one Traffic entry of a scenario, burst by burst in the order of time.
type TrafficGenerator struct {
	file        File
	traffic     Traffic
	random      *rand.Rand
	at          time.Duration
	totalWeight float64 // sum of the TrafficWeights of all destinations
	// relayShares holds the cumulative shares of the relays in the traffic, up to 1; nil: equal shares.
	relayShares []float64
}

// NewTrafficGenerator returns the generator of the n-th Traffic entry, counted from 0, for the seed of a plan.
func (f File) NewTrafficGenerator(seed uint64, n int) *TrafficGenerator {
	g := &TrafficGenerator{
		file:        f,
		traffic:     f.Traffic[n],
		random:      engine.NewRandom(seed, streamTraffic, n),
		at:          f.Traffic[n].From.AsDuration(),
		relayShares: f.drawRelayShares(seed),
	}
	for _, d := range f.Destinations {
		g.totalWeight += d.TrafficWeight * float64(d.Count)
	}
	return g
}

// drawRelayShares draws the cumulative shares of the relays in the traffic, up to 1; nil: equal shares. The share of a
// relay is lognormal. All Traffic entries of a plan have the same shares.
func (f File) drawRelayShares(seed uint64) []float64 {
	variation := f.Clients.RelayVariation
	if variation == 0 {
		return nil
	}
	random := engine.NewRandom(seed, streamRelays, 0)
	sigma := math.Sqrt(math.Log(1 + variation*variation))
	shares := make([]float64, 0, f.Relays)
	total := 0.0
	for range f.Relays {
		total += math.Exp(sigma * random.NormFloat64())
		shares = append(shares, total)
	}
	for i := range shares {
		shares[i] /= total
	}
	return shares
}

// Next returns the next message, or all messages of the next burst, without ids and idempotency keys. It returns false
// at the end of the traffic.
func (g *TrafficGenerator) Next() (group []Arrival, ok bool) {
	size := 1
	if g.traffic.Shape == ShapeBursts {
		size = g.traffic.BurstSize
	}
	end := g.traffic.To.AsDuration()
	for len(group) == 0 {
		g.at += time.Duration(g.random.ExpFloat64() / g.traffic.Rate * float64(size) * float64(time.Second))
		if g.at >= end {
			return nil, false
		}
		if g.random.Float64() > g.traffic.rateRatio(g.at) {
			continue
		}
		destination := g.drawDestination()
		for i := range size {
			arrival := g.drawArrival(g.at+time.Duration(i)*burstInterval, destination)
			if arrival.At < end {
				group = append(group, arrival)
			}
		}
	}
	return group, true
}

// rateRatio returns the rate of the traffic at a time, relative to Rate.
func (t *Traffic) rateRatio(at time.Duration) float64 {
	if t.Shape != ShapeDinner {
		return 1
	}
	position := float64(at-t.From.AsDuration()) / float64(t.To-t.From)
	return dinnerMinRatio + (1-dinnerMinRatio)*math.Sin(math.Pi*position)
}

func (g *TrafficGenerator) drawArrival(at time.Duration, destination int) Arrival {
	arrival := Arrival{At: at, Destination: destination, BodySize: g.traffic.BodySize, Relay: g.drawRelay()}
	arrival.Class = drawByShare(g.random, g.file.Classes, g.traffic.Class,
		func(c Class) (string, float64) { return c.Name, c.TrafficShare })
	arrival.Customer = drawByShare(g.random, g.file.Customers, g.traffic.Customer,
		func(c Customer) (string, float64) { return c.Name, c.TrafficShare })
	if g.file.Classes[arrival.Class].Ordered {
		arrival.OrderingKey = fmt.Sprintf("o%d-%d", destination, g.random.IntN(orderingKeysPerDestination))
	}
	if g.random.Float64() < *g.file.Clients.RetryRatio {
		factor := minRetryFactor + g.random.Float64()
		arrival.RetryDelay = time.Duration(factor * float64(g.file.Clients.RetryBackoff))
	}
	return arrival
}

// drawRelay draws the relay to which a message is submitted, counted from 0.
func (g *TrafficGenerator) drawRelay() int {
	if g.relayShares == nil {
		return g.random.IntN(g.file.Relays)
	}
	position := g.random.Float64()
	return min(len(g.relayShares)-1, sort.SearchFloat64s(g.relayShares, position))
}

// drawDestination draws the number of a destination, counted from 1.
func (g *TrafficGenerator) drawDestination() int {
	if len(g.traffic.Destinations) > 0 {
		return g.traffic.Destinations[g.random.IntN(len(g.traffic.Destinations))]
	}
	position := g.random.Float64() * g.totalWeight
	first := 0 // number of the last destination before those of d
	for _, d := range g.file.Destinations {
		weight := d.TrafficWeight * float64(d.Count)
		if position < weight {
			return first + min(d.Count, 1+int(position/d.TrafficWeight))
		}
		position -= weight
		first += d.Count
	}
	return first
}

// drawByShare returns the index of the item with the given name. If the name is empty, it draws an item by the shares.
func drawByShare[T any](random *rand.Rand, items []T, name string, nameAndShare func(T) (string, float64)) int {
	total := 0.0
	for i, item := range items {
		itemName, share := nameAndShare(item)
		if name != "" && itemName == name {
			return i
		}
		total += share
	}
	position := random.Float64() * total
	for i, item := range items {
		_, share := nameAndShare(item)
		if position -= share; position < 0 {
			return i
		}
	}
	return len(items) - 1
}
