package loadreport

import "time"

// A member that receives a report of a later incarnation under its own name begins a new incarnation, greater than the
// received one. If the report is of an earlier process of this member, this happens once, or a few times if reports of
// several incarnations arrive late. If each new incarnation is followed by a greater one, another process is running
// under the same name.
const (
	// maxTakeovers is how many new incarnations a member begins within takeoverWindow. If it observes another rival in
	// that window, it is suspended.
	maxTakeovers   = 3
	takeoverWindow = 30 * time.Second
	// rivalSuspension is how long a member stays suspended after the last rival that it has observed.
	rivalSuspension = 60 * time.Second
)

// NameClaim tracks whether another process, a rival, uses this process's member name. The zero value has observed no
// rival.
type NameClaim struct {
	takeovers      int // new incarnations since windowStart
	windowStart    time.Duration
	suspendedUntil time.Duration
}

// Suspended reports whether this process must not publish, because another process seems to run under its name.
func (c *NameClaim) Suspended(now time.Duration) bool { return now < c.suspendedUntil }

// ObserveRival records that a rival's incarnation was received: one under this process's name that is neither its own
// nor an earlier one. It reports whether to begin a new incarnation that is greater than the rival's.
func (c *NameClaim) ObserveRival(now time.Duration) (takeOver bool) {
	windowOver := now >= c.windowStart+takeoverWindow
	if c.Suspended(now) || c.takeovers >= maxTakeovers && !windowOver {
		c.Suspend(now, rivalSuspension)
		return false
	}
	if c.takeovers == 0 || windowOver {
		c.takeovers = 0
		c.windowStart = now
	}
	c.takeovers++
	return true
}

// Suspend suspends the process until now+wait at least, and reports whether it was not suspended before.
func (c *NameClaim) Suspend(now, wait time.Duration) (suspendedNow bool) {
	suspendedNow = !c.Suspended(now)
	c.suspendedUntil = max(c.suspendedUntil, now+wait)
	return suspendedNow
}
