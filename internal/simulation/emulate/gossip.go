package emulate

import (
	"slices"

	"cherrytrestle.example/cherrytrestle/internal/fleet/gossip"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

// gossipQueue holds the reports that are to be sent, by how often each is still to be sent.
type gossipQueue struct {
	remaining map[reportKey]int
	// levels holds the reports by their remaining sends. An entry is valid only if remaining agrees.
	levels [][]reportKey
}

// put has a report sent so many times from now on.
func (q *gossipQueue) put(key reportKey, times int) {
	if q.remaining == nil {
		q.remaining = map[reportKey]int{}
	}
	for len(q.levels) <= times {
		q.levels = append(q.levels, nil)
	}
	if q.remaining[key] != times {
		q.remaining[key] = times
		q.levels[times] = append(q.levels[times], key)
	}
}

// take takes up to maxReports reports to send them once: those that were sent least, and of these the newest.
func (q *gossipQueue) take(maxReports int) (taken []reportKey) {
	for times := len(q.levels) - 1; times > 0; times-- {
		level := &q.levels[times]
		for len(*level) > 0 && len(taken) < maxReports {
			last := len(*level) - 1
			key := (*level)[last]
			*level = (*level)[:last]
			if q.remaining[key] == times {
				q.remaining[key] = -times // taken: a second entry of it is not valid
				taken = append(taken, key)
			}
		}
	}
	for _, key := range slices.Backward(taken) {
		if times := -q.remaining[key] - 1; times > 0 {
			q.put(key, times)
		} else {
			delete(q.remaining, key)
		}
	}
	return taken
}

// enqueue has a report sent to others.
func (m *fleetMember) enqueue(key reportKey) {
	m.queue.put(key, gossip.Retransmissions(len(m.network.world.relays)))
}

// gossip sends news to a few others.
func (m *fleetMember) gossip() {
	relays := m.network.world.relays
	for range min(gossip.FanOut(len(relays)), len(relays)-1) {
		var reports []loadreport.Report
		for _, key := range m.queue.take(gossip.ReportsPerDatagram) {
			if report, ok := m.reportToSend(key); ok {
				reports = append(reports, report)
			}
		}
		if to := relays[m.network.random.IntN(len(relays))]; to != m.relay {
			m.sendReports(to, reports)
		}
	}
}

// exchangeDigests exchanges digests with another relay: each sends what the other lacks.
func (m *fleetMember) exchangeDigests() {
	relays := m.network.world.relays
	to := relays[m.network.random.IntN(len(relays))]
	if to == m.relay || !to.running || to.stalled || to.member == nil {
		return
	}
	if !m.network.connected(m.relay, to) || !m.network.connected(to, m.relay) {
		return
	}
	other := to.member
	ownDigest, otherDigest := m.reports.Digest(m.clock()), other.reports.Digest(other.clock())
	m.sendReports(to, m.missingFrom(otherDigest))
	other.sendReports(m.relay, other.missingFrom(ownDigest))
}

// missingFrom returns the reports that a member with a digest lacks.
func (m *fleetMember) missingFrom(digest loadreport.Digest) (missing []loadreport.Report) {
	for _, report := range m.reports.MissingFrom(m.clock(), digest) {
		if report.Name == m.name && m.nameClaim.Suspended(m.clock()) {
			continue
		}
		if toSend, ok := m.reportToSend(keyOf(&report)); ok {
			missing = append(missing, toSend)
		}
	}
	return missing
}

// reportToSend returns a report of the table as the member sends it.
func (m *fleetMember) reportToSend(key reportKey) (loadreport.Report, bool) {
	report, ok := m.reports.Get(m.clock(), key.name, key.number)
	if age, received := m.receivedAge[key]; received && m.relay.mutant.linkFaults().FrozenAges {
		report.Age = age
	}
	if version, changed := m.trueVersion[key]; changed {
		report.Sequence = version.sequence
	}
	return report, ok
}

// broadcast sends a report to all other relays at once.
func (m *fleetMember) broadcast(report loadreport.Report) {
	for _, to := range m.network.world.relays {
		if to != m.relay {
			m.sendReports(to, []loadreport.Report{report})
		}
	}
}

// sendReports sends reports, if there are any.
func (m *fleetMember) sendReports(to *relay, reports []loadreport.Report) {
	if len(reports) > 0 {
		m.sendDatagram(to, datagram{reports: reports})
	}
}
