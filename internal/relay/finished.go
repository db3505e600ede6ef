package relay

import (
	"net/http"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/hotrestart"
)

// maxFinishedMessages bounds how many ended messages are remembered: of a thousand a second, those of four seconds.
const maxFinishedMessages = 4096

// finishedMessages are the messages of this process, and of one that handed over to it, that have ended and of which
// nothing is owed any more, for as long as they had time. A client whose answer was lost with its connection hands its
// message in once more under the same id, and that may be after its delivery.
type finishedMessages struct {
	replies map[string]finishedReply
	order   []string // their ids, as they ended
}

// finishedReply is what a message's client is told if it comes again, and until when.
type finishedReply struct {
	answer Response
	until  time.Time
}

// add remembers a message, if handing it in again could make it run once more.
func (r *finishedMessages) add(m *message) {
	e := finishedReply{until: m.Deadline}
	switch {
	case len(m.UncertainAttempts) == 0: // it surely never ran: it may come as a new one
		return
	case m.Final == nil:
		e.answer.Status = http.StatusAccepted // delivered; also one that its client had taken back meanwhile
	case m.Final.Retryable:
		return // its client was told to come again
	default:
		e.answer = finalAnswer(*m.Final)
	}
	r.put(m.TraceID, e)
}

func (r *finishedMessages) put(trace string, e finishedReply) {
	if r.replies == nil {
		r.replies = map[string]finishedReply{}
	}
	if _, known := r.replies[trace]; !known {
		r.order = append(r.order, trace)
	}
	r.replies[trace] = e
}

// export is what the next process should know of them, and hear takes it there.
func (r *finishedMessages) export() (ended []hotrestart.FinishedMessage) {
	for _, trace := range r.order {
		e := r.replies[trace]
		ended = append(ended, hotrestart.FinishedMessage{TraceID: trace, Status: e.answer.Status, Until: e.until})
	}
	return ended
}

func (r *finishedMessages) restore(ended []hotrestart.FinishedMessage) {
	for _, e := range ended {
		r.put(e.TraceID, finishedReply{Response{Status: e.Status}, e.Until})
	}
}

// reply is the answer to a hand-in under the id of a message that has ended; false if none is remembered.
func (r *finishedMessages) reply(trace string, now time.Time) (Response, bool) {
	e, ok := r.replies[trace]
	return e.answer, ok && now.Before(e.until)
}

// expire drops what nobody can hand in any more, and the oldest beyond the bound.
func (r *finishedMessages) expire(now time.Time) {
	n := 0
	for n < len(r.order) && (len(r.order)-n > maxFinishedMessages || !now.Before(r.replies[r.order[n]].until)) {
		delete(r.replies, r.order[n])
		n++
	}
	if r.order = r.order[n:]; len(r.order) == 0 {
		r.order = nil
	}
}
