package modelcheck

import (
	"fmt"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

// digestRounds is how often digests are exchanged until all agree: once around, once for members that learn of a later
// incarnation of their own, and once for what these then publish.
const digestRounds = 3

// checkTables checks each member's reports of the others against what was published: none is invented, goes back to an
// earlier version, or is held to be younger than it is.
func (f *fleetState) checkTables() {
	for _, m := range f.members {
		m.table.Each(f.now, func(report loadreport.Report) {
			if report.Name != m.name {
				f.checkReport(m, report)
			}
		})
	}
}

func (f *fleetState) checkReport(m *memberState, report loadreport.Report) {
	version := m.trueVersion(report)
	last, seen := m.lastVersions[report.Name]
	m.lastVersions[report.Name] = version
	publishedAt, published := f.published[report.Name][version]
	age := f.now - publishedAt
	switch {
	case !published:
		f.violation = fmt.Sprintf(
			"%s holds version %d of %s, which it never told",
			m.name,
			version.sequence,
			report.Name,
		)
	case seen && version.before(last):
		f.violation = fmt.Sprintf(
			"%s goes back from version %d to %d of %s",
			m.name,
			last.sequence,
			version.sequence,
			report.Name,
		)
	case report.Age < age:
		f.violation = fmt.Sprintf(
			"%s holds what %s told %v ago to be %v old",
			m.name,
			report.Name,
			age,
			report.Age,
		)
	}
}

// before reports whether a version was published before another one of the same member.
func (v reportVersion) before(other reportVersion) bool {
	if order := v.incarnation.Compare(other.incarnation); order != 0 {
		return order < 0
	}
	return v.sequence < other.sequence
}

// checkConvergence has all members publish and exchange digests until all must hold the same of each, its newest
// report, and checks that they do. Of two processes under one name there is no newest report. The state is of no use
// afterwards.
func (f *fleetState) checkConvergence() {
	if f.model.DuplicateName {
		return
	}
	for i, m := range f.members {
		m.paused, m.inbox = false, nil
		if f.violation == "" {
			f.publish(i)
		}
	}
	f.inFlight = nil
	for range digestRounds {
		f.exchangeDigests()
	}
	f.checkTables()
	f.checkAgreement()
}

// exchangeDigests has each member send every other what that lacks.
func (f *fleetState) exchangeDigests() {
	for from, sender := range f.members {
		for to, receiver := range f.members {
			if from == to {
				continue
			}
			for _, report := range sender.table.MissingFrom(f.now, receiver.table.Digest(f.now)) {
				incarnation := receiver.table.Incarnation()
				f.receive(datagram{
					from:        from,
					to:          to,
					senderBoot:  sender.boot,
					senderClock: f.clock(from),
					report:      sender.asPublished(report),
				})
				if receiver.table.Incarnation() != incarnation {
					f.publish(to)
				}
			}
		}
	}
}

// checkAgreement checks that all members hold the newest report of each. Where the last received report wins, they need
// not.
func (f *fleetState) checkAgreement() {
	if f.faults.LastReceivedWins {
		return
	}
	for _, m := range f.members {
		for _, holder := range f.members {
			report, known := holder.table.Get(f.now, m.name, 0)
			newest := known && report.Incarnation == m.table.Incarnation() && report.Sequence == m.sequence
			if f.violation == "" && !newest {
				f.violation = fmt.Sprintf(
					"after all was exchanged, version %d of %s in life %v is held as %d in %v",
					m.sequence,
					m.name,
					m.table.Incarnation(),
					report.Sequence,
					report.Incarnation,
				)
			}
		}
	}
}
