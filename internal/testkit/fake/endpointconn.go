package fake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

const (
	// maxBodySize is the most that is read of the body of an answer, in bytes.
	maxBodySize = 64 << 10
	// maxCallSize is the most that is read of the body of a call, in bytes.
	maxCallSize = 16 * maxBodySize
	// keepAliveGrace is how much longer than the scenario's KeepAliveTimeout an endpoint keeps an idle connection.
	keepAliveGrace = time.Second
)

// endpointConn is an endpoint's side of a connection from a relay.
type endpointConn struct {
	net.Conn
	endpoint *Endpoint
	relay    string
	aborted  chan struct{} // closed when the endpoint ends the connection
	endOnce  sync.Once
	readDone bool // a read has failed; used only by the reading goroutine

	writing   sync.Mutex  // held while something is written
	busy      atomic.Bool // a call is being answered
	forgotten atomic.Bool // nothing that arrives has an effect
}

// abort ends the connection with a reset.
func (c *endpointConn) abort() {
	c.end(func() {
		if conn, ok := c.Conn.(*net.TCPConn); ok {
			_ = conn.SetLinger(0) // fails if the relay has closed the connection
		}
	})
}

// end calls prepare and closes the connection, unless the connection was closed before.
func (c *endpointConn) end(prepare func()) {
	c.endOnce.Do(func() {
		close(c.aborted)
		prepare()
		discard(c.Conn)
	})
}

// Read reads from the connection. Data that arrives while the machine is cut off, or once the connection is forgotten,
// does not reach the endpoint: Read discards the data and waits until the connection is closed.
func (c *endpointConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.readDone = c.readDone || err != nil
	if c.endpoint.isIsolated() || c.forgotten.Load() {
		<-c.aborted
		return 0, net.ErrClosed
	}
	return n, err
}

// serve answers the calls of the connection until it ends.
func (c *endpointConn) serve() {
	relayClosed := make(chan struct{}) // closed when the relay closes the connection or its sending side
	calls := make(chan call)
	done := make(chan struct{})
	var reader sync.WaitGroup
	reader.Go(func() {
		defer close(relayClosed)
		c.readCalls(calls, done)
	})
	defer func() {
		c.endpoint.removeConnection(c)
		close(done)
		c.end(func() {}) // stops the reader, even one that waits because the machine is cut off
		reader.Wait()
	}()
	for {
		select {
		case received := <-calls:
			if !c.answer(received, relayClosed) {
				return
			}
		case <-relayClosed:
			return
		case <-c.aborted:
			return
		}
	}
}

// readCalls reads calls and sends them to the channel calls. It returns when the connection ends or done is closed.
func (c *endpointConn) readCalls(calls chan<- call, done <-chan struct{}) {
	reader := bufio.NewReader(c)
	keepAlive := c.endpoint.world.settings.KeepAliveTimeout.AsDuration() + keepAliveGrace
	for {
		c.setReadDeadline(time.Now().Add(keepAlive))
		if _, err := reader.Peek(1); err != nil {
			return
		}
		c.setReadDeadline(time.Time{})
		received, err := c.readCall(reader)
		if err != nil {
			return
		}
		select {
		case calls <- received:
		case <-done:
			c.recordAborted(received, eventlog.CauseEndpoint)
			return
		}
	}
}

func (c *endpointConn) setReadDeadline(deadline time.Time) {
	_ = c.SetReadDeadline(deadline) // if this fails, the next read fails, too
}

// readCall reads and records one call, the first byte of which has arrived.
func (c *endpointConn) readCall(reader *bufio.Reader) (call, error) {
	world := c.endpoint.world
	event := eventlog.Event{
		FirstByteAt: world.events.Now(),
		Call:        world.nextCall(),
		Relay:       c.relay,
		Endpoint:    c.endpoint.spec.ID,
		Destination: c.endpoint.spec.Destination,
	}
	request, body, err := readRequest(reader)
	if err != nil {
		if !c.readDone { // the call was not cut short: it is malformed
			c.endpoint.recordInvalid(c.relay, fmt.Sprintf("unreadable call: %v", err))
		}
		event.Kind = eventlog.CallTruncated
		world.events.Add(event)
		return call{}, err
	}
	received := parseCall(request, body)
	received.number = event.Call
	received.closing = request.Close
	event.Kind = eventlog.CallReceived
	event.IDs = received.ids
	event.Weight = c.endpoint.service.model.CallWeight(len(received.ids))
	received.receivedAt = world.events.Add(event)
	return received, nil
}

func readRequest(reader *bufio.Reader) (*http.Request, []byte, error) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, maxCallSize))
	return request, body, err
}

// nextCall returns the number of a new call, counted from 1.
func (w *World) nextCall() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastCall++
	return w.lastCall
}

// answer answers a call. It reports whether the connection can carry further calls.
func (c *endpointConn) answer(received call, relayClosed <-chan struct{}) bool {
	c.busy.Store(true)
	defer c.busy.Store(false)
	world := c.endpoint.world
	answer := c.decide(received)
	if answer.holdsSlot {
		defer world.releaseSlot(c.relay)
	}
	if cause := c.awaitAnswer(received, answer, relayClosed); cause != "" {
		c.recordAborted(received, cause)
		return false
	}
	spoilt := c.endpoint.spoil(answer.text(received))
	switch {
	case !spoilt.counts(answer, received.isBatch):
		c.recordAborted(received, eventlog.CauseEndpoint)
	case spoilt.trickled && answer.retryAfter > 0:
		// A Retry-After binds from when its answer is written, which takes a while here.
		return c.sendTrickled(spoilt, received, answer)
	default:
		c.recordAnswered(received, answer)
	}
	return c.send(spoilt) && !received.closing
}

// sendTrickled writes an answer byte by byte, and records it with its own last byte. If the relay ends the connection
// before, the call has no answer. It reports whether the connection can carry further calls.
func (c *endpointConn) sendTrickled(spoilt spoiltAnswer, received call, answer answer) bool {
	recorded := false
	spoilt.beforeLastByte = func() {
		c.recordAnswered(received, answer)
		recorded = true
	}
	sent := c.send(spoilt)
	if !recorded {
		c.recordAborted(received, eventlog.CauseRelay)
	}
	return sent && !received.closing
}

// recordAnswered records that an endpoint sends an answer.
func (c *endpointConn) recordAnswered(received call, answer answer) {
	c.endpoint.world.events.Add(eventlog.Event{
		Kind:       eventlog.CallAnswered,
		Call:       received.number,
		Relay:      c.relay,
		Endpoint:   c.endpoint.spec.ID,
		Status:     answer.status,
		RetryAfter: answer.retryAfter,
		States:     answer.states,
	})
}

// recordAborted records that a call's connection ended before an answer.
func (c *endpointConn) recordAborted(received call, cause string) {
	c.endpoint.world.events.Add(eventlog.Event{
		Kind:     eventlog.CallAborted,
		Call:     received.number,
		Relay:    c.relay,
		Endpoint: c.endpoint.spec.ID,
		Cause:    cause,
	})
}

// awaitAnswer waits until the answer is due. It returns "" if the answer can be sent, and otherwise the side that ended
// the connection: CauseRelay or CauseEndpoint.
func (c *endpointConn) awaitAnswer(received call, answer answer, relayClosed <-chan struct{}) (cause string) {
	var due <-chan time.Time
	if !answer.silent {
		timer := time.NewTimer(answer.latency - (c.endpoint.world.events.Now() - received.receivedAt))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-due:
	case <-relayClosed:
		return eventlog.CauseRelay
	case <-c.aborted:
		return eventlog.CauseEndpoint
	}
	if !c.endpoint.resolveDelivered(received, answer) {
		<-c.aborted
		return eventlog.CauseEndpoint
	}
	if answer.lost {
		return eventlog.CauseEndpoint
	}
	return ""
}

// resolveDelivered marks the messages that a call delivers as resolved. If the endpoint's machine is cut off, it does
// nothing and returns false.
func (e *Endpoint) resolveDelivered(received call, answer answer) bool {
	e.world.mu.Lock()
	defer e.world.mu.Unlock()
	if e.isolated {
		return false
	}
	for i, id := range received.ids {
		if answer.delivers(i) {
			e.world.resolve(id)
		}
	}
	return true
}
