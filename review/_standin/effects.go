package main

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// effects plays the case of a class whose effect changes by SIGHUP, and of a restart soon after.
//
// Two relays carry 86 messages a second to eight partners with two hosts each. Until the new configuration the class is
// unsafe; the new one makes it safe. The disruption: the file of the configuration is replaced and the relays get
// SIGHUP; 0.6 s later one of them gets SIGKILL, and starts again 0.6 s after that. Clients name the new class from 1.2 s
// after SIGHUP on; what they handed in before keeps the old class. With TROUBLE=kill the configuration stays as it is,
// and with TROUBLE=hup no relay is killed.
func effects(l *lab) (broken bool, err error) {
	const (
		destinations = 8
		hupAt        = 4 * time.Second
		killAt       = hupAt + 600*time.Millisecond
		restartAt    = killAt + 600*time.Millisecond
		newClassAt   = hupAt + 1200*time.Millisecond
		loadEnds     = 8 * time.Second
	)
	var hosts []*host
	var entries []entry
	for dest := 1; dest <= destinations; dest++ {
		for z, zone := range zones {
			h, err := newHost(l, fmt.Sprintf("s-%d%c", dest, 'a'+z), dest, zone, func(*call) time.Duration {
				return l.draw(180*time.Millisecond, 310*time.Millisecond)
			})
			if err != nil {
				return false, err
			}
			hosts = append(hosts, h)
			entries = append(entries, h.entry("store-system", 24))
		}
	}
	for _, name := range []string{"n1", "n2"} {
		a, err := newAgent(l, name, entries)
		if err != nil {
			return false, err
		}
		r, err := l.newRelay(name, a, settings(2, class("non_idempotent")))
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
	var messages []*message
	var clients sync.WaitGroup
	var down atomic.Bool // the first relay
	for i, r := range l.relays {
		c := newClient(r)
		clients.Go(func() {
			for n := 0; ; n++ {
				at := time.Duration(n)*time.Second/43 + time.Duration(i)*11*time.Millisecond
				if at >= loadEnds {
					return
				}
				l.until(at)
				if i == 0 && down.Load() {
					continue // a relay is used once it has answered its health check
				}
				m := &message{
					id: l.id(), class: className, tenant: tenants[n%3], dest: n%destinations + 1,
					body: fmt.Sprintf("order %d of relay %s", n, r.name), expires: deadline * time.Millisecond,
				}
				mu.Lock()
				messages = append(messages, m)
				mu.Unlock()
				clients.Go(func() { c.handIn(m) })
			}
		})
	}
	if l.trouble && l.part != "kill" {
		l.until(hupAt)
		for _, r := range l.relays {
			r.config["settings"] = settings(2, class("read_like"))
			if err := r.writeConfig(); err != nil {
				return false, err
			}
			r.signal(syscall.SIGHUP)
		}
	}
	if l.trouble && l.part != "hup" {
		l.until(killAt)
		r := l.relays[0]
		down.Store(true)
		r.signal(syscall.SIGKILL)
		<-r.ended
		time.Sleep(restartAt - killAt)
		if err := r.run(); err != nil {
			return false, err
		}
		if err := r.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
		down.Store(false)
	}
	clients.Wait()
	l.until(loadEnds + 4*time.Second)

	runs := map[string][]*call{}
	for _, h := range hosts {
		for _, c := range h.received() {
			for _, i := range c.items {
				runs[i.ID] = append(runs[i.ID], c)
			}
		}
	}
	unsafe, taken, twice := 0, 0, 0
	for _, m := range messages {
		if l.trouble && l.part != "kill" && m.sentAt.After(l.start.Add(newClassAt)) {
			continue // of the new class
		}
		unsafe++
		if !l.taken(m) {
			continue
		}
		taken++
		if len(runs[m.id]) < 2 {
			continue
		}
		twice++
		slices.SortFunc(runs[m.id], func(a, b *call) int { return a.arrived.Compare(b.arrived) })
		for n, c := range runs[m.id] {
			l.say("unsafe message %s, handed in at %.3f: run %d at host %s at %.3f", m.id,
				m.sentAt.Sub(l.start).Seconds(), n+1, c.host.id, c.arrived.Sub(l.start).Seconds())
		}
	}
	l.say("unsafe messages: %d handed in, %d taken on, %d run more than once", unsafe, taken, twice)
	if taken < 100 {
		return false, fmt.Errorf("only %d unsafe messages were taken on", taken)
	}
	return twice > 0, nil
}
