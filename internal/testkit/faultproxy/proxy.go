package faultproxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	bufSize      = 128 << 10
	dialFor      = 5 * time.Second
	delayRoom    = 256 // chunks on their way in a delayed direction; when it is full the sender waits
	rulesMost    = 1000
	trickleSteps = 50 // pieces a second
)

// Proxy takes connections and makes one to its target for each.
type Proxy struct {
	ln   net.Listener
	seed uint64

	mu     sync.Mutex
	target string
	rules  []ruleAt
	lastID int
	gen    atomic.Int64 // of rules
	conns  map[*pair]struct{}
	made   int
	struck map[int]int
	signal chan struct{} // closed and made anew when a rule strikes
	closed bool
	works  sync.WaitGroup

	up, down atomic.Int64
}

type ruleAt struct {
	id int
	Rule
}

// Stats is what has passed.
type Stats struct {
	Accepted, Active               int   // connections
	UpstreamBytes, DownstreamBytes int64 // bytes read from the two sides
	Triggered                      int   // faults
}

// Start listens on addr, such as 127.0.0.1:0, for connections to target. seed makes what Garble writes.
func Start(addr, target string, seed uint64) (*Proxy, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("sockfault: %w", err)
	}
	p := &Proxy{
		ln:     ln,
		seed:   seed,
		target: target,
		conns:  map[*pair]struct{}{},
		struck: map[int]int{},
		signal: make(chan struct{}),
	}
	p.works.Go(p.accept)
	return p, nil
}

// Addr is where it listens.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// SetTarget has connections from now on go to another address.
func (p *Proxy) SetTarget(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = addr
}

// AddRule adds a rule, for connections that are open too, and returns its number. Of what has passed already, bytes count
// for At, but none match.
func (p *Proxy) AddRule(r Rule) (int, error) {
	if err := r.Validate(); err != nil {
		return 0, fmt.Errorf("sockfault: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.rules) >= rulesMost {
		return 0, fmt.Errorf("sockfault: %d rules at most", rulesMost)
	}
	p.lastID++
	p.rules = append(p.rules, ruleAt{p.lastID, r})
	p.gen.Add(1)
	for c := range p.conns {
		c.timed(p.rules[len(p.rules)-1])
	}
	return p.lastID, nil
}

// RemoveRule takes a rule away; false if there is none of that number. What it did to open connections stays.
func (p *Proxy) RemoveRule(id int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	was := len(p.rules)
	p.rules = slices.DeleteFunc(p.rules, func(r ruleAt) bool { return r.id == id })
	p.gen.Add(1)
	return len(p.rules) < was
}

// ClearRules takes all rules away.
func (p *Proxy) ClearRules() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rules = nil
	p.gen.Add(1)
}

// Rules returns the rules by their numbers.
func (p *Proxy) Rules() map[int]Rule {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[int]Rule{}
	for _, r := range p.rules {
		all[r.id] = r.Rule
	}
	return all
}

// TriggerCount is how often a rule has struck.
func (p *Proxy) TriggerCount(id int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.struck[id]
}

// WaitTriggered waits until a rule has struck.
func (p *Proxy) WaitTriggered(ctx context.Context, id int) error {
	for {
		p.mu.Lock()
		n, signal := p.struck[id], p.signal
		p.mu.Unlock()
		if n > 0 {
			return nil
		}
		select {
		case <-signal:
		case <-ctx.Done():
			return fmt.Errorf("sockfault: rule %d has not struck: %w", id, ctx.Err())
		}
	}
}

// Stats returns what has passed so far.
func (p *Proxy) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Stats{Accepted: p.made, Active: len(p.conns), UpstreamBytes: p.up.Load(), DownstreamBytes: p.down.Load()}
	for _, n := range p.struck {
		s.Triggered += n
	}
	return s
}

// Close ends all connections with a reset and waits for all that serves them.
func (p *Proxy) Close() error {
	p.mu.Lock()
	p.closed = true
	err := p.ln.Close()
	for c := range p.conns {
		c.end(true)
	}
	p.mu.Unlock()
	p.works.Wait()
	return err
}

func (p *Proxy) accept() {
	for {
		nc, err := p.ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(5 * time.Millisecond) // out of descriptors, say
			continue
		}
		p.take(nc.(*net.TCPConn))
	}
}

// take serves a connection, unless it is to be refused.
func (p *Proxy) take(nc *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		nc.Close()
		return
	}
	p.made++
	c := &pair{proxy: p, n: p.made, done: make(chan struct{}), sides: [2]*net.TCPConn{nc}}
	for _, r := range p.rules {
		if r.Fault == Refuse && r.hits(c.n) {
			p.hit(r.id)
			nc.SetLinger(0)
			nc.Close()
			return
		}
	}
	p.conns[c] = struct{}{}
	target := p.target
	p.works.Go(func() { c.serve(target) })
}

func (r Rule) hits(conn int) bool { return r.Connection == 0 || r.Connection == conn }

// hit notes that a rule has struck. mu is held.
func (p *Proxy) hit(id int) {
	p.struck[id]++
	close(p.signal)
	p.signal = make(chan struct{})
}

// pair is a connection and the one made for it.
type pair struct {
	proxy *Proxy
	n     int
	done  chan struct{} // closed when both sides are at their end
	once  sync.Once

	mu     sync.Mutex
	sides  [2]*net.TCPConn // what connected, and the target
	timers []*time.Timer
	ended  bool
}

// end closes both sides, with a reset or in order.
func (c *pair) end(rst bool) {
	c.once.Do(func() {
		close(c.done)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ended = true
		for _, t := range c.timers {
			t.Stop()
		}
		for _, s := range c.sides {
			if s == nil {
				continue
			}
			if rst {
				s.SetLinger(0)
			}
			s.Close()
		}
	})
}

func (c *pair) serve(target string) {
	p := c.proxy
	defer func() {
		c.end(false)
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, c)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), dialFor)
	defer cancel()
	go func() { // ends with ctx
		select {
		case <-c.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", target)
	if err != nil {
		c.end(true) // as the target would have refused it
		return
	}
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		nc.Close()
		return
	}
	c.sides[1] = nc.(*net.TCPConn)
	c.mu.Unlock()
	p.mu.Lock()
	for _, r := range p.rules {
		c.timed(r)
	}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { c.pump(Upstream) })
	both.Go(func() { c.pump(Downstream) })
	both.Wait()
}

// timed has a rule that waits for time alone strike by itself, if it ends something: no byte need come for that.
func (c *pair) timed(r ruleAt) {
	ends := r.Fault == Close || r.Fault == Reset || r.Fault == HalfClose
	if !ends || r.After == 0 || r.Offset > 0 || len(r.Match) > 0 || !r.hits(c.n) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.timers = append(c.timers, time.AfterFunc(r.After, func() { c.finish(r, r.Direction) }))
}

// finish ends a direction or both, as a rule says.
func (c *pair) finish(r ruleAt, dir Direction) {
	c.proxy.mu.Lock()
	c.proxy.hit(r.id)
	c.proxy.mu.Unlock()
	switch r.Fault {
	case Reset:
		c.end(true)
	case Close:
		c.end(false)
	case HalfClose:
		c.mu.Lock()
		defer c.mu.Unlock()
		if to := c.sides[1-dir]; to != nil {
			to.CloseWrite()
		}
	}
}

// flow is one direction of a connection at work.
type flow struct {
	*pair
	dir      Direction
	from, to *net.TCPConn
	gen      int64
	began    time.Time
	passed   int64
	triggers []*flowTrigger
	draw     *rand.Rand

	garble, drop, double int // of the bytes to come
	with                 []byte
	again                []byte // of what is doubled, what has come
	cutOff               bool   // nothing more goes on
	line                 *delayLine

	pace     sync.Mutex // guards what the delay line reads, too
	rate     int
	rateTill time.Time
}

// limit is the rate in force; 0: none.
func (f *flow) limit() int {
	f.pace.Lock()
	defer f.pace.Unlock()
	if !f.rateTill.IsZero() && !time.Now().Before(f.rateTill) {
		f.rate = 0
	}
	return f.rate
}

type flowTrigger struct {
	*trigger
	id int
}

// pump carries one direction until it ends.
func (c *pair) pump(dir Direction) {
	f := &flow{
		pair: c, dir: dir, from: c.sides[dir], to: c.sides[1-dir], gen: -1, began: time.Now(),
		draw: rand.New(rand.NewPCG(c.proxy.seed, uint64(c.n)<<1|uint64(dir))),
	}
	count := &c.proxy.up
	if dir == Downstream {
		count = &c.proxy.down
	}
	defer func() {
		if f.line != nil {
			f.line.close()
		}
	}()
	buf := make([]byte, bufSize)
	for {
		n, err := f.from.Read(buf)
		count.Add(int64(n))
		if n > 0 && !f.carry(buf[:n]) {
			return
		}
		if err == nil {
			continue
		}
		if f.line != nil {
			f.line.close() // what is on its way arrives first
		}
		if errors.Is(err, io.EOF) {
			f.to.CloseWrite()
		} else {
			c.end(true) // a reset goes on as one
		}
		return
	}
}

// refresh takes up rules that were added and leaves those that were taken away.
func (f *flow) refresh() {
	gen := f.proxy.gen.Load()
	if gen == f.gen {
		return
	}
	f.proxy.mu.Lock()
	defer f.proxy.mu.Unlock()
	f.gen = gen
	var now []*flowTrigger
	for _, r := range f.proxy.rules {
		i := slices.IndexFunc(f.triggers, func(t *flowTrigger) bool { return t.id == r.id })
		switch {
		case i >= 0:
			now = append(now, f.triggers[i])
		case r.Direction == f.dir && r.hits(f.n) && r.Fault != Refuse:
			t := &flowTrigger{newTrigger(r.Rule), r.id}
			if len(r.Match) == 0 {
				t.left = max(0, t.left-f.passed)
			}
			now = append(now, t)
		}
	}
	f.triggers = now
}

// carry sends data on, and has the rules strike that it triggers; false if the direction is at its end.
func (f *flow) carry(data []byte) bool {
	for {
		f.refresh()
		var first *flowTrigger
		at := never
		for _, t := range f.triggers {
			if t.After > 0 && time.Since(f.began) < t.After {
				continue
			}
			if n := t.next(data); n >= 0 && n < at {
				first, at = t, n
			}
		}
		head := data[:min(at, int64(len(data)))]
		for _, t := range f.triggers {
			if t != first {
				t.passed(head)
			}
		}
		f.passed += int64(len(head))
		if !f.send(head) {
			return false
		}
		if first == nil {
			return true
		}
		first.done = true
		if !f.strike(first) {
			return false
		}
		if data = data[len(head):]; len(data) == 0 {
			return true
		}
	}
}

// strike does what a rule says; false if the direction is at its end.
func (f *flow) strike(t *flowTrigger) bool {
	if t.Fault == Reset || t.Fault == Close || t.Fault == HalfClose {
		if f.line != nil {
			f.line.close()
		}
		f.finish(ruleAt{t.id, t.Rule}, f.dir)
		f.cutOff = true
		return t.Fault == HalfClose
	}
	f.proxy.mu.Lock()
	f.proxy.hit(t.id)
	f.proxy.mu.Unlock()
	switch t.Fault {
	case Delay:
		if f.line == nil {
			f.line = newDelayLine(f)
		}
		f.line.by = t.Duration
	case Throttle:
		f.pace.Lock()
		defer f.pace.Unlock()
		f.rate, f.rateTill = t.BytesPerSecond, time.Time{}
		if t.Duration > 0 {
			f.rateTill = time.Now().Add(t.Duration)
		}
	case Stall:
		if t.Duration == 0 {
			<-f.done
			return false
		}
		return f.sleep(t.Duration)
	case Corrupt:
		f.garble, f.with = t.touch(), t.Replacement
	case Drop:
		f.drop = t.touch()
	case Duplicate:
		f.double = t.touch()
	case Truncate:
		f.cutOff = true
	}
	return true
}

func (f *flow) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-f.done:
		return false
	}
}

// send sends data on as the faults in force leave it; false if the other side has left.
func (f *flow) send(data []byte) bool {
	if f.cutOff || len(data) == 0 {
		return true
	}
	if n := min(f.garble, len(data)); n > 0 {
		for i := range n {
			if f.with != nil {
				data[i] = f.with[len(f.with)-f.garble+i]
			} else {
				data[i] ^= byte(1 + f.draw.IntN(255)) // never the same
			}
		}
		if f.garble -= n; f.garble == 0 {
			f.with = nil
		}
	}
	if n := min(f.drop, len(data)); n > 0 {
		f.drop -= n
		data = data[n:]
	}
	if n := min(f.double, len(data)); n > 0 {
		// All of them come first, and then all of them again, however they are cut up.
		f.again = append(f.again, data[:n]...)
		if f.double -= n; f.double == 0 {
			data = slices.Concat(data[:n], f.again, data[n:])
			f.again = nil
		}
	}
	if f.line != nil {
		return f.line.add(data)
	}
	return f.write(data)
}

// write writes data, no faster than a rate in force.
func (f *flow) write(data []byte) bool {
	for rate := f.limit(); rate > 0 && len(data) > 0; rate = f.limit() {
		n := min(len(data), max(1, rate/trickleSteps))
		if !f.out(data[:n]) || !f.sleep(time.Duration(n)*time.Second/time.Duration(rate)) {
			return false
		}
		data = data[n:]
	}
	return len(data) == 0 || f.out(data)
}

func (f *flow) out(data []byte) bool {
	if _, err := f.to.Write(data); err != nil {
		f.end(true)
		return false
	}
	return true
}

// delayLine holds what is on its way.
type delayLine struct {
	flow *flow
	by   time.Duration
	way  chan delayed
	all  chan struct{} // closed when all has arrived
}

type delayed struct {
	due  time.Time
	data []byte
}

func newDelayLine(f *flow) *delayLine {
	l := &delayLine{flow: f, way: make(chan delayed, delayRoom), all: make(chan struct{})}
	f.proxy.works.Go(func() {
		defer close(l.all)
		for d := range l.way {
			if !f.sleep(time.Until(d.due)) || !f.write(d.data) {
				for range l.way { // until it is closed
				}
				return
			}
		}
	})
	return l
}

func (l *delayLine) add(data []byte) bool {
	select {
	case l.way <- delayed{time.Now().Add(l.by), slices.Clone(data)}:
		return true
	case <-l.flow.done:
		l.close()
		return false
	}
}

// close waits until all has arrived, or the connection has ended.
func (l *delayLine) close() {
	if l.flow.line == nil {
		return
	}
	l.flow.line = nil
	close(l.way)
	<-l.all
}
