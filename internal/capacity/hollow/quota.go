package hollow

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/capacity/usage"
	"cherrytrestle.example/cherrytrestle/internal/fleet/codec"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// quotaStepInterval is the step interval of a member without load. A relay under load steps more often. The cost of
	// these additional steps is included in the results of Measure, not in those of MeasureQuota.
	quotaStepInterval = 50 * time.Millisecond
	// renewInterval is how often a member renews the leases that it grants.
	renewInterval = 600 * time.Millisecond
	// quotaSettleTime is the virtual time between the start of the ledger and the measurement.
	quotaSettleTime = 6 * time.Second
	// quotaMeasureTime is the virtual time that the measurement takes.
	quotaMeasureTime = 6 * time.Second
	// measuredMembers is the number of members that are measured, one after the other. The result is their mean.
	measuredMembers = 4
	// maxLeasesPerDatagram is how many leases a simulated peer puts into one datagram.
	maxLeasesPerDatagram = 24
	maxQuotaSize         = 1 << 16 // maximum number of members, and of destinations
)

// MeasureQuota measures the cost to one member of sharing the limits of destinations, in virtual time. The quota ledger
// and the codec of this member are real, and all its messages pass through the codec. The other members are simulated:
// they acknowledge messages, answer that they hold no lease of an earlier incarnation, and grant leases for the
// destinations whose lease holder is the measured member. They send no requests, so the additional cost of active
// destinations is not included. Nor is the cost of datagrams in the membership code. Measure with ShareQuota includes
// both.
func MeasureQuota(members, destinations int, limit float64) (Measurement, error) {
	if members < 2 || destinations < 1 || members > maxQuotaSize || destinations > maxQuotaSize {
		return Measurement{}, fmt.Errorf("hollow: %d members, want 2 to %d; %d destinations, want 1 to %d",
			members, maxQuotaSize, destinations, maxQuotaSize)
	}
	c, err := codec.New()
	if err != nil {
		return Measurement{}, fmt.Errorf("hollow: %w", err)
	}
	mean := map[Metric]float64{}
	for i := range measuredMembers {
		values, err := measureQuotaOf(c, members, destinations, limit, i*members/measuredMembers)
		if err != nil {
			return Measurement{}, err
		}
		for metric, value := range values {
			mean[metric] += value / measuredMembers
		}
	}
	return Measurement{members, mean}, nil
}

// quotaPeer is a simulated member that exchanges messages with the measured one.
type quotaPeer struct {
	name        string
	incarnation loadreport.Incarnation
	seq         uint64 // of its last message
	nextGrant   time.Duration
}

// message returns the peer's next message, without content. The message acknowledges the measured member's incarnation.
func (p *quotaPeer) message(acked loadreport.Incarnation) quota.Message {
	p.seq++
	return quota.Message{Member: p.name, Incarnation: p.incarnation, Seq: p.seq, AckedIncarnation: acked}
}

// quotaLink passes messages through the codec, and counts their datagrams and encoded bytes.
type quotaLink struct {
	codec            *codec.Codec
	datagrams, bytes float64
}

// pass encodes a message, counts it, and returns the message that the receiver decodes.
func (l *quotaLink) pass(sender string, boot uint32, now time.Duration, m quota.Message) (quota.Message, error) {
	datagram := codec.Message{From: sender, Boot: boot, Clock: now.Microseconds()}
	datagram.SetQuotaMessage(m)
	data, err := l.codec.Encode(datagram)
	if err != nil {
		return quota.Message{}, fmt.Errorf("hollow: %w", err)
	}
	l.datagrams++
	l.bytes += float64(len(data))
	decoded, err := l.codec.Decode(data)
	if err != nil {
		return quota.Message{}, fmt.Errorf("hollow: %w", err)
	}
	return decoded.QuotaMessage(), nil
}

// quotaSimulation is one real ledger among simulated peers.
type quotaSimulation struct {
	self        string
	incarnation loadreport.Incarnation
	ledger      *quota.Ledger
	peers       []*quotaPeer // of all members, including the measured one
	peersByName map[string]*quotaPeer
	lease       float64 // rate of each lease that a peer grants, in calls per second

	sent, received quotaLink
	cpu            time.Duration // processor time of the ledger and the codec
	leases         int           // granted by the ledger
}

// measureQuotaOf measures the member with the index self.
func measureQuotaOf(c *codec.Codec, members, destinations int, limit float64, self int) (map[Metric]float64, error) {
	s := &quotaSimulation{
		peersByName: map[string]*quotaPeer{},
		lease:       (1 - quota.ReservedFraction) * (limit / float64(members)),
	}
	s.addPeers(members, self)
	limits := loadreport.Limits{}
	for destination := range policy.DestinationID(destinations) {
		limits[destination] = map[string]float64{"": limit}
	}
	names := s.names()
	before := memoryInUse()
	s.ledger = quota.New(0, quota.Settings{
		Self:        s.self,
		Incarnation: s.incarnation,
		Members:     names,
		FleetSize:   members,
	})
	s.ledger.SetLimits(0, limits)
	values := map[Metric]float64{}
	s.resetCounters(c)
	for now := time.Duration(0); now < quotaSettleTime+quotaMeasureTime; now += quotaStepInterval {
		if now == quotaSettleTime {
			values[StartDatagramRate] = s.sent.datagrams / quotaSettleTime.Seconds()
			s.resetCounters(c)
		}
		if err := s.step(now); err != nil {
			return nil, err
		}
	}
	s.addRates(values)
	values[Memory] = growth(before, memoryInUse())
	s.addDestinations(values)
	return values, nil
}

// addPeers adds a peer for each member. Each grants its first leases at a random time within renewInterval.
func (s *quotaSimulation) addPeers(members, self int) {
	rng := rand.New(rand.NewPCG(uint64(members), uint64(self)))
	for i := range members {
		p := &quotaPeer{
			name:        memberName(i),
			incarnation: loadreport.Incarnation{Generation: 1, Boot: uint32(i + 1)},
			nextGrant:   time.Duration(rng.Int64N(int64(renewInterval))),
		}
		s.peers = append(s.peers, p)
		s.peersByName[p.name] = p
	}
	s.self, s.incarnation = s.peers[self].name, s.peers[self].incarnation
}

func (s *quotaSimulation) names() []string {
	names := make([]string, 0, len(s.peers))
	for _, p := range s.peers {
		names = append(names, p.name)
	}
	return names
}

// resetCounters begins a new period of measurement.
func (s *quotaSimulation) resetCounters(c *codec.Codec) {
	s.sent, s.received = quotaLink{codec: c}, quotaLink{codec: c}
	s.cpu, s.leases = 0, 0
}

// step steps the ledger, and delivers the answers of its peers and the leases that they grant.
func (s *quotaSimulation) step(now time.Duration) error {
	answers, err := s.stepLedger(now)
	if err != nil {
		return err
	}
	for _, m := range append(answers, s.grants(now)...) {
		if err := s.deliver(now, m); err != nil {
			return err
		}
	}
	return nil
}

// stepLedger steps the ledger and returns the peers' answers to the messages that the ledger sends.
func (s *quotaSimulation) stepLedger(now time.Duration) (answers []quota.Message, err error) {
	var messages []quota.Message
	s.cpu += usage.ThreadCPU(func() { messages, _ = s.ledger.Step(now) })
	for _, m := range messages {
		s.leases += len(m.Leases)
		var received quota.Message
		// The measured time also includes the decoding, which is the receiver's work in a real fleet.
		s.cpu += usage.ThreadCPU(func() { received, err = s.sent.pass(s.self, s.incarnation.Boot, now, m) })
		if err != nil {
			return nil, err
		}
		asks := received.Ping || received.AsksForLeases
		if asks || len(received.Leases)+len(received.Requests) > 0 {
			answer := s.peersByName[m.Member].message(s.incarnation)
			answer.AckedSeq = m.Seq
			answer.HoldsNoLease = received.AsksForLeases
			answers = append(answers, answer)
		}
	}
	return answers, nil
}

// grants returns the messages of the peers whose next grant is due. Each of these peers grants leases for all
// destinations whose lease holder is the measured member. During the first LeaseDuration and LeaseMargin no peer grants
// any.
func (s *quotaSimulation) grants(now time.Duration) (messages []quota.Message) {
	var leases []quota.Lease
	for _, status := range s.ledger.Status(now) {
		if status.LeaseHolder == s.self {
			scope := quota.Scope{Destination: status.Destination}
			leases = append(leases, quota.Lease{Scope: scope, Rate: s.lease})
		}
	}
	if len(leases) == 0 || now <= quota.LeaseDuration+quota.LeaseMargin {
		return nil
	}
	for _, p := range s.peers {
		if p.name == s.self || now < p.nextGrant {
			continue
		}
		p.nextGrant = now + renewInterval
		for rest := leases; len(rest) > 0; {
			n := min(len(rest), maxLeasesPerDatagram)
			m := p.message(s.incarnation)
			m.Leases, rest = rest[:n], rest[n:]
			messages = append(messages, m)
		}
	}
	return messages
}

// deliver passes a message through the codec to the ledger. The measured time also includes the encoding, which is the
// sender's work in a real fleet.
func (s *quotaSimulation) deliver(now time.Duration, m quota.Message) (err error) {
	s.cpu += usage.ThreadCPU(func() {
		var received quota.Message
		if received, err = s.received.pass(m.Member, m.Boot, now, m); err == nil {
			s.ledger.Receive(now, received)
		}
	})
	return err
}

func (s *quotaSimulation) addRates(values map[Metric]float64) {
	seconds := quotaMeasureTime.Seconds()
	values[SentDatagramRate] = s.sent.datagrams / seconds
	values[SentByteRate] = s.sent.bytes / seconds
	values[LeaseRate] = float64(s.leases) / seconds
	values[ReceivedDatagramRate] = s.received.datagrams / seconds
	values[ReceivedByteRate] = s.received.bytes / seconds
	values[CPUPerSecond] = milliseconds(s.cpu) / seconds
}

func (s *quotaSimulation) addDestinations(values map[Metric]float64) {
	held, shared := 0, s.ledger.Status(quotaSettleTime+quotaMeasureTime)
	for _, status := range shared {
		if status.LeaseHolder == s.self {
			held++
		}
	}
	values[HeldDestinations], values[SharedDestinations] = float64(held), float64(len(shared))
}
