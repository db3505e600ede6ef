// Package standin plays the other sides of a relay on loopback: hosts of destinations, discovery's agent, and clients.
// They speak the platform's protocol on real sockets and record what they see; what becomes of a call is decided by
// package partner.
package fake

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
)

// slotPatience is how long a call beyond a relay's slots waits for one to fall free. A relay that gave a call up a
// moment ago has its slot back, though its host may not have noticed yet.
const slotPatience = 30 * time.Millisecond

// World is all places and hosts, and what was handed in.
type World struct {
	rec      *eventlog.Writer
	settings scenario.Settings
	relays   []string

	mu     sync.Mutex // guards all below, and what places and hosts say of themselves
	places map[string]*place
	hosts  map[string]*Endpoint
	msgs   map[string]*handed
	slots  map[string]int // calls out, by relay
	calls  uint64
	closed bool
	served sync.WaitGroup
}

type place struct {
	*upstream.Service
	name   string
	dest   int
	outage string // its cause; "": in service
	slow   float64
}

// handed is a message that was handed in.
type handed struct {
	dest     int
	deadline time.Time
	calls    int
	over     bool // withdrawn
	done     bool // delivered
}

// NewWorld returns a world with the places of a plan and no hosts.
func NewWorld(plan scenario.Plan, rec *eventlog.Writer) *World {
	w := &World{
		rec: rec, settings: plan.File.Settings, places: map[string]*place{}, hosts: map[string]*Endpoint{}, msgs: map[string]*handed{},
		slots: map[string]int{},
	}
	for i := range plan.File.Relays {
		w.relays = append(w.relays, scenario.RelayName(i+1))
	}
	for _, p := range plan.Services {
		w.places[p.Name] = &place{Service: upstream.New(p.Spec, p.Seed), name: p.Name, dest: p.Destination, slow: 1}
	}
	return w
}

// RegisterMessage notes a message that a client is about to hand in.
func (w *World) RegisterMessage(id string, dest int, deadline time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.msgs[id] = &handed{dest: dest, deadline: deadline}
}

// WithdrawMessage notes that a message's client has left without an answer: nothing is owed for it.
func (w *World) WithdrawMessage(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m := w.msgs[id]; m != nil {
		m.over = true
	}
}

// placeHosts are the ids of a place's hosts. mu is held.
func (w *World) placeHosts(name string) (hosts []*Endpoint) {
	for _, h := range w.hosts {
		if h.place.name == name && !h.stopped {
			hosts = append(hosts, h)
		}
	}
	slices.SortFunc(hosts, func(a, b *Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return hosts
}

func hostIDs(hosts []*Endpoint) (all []string) {
	for _, h := range hosts {
		all = append(all, h.ID)
	}
	return all
}

// able records what each host of a place can do from now on. mu is held.
func (w *World) able(p *place, share float64, warm time.Duration) {
	rate := p.EndpointCapacity() / p.slow
	if p.outage != "" || p.Overloaded() {
		rate = 0
	}
	for _, h := range w.placeHosts(p.name) {
		w.rec.Add(eventlog.Event{Kind: eventlog.CapacityChanged, Host: h.ID, Destination: p.dest, Rate: rate, Share: share, For: warm})
	}
}

// SetSlowdown has a place take factor times as long; 1 ends it.
func (w *World) SetSlowdown(name string, factor float64) error {
	return w.change(name, func(p *place) {
		p.slow = factor
		p.SetSlowdown(factor)
		w.able(p, 1, 0)
	})
}

// SetLimitDivisor has a place take so many times less than its limit; 1 ends it.
func (w *World) SetLimitDivisor(name string, factor float64) error {
	return w.change(name, func(p *place) { p.SetLimitDivisor(factor) })
}

// SetResponseLossRatio has a share of a place's answers be lost; 0 ends it.
func (w *World) SetResponseLossRatio(name string, share float64) error {
	return w.change(name, func(p *place) { p.SetResponseLossRatio(share) })
}

// StartOutage begins one of a place.
func (w *World) StartOutage(name string, op scenario.Op, share float64, lasts time.Duration) error {
	var hosts []*Endpoint
	err := w.change(name, func(p *place) {
		if p.outage != "" {
			return // it is out already: the first outage's end ends both
		}
		p.outage = op.OutageCause()
		hosts = w.placeHosts(name)
		w.rec.Add(
			eventlog.Event{Kind: eventlog.OutageStarted, Place: name, Destination: p.dest, Hosts: hostIDs(hosts), Cause: p.outage},
		)
		w.able(p, 1, 0)
		switch op {
		case scenario.OpFailCalls:
			p.SetFailureRatio(share)
		case scenario.OpSuspend:
			p.Suspend(w.rec.Now() + lasts)
		case scenario.OpSilence:
			p.SetSilent(true)
		}
	})
	for _, h := range hosts {
		switch op {
		case scenario.OpCrash:
			h.down()
		case scenario.OpCutOff:
			err = errors.Join(err, h.cut())
		}
	}
	return err
}

// EndOutage ends a place's outage: it returns cold.
func (w *World) EndOutage(name string) error {
	var hosts []*Endpoint
	cause := ""
	if err := w.change(name, func(p *place) {
		hosts, cause = w.placeHosts(name), p.outage
		p.outage = ""
		if p.Overloaded() {
			hosts = nil
			return
		}
		p.SetFailureRatio(0)
		p.Resume()
		p.SetSilent(false)
		if len(hosts) == 0 {
			return // all were replaced meanwhile
		}
		cold := p.Recover(w.rec.Now())
		w.rec.Add(eventlog.Event{
			Kind: eventlog.OutageEnded, Place: name, Destination: p.dest, Hosts: hostIDs(hosts), Rate: cold.FullCapacity, Share: cold.InitialCapacity, For: cold.Duration,
		})
		w.able(p, cold.InitialCapacity, cold.Duration)
	}); err != nil {
		return err
	}
	for _, h := range hosts {
		if cause == eventlog.OutageSilent || cause == eventlog.OutageDown {
			if err := h.up(); err != nil { // its processes have started anew
				return err
			}
		}
	}
	return nil
}

func (w *World) change(name string, do func(*place)) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.places[name]
	if p == nil {
		return fmt.Errorf("standin: no place %q", name)
	}
	do(p)
	return nil
}

// Endpoint returns a host by its id; nil if there is none.
func (w *World) Endpoint(id string) *Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[id]
}

// Close takes all hosts down and waits for what serves their connections.
func (w *World) Close() {
	w.mu.Lock()
	w.closed = true
	hosts := make([]*Endpoint, 0, len(w.hosts))
	for _, h := range w.hosts {
		hosts = append(hosts, h)
	}
	w.mu.Unlock()
	for _, h := range hosts {
		h.Stop()
		for _, p := range h.ports {
			p.close() // also those that refuse for hosts that have stopped before
		}
	}
	w.served.Wait()
}

// UnresolvedMessages is how many messages, of those handed in, are neither delivered nor withdrawn nor ended, and have time left.
func (w *World) UnresolvedMessages() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.msgs {
		if !m.over && !m.done && time.Now().Before(m.deadline.Add(owedFor)) {
			n++
		}
	}
	return n
}

// ResolveMessage notes that a message has its end: its client was refused, or the platform was told.
func (w *World) ResolveMessage(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m := w.msgs[id]; m != nil {
		m.done = true
	}
}

// owedFor is how long after its time is up a message may still get its end.
const owedFor = 400 * time.Millisecond
