package relay

import (
	"net"
	"time"
)

// The phases of a graceful shutdown, counted from SIGTERM. SIGKILL follows no sooner than 3.7 s after SIGTERM.
// Clients open new connections for up to 0.4 s after SIGTERM.
const (
	// shutdownAcceptTime is how long new connections are accepted.
	shutdownAcceptTime = 500 * time.Millisecond
	// shutdownAnswerTime is when requests that were read must have been answered.
	shutdownAnswerTime = time.Second
	// shutdownSendTime is when the last call may start: a later one would be cut off without an outcome.
	shutdownSendTime = 2200 * time.Millisecond
	// shutdownTimeout is when calls that are still in flight are abandoned.
	shutdownTimeout = 3300 * time.Millisecond
)

// shutdown shuts down gracefully. Idle connections are closed at once. If a request was on its way on one of them, its
// client sends it again on a new connection, which is still accepted. Requests that were read are answered, and calls
// in flight may finish.
func (r *Relay) shutdown(listener net.Listener) {
	began := time.Now()
	after := timersFrom(began)
	r.terminating.Store(true)
	r.ingress.Drain()
	<-after(shutdownAcceptTime)
	_ = listener.Close() // an error does not matter: the process ends
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

// timersFrom returns a function like time.After whose durations count from began.
func timersFrom(began time.Time) func(time.Duration) <-chan time.Time {
	return func(d time.Duration) <-chan time.Time { return time.After(time.Until(began.Add(d))) }
}
