package quota

// earlierLeasesPossible reports whether others may hold leases of an earlier incarnation of this member: until such a
// lease is over, or until all have said that they hold none.
func (l *Ledger) earlierLeasesPossible() bool {
	if l.Settings.Fresh || l.Now >= l.StartedAt+l.reservationTime() {
		return false
	}
	for _, member := range l.Settings.Members {
		if member == l.Settings.Self {
			continue
		}
		if p := l.Peers[member]; p == nil || !p.HoldsNoLease {
			return true
		}
	}
	return false
}

// queryEarlierLeases asks all members that have not yet said that they hold no lease of an earlier incarnation.
func (l *Ledger) queryEarlierLeases() {
	for _, member := range l.Settings.Members {
		p := l.peer(member)
		if member == l.Settings.Self || p.HoldsNoLease || l.Now < p.QueriedAt+pingInterval {
			continue
		}
		p.QueriedAt = l.Now
		l.messageTo(member).AsksForLeases = true
	}
}

// answerLeaseQuery answers a member that has started that no lease of another incarnation of it is held, and that none
// will be accepted for as long as one may be in transit. It does not answer while one is held: the member asks again,
// or waits until it has expired.
func (l *Ledger) answerLeaseQuery(m Message, p *peer) {
	for _, account := range l.Accounts {
		for _, lease := range account.HeldLeases {
			if lease.Lender == m.Member && lease.Incarnation != m.Incarnation && l.Now < lease.ExpiresAt {
				return
			}
		}
	}
	p.AcceptedIncarnation = m.Incarnation
	p.AcceptOnlyUntil = l.Now + l.reservationTime()
	l.messageTo(m.Member).HoldsNoLease = true
}
