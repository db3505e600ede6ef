package relay

import (
	"net"
	"time"
)

// shutdown is the planned end. Connections that are idle close at once, and a request that crosses that comes
// once more on a new connection, which is still taken; what was read is answered, and running calls may finish.
func (r *Relay) shutdown(listener net.Listener) {
	began := time.Now()
	by := func(d time.Duration) <-chan time.Time { return time.After(time.Until(began.Add(d))) }
	r.terminating.Store(true)
	r.ingress.Drain()
	<-by(shutdownAcceptTime)
	listener.Close()
	r.ingress.Close(began.Add(shutdownAnswerTime))
	r.post(stopAccepting{})
	select {
	case <-r.drained:
		return
	case <-by(shutdownSendTime):
	}
	r.post(stopSending{})
	select {
	case <-r.drained:
	case <-by(shutdownTimeout):
	}
}
