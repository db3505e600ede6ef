package loadreport

import "time"

const (
	// An earlier life of a member that it hears of is gone past once, or a few times where its last ones are heard of
	// late. Who answers each new life with a greater one is another process under the same name: after raisesMost
	// within twinSpan a member falls silent, until none was heard for twinFor.
	raisesMost = 3
	twinSpan   = 30 * time.Second
	twinFor    = 60 * time.Second
)

// NameClaim is a process's hold on its member's name. The zero value holds it undisputed.
type NameClaim struct {
	raises int           // new lives since began
	began  time.Duration // the hearer's monotonic time
	until  time.Duration // the process tells nothing before
}

// Suspended tells whether another process under the name is taken to run, so that this one must tell nothing.
func (c *NameClaim) Suspended(now time.Duration) bool { return now < c.until }

// ObserveRival takes that a life was heard under the name which is not this process's or one before it, and tells
// whether to begin a new life past it.
func (c *NameClaim) ObserveRival(now time.Duration) (raise bool) {
	if now < c.until || c.raises >= raisesMost && now < c.began+twinSpan {
		c.Suspend(now, twinFor)
		return false
	}
	if c.raises == 0 || now >= c.began+twinSpan {
		c.raises, c.began = 0, now
	}
	c.raises++
	return true
}

// Suspend has the process fall silent for a while. It returns whether it was not so before.
func (c *NameClaim) Suspend(now, wait time.Duration) (anew bool) {
	anew = now >= c.until
	c.until = max(c.until, now+wait)
	return anew
}
