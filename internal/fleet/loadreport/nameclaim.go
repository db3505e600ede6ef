package loadreport

import "time"

const (
	// An earlier life of a member that it hears of is gone past once, or a few times where its last ones are heard of
	// late. Who answers each new life with a greater one is another process under the same name: after maxTakeovers
	// within takeoverWindow a member falls silent, until none was heard for rivalSuspension.
	maxTakeovers    = 3
	takeoverWindow  = 30 * time.Second
	rivalSuspension = 60 * time.Second
)

// NameClaim is a process's hold on its member's name. The zero value holds it undisputed.
type NameClaim struct {
	takeovers      int           // new lives since began
	windowStart    time.Duration // the hearer's monotonic time
	suspendedUntil time.Duration // the process tells nothing before
}

// Suspended tells whether another process under the name is taken to run, so that this one must tell nothing.
func (c *NameClaim) Suspended(now time.Duration) bool { return now < c.suspendedUntil }

// ObserveRival takes that a life was heard under the name which is not this process's or one before it, and tells
// whether to begin a new life past it.
func (c *NameClaim) ObserveRival(now time.Duration) (raise bool) {
	if now < c.suspendedUntil || c.takeovers >= maxTakeovers && now < c.windowStart+takeoverWindow {
		c.Suspend(now, rivalSuspension)
		return false
	}
	if c.takeovers == 0 || now >= c.windowStart+takeoverWindow {
		c.takeovers, c.windowStart = 0, now
	}
	c.takeovers++
	return true
}

// Suspend has the process fall silent for a while. It returns whether it was not so before.
func (c *NameClaim) Suspend(now, wait time.Duration) (anew bool) {
	anew = now >= c.suspendedUntil
	c.suspendedUntil = max(c.suspendedUntil, now+wait)
	return anew
}
