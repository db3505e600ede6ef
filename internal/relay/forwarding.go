package relay

import (
	"net/http"
	"sync"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/egress"
	"cherrytrestle.example/cherrytrestle/internal/relay/hotrestart"
	"cherrytrestle.example/cherrytrestle/internal/relay/ingress"
	"cherrytrestle.example/cherrytrestle/policy"
)

// drainConnectionsTimeout is how long a process that has handed over serves the connections that its clients have: each
// answer ends one.
const drainConnectionsTimeout = 2 * time.Second

// forwardEvents is the loop's step once another process decides.
func (r *Relay) forwardEvents(batch []event) {
	for _, e := range batch {
		switch e := e.(type) {
		case *submitEvent:
			r.forwarded.forward(r.successor, e)
		case cancelEvent:
			r.sendToSuccessor(hotrestart.Frame{Cancel: e.messageID})
		case *callFinished:
			r.callsInFlight--
			for i, a := range e.call.attempts {
				if a.timer != nil {
					a.timer.Stop()
				}
				r.forwardOutcome(a, e.results[i], true)
			}
		case attemptTimeout:
			if !e.attempt.finished {
				e.attempt.finished = true
				r.forwardOutcome(e.attempt, egress.Result{Outcome: policy.Timeout, Latency: time.Since(e.attempt.call.SentAt)}, false)
			}
		case remoteOutcome:
			o := hotrestart.Outcome(e)
			r.sendToSuccessor(hotrestart.Frame{Outcome: &o})
		case partEvent:
			e.part.Reply <- true // nobody here goes by it any more
		case sendCheck:
			e.reply <- nil // nobody here can tell any more
		case metricsRequest:
			r.metrics.Pending.Store(0)
			close(e.done)
		case stopAccepting:
			r.stopping = true
		case successorGone:
			if r.successor == e.conn {
				r.forwarded.abort()
			}
			r.clearSuccessor(e.conn)
		}
	}
	if r.stopping && !r.drainedClosed && r.callsInFlight == 0 && r.forwarded.empty() {
		r.drainedClosed = true
		close(r.drained)
	}
}

func (r *Relay) forwardOutcome(a *attempt, res egress.Result, last bool) {
	r.sendToSuccessor(hotrestart.Frame{Outcome: &hotrestart.Outcome{
		ID: a.message.ID, Number: a.number, Outcome: res.Outcome, MessageEnded: res.MessageEnded, RetryAfter: res.RetryAfter, LimitReport: res.LimitReport, Latency: res.Latency, CallFinished: last,
	}})
}

func (r *Relay) sendToSuccessor(f hotrestart.Frame) {
	if r.successor == nil {
		return // it has died with all that it took: the log tells the next one
	}
	if err := r.successor.Send(f); err != nil {
		r.log.Warn("handing over", "err", err)
	}
}

// finishAfterHandOver ends a process that has handed over, within shutdownTimeout.
func (r *Relay) finishAfterHandOver() {
	began := time.Now()
	by := func(d time.Duration) <-chan time.Time { return time.After(time.Until(began.Add(d))) }
	r.ingress.DisableKeepAlive()
	select {
	case <-r.ingress.Emptied(drainConnectionsTimeout):
	case <-by(drainConnectionsTimeout):
	}
	r.ingress.Close(began.Add(shutdownSendTime + shutdownAnswerTime/2))
	r.post(stopAccepting{})
	select {
	case <-r.drained:
	case <-by(shutdownTimeout):
	}
}

// forwardedSubmissions are submissions that the successor answers.
type forwardedSubmissions struct {
	mu      sync.Mutex
	lastSeq uint64
	pending map[uint64]*submitEvent
}

// unavailableResponse is what a client hears where the other process does not answer: it has been told nothing, and may come
// again.
var unavailableResponse = ingress.Response{Status: http.StatusServiceUnavailable, RetryAfter: policy.MinRetryAfter}

// submitEvent passes a message on. There are no more of them than connections of clients.
func (f *forwardedSubmissions) forward(to *hotrestart.Conn, in *submitEvent) {
	if to == nil {
		in.reply <- unavailableResponse
		return
	}
	f.mu.Lock()
	if f.pending == nil {
		f.pending = map[uint64]*submitEvent{}
	}
	f.lastSeq++
	seq := f.lastSeq
	f.pending[seq] = in
	f.mu.Unlock()
	if err := to.Send(hotrestart.Frame{Submission: &hotrestart.Submission{Seq: seq, Message: in.message}}); err != nil {
		f.reply(&hotrestart.Answer{Seq: seq, Status: unavailableResponse.Status, RetryAfter: unavailableResponse.RetryAfter})
	}
}

// reply gives a client its answer.
func (f *forwardedSubmissions) reply(a *hotrestart.Answer) {
	f.mu.Lock()
	in := f.pending[a.Seq]
	delete(f.pending, a.Seq)
	f.mu.Unlock()
	if in != nil {
		in.message.ID = a.ID
		in.reply <- ingress.Response{Status: a.Status, RetryAfter: a.RetryAfter, Text: a.Text}
	}
}

// abort tells that no answer comes any more. What was passed on may have been taken on: its client must not hear that it
// may come again, and hears that it failed.
func (f *forwardedSubmissions) abort() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, in := range f.pending {
		in.reply <- ingress.Response{Status: http.StatusInternalServerError}
	}
	clear(f.pending)
}

func (f *forwardedSubmissions) empty() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.pending) == 0
}
