package emulate

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
)

const (
	// maxDatagramsWhileStalled is how many datagrams wait for a stalled process.
	maxDatagramsWhileStalled = 256
	// ageUnit is the unit of ages on the wire, which are rounded up.
	ageUnit = time.Millisecond
)

// The approximate sizes of what datagrams hold, in bytes.
const (
	reportSize     = 40
	scopeSize      = 30
	quotaSize      = 60
	quotaEntrySize = 25
)

// datagram is a datagram from one process to another, with one of its contents.
type datagram struct {
	sender string
	boot   uint32        // of the sending process
	clock  time.Duration // of the sending process, when it was sent

	reports       []loadreport.Report
	quota         *quota.Message
	clockRequest  bool
	clockResponse *clockResponse
}

// clockResponse answers a request for the clock of a process, with the boot and clock of the request.
type clockResponse struct {
	boot  uint32
	clock time.Duration
}

// size returns the approximate size of the reports or the quota message of a datagram.
func (d *datagram) size() (bytes int) {
	for _, report := range d.reports {
		bytes += reportSize + scopeSize*len(report.Scopes)
	}
	if q := d.quota; q != nil {
		bytes += quotaSize + quotaEntrySize*(len(q.Leases)+len(q.Requests)+len(q.Grants))
	}
	return bytes
}

// sendDatagram stamps a datagram with the process's clock and sends it.
func (m *fleetMember) sendDatagram(to *relay, d datagram) {
	n := m.network
	n.datagramCount++
	n.byteCount += d.size()
	d.sender, d.boot, d.clock = m.name, m.reports.Incarnation().Boot, m.clock()
	for _, delay := range n.drawDelays(m.relay, to) {
		n.world.ScheduleAfter(delay, func() { to.receiveDatagram(d) })
	}
}

// receiveDatagram takes a datagram that arrived. One for a stalled process waits.
func (r *relay) receiveDatagram(d datagram) {
	m := r.member
	switch {
	case m == nil || !r.running:
	case !r.stalled:
		m.receive(d)
	case len(m.receivedWhileStalled) < maxDatagramsWhileStalled:
		m.receivedWhileStalled = append(m.receivedWhileStalled, d)
	}
}

// resume takes the datagrams that arrived while the process was stalled.
func (m *fleetMember) resume() {
	waiting := m.receivedWhileStalled
	m.receivedWhileStalled = nil
	for _, d := range waiting {
		m.receive(d)
	}
}

// receive takes a datagram.
func (m *fleetMember) receive(d datagram) {
	switch {
	case d.clockRequest:
		response := &clockResponse{boot: d.boot, clock: d.clock}
		m.sendDatagram(m.network.world.relay(d.sender), datagram{clockResponse: response})
	case d.clockResponse != nil:
		m.receiveClock(d)
	case d.quota != nil:
		m.receiveQuota(d)
	default:
		m.receiveReports(d)
	}
}

// receiveClock takes the clock of another process, and what was deferred until it is known.
func (m *fleetMember) receiveClock(d datagram) {
	if d.clockResponse.boot != m.reports.Incarnation().Boot {
		return
	}
	for _, deferred := range m.inbox.ClockReceived(d.sender, d.boot, d.clock, d.clockResponse.clock, m.clock()) {
		m.receive(deferred)
	}
}

// requestClock asks the sender of a datagram for its clock.
func (m *fleetMember) requestClock(d *datagram) {
	m.sendDatagram(m.network.world.relay(d.sender), datagram{clockRequest: true})
}

// receiveQuota takes a quota message for the agent's next step, if its age can be known.
func (m *fleetMember) receiveQuota(d datagram) {
	now := m.clock()
	transit, known, stale := m.inbox.Estimate(d.sender, d.boot, d.clock, now)
	if stale && m.inbox.RequestDue(d.sender, now) {
		m.requestClock(&d)
	}
	if !known {
		return
	}
	message := *d.quota
	message.Member = d.sender
	m.quotaMessages = append(m.quotaMessages, message)
	m.quotaSentAt = append(m.quotaSentAt, now-transit)
	m.relay.scheduleStep()
}

// receiveReports merges load reports into the table, if their age can be known.
func (m *fleetMember) receiveReports(d datagram) {
	now := m.clock()
	transit, known, request := m.inbox.Receive(d, d.sender, d.boot, d.clock, now)
	if request {
		m.requestClock(&d)
	}
	if m.relay.mutant.linkFaults().NoTransitTime {
		transit = 0
	} else if !known {
		return
	}
	for _, report := range d.reports {
		report.Age = (report.Age + transit + ageUnit - 1).Truncate(ageUnit)
		m.mergeReport(now, report)
	}
}

// mergeReport merges a report into the table, and forwards it if it is news.
func (m *fleetMember) mergeReport(now time.Duration, report loadreport.Report) {
	key, version := keyOf(&report), versionOf(&report)
	lastReceivedWins := m.relay.mutant.linkFaults().LastReceivedWins
	if lastReceivedWins {
		m.receivedCount++
		report.Sequence = m.receivedCount
	}
	result, _ := m.reports.Merge(now, report) // a rejected report is dropped, as the result says
	if result == loadreport.Rival && m.nameClaim.ObserveRival(now) {
		m.takeOverName()
	}
	if result != loadreport.Updated {
		return
	}
	m.network.updated(m.relay, version)
	m.receivedAge[key] = report.Age
	if lastReceivedWins {
		if m.trueVersion[key] == version {
			return // it was forwarded before
		}
		m.trueVersion[key] = version
	}
	m.enqueue(key)
	m.updatedReports[key] = true
	m.relay.scheduleStep()
}

// takeOverName begins an incarnation after that of a rival under the same name: usually an earlier process of this
// relay, which its state folder does not know of.
func (m *fleetMember) takeOverName() {
	m.relay.incarnation = m.reports.Rival().Generation + 1
	m.newIncarnation = loadreport.Incarnation{Generation: m.relay.incarnation, Boot: m.reports.Incarnation().Boot}
	m.reports.SetIncarnation(m.newIncarnation)
	m.relay.scheduleStep()
}
