package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// newKind plays the case of a partner that comes back from a replacement of its hosts as another kind.
//
// Two relays carry 86 messages a second to eight partners with two hosts each, all of a kind whose hosts share a limit.
// The two hosts of partner 1 drain and go, and two new ones under new ids and addresses take their place. The
// disruption: in the list the new hosts are of the kind whose hosts are separate routes. Without it they are of the old
// kind. A relay that ends by itself is started again 0.6 s later, three times at most. With TROUBLE=settings the new hosts
// are of the old kind, and a new configuration by SIGHUP, 2 s after the load has begun, says of that kind that its hosts
// are separate routes.
func newKind(l *lab) (broken bool, err error) {
	const (
		destinations = 8
		hupAt        = 2 * time.Second
		drainAt      = 3 * time.Second
		goneAt       = drainAt + 3*time.Second
		addedAt      = goneAt + 500*time.Millisecond
		loadEnds     = 10 * time.Second
		mayRestart   = 3
		shared       = "store-system"
		separate     = "payment-gateway"
		weight       = 24
		lateAfter    = 350 * time.Millisecond // of a notice, past the message's time
	)
	work := func(*call) time.Duration { return l.draw(180*time.Millisecond, 310*time.Millisecond) }
	var hosts []*host
	var entries []entry
	for dest := 1; dest <= destinations; dest++ {
		for z, zone := range zones {
			h, err := newHost(l, fmt.Sprintf("s-%d%c", dest, 'a'+z), dest, zone, work)
			if err != nil {
				return false, err
			}
			hosts = append(hosts, h)
			entries = append(entries, h.entry(shared, weight))
		}
	}
	var agents []*agent
	for _, name := range []string{"n1", "n2"} {
		a, err := newAgent(l, name, entries)
		if err != nil {
			return false, err
		}
		agents = append(agents, a)
		r, err := l.newRelay(name, a, settings(2, class("idempotency_key")))
		if err != nil {
			return false, err
		}
		if err := r.run(); err != nil {
			return false, err
		}
	}
	for _, r := range l.relays {
		if err := r.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	l.start = time.Now()

	// Start again what ends by itself.
	var watch sync.WaitGroup
	crashes := make([]int, len(l.relays))
	for i, r := range l.relays {
		watch.Go(func() {
			for time.Since(l.start) < loadEnds+8*time.Second {
				if !r.exited() {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				crashes[i]++
				l.log("%s has ended by itself, for the %d. time", r.name, crashes[i])
				if crashes[i] > mayRestart {
					return
				}
				time.Sleep(600 * time.Millisecond)
				if err := r.run(); err != nil {
					l.log("%s cannot be started: %v", r.name, err)
					return
				}
			}
		})
	}
	var messages []*message
	var load sync.WaitGroup
	load.Go(func() { messages = l.load(destinations, loadEnds, func(*relay) bool { return false }) })
	change := func(changed ...entry) {
		for _, e := range changed {
			l.log("discovery tells: host %s (dest %d, %s) is %s", e.ID, e.Cell, e.Kind, e.State)
		}
		for _, a := range agents {
			a.change(changed...)
		}
	}
	old := hosts[:2]
	inState := func(state string) (entries []entry) {
		for _, h := range old {
			e := h.entry(shared, weight)
			e.State = state
			entries = append(entries, e)
		}
		return entries
	}
	if l.part == "settings" {
		l.until(hupAt)
		for _, r := range l.relays {
			changed := settings(2, class("idempotency_key"))
			changed["extra"].(object)["separate_routes"] = []bool{false, true, true}
			r.config["settings"] = changed
			if err := r.writeConfig(); err != nil {
				return false, err
			}
			r.signal(syscall.SIGHUP)
		}
	}
	l.until(drainAt)
	change(inState("draining")...)
	l.until(goneAt)
	change(inState("gone")...)
	l.until(addedAt)
	kind := shared
	if l.trouble && l.part == "" {
		kind = separate
	}
	var added []entry
	for z, zone := range zones {
		h, err := newHost(l, fmt.Sprintf("s-9%c", 'a'+z), 1, zone, work)
		if err != nil {
			return false, err
		}
		hosts = append(hosts, h)
		added = append(added, h.entry(kind, weight))
	}
	change(added...)
	load.Wait()
	watch.Wait()
	l.until(loadEnds + 17*time.Second) // every message's time is up

	delivered := map[string]bool{}
	for _, h := range hosts {
		for _, c := range h.received() {
			for _, i := range c.items {
				delivered[i.ID] = true
			}
		}
	}
	taken, lost := 0, 0
	for _, m := range messages {
		if !l.taken(m) {
			continue
		}
		taken++
		overdue := time.Since(m.sentAt.Add(m.expires + lateAfter))
		if !delivered[m.id] && m.via.agent.final(m.id) == "" && overdue > 0 {
			lost++
			l.log("message %s (dest %d) has neither come to a host nor had a notice, %.1f s after its time", m.id, m.dest,
				overdue.Seconds())
		}
	}
	l.say("%d messages handed in, %d taken on, %d of these have neither come to a host nor had a notice after their time",
		len(messages), taken, lost)
	for i, r := range l.relays {
		l.say("relay %s ended by itself %d times", r.name, crashes[i])
	}
	if taken < 300 {
		return false, fmt.Errorf("only %d messages were taken on", taken)
	}
	return crashes[0]+crashes[1] > 0, nil
}
