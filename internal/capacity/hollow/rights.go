package hollow

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/codec"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// a relay under traffic steps more often: that is in the measure of whole members
	rightsStep  = 50 * time.Millisecond
	renewEvery  = 600 * time.Millisecond
	measured    = 4 // members, one after the other
	stationsMax = 1 << 16
)

// Rights measures one member's part in sharing limits, in virtual time: its book (package rights) and codec are real,
// and what it tells and hears passes through the codec. Hollow are all others: they acknowledge, say that they hold no
// loans of an earlier life, and each lends to it what it is the keeper of; they ask for nothing. So what busy
// destinations add is not in it, nor what the link spends on datagrams. Compare Measure with Rights on.
func Rights(members, destinations int, limit float64) (Reading, error) {
	if members < 2 || destinations < 1 || members > stationsMax || destinations > stationsMax {
		return Reading{}, fmt.Errorf("hollow: rights of %d members and %d destinations", members, destinations)
	}
	c, err := codec.New()
	if err != nil {
		return Reading{}, err
	}
	sum := map[string]float64{}
	for k := range measured {
		one, err := rightsOf(c, members, destinations, limit, k*members/measured)
		if err != nil {
			return Reading{}, err
		}
		for name, x := range one {
			sum[name] += x / measured
		}
	}
	return Reading{members, sum}, nil
}

// station is a hollow member as the real one knows it.
type station struct {
	life loadreport.Incarnation
	seq  uint64
	at   time.Duration // when it lends next
}

// post passes messages through the codec and counts them.
type post struct {
	codec            *codec.Codec
	datagrams, bytes float64
}

func (p *post) pass(from string, boot uint32, now time.Duration, m quota.Message) (quota.Message, error) {
	w := codec.Message{From: from, Boot: boot, Clock: now.Microseconds()}
	w.SetQuotaMessage(m)
	data, err := p.codec.Encode(w)
	if err != nil {
		return m, err
	}
	p.datagrams++
	p.bytes += float64(len(data))
	r, err := p.codec.Decode(data)
	if err != nil {
		return m, err
	}
	return r.QuotaMessage(), nil
}

func rightsOf(c *codec.Codec, members, destinations int, limit float64, self int) (map[string]float64, error) {
	const settle, window = 6 * time.Second, 6 * time.Second
	var names []string
	stations := map[string]*station{}
	rng := rand.New(rand.NewPCG(uint64(members), uint64(self)))
	for i := range members {
		names = append(names, memberName(i))
		stations[memberName(i)] = &station{
			life: loadreport.Incarnation{
				Generation: 1,
				Boot:       uint32(i + 1),
			}, at: time.Duration(rng.Int64N(int64(renewEvery))),
		}
	}
	me, life := names[self], stations[names[self]].life
	limits := loadreport.Limits{}
	for d := range destinations {
		limits[policy.DestinationID(d)] = map[string]float64{"": limit}
	}
	part := limit / float64(members)
	before := heap()
	b := quota.New(0, quota.Settings{Self: me, Incarnation: life, Members: names, FleetSize: members})
	b.SetLimits(0, limits)
	sent, heard := &post{codec: c}, &post{codec: c}
	values := map[string]float64{}
	var err error
	var used time.Duration
	loans := 0
	for now := time.Duration(0); now < settle+window; now += rightsStep {
		if now == settle {
			values["start_datagrams_per_s"] = sent.datagrams / settle.Seconds()
			*sent, *heard = post{codec: c}, post{codec: c}
			used, loans = 0, 0
		}
		var told []quota.Message
		used += spent(func() { told, _ = b.Step(now) })
		var answers []quota.Message
		for _, m := range told {
			loans += len(m.Leases)
			var got quota.Message
			// with the reading, which is another's: as much as the writing of an answer
			used += spent(func() { got, err = sent.pass(me, life.Boot, now, m) })
			if err != nil {
				return nil, fmt.Errorf("hollow: %w", err)
			}
			if s := stations[m.Member]; got.Ping || got.AsksForLeases || len(got.Leases)+len(got.Requests) > 0 {
				s.seq++
				answers = append(
					answers,
					quota.Message{
						Member:           m.Member,
						Incarnation:      s.life,
						Seq:              s.seq,
						AckedSeq:         m.Seq,
						AckedIncarnation: life,
						HoldsNoLease:     got.AsksForLeases,
					},
				)
			}
		}
		var mine []quota.Lease
		for _, st := range b.Status(now) {
			if st.LeaseHolder == me {
				mine = append(
					mine,
					quota.Lease{
						Scope: quota.Scope{Destination: st.Destination},
						Rate:  (1 - quota.ReservedFraction) * part,
					},
				)
			}
		}
		for _, name := range names {
			if s := stations[name]; name != me && now >= s.at && len(mine) > 0 &&
				now > quota.LeaseDuration+quota.LeaseMargin {
				s.at = now + renewEvery
				for rest := mine; len(rest) > 0; {
					n := min(len(rest), 24)
					s.seq++
					answers = append(
						answers,
						quota.Message{
							Member:           name,
							Incarnation:      s.life,
							Seq:              s.seq,
							AckedIncarnation: life,
							Leases:           rest[:n],
						},
					)
					rest = rest[n:]
				}
			}
		}
		for _, m := range answers {
			used += spent(func() {
				var got quota.Message
				if got, err = heard.pass(m.Member, m.Incarnation.Boot, now, m); err == nil {
					b.Receive(now, got)
				}
			})
			if err != nil {
				return nil, fmt.Errorf("hollow: %w", err)
			}
		}
	}
	s := window.Seconds()
	values["sent_datagrams_per_s"], values["sent_bytes_per_s"] = sent.datagrams/s, sent.bytes/s
	values["loans_per_s"] = float64(loans) / s
	values["heard_datagrams_per_s"], values["heard_bytes_per_s"] = heard.datagrams/s, heard.bytes/s
	values["processor_ms_per_s"] = float64(used.Microseconds()) / 1000 / s
	after := heap()
	values["memory_bytes"] = float64(after - min(before, after))
	keeps, shared := 0, b.Status(settle+window)
	for _, st := range shared {
		if st.LeaseHolder == me {
			keeps++
		}
	}
	values["kept_destinations"], values["shared_destinations"] = float64(keeps), float64(len(shared))
	return values, nil
}
