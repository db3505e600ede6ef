package modelcheck

import (
	"fmt"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

// digestRounds is the number of digest exchanges until all members agree. The first distributes the reports, the
// second lets members receive a later incarnation under their own name, and the third distributes what these members
// then publish.
const digestRounds = 3

// checkTables checks the reports of other members in each member's table against the published ones. Each must have
// been published, must not be older than the version that the table held before, and must not have an age less than
// its true one.
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
			"%s holds version %d of %s, which was never published",
			m.name,
			version.sequence,
			report.Name,
		)
	case seen && version.before(last):
		f.violation = fmt.Sprintf(
			"%s replaced version %d by the earlier version %d of %s",
			m.name,
			last.sequence,
			version.sequence,
			report.Name,
		)
	case report.Age < age:
		f.violation = fmt.Sprintf(
			"%s holds a report by %s, published %v ago, with an age of only %v",
			m.name,
			report.Name,
			age,
			report.Age,
		)
	}
}

// before reports whether a version was published before another version of the same member.
func (v reportVersion) before(other reportVersion) bool {
	if order := v.incarnation.Compare(other.incarnation); order != 0 {
		return order < 0
	}
	return v.sequence < other.sequence
}

// checkConvergence has all members publish and exchange digests, and checks that each member then holds the newest
// report of every member. It does nothing if two processes run under one name, since there is no newest report of
// that name. The state must not be used afterwards.
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

// exchangeDigests has each member send every other member the reports that the other one lacks.
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

// checkAgreement checks that all members hold the newest report of each member. With LastReceivedWins they need not,
// so it checks nothing.
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
					"after the digest exchanges, version %d of %s in incarnation %v is held as version %d in %v",
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
