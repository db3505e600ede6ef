package emulate

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
)

const (
	// maxDatagramsWhileStalled bounds the datagrams kept for a stalled process. Further datagrams are dropped.
	maxDatagramsWhileStalled = 256
	// ageUnit is the unit to which ages of reports are rounded up, as on the wire.
	ageUnit = time.Millisecond
)

// Approximate encoded sizes of the parts of a datagram, in bytes.
const (
	reportSize     = 40
	scopeSize      = 30
	quotaSize      = 60
	quotaEntrySize = 25
)

// datagram is a datagram from one relay's process to another's. Exactly one of reports, quota, clockRequest and
// clockResponse is set.
type datagram struct {
	sender string
	boot   uint32        // Incarnation.Boot of the sending process
	clock  time.Duration // the sending process's clock at the time of sending

	reports       []loadreport.Report
	quota         *quota.Message
	clockRequest  bool
	clockResponse *clockResponse
}

// clockResponse answers a clock request. It repeats the boot and clock of the request. The clock of the datagram is the
// responder's own.
type clockResponse struct {
	boot  uint32
	clock time.Duration
}

// size returns the approximate encoded size of the datagram's reports or quota message.
func (d *datagram) size() (bytes int) {
	for _, report := range d.reports {
		bytes += reportSize + scopeSize*len(report.Scopes)
	}
	if q := d.quota; q != nil {
		bytes += quotaSize + quotaEntrySize*(len(q.Leases)+len(q.Requests)+len(q.Grants))
	}
	return bytes
}

// sendDatagram stamps a datagram with the process's name, boot and clock, and sends it.
func (m *fleetMember) sendDatagram(to *relay, d datagram) {
	n := m.network
	n.datagramCount++
	n.byteCount += d.size()
	d.sender, d.boot, d.clock = m.name, m.reports.Incarnation().Boot, m.clock()
	for _, delay := range n.drawDelays(m.relay, to) {
		n.world.ScheduleAfter(delay, func() { to.receiveDatagram(d) })
	}
}

// receiveDatagram handles a datagram that arrived at the relay. While the process is stalled, datagrams are queued.
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

// resume handles the datagrams that arrived while the process was stalled.
func (m *fleetMember) resume() {
	waiting := m.receivedWhileStalled
	m.receivedWhileStalled = nil
	for _, d := range waiting {
		m.receive(d)
	}
}

// receive handles a datagram according to its contents.
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

// receiveClock calibrates the clock of another process by its response, and handles the datagrams that were deferred
// until then. It ignores a response to a request by another process of this relay.
func (m *fleetMember) receiveClock(d datagram) {
	if d.clockResponse.boot != m.reports.Incarnation().Boot {
		return
	}
	for _, deferred := range m.inbox.ClockReceived(d.sender, d.boot, d.clock, d.clockResponse.clock, m.clock()) {
		m.receive(deferred)
	}
}

// requestClock requests the clock of a datagram's sender.
func (m *fleetMember) requestClock(d *datagram) {
	m.sendDatagram(m.network.world.relay(d.sender), datagram{clockRequest: true})
}

// receiveQuota queues a quota message for the agent's next step. It drops a message whose transit time is unknown.
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

// receiveReports merges load reports into the table. Reports whose transit time is unknown are deferred until the
// sender's clock is received.
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

// mergeReport merges a report into the table, and queues it for other relays if it updated the table.
func (m *fleetMember) mergeReport(now time.Duration, report loadreport.Report) {
	key, version := keyOf(&report), versionOf(&report)
	lastReceivedWins := m.relay.mutant.linkFaults().LastReceivedWins
	if lastReceivedWins {
		m.receivedCount++
		report.Sequence = m.receivedCount
	}
	result, _ := m.reports.Merge(now, report) // the error is dropped: the result of a rejected report is not Updated
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
			return // this version was forwarded before
		}
		m.trueVersion[key] = version
	}
	m.enqueue(key)
	m.updatedReports[key] = true
	m.relay.scheduleStep()
}

// takeOverName begins an incarnation later than that of a rival under the same name. The rival is usually an earlier
// process of this relay whose incarnation is missing from the relay's state folder.
func (m *fleetMember) takeOverName() {
	m.relay.incarnation = m.reports.Rival().Generation + 1
	m.newIncarnation = loadreport.Incarnation{Generation: m.relay.incarnation, Boot: m.reports.Incarnation().Boot}
	m.reports.SetIncarnation(m.newIncarnation)
	m.relay.scheduleStep()
}
