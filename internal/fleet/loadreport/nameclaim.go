package loadreport

import "time"

// A member that receives reports of a later incarnation under its own name begins an incarnation past it. Once is
// enough, or a few times where the last ones come late. Whoever answers each new incarnation with a greater one is
// another process under the same name.
const (
	// maxTakeovers is how many new incarnations a member begins within takeoverWindow before it is suspended.
	maxTakeovers   = 3
	takeoverWindow = 30 * time.Second
	// rivalSuspension is for how long no rival must have been observed before a suspended member goes on.
	rivalSuspension = 60 * time.Second
)

// NameClaim is a process's claim to its member's name. The zero value is an undisputed one.
type NameClaim struct {
	takeovers      int // new incarnations since windowStart
	windowStart    time.Duration
	suspendedUntil time.Duration
}

// Suspended reports whether another process is assumed to run under the name, so that this one must not publish.
func (c *NameClaim) Suspended(now time.Duration) bool { return now < c.suspendedUntil }

// ObserveRival records that an incarnation was received under the name which is neither this process's nor an earlier
// one, and reports whether to begin a new incarnation past it.
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

// Suspend suspends the process for a while, and reports whether it was not suspended before.
func (c *NameClaim) Suspend(now, wait time.Duration) (suspendedNow bool) {
	suspendedNow = !c.Suspended(now)
	c.suspendedUntil = max(c.suspendedUntil, now+wait)
	return suspendedNow
}
