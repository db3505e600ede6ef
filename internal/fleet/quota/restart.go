package quota

// earlierLeasesPossible reports whether other members may hold leases of an earlier incarnation of this member. They
// may until any such lease must have expired, or until all members have answered that they hold none.
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

// queryEarlierLeases asks members whether they hold leases of an earlier incarnation, except those that have answered
// that they hold none.
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

// answerLeaseQuery answers the sender of m, which has started. The answer confirms that this member holds no lease of
// another incarnation of the sender, and accepts none for as long as one may be in transit. While this member holds
// such a lease it does not answer. The sender asks again, or waits until the lease has expired.
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
