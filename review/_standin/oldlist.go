package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// load hands in 43 messages a second to each relay, for the destinations in turn, until the run's time ends. down
// reports whether the client of a relay has to wait, because the relay is down. It returns when all are answered.
func (l *lab) load(destinations int, ends time.Duration, down func(r *relay) bool) []*message {
	var mu sync.Mutex
	var messages []*message
	var clients sync.WaitGroup
	for i, r := range l.relays {
		c := newClient(r)
		clients.Go(func() {
			for n := 0; ; n++ {
				at := time.Duration(n)*time.Second/43 + time.Duration(i)*11*time.Millisecond
				if at >= ends {
					return
				}
				l.until(at)
				if down(r) {
					continue
				}
				m := &message{
					id: l.id(), key: l.id() + l.id(), class: className, tenant: tenants[n%3], dest: n%destinations + 1,
					body: fmt.Sprintf("order %d of relay %s", n, r.name), expires: 16 * time.Second,
				}
				mu.Lock()
				messages = append(messages, m)
				mu.Unlock()
				clients.Go(func() { c.handIn(m) })
			}
		})
	}
	clients.Wait()
	return messages
}

// oldList plays the case of a relay that forgets at a restart which hosts have gone.
//
// Two relays carry 86 messages a second to eight partners with two hosts each. Two hosts, of partners 1 and 2, drain and
// go, and are replaced by new ones under new ids, each at the address that the other's predecessor had. All this is told
// to the relays and obeyed. The disruption: seconds later discovery is down for 8 s, and one second into that one relay
// gets SIGKILL and starts again 0.6 s later, with its folder and the configuration file of its first start.
// With TROUBLE=kill discovery stays up; with TROUBLE=down no relay is killed.
func oldList(l *lab) (broken bool, err error) {
	const (
		destinations = 8
		drainAt      = 2 * time.Second
		goneAt       = drainAt + 3*time.Second
		downAt       = 9 * time.Second
		killAt       = downAt + time.Second
		restartAt    = killAt + 600*time.Millisecond
		upAt         = downAt + 8*time.Second
		loadEnds     = 19 * time.Second
		grace        = time.Second + 50*time.Millisecond // stop_sending_within_ms, and the slack of the rules on sockets
	)
	work := func(*call) time.Duration { return l.draw(180*time.Millisecond, 310*time.Millisecond) }
	const kind, weight = "store-system", 24
	var hosts []*host
	var entries []entry
	for dest := 1; dest <= destinations; dest++ {
		for z, zone := range zones {
			h, err := newHost(l, fmt.Sprintf("s-%d%c", dest, 'a'+z), dest, zone, work)
			if err != nil {
				return false, err
			}
			hosts = append(hosts, h)
			entries = append(entries, h.entry(kind, weight))
		}
	}
	old1, old2 := hosts[0], hosts[2]
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

	var mu sync.Mutex
	restarting := false
	var messages []*message
	var load sync.WaitGroup
	load.Go(func() {
		messages = l.load(destinations, loadEnds, func(r *relay) bool {
			mu.Lock()
			defer mu.Unlock()
			return restarting && r == l.relays[0]
		})
	})
	change := func(changed ...entry) {
		for _, e := range changed {
			l.log("discovery tells: host %s (dest %d) is %s", e.ID, e.Cell, e.State)
		}
		for _, a := range agents {
			a.change(changed...)
		}
	}
	inState := func(h *host, state string) entry {
		e := h.entry(kind, weight)
		e.State = state
		return e
	}
	l.until(drainAt)
	change(inState(old1, "draining"), inState(old2, "draining"))
	l.until(goneAt)
	change(inState(old1, "gone"), inState(old2, "gone"))
	l.until(goneAt + 500*time.Millisecond)
	new1, err := old2.replace("s-9a", old1)
	if err != nil {
		return false, err
	}
	new2, err := old1.replace("s-9b", old2)
	if err != nil {
		return false, err
	}
	hosts = append(hosts, new1, new2)
	change(new1.entry(kind, weight), new2.entry(kind, weight))

	l.until(downAt)
	if l.trouble && l.part != "kill" {
		l.log("discovery is down")
		for _, a := range agents {
			a.setDown(true)
		}
	}
	l.until(killAt)
	r := l.relays[0]
	if l.trouble && l.part != "down" {
		mu.Lock()
		restarting = true
		mu.Unlock()
		r.signal(syscall.SIGKILL)
		<-r.ended
		l.until(restartAt)
		if err := r.run(); err != nil {
			return false, err
		}
		if err := r.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
		mu.Lock()
		restarting = false
		mu.Unlock()
	}
	l.until(upAt)
	l.log("discovery is up")
	for _, a := range agents {
		a.setDown(false)
	}
	load.Wait()
	l.until(loadEnds + 4*time.Second)

	byID := map[string]*message{}
	for _, m := range messages {
		byID[m.id] = m
	}
	runs := map[string]int{}
	for _, h := range hosts {
		for _, c := range h.received() {
			if m := byID[c.items[0].ID]; m != nil && m.dest == h.cell {
				runs[m.id]++
			}
		}
	}
	foreign, late, lost := 0, 0, 0
	for _, h := range hosts {
		for _, c := range h.received() {
			m := byID[c.items[0].ID]
			if m == nil || m.dest == h.cell {
				continue
			}
			foreign++
			after := c.arrived.Sub(m.via.begun)
			if after > grace {
				late++
			}
			if runs[m.id] == 0 && l.taken(m) && m.via.agent.final(m.id) == "" {
				lost++
			}
			l.log("message %s for partner %d ran at host %s of partner %d at %.3f, %.3f after the start of %s", m.id,
				m.dest, h.id, h.cell, c.arrived.Sub(l.start).Seconds(), after.Seconds(), m.via.name)
		}
	}
	l.say("%d messages handed in, %d calls to the addresses of hosts that had gone, which are those of another partner's:",
		len(messages), foreign)
	l.say("%d of these later than 1.05 s after the process started; %d messages were taken on, never came to their own "+
		"partner, and had no notice", late, lost)
	if len(messages) < 1000 {
		return false, fmt.Errorf("only %d messages were handed in", len(messages))
	}
	return late > 0, nil
}
