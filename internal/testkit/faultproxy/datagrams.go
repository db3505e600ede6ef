package faultproxy

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	datagramMost = 64 << 10
	sessionsMost = 64   // senders that are told apart; the oldest makes way
	flightMost   = 4096 // datagrams on their way in one direction; more are dropped
	reorderHold  = 30 * time.Millisecond
)

// DatagramFaults is what happens to the datagrams of one direction. Shares are of all datagrams, each drawn for itself.
type DatagramFaults struct {
	DropRatio      float64       // share that never arrives; 1: all
	DuplicateRatio float64       // share that arrives twice
	ReorderRatio   float64       // share that is overtaken by those behind it: it arrives 30 ms later
	Delay          time.Duration // of every one
	Jitter         time.Duration // and up to so much more
	BytesPerSecond int           // bytes a second at most, what is beyond is queued; 0: no bound
}

// Validate returns what is wrong with faults.
func (f DatagramFaults) Validate() error {
	for _, x := range []float64{f.DropRatio, f.DuplicateRatio, f.ReorderRatio} {
		if !(x >= 0 && x <= 1) {
			return fmt.Errorf("sockfault: a share is %g, not 0 to 1", x)
		}
	}
	if f.Delay < 0 || f.Delay > forMost || f.Jitter < 0 || f.Jitter > forMost || f.BytesPerSecond < 0 {
		return errors.New("sockfault: delay and jitter are 0 to an hour, rate not below 0")
	}
	return nil
}

// DatagramProxy takes UDP datagrams and sends each on to its target, and what comes back to whoever sent last from there.
type DatagramProxy struct {
	conn *net.UDPConn

	mu       sync.Mutex
	target   *net.UDPAddr
	faults   [2]DatagramFaults
	free     [2]time.Time // when the line of each direction is free again
	flying   [2]int
	passed   [2]int
	dropped  [2]int
	draw     *rand.Rand
	sessions []*session // oldest first
	closed   bool
	works    sync.WaitGroup
}

// session is what one sender's datagrams leave through.
type session struct {
	from *net.UDPAddr
	conn *net.UDPConn
}

// StartDatagramProxy listens on addr for datagrams to target. seed draws which of them are struck.
func StartDatagramProxy(addr, target string, seed uint64) (*DatagramProxy, error) {
	at, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("sockfault: %w", err)
	}
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("sockfault: %w", err)
	}
	conn, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, fmt.Errorf("sockfault: %w", err)
	}
	d := &DatagramProxy{conn: conn, target: to, draw: rand.New(rand.NewPCG(seed, 0x756470))}
	d.works.Go(d.run)
	return d, nil
}

// Addr is where it listens.
func (d *DatagramProxy) Addr() string { return d.conn.LocalAddr().String() }

// SetFaults has faults strike one direction from now on.
func (d *DatagramProxy) SetFaults(dir Direction, f DatagramFaults) error {
	if err := f.Validate(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults[dir], d.free[dir] = f, time.Time{}
	return nil
}

// Counts tells how many datagrams of a direction were sent on, each once, and how many were dropped.
func (d *DatagramProxy) Counts(dir Direction) (passed, dropped int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.passed[dir], d.dropped[dir]
}

// Close ends it. What is on its way is lost.
func (d *DatagramProxy) Close() error {
	d.mu.Lock()
	d.closed = true
	err := d.conn.Close()
	for _, s := range d.sessions {
		s.conn.Close()
	}
	d.mu.Unlock()
	d.works.Wait()
	return err
}

func (d *DatagramProxy) run() {
	buf := make([]byte, datagramMost)
	for {
		n, from, err := d.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // what an earlier datagram met comes back as an error of a read
		}
		s := d.session(from)
		if s == nil {
			continue
		}
		d.carry(Upstream, buf[:n], func(b []byte) { s.conn.Write(b) })
	}
}

// session finds or opens that of a sender; nil if it cannot be had.
func (d *DatagramProxy) session(from *net.UDPAddr) *session {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.sessions {
		if s.from.Port == from.Port && s.from.IP.Equal(from.IP) {
			return s
		}
	}
	if d.closed {
		return nil
	}
	conn, err := net.DialUDP("udp", nil, d.target)
	if err != nil {
		return nil
	}
	s := &session{from, conn}
	if len(d.sessions) >= sessionsMost {
		d.sessions[0].conn.Close()
		d.sessions = d.sessions[1:]
	}
	d.sessions = append(d.sessions, s)
	d.works.Go(func() {
		buf := make([]byte, datagramMost)
		for {
			n, err := conn.Read(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				d.carry(Downstream, buf[:n], func(b []byte) { d.conn.WriteToUDP(b, from) })
			}
		}
	})
	return s
}

// carry does to a datagram what is drawn for it.
func (d *DatagramProxy) carry(dir Direction, data []byte, send func([]byte)) {
	d.mu.Lock()
	f := d.faults[dir]
	drop, double, late := d.draw.Float64() < f.DropRatio, d.draw.Float64() < f.DuplicateRatio, d.draw.Float64() < f.ReorderRatio
	wait := f.Delay
	if f.Jitter > 0 {
		wait += time.Duration(d.draw.Int64N(int64(f.Jitter)))
	}
	if late {
		wait += reorderHold
	}
	if f.BytesPerSecond > 0 && !drop {
		now := time.Now()
		if d.free[dir].Before(now) {
			d.free[dir] = now
		}
		d.free[dir] = d.free[dir].Add(time.Duration(float64(len(data)) / float64(f.BytesPerSecond) * float64(time.Second)))
		wait += d.free[dir].Sub(now)
	}
	if drop || wait > 0 && d.flying[dir] >= flightMost {
		d.dropped[dir]++
		d.mu.Unlock()
		return
	}
	d.passed[dir]++
	if wait > 0 {
		d.flying[dir]++
	}
	d.mu.Unlock()
	deliver := func(b []byte) {
		send(b)
		if double {
			send(b)
		}
	}
	if wait <= 0 {
		deliver(data)
		return
	}
	data = append([]byte(nil), data...)
	time.AfterFunc(wait, func() {
		d.mu.Lock()
		d.flying[dir]--
		closed := d.closed
		d.mu.Unlock()
		if !closed {
			deliver(data)
		}
	})
}
