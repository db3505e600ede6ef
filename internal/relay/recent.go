package relay

import (
	"net/http"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/hotrestart"
)

// recentMost bounds how many ended messages are remembered: of a thousand a second, those of four seconds.
const recentMost = 4096

// recent are the messages of this process, and of one that handed over to it, that have ended and of which nothing is
// owed any more, for as long as they had time. A client whose answer was lost with its connection hands its message in
// once more under the same id, and that may be after its delivery.
type recent struct {
	ended map[string]ending
	order []string // their ids, as they ended
}

// ending is what a message's client is told if it comes again, and until when.
type ending struct {
	answer answer
	until  time.Time
}

// add remembers a message, if handing it in again could make it run once more.
func (r *recent) add(m *message) {
	e := ending{until: m.Deadline}
	switch {
	case len(m.UncertainAttempts) == 0: // it surely never ran: it may come as a new one
		return
	case m.Final == nil:
		e.answer.status = http.StatusAccepted // delivered; also one that its client had taken back meanwhile
	case m.Final.Retryable:
		return // its client was told to come again
	default:
		e.answer = finalAnswer(*m.Final)
	}
	r.keep(m.TraceID, e)
}

func (r *recent) keep(trace string, e ending) {
	if r.ended == nil {
		r.ended = map[string]ending{}
	}
	if _, known := r.ended[trace]; !known {
		r.order = append(r.order, trace)
	}
	r.ended[trace] = e
}

// told is what the next process should know of them, and hear takes it there.
func (r *recent) told() (ended []hotrestart.FinishedMessage) {
	for _, trace := range r.order {
		e := r.ended[trace]
		ended = append(ended, hotrestart.FinishedMessage{TraceID: trace, Status: e.answer.status, Until: e.until})
	}
	return ended
}

func (r *recent) hear(ended []hotrestart.FinishedMessage) {
	for _, e := range ended {
		r.keep(e.TraceID, ending{answer{status: e.Status}, e.Until})
	}
}

// again is the answer to a hand-in under the id of a message that has ended; false if none is remembered.
func (r *recent) again(trace string, now time.Time) (answer, bool) {
	e, ok := r.ended[trace]
	return e.answer, ok && now.Before(e.until)
}

// forget drops what nobody can hand in any more, and the oldest beyond the bound.
func (r *recent) forget(now time.Time) {
	n := 0
	for n < len(r.order) && (len(r.order)-n > recentMost || !now.Before(r.ended[r.order[n]].until)) {
		delete(r.ended, r.order[n])
		n++
	}
	if r.order = r.order[n:]; len(r.order) == 0 {
		r.order = nil
	}
}
