package faultproxy

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// maxDatagramSize is the size of read buffers, in bytes. UDP datagrams are not larger.
	maxDatagramSize = 64 << 10
	// maxDatagramSessions bounds the sessions. When it is reached, a new sender's session replaces the oldest one.
	maxDatagramSessions = 64
	// maxDatagramsInFlight bounds the delayed datagrams of one direction. Any further ones are dropped.
	maxDatagramsInFlight = 4096
	// reorderDelay is the extra delay of a reordered datagram, during which later datagrams overtake it.
	reorderDelay = 30 * time.Millisecond
	// datagramRandomStream is the second half of the generator's seed: "udp" in ASCII.
	datagramRandomStream = 0x756470
)

// DatagramFaults are the faults of one direction. Each ratio is the probability that a datagram has the fault, drawn
// separately for each datagram.
type DatagramFaults struct {
	DropRatio      float64       // the datagram never arrives
	DuplicateRatio float64       // the datagram arrives twice
	ReorderRatio   float64       // the datagram arrives 30 ms later, behind datagrams that were sent after it
	Delay          time.Duration // of every datagram
	Jitter         time.Duration // upper bound of a random additional delay
	BytesPerSecond int           // rate limit; datagrams above it are queued; 0: no limit
}

// Validate returns an error if a value is out of range.
func (f DatagramFaults) Validate() error {
	for _, ratio := range []float64{f.DropRatio, f.DuplicateRatio, f.ReorderRatio} {
		if !(ratio >= 0 && ratio <= 1) {
			return fmt.Errorf("sockfault: a share is %g, not 0 to 1", ratio)
		}
	}
	if min(f.Delay, f.Jitter) < 0 || max(f.Delay, f.Jitter) > maxRuleDuration || f.BytesPerSecond < 0 {
		return errors.New("sockfault: delay and jitter are 0 to an hour, rate not below 0")
	}
	return nil
}

// DatagramProxy forwards UDP datagrams to its target, and the target's answers back to their sender.
type DatagramProxy struct {
	conn       *net.UDPConn
	target     *net.UDPAddr
	goroutines sync.WaitGroup

	mu         sync.Mutex // guards the fields below
	directions [2]datagramDirection
	random     *rand.Rand
	sessions   []*datagramSession // one for each sender, oldest first
	closed     bool
}

// datagramDirection is the state of one direction.
type datagramDirection struct {
	faults   DatagramFaults
	idleAt   time.Time // when all datagrams that the rate limit has queued will have passed
	inFlight int       // delayed datagrams
	passed   int
	dropped  int
}

// datagramSession is the socket through which the proxy forwards the datagrams of one sender.
type datagramSession struct {
	sender *net.UDPAddr
	conn   *net.UDPConn
}

// StartDatagramProxy starts a proxy that listens on addr and forwards datagrams to target. The seed determines which
// datagrams have faults.
func StartDatagramProxy(addr, target string, seed uint64) (*DatagramProxy, error) {
	listenAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("sockfault: %w", err)
	}
	targetAddr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("sockfault: %w", err)
	}
	conn, err := net.ListenUDP("udp", listenAddr)
	if err != nil {
		return nil, fmt.Errorf("sockfault: %w", err)
	}
	p := &DatagramProxy{
		conn:   conn,
		target: targetAddr,
		random: rand.New(rand.NewPCG(seed, datagramRandomStream)),
	}
	p.goroutines.Go(p.forwardToTarget)
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *DatagramProxy) Addr() string { return p.conn.LocalAddr().String() }

// SetFaults replaces the faults of one direction. It applies to datagrams that arrive from now on.
func (p *DatagramProxy) SetFaults(direction Direction, faults DatagramFaults) error {
	if err := faults.Validate(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.directions[direction].faults = faults
	p.directions[direction].idleAt = time.Time{}
	return nil
}

// Counts returns how many datagrams of a direction have passed and how many were dropped. A duplicated datagram counts
// once. A delayed datagram counts as passed from the start.
func (p *DatagramProxy) Counts(direction Direction) (passed, dropped int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.directions[direction].passed, p.directions[direction].dropped
}

// Close closes all sockets and waits for the goroutines that read them. Delayed datagrams are lost.
func (p *DatagramProxy) Close() error {
	p.mu.Lock()
	p.closed = true
	err := p.conn.Close()
	for _, session := range p.sessions {
		discard(session.conn)
	}
	p.mu.Unlock()
	p.goroutines.Wait()
	return err
}

func (p *DatagramProxy) forwardToTarget() {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, sender, err := p.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error about an earlier datagram
		}
		if session := p.session(sender); session != nil {
			p.forward(Upstream, buffer[:n], func(data []byte) {
				_, _ = session.conn.Write(data) // on error, the datagram is lost, as on a network
			})
		}
	}
}

func (p *DatagramProxy) forwardToSender(session *datagramSession) {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, err := session.conn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error about an earlier datagram
		}
		p.forward(Downstream, buffer[:n], func(data []byte) {
			_, _ = p.conn.WriteToUDP(data, session.sender) // on error, the datagram is lost, as on a network
		})
	}
}

// session returns the session of a sender, and opens one if there is none. It returns nil if the proxy is closed or no
// socket can be opened.
func (p *DatagramProxy) session(sender *net.UDPAddr) *datagramSession {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, session := range p.sessions {
		if session.sender.Port == sender.Port && session.sender.IP.Equal(sender.IP) {
			return session
		}
	}
	if p.closed {
		return nil
	}
	conn, err := net.DialUDP("udp", nil, p.target)
	if err != nil {
		return nil // the datagram is lost, as on a network
	}
	session := &datagramSession{sender: sender, conn: conn}
	if len(p.sessions) >= maxDatagramSessions {
		discard(p.sessions[0].conn)
		p.sessions = p.sessions[1:]
	}
	p.sessions = append(p.sessions, session)
	p.goroutines.Go(func() { p.forwardToSender(session) })
	return session
}

// delivery states how one datagram is delivered, according to the faults drawn for it.
type delivery struct {
	dropped    bool
	duplicated bool
	delay      time.Duration
}

// forward delivers a datagram by calling send, with the faults drawn for the datagram.
func (p *DatagramProxy) forward(direction Direction, data []byte, send func([]byte)) {
	d := p.drawDelivery(direction, len(data))
	if d.dropped {
		return
	}
	deliver := func(data []byte) {
		send(data)
		if d.duplicated {
			send(data)
		}
	}
	if d.delay <= 0 {
		deliver(data)
		return
	}
	data = slices.Clone(data)
	time.AfterFunc(d.delay, func() {
		p.mu.Lock()
		p.directions[direction].inFlight--
		closed := p.closed
		p.mu.Unlock()
		if !closed {
			deliver(data)
		}
	})
}

// drawDelivery draws the faults of a datagram of size bytes, and counts the datagram as passed or dropped.
func (p *DatagramProxy) drawDelivery(direction Direction, size int) delivery {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := &p.directions[direction]
	faults := state.faults
	// The order of the draws must stay fixed, so that the same seed gives each datagram the same faults.
	dropped := p.random.Float64() < faults.DropRatio
	duplicated := p.random.Float64() < faults.DuplicateRatio
	reordered := p.random.Float64() < faults.ReorderRatio
	delay := faults.Delay
	if faults.Jitter > 0 {
		delay += time.Duration(p.random.Int64N(int64(faults.Jitter)))
	}
	if reordered {
		delay += reorderDelay
	}
	if faults.BytesPerSecond > 0 && !dropped {
		delay += state.queue(size, time.Now())
	}
	if dropped || delay > 0 && state.inFlight >= maxDatagramsInFlight {
		state.dropped++
		return delivery{dropped: true}
	}
	state.passed++
	if delay > 0 {
		state.inFlight++
	}
	return delivery{duplicated: duplicated, delay: delay}
}

// queue schedules a datagram of size bytes under the rate limit, and returns the resulting delay.
func (d *datagramDirection) queue(size int, now time.Time) time.Duration {
	if d.idleAt.Before(now) {
		d.idleAt = now
	}
	seconds := float64(size) / float64(d.faults.BytesPerSecond)
	d.idleAt = d.idleAt.Add(time.Duration(seconds * float64(time.Second)))
	return d.idleAt.Sub(now)
}
