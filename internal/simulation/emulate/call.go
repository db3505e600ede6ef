package emulate

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
	"cherrytrestle.example/cherrytrestle/policy"
)

// call is a call that a relay makes. The relay has its end of it, the host its own; each learns of the other a latency
// later.
type call struct {
	r     *relay
	life  int
	host  *host
	num   uint64
	sent  time.Duration
	until time.Duration // dropped then
	atts  []*attempt

	fresh   bool          // on a new connection
	shut    bool          // on one that the host takes and breaks off
	began   time.Duration // to be written
	written bool
	over    bool // at the relay
	came    bool // whole, to the host
	done    bool // at the host
}

// attempt is one message's part in a call.
type attempt struct {
	m     *message
	n     int
	until time.Duration
	over  bool
}

// result is how an attempt, or all of a call, ended.
type result struct {
	outcome policy.Outcome
	gone    bool
	wait    time.Duration
	took    time.Duration
}

func (c *call) ids() []policy.MessageID {
	all := make([]policy.MessageID, 0, len(c.atts))
	for _, a := range c.atts {
		all = append(all, a.m.id)
	}
	return all
}

// latency is one way between the relay and the host.
func (c *call) latency() time.Duration {
	d := c.r.w.opts.Latency
	if c.r.zone != c.host.zone {
		d += c.r.w.opts.ZoneLatency
	}
	return d
}

// in plans something at the relay, unless the call is over there.
func (c *call) in(d time.Duration, do func()) {
	c.r.w.ScheduleAfter(d, func() {
		if !c.over {
			do()
		}
	})
}

func (r *relay) pool(h *host) *pool {
	p := r.pools[h]
	if p == nil {
		p = r.addPool(h)
	}
	if p.life != h.life { // all its connections were reset, which the relay has seen
		p.life, p.idle = h.life, p.idle[:0]
	}
	return p
}

func (p *pool) put(at time.Duration) { p.idle = append(p.idle, at) }

// open is how many connections have been idle since later than a time; the others are closed.
func (p *pool) open(since time.Duration) int {
	old := 0
	for old < len(p.idle) && p.idle[old] <= since {
		old++
	}
	p.idle = append(p.idle[:0], p.idle[old:]...)
	return len(p.idle)
}

// get takes the connection that was used last, idle since later than a time; false if there is none.
func (p *pool) get(since time.Duration) bool {
	if p.open(since) == 0 {
		return false
	}
	p.idle = p.idle[:len(p.idle)-1]
	return true
}

// connections is how many a host has: those of calls that were written to it, and the idle ones of all relays.
func (w *World) connections(h *host) int {
	n := len(h.calls)
	for p := range h.pools {
		if p.life == h.life {
			n += p.open(w.Now() - w.keep())
		}
	}
	return n
}

// keep is how long relays keep a connection idle.
func (w *World) keep() time.Duration {
	return time.Duration(keepShare * float64(w.plan.File.Settings.KeepAliveTimeout))
}

// launch makes a call.
func (r *relay) launch(c *call) {
	w := r.w
	r.calling[c] = struct{}{}
	for i := range c.atts {
		if a := c.atts[i]; a.until < c.until {
			c.in(a.until-w.Now(), func() {
				if !a.over {
					r.attemptEnded(c, a, result{outcome: policy.Timeout, took: w.Now() - c.sent})
				}
			})
		}
	}
	c.in(c.until-w.Now(), c.timeout)
	if r.pool(c.host).get(w.Now() - w.keep()) {
		c.write()
		return
	}
	c.fresh = true
	h := c.host
	connect := w.plan.File.Settings.ConnectTimeout.AsDuration()
	c.in(c.latency(), func() { // the first packet has come to the host
		up := !h.isCut && !h.isDown && !h.stopped
		full := up && w.opts.MaxConnections > 0 && w.connections(h) >= w.opts.MaxConnections
		if full {
			w.ConnectionsRefused++
		}
		switch {
		case h.isCut:
			c.in(connect-c.latency(), func() { r.callEnded(c, result{outcome: policy.ConnectFailed}) })
		case h.isDown || h.stopped:
			c.in(c.latency(), func() { r.callEnded(c, result{outcome: policy.ConnectFailed}) })
		case full && w.opts.ExcessConnections != ExcessClosed:
			after := c.latency()
			if w.opts.ExcessConnections == ExcessUnanswered {
				after = connect - c.latency()
			}
			c.in(after, func() { r.callEnded(c, result{outcome: policy.ConnectFailed}) })
		default:
			if c.shut = full; !full {
				w.ConnectionsOpened++
			}
			c.in(c.latency(), func() { // the connection is up; meanwhile a drain or a wait may have been told
				r.asked = append(r.asked, c)
				r.plan()
			})
		}
	})
}

// write writes a call on its connection.
func (c *call) write() {
	w := c.r.w
	c.written, c.began = true, w.Now()
	h := c.host
	if c.shut || !c.fresh && w.opts.IdleResetRatio > 0 && w.net.Float64() < w.opts.IdleResetRatio {
		c.done = true // the host never has it
		c.in(2*c.latency(), func() { c.r.callEnded(c, result{outcome: policy.Reset, took: 2 * c.latency()}) })
		return
	}
	if h.calls == nil {
		h.calls = map[*call]struct{}{}
	}
	h.calls[c] = struct{}{}
	life := h.life
	w.ScheduleAfter(c.latency(), func() {
		if h.life == life && !c.done {
			w.Calls++
			c.arrive()
		}
	})
}

// timeout ends a call whose time is up.
func (c *call) timeout() {
	r := c.r
	outcome := policy.Timeout
	if !c.written {
		outcome = policy.ConnectFailed
	}
	c.leaves()
	r.callEnded(c, result{outcome: outcome, took: r.w.Now() - max(c.sent, c.began)})
}

// leaves tells the host, a latency later, that the relay has closed the connection.
func (c *call) leaves() {
	if c.written && !c.done {
		c.r.w.ScheduleAfter(c.latency(), func() { c.endsAtHost(eventlog.CauseRelay) })
	}
}

// closed is the end of a call whose relay has died.
func (c *call) closed() {
	c.over = true
	c.leaves()
}

// endsAtHost ends a call at the host without an answer. What runs there runs on.
func (c *call) endsAtHost(cause string) {
	if c.done || c.host.isCut && cause == eventlog.CauseRelay {
		return // a machine that is cut off hears nothing of that
	}
	c.done = true
	delete(c.host.calls, c)
	if c.came {
		c.r.w.see(eventlog.Event{Kind: eventlog.CallAborted, Call: c.num, Relay: c.r.name, Host: c.host.ID, Cause: cause})
	}
}

// broken is the end of a call whose host breaks its connection.
func (c *call) broken() {
	c.endsAtHost(eventlog.CauseHost)
	c.done = true
	delete(c.host.calls, c)
	if !c.over {
		c.in(c.latency(), func() { c.r.callEnded(c, result{outcome: policy.Reset, took: c.r.w.Now() - c.began}) })
	}
}

// arrive is the coming of a whole call to its host.
func (c *call) arrive() {
	w, h := c.r.w, c.host
	if h.isCut {
		return // it is held back, until the host is back and breaks the connection
	}
	if h.isDown || h.stopped {
		c.broken()
		return
	}
	c.came = true
	if w.opts.Record {
		e := eventlog.Event{
			Kind:        eventlog.CallReceived,
			Call:        c.num,
			Relay:       c.r.name,
			Host:        h.ID,
			FirstByteAt: w.Now(),
			Destination: h.Destination,
			Weight:      h.place.CallWeight(len(c.atts)),
		}
		for i := range c.atts {
			e.IDs = append(e.IDs, c.atts[i].m.name)
		}
		w.see(e)
	}
	results := make([]result, len(c.atts))
	live := 0
	for i := range c.atts {
		m := c.atts[i].m
		m.calls++
		switch {
		case w.Now() > m.deadline || m.gone:
			results[i] = result{outcome: policy.NotSent, gone: true}
		case m.calls > w.set.MaxAttempts && w.set.MaxAttempts > 0:
			results[i] = result{outcome: policy.NotSent}
		default:
			live++
			results[i] = result{outcome: policy.OK}
		}
	}
	if live == 0 {
		c.reply(0, results, policy.OK, 0)
		return
	}
	fate := h.place.HandleCall(w.Now(), h.ID, live)
	if fate.CausedOverload {
		w.Overloads++
		w.see(eventlog.Event{Kind: eventlog.ServiceOverloaded, Place: h.place.Name, Destination: h.Destination, Hosts: ids(h.place.standing())})
		w.able(h.place, 0, 0)
	}
	if fate.Result != upstream.Unanswered && h.place.ResetRatio != nil && w.net.Float64() < h.place.ResetRatio(c.r.n) {
		w.ScheduleAfter(0, c.broken)
		return
	}
	switch fate.Result {
	case upstream.Unanswered:
	case upstream.Served:
		if fate.ResponseLost {
			w.ScheduleAfter(fate.Latency, func() {
				if !c.done && !h.isCut { // a machine that is cut off breaks nothing before it is back
					c.broken()
				}
			})
			return
		}
		c.reply(fate.Latency, results, policy.OK, 0)
	case upstream.Rejected:
		c.reply(fate.Latency, results, policy.Overloaded, fate.RetryAfter.Round(time.Millisecond))
	case upstream.Failed:
		c.reply(fate.Latency, results, policy.Error, 0)
	}
}

// reply answers a call after a time: as a whole, or where the outcome is OK each of its messages.
func (c *call) reply(after time.Duration, results []result, outcome policy.Outcome, wait time.Duration) {
	w, h := c.r.w, c.host
	w.ScheduleAfter(after, func() {
		if c.done || h.isCut {
			return
		}
		c.done = true
		delete(h.calls, c)
		e := eventlog.Event{Kind: eventlog.CallAnswered, Call: c.num, Relay: c.r.name, Host: h.ID, Status: 200, RetryAfter: wait}
		switch outcome {
		case policy.Overloaded:
			w.CallsRejected++
			if e.Status = 503; wait > 0 {
				e.Status = 429
			}
		case policy.Error:
			w.CallsFailed++
			e.Status = 500
		default:
			w.CallsServed++
			for i := range c.atts {
				switch {
				case results[i].outcome == policy.OK:
					w.delivered(c.atts[i].m)
				case len(c.atts) == 1 && results[i].gone:
					e.Status = 410
				case len(c.atts) == 1:
					e.Status = 504
				}
			}
			if w.opts.Record && len(c.atts) > 1 {
				for _, x := range results {
					e.States = append(e.States, stateOf(x))
				}
			}
		}
		w.see(e)
		took := w.Now() + c.latency() - c.began
		for i := range results {
			if outcome != policy.OK {
				results[i] = result{outcome: outcome}
			}
			results[i].took, results[i].wait = took, wait
		}
		c.in(c.latency(), func() {
			c.r.pool(h).put(w.Now())
			c.r.callEnded(c, results...)
		})
	})
}

func stateOf(x result) string {
	switch {
	case x.outcome == policy.OK:
		return "ok"
	case x.gone:
		return "gone"
	}
	return "exhausted"
}

// callEnded takes the end of a call: of each attempt, or of all alike.
func (r *relay) callEnded(c *call, results ...result) {
	if c.over {
		return
	}
	c.over = true
	delete(r.calling, c)
	for i := range c.atts {
		r.attemptEnded(c, c.atts[i], results[min(i, len(results)-1)])
	}
	r.plan()
}

// attemptEnded takes the outcome of an attempt: in the journal, and for the module.
func (r *relay) attemptEnded(c *call, a *attempt, res result) {
	m := a.m
	ok := res.outcome == policy.OK
	if a.over { // cut off before; a delivery still ends the message
		if ok {
			if !m.ended {
				r.pending = append(r.pending, policy.Event{Kind: policy.MessageCancelled, MessageID: m.id})
			}
			r.done(m)
			r.end(m)
		}
		return
	}
	a.over = true
	m.out--
	switch res.outcome {
	case policy.Overloaded, policy.ConnectFailed, policy.NotSent:
		if len(m.mayRun) > 0 {
			if r.undoes {
				was := slices.Clone(m.mayRun)
				r.journal.note(r, func() { m.mayRun = was })
			}
			m.neverRan(a.n)
		}
	}
	if ok || res.gone {
		r.done(m)
		r.end(m)
	}
	r.tell(policy.Event{
		Kind: policy.AttemptFinished, MessageID: m.id, Attempt: a.n, Endpoint: c.host.ID, Outcome: res.outcome, Latency: res.took, MessageEnded: ok || res.gone, RetryAfter: res.wait,
	})
}
