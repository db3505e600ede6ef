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

// forwardedEvent is an event that matters to a process that has handed over. All others are ignored there.
type forwardedEvent interface {
	forward(r *Relay)
}

// forwardEvents is the loop's step once another process decides.
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

func (e remoteOutcome) forward(r *Relay) {
	outcome := hotrestart.Outcome(e)
	r.sendToSuccessor(hotrestart.Frame{Outcome: &outcome})
}

// forward answers the watcher: nobody here uses the list any more.
func (e partEvent) forward(*Relay) { e.part.Reply <- true }

// forward answers that nothing may be sent: this process no longer knows.
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

// forwardOutcome sends the outcome of an attempt to the successor. callFinished says that no other one follows.
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

// sendToSuccessor sends a frame to the successor. One that has died took the state along: the next process recovers
// from the journal.
func (r *Relay) sendToSuccessor(f hotrestart.Frame) {
	if r.successor == nil {
		return
	}
	if err := r.successor.Send(f); err != nil {
		r.log.Warn("frame not sent to successor", "err", err)
	}
}

// finishAfterHandOver ends a process that has handed over, within shutdownTimeout.
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

// forwardedSubmissions are submissions that the successor answers.
type forwardedSubmissions struct {
	mu      sync.Mutex
	lastSeq uint64
	pending map[uint64]*submitEvent // by sequence number
}

// forward sends a submission to the successor. There are no more of them than connections of clients.
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

// add notes a submission whose answer is to come, and returns its sequence number.
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

// reply gives a client the successor's answer.
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

// abort answers submissions to which no answer comes any more. The successor may have accepted them: their clients must
// not submit again, and learn that the message failed.
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
