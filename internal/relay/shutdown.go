package relay

import (
	"net"
	"time"
)

// The phases of a graceful shutdown, counted from SIGTERM. SIGKILL comes no sooner than 3.7 s after it, and new
// connections come for up to 0.4 s.
const (
	// shutdownAcceptTime is how long new connections are accepted.
	shutdownAcceptTime = 500 * time.Millisecond
	// shutdownAnswerTime is when requests that were read must have their answers.
	shutdownAnswerTime = time.Second
	// shutdownSendTime is when the last call starts: a later one would be cut off without an outcome.
	shutdownSendTime = 2200 * time.Millisecond
	// shutdownTimeout is when calls still in flight are given up.
	shutdownTimeout = 3300 * time.Millisecond
)

// shutdown is the graceful shutdown. Idle connections close at once. A request that crosses that close comes once more
// on a new connection, which is still accepted. Requests that were read are answered, and calls in flight may finish.
func (r *Relay) shutdown(listener net.Listener) {
	began := time.Now()
	after := timersFrom(began)
	r.terminating.Store(true)
	r.ingress.Drain()
	<-after(shutdownAcceptTime)
	_ = listener.Close() // nothing depends on it: the process ends
	r.ingress.Close(began.Add(shutdownAnswerTime))
	r.post(stopAccepting{})
	select {
	case <-r.drained:
		return
	case <-after(shutdownSendTime):
	}
	r.post(stopSending{})
	select {
	case <-r.drained:
	case <-after(shutdownTimeout):
	}
}

// timersFrom returns a function that returns a channel which receives a value once so much time has passed since began.
func timersFrom(began time.Time) func(time.Duration) <-chan time.Time {
	return func(d time.Duration) <-chan time.Time { return time.After(time.Until(began.Add(d))) }
}
