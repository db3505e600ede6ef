package emulate

import (
	"slices"

	"cherrytrestle.example/cherrytrestle/internal/fleet/gossip"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

// gossipQueue holds the reports to be sent to other relays, with the number of sends left for each.
type gossipQueue struct {
	remaining map[reportKey]int // sends left; negated while take is running, for reports that it has taken
	// levels holds the reports by their remaining sends. An entry is valid only if remaining has the same number.
	levels [][]reportKey
}

// put sets how many times a report is to be sent from now on.
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

// take returns up to maxReports reports to be sent once: those with the most sends left, and of these the ones queued
// last.
func (q *gossipQueue) take(maxReports int) (taken []reportKey) {
	for times := len(q.levels) - 1; times > 0; times-- {
		level := &q.levels[times]
		for len(*level) > 0 && len(taken) < maxReports {
			last := len(*level) - 1
			key := (*level)[last]
			*level = (*level)[:last]
			if q.remaining[key] == times {
				q.remaining[key] = -times // taken: invalidates a second entry of the same report
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

// enqueue queues a report for gossip to other relays.
func (m *fleetMember) enqueue(key reportKey) {
	m.queue.put(key, gossip.Retransmissions(len(m.network.world.relays)))
}

// gossip sends queued reports to a few random relays.
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

// exchangeDigests exchanges digests with a random relay. Each of the two sends the reports that the other lacks.
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

// missingFrom returns the reports that are missing from another member's digest. Own reports are left out while this
// member's claim to its name is suspended.
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

// reportToSend returns a report of the table as the member sends it, with the effects of its link faults.
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
