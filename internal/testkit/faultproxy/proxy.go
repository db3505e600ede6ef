// Package faultproxy provides a TCP and UDP proxy that injects network and peer faults. It delays, throttles, stalls,
// corrupts, drops, duplicates or truncates the bytes that pass, and closes, resets or refuses connections. Fault rules
// determine which fault affects which connection, and when. A test or a script can add and remove rules while traffic
// passes. The same seed, rules and bytes give the same faults.
package faultproxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxRules bounds the rules in force at one time.
	maxRules = 1000
	// acceptRetryInterval is the pause after a failed accept, for example when no file descriptor is free.
	acceptRetryInterval = 5 * time.Millisecond
)

// Proxy accepts TCP connections, opens a connection to its target for each, and applies its fault rules to the bytes
// that pass.
type Proxy struct {
	listener   net.Listener
	seed       uint64
	generation atomic.Int64    // number of changes of the rules
	bytes      [2]atomic.Int64 // read so far, by direction
	goroutines sync.WaitGroup

	mu          sync.Mutex // guards the fields below
	target      string
	rules       []numberedRule
	lastRuleID  int
	connections map[*connection]struct{}
	accepted    int
	triggers    map[int]int   // how often each rule has triggered
	triggered   chan struct{} // closed and replaced when a rule triggers
	closed      bool
}

// numberedRule is a rule with the number that AddRule returned for it.
type numberedRule struct {
	id int
	Rule
}

// Stats counts what a Proxy has done so far.
type Stats struct {
	Accepted        int   // connections, including refused ones
	Active          int   // connections that are open
	UpstreamBytes   int64 // read from the clients
	DownstreamBytes int64 // read from the target
	Triggered       int   // how often rules have triggered
}

// Start starts a proxy that listens on addr, such as 127.0.0.1:0, and connects to target. The seed determines the
// random bytes that Corrupt writes.
func Start(addr, target string, seed uint64) (*Proxy, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("sockfault: %w", err)
	}
	p := &Proxy{
		listener:    listener,
		seed:        seed,
		target:      target,
		connections: map[*connection]struct{}{},
		triggers:    map[int]int{},
		triggered:   make(chan struct{}),
	}
	p.goroutines.Go(p.acceptConnections)
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetTarget sets the address that new connections are forwarded to.
func (p *Proxy) SetTarget(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = addr
}

// AddRule adds a rule and returns its number. The rule also applies to open connections: the bytes that have passed on
// them count toward an Offset without Match, but are not searched for Match.
func (p *Proxy) AddRule(rule Rule) (int, error) {
	if err := rule.Validate(); err != nil {
		return 0, fmt.Errorf("sockfault: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.rules) >= maxRules {
		return 0, fmt.Errorf("sockfault: %d rules at most", maxRules)
	}
	p.lastRuleID++
	added := numberedRule{id: p.lastRuleID, Rule: rule}
	p.rules = append(p.rules, added)
	p.generation.Add(1)
	for c := range p.connections {
		c.schedule(added)
	}
	return added.id, nil
}

// RemoveRule removes a rule and reports whether it existed. Effects of the rule on open connections remain.
func (p *Proxy) RemoveRule(id int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := len(p.rules)
	p.rules = slices.DeleteFunc(p.rules, func(rule numberedRule) bool { return rule.id == id })
	p.generation.Add(1)
	return len(p.rules) < before
}

// ClearRules removes all rules.
func (p *Proxy) ClearRules() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rules = nil
	p.generation.Add(1)
}

// Rules returns the rules by their numbers.
func (p *Proxy) Rules() map[int]Rule {
	p.mu.Lock()
	defer p.mu.Unlock()
	rules := make(map[int]Rule, len(p.rules))
	for _, rule := range p.rules {
		rules[rule.id] = rule.Rule
	}
	return rules
}

// TriggerCount returns how often a rule has triggered.
func (p *Proxy) TriggerCount(id int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.triggers[id]
}

// WaitTriggered waits until a rule has triggered at least once.
func (p *Proxy) WaitTriggered(ctx context.Context, id int) error {
	for {
		p.mu.Lock()
		count, triggered := p.triggers[id], p.triggered
		p.mu.Unlock()
		if count > 0 {
			return nil
		}
		select {
		case <-triggered:
		case <-ctx.Done():
			return fmt.Errorf("sockfault: rule %d has not struck: %w", id, ctx.Err())
		}
	}
}

// Stats returns what the proxy has done so far.
func (p *Proxy) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := Stats{
		Accepted:        p.accepted,
		Active:          len(p.connections),
		UpstreamBytes:   p.bytes[Upstream].Load(),
		DownstreamBytes: p.bytes[Downstream].Load(),
	}
	for _, count := range p.triggers {
		stats.Triggered += count
	}
	return stats
}

// Close resets all connections and waits for the goroutines that serve them.
func (p *Proxy) Close() error {
	p.mu.Lock()
	p.closed = true
	err := p.listener.Close()
	for c := range p.connections {
		c.reset()
	}
	p.mu.Unlock()
	p.goroutines.Wait()
	return err
}

func (p *Proxy) acceptConnections() {
	for {
		accepted, err := p.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptRetryInterval)
		default:
			p.serve(accepted.(*net.TCPConn))
		}
	}
}

// serve starts a goroutine that serves a connection, or resets the connection if a rule refuses it.
func (p *Proxy) serve(client *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		discard(client)
		return
	}
	p.accepted++
	for _, rule := range p.rules {
		if rule.Fault == Refuse && rule.appliesTo(p.accepted) {
			p.recordTrigger(rule.id)
			abort(client)
			return
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &connection{
		proxy:  p,
		number: p.accepted,
		cancel: cancel,
		done:   ctx.Done(),
		sides:  [2]*net.TCPConn{Upstream: client},
	}
	p.connections[c] = struct{}{}
	target := p.target
	p.goroutines.Go(func() { c.serve(ctx, target) })
}

// remove removes a connection that has ended.
func (p *Proxy) remove(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, c)
}

// scheduleRules starts the timers of the rules in force on a connection that was just established.
func (p *Proxy) scheduleRules(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, rule := range p.rules {
		c.schedule(rule)
	}
}

// ruleTriggered counts that a rule has triggered, and wakes the callers of WaitTriggered.
func (p *Proxy) ruleTriggered(id int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordTrigger(id)
}

// recordTrigger does the work of ruleTriggered. The caller holds mu.
func (p *Proxy) recordTrigger(id int) {
	p.triggers[id]++
	close(p.triggered)
	p.triggered = make(chan struct{})
}
