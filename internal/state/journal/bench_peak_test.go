package journal

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	peakTick    = 5 * time.Millisecond // virtual time per step of the simulation
	maxLifetime = 12 * time.Second     // longest time from acceptance to removal of a message
)

// peakHour simulates an hour of messages in virtual time.
type peakHour struct {
	b       *testing.B
	rng     *rand.Rand
	journal *Journal
	// removals is a ring buffer with one entry for each tick: the messages that are removed in that tick.
	removals [int(maxLifetime/peakTick) + 1][]*Message

	lastID      policy.MessageID
	live        int
	maxLive     int
	rejected    int
	longestStep time.Duration
}

// BenchmarkPeakHour simulates an hour in which the arrival rate rises from 40 to 360 messages per second and falls
// again. Nine of ten messages are removed within 0.6 s, the others within 12 s. A fifth of the messages has a second
// attempt. The smaller disk limit is the platform's. The benchmark reports the cost of the hour and how many messages
// were rejected because the journal was full.
func BenchmarkPeakHour(b *testing.B) {
	if !*large {
		b.Skip("runs only with -large")
	}
	for _, limit := range []int64{3e6, 64e6} {
		b.Run(fmt.Sprint(limit/1e6, "MB"), func(b *testing.B) {
			for b.Loop() {
				benchmarkPeakHour(b, limit)
			}
		})
	}
}

func benchmarkPeakHour(b *testing.B, limit int64) {
	j, _, err := OpenFolder(b.TempDir(), Options{Limit: limit})
	must(b, err)
	p := &peakHour{b: b, rng: rand.New(rand.NewPCG(1, 7)), journal: j}
	for at := time.Duration(0); at < time.Hour; at += peakTick {
		p.step(at)
	}
	stats := j.Stats()
	b.ReportMetric(float64(p.lastID), "messages")
	b.ReportMetric(float64(p.rejected), "rejected")
	b.ReportMetric(float64(p.maxLive), "max-live")
	reportWrites(b, stats)
	b.ReportMetric(float64(stats.CommittedBytes)/1e6, "MB-written")
	b.ReportMetric(milliseconds(p.longestStep), "longest-step-ms")
	must(b, j.Close())
}

// step simulates one tick: it removes messages, accepts new ones and records their attempts.
func (p *peakHour) step(at time.Duration) {
	tick := int(at/peakTick) % len(p.removals)
	begin := time.Now()
	for _, m := range p.removals[tick] {
		p.journal.Remove(m)
		p.live--
	}
	p.removals[tick] = p.removals[tick][:0]
	arrived := p.arrivals(at)
	err := p.journal.Accept(arrived...)
	if errors.Is(err, ErrFull) {
		p.rejected += len(arrived)
		return
	}
	must(p.b, err)
	for _, m := range arrived {
		p.send(m)
		p.scheduleRemoval(m, tick)
	}
	must(p.b, p.journal.Flush())
	p.maxLive = max(p.maxLive, p.live)
	p.longestStep = max(p.longestStep, time.Since(begin))
}

// arrivals returns the messages that arrive in the tick that starts at the given virtual time.
func (p *peakHour) arrivals(at time.Duration) []*Message {
	load := math.Sin(math.Pi * float64(at) / float64(time.Hour))
	expected := (40 + 320*load*load) * peakTick.Seconds()
	var messages []*Message
	for ; expected > 0 && p.rng.Float64() < expected; expected-- {
		p.lastID++
		messages = append(messages, benchMessage(p.lastID, 100+p.rng.IntN(500)))
	}
	return messages
}

// send records the attempts of a message.
func (p *peakHour) send(m *Message) {
	attempts := 1 + p.rng.IntN(5)/4
	for number := range attempts {
		attempt := Attempt{Number: number, Endpoint: "s-5be2a07c", SentAt: time.Unix(1e9, 0)}
		must(p.b, p.journal.RecordSends(Send{m, attempt}))
	}
}

// scheduleRemoval chooses the tick in which a message is removed.
func (p *peakHour) scheduleRemoval(m *Message, tick int) {
	lifetime := time.Duration(p.rng.Float64() * float64(600*time.Millisecond))
	if p.rng.IntN(10) == 0 {
		lifetime = time.Duration(p.rng.Float64() * float64(maxLifetime-peakTick))
	}
	last := (tick + 1 + int(lifetime/peakTick)) % len(p.removals)
	p.removals[last] = append(p.removals[last], m)
	p.live++
}
