package membership

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

// observeRival handles a report under this member's name whose incarnation is later than this process's own. Either
// the stored generation was out of date, or another process uses the name. n.mu must be held.
func (n *Node) observeRival(now time.Duration) {
	n.counters.RivalReports++
	if n.incarnationPending {
		return
	}
	wasSuspended := n.nameClaim.Suspended(now)
	if !n.nameClaim.ObserveRival(now) {
		if !wasSuspended {
			n.logSuspended()
		}
		return
	}
	n.incarnationPending = true
	n.incarnationRequests <- struct{}{} // Does not block: at most one request is pending.
}

// logSuspended logs that this member has suspended publishing.
func (n *Node) logSuspended() {
	n.cfg.Log.Error("fleet: another process uses this member's name; publishing suspended", "member", n.cfg.Name)
}

// startIncarnation saves and begins an incarnation that is later than all that were received under this member's
// name. The incarnation begins even if it cannot be saved.
func (n *Node) startIncarnation() {
	n.mu.Lock()
	generation := n.reports.Rival().Generation + 1
	n.mu.Unlock()
	if err := n.cfg.SaveIncarnation(generation); err != nil {
		n.cfg.Log.Warn("fleet: incarnation not saved", "err", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.incarnationPending = false
	n.cfg.Log.Info("fleet: received a later incarnation of this member; starting a new one", "incarnation", generation)
	n.newIncarnation = loadreport.Incarnation{Generation: generation, Boot: n.cfg.Incarnation.Boot}
	n.reports.SetIncarnation(n.newIncarnation)
	n.notifyUpdated(nil)
}
