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

// drainConnectionsTimeout is how long a process that has handed over goes on serving its open client connections.
// Each connection closes after its next answer.
const drainConnectionsTimeout = 2 * time.Second

// forwardedEvent is an event that a process still handles after it has handed over. All other events are ignored
// then.
type forwardedEvent interface {
	forward(r *Relay)
}

// forwardEvents takes the place of the step in a process that has handed over.
func (r *Relay) forwardEvents(batch []event) {
	for _, e := range batch {
		if f, ok := e.(forwardedEvent); ok {
			f.forward(r)
		}
	}
	if r.stopping && !r.drainedClosed && r.callsInFlight == 0 && r.forwarded.empty() {
		r.drainedClosed = true
		close(r.drained)
	}
}

func (e *submitEvent) forward(r *Relay) { r.forwarded.forward(r.successor, e) }

func (e cancelEvent) forward(r *Relay) { r.sendToSuccessor(hotrestart.Frame{Cancel: e.messageID}) }

func (e *callFinished) forward(r *Relay) {
	r.callsInFlight--
	r.releaseCall(e.call)
	for i, a := range e.call.attempts {
		if a.timer != nil {
			a.timer.Stop()
		}
		r.forwardOutcome(a, e.results[i], true)
	}
}

func (e attemptTimeout) forward(r *Relay) {
	if e.attempt.finished {
		return
	}
	e.attempt.finished = true
	timeout := egress.Result{Outcome: policy.Timeout, Latency: time.Since(e.attempt.call.SentAt)}
	r.forwardOutcome(e.attempt, timeout, false)
}

func (e predecessorOutcome) forward(r *Relay) {
	outcome := hotrestart.Outcome(e)
	r.sendToSuccessor(hotrestart.Frame{Outcome: &outcome})
}

// forward replies to the watcher that sent the part. This process no longer uses the endpoint list.
func (e partEvent) forward(*Relay) { e.part.Reply <- true }

// forward allows no send, because only the successor can still decide which attempts may be sent.
func (e sendCheck) forward(*Relay) { e.reply <- nil }

func (e metricsRequest) forward(r *Relay) {
	r.metrics.Pending.Store(0)
	close(e.done)
}

func (stopAccepting) forward(r *Relay) { r.stopping = true }

func (e successorGone) forward(r *Relay) {
	if r.successor == e.conn {
		r.forwarded.abort()
	}
	r.clearSuccessor(e.conn)
}

// forwardOutcome sends the outcome of an attempt to the successor. callFinished reports that the call of the attempt
// has ended, so that no other outcome of the attempt follows.
func (r *Relay) forwardOutcome(a *attempt, res egress.Result, callFinished bool) {
	r.sendToSuccessor(hotrestart.Frame{Outcome: &hotrestart.Outcome{
		ID:           a.message.ID,
		Number:       a.number,
		Outcome:      res.Outcome,
		MessageEnded: res.MessageEnded,
		RetryAfter:   res.RetryAfter,
		LimitReport:  res.LimitReport,
		Latency:      res.Latency,
		CallFinished: callFinished,
	}})
}

// sendToSuccessor sends a frame to the successor. If the successor has ended, the state that it took over is lost:
// the next process recovers from the journal.
func (r *Relay) sendToSuccessor(f hotrestart.Frame) {
	if r.successor == nil {
		return
	}
	if err := r.successor.Send(f); err != nil {
		r.log.Warn("hot-restart frame not sent to the successor", "err", err)
	}
}

// finishAfterHandOver serves the open client connections and waits for the calls in flight of a process that has
// handed over, for no longer than shutdownTimeout.
func (r *Relay) finishAfterHandOver() {
	began := time.Now()
	after := timersFrom(began)
	r.ingress.DisableKeepAlive()
	select {
	case <-r.ingress.Emptied(drainConnectionsTimeout):
	case <-after(drainConnectionsTimeout):
	}
	r.ingress.Close(began.Add(shutdownSendTime + shutdownAnswerTime/2))
	r.post(stopAccepting{})
	select {
	case <-r.drained:
	case <-after(shutdownTimeout):
	}
}

// forwardedSubmissions holds the submissions that were sent to the successor and have no answer yet.
type forwardedSubmissions struct {
	mu      sync.Mutex
	lastSeq uint64
	pending map[uint64]*submitEvent // by sequence number
}

// forward sends a submission to the successor. The number of pending submissions is bounded by the number of client
// connections.
func (f *forwardedSubmissions) forward(successor *hotrestart.Conn, submitted *submitEvent) {
	if successor == nil {
		submitted.reply <- unavailableResponse
		return
	}
	seq := f.add(submitted)
	submission := &hotrestart.Submission{Seq: seq, Message: submitted.message}
	if err := successor.Send(hotrestart.Frame{Submission: submission}); err != nil {
		f.reply(&hotrestart.Answer{
			Seq:        seq,
			Status:     unavailableResponse.Status,
			RetryAfter: unavailableResponse.RetryAfter,
		})
	}
}

// add registers a submission that awaits its answer, and returns its sequence number.
func (f *forwardedSubmissions) add(submitted *submitEvent) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pending == nil {
		f.pending = map[uint64]*submitEvent{}
	}
	f.lastSeq++
	f.pending[f.lastSeq] = submitted
	return f.lastSeq
}

// reply passes the successor's answer on to the client.
func (f *forwardedSubmissions) reply(a *hotrestart.Answer) {
	f.mu.Lock()
	submitted := f.pending[a.Seq]
	delete(f.pending, a.Seq)
	f.mu.Unlock()
	if submitted != nil {
		submitted.message.ID = a.ID
		submitted.reply <- ingress.Response{Status: a.Status, RetryAfter: a.RetryAfter, Text: a.Text}
	}
}

// abort answers the pending submissions when the successor is gone. The successor may have accepted them, so the
// answer is that the message failed: the clients must not submit it again.
func (f *forwardedSubmissions) abort() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, submitted := range f.pending {
		submitted.reply <- ingress.Response{Status: http.StatusInternalServerError}
	}
	clear(f.pending)
}

// empty reports whether all submissions are answered.
func (f *forwardedSubmissions) empty() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.pending) == 0
}
