package relay

import (
	"net/http"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/hotrestart"
	"cherrytrestle.example/cherrytrestle/internal/relay/ingress"
)

// maxFinishedMessages bounds how many finished messages are remembered: at a thousand a second, those of four seconds.
const maxFinishedMessages = 4096

// finishedMessages remembers, until their deadlines, the messages that are finished and out of the journal, also those
// of a process that handed over to this one. A client whose answer was lost with its connection submits its message
// once more under the same id, perhaps after the delivery.
type finishedMessages struct {
	replies map[string]finishedReply // by the client's id
	order   []string                 // the ids, as the messages finished
}

// finishedReply is the answer to a client that submits a finished message once more, and until when it holds.
type finishedReply struct {
	answer ingress.Response
	until  time.Time
}

// add remembers a message, unless it could do no harm as a new one.
func (r *finishedMessages) add(m *message) {
	reply := finishedReply{until: m.Deadline}
	switch {
	case len(m.UncertainAttempts) == 0: // it never ran: it may come as a new one
		return
	case m.Final == nil:
		reply.answer.Status = http.StatusAccepted // delivered, perhaps after its client had cancelled it
	case m.Final.Retryable:
		return // its client was asked to submit it again
	default:
		reply.answer = finalAnswer(*m.Final)
	}
	r.put(m.TraceID, reply)
}

// put remembers a reply.
func (r *finishedMessages) put(trace string, reply finishedReply) {
	if r.replies == nil {
		r.replies = map[string]finishedReply{}
	}
	if _, known := r.replies[trace]; !known {
		r.order = append(r.order, trace)
	}
	r.replies[trace] = reply
}

// export returns what the next process needs to give the same answers.
func (r *finishedMessages) export() (messages []hotrestart.FinishedMessage) {
	for _, trace := range r.order {
		reply := r.replies[trace]
		messages = append(messages, hotrestart.FinishedMessage{
			TraceID: trace,
			Status:  reply.answer.Status,
			Until:   reply.until,
		})
	}
	return messages
}

// restore adds what the process before this one exported.
func (r *finishedMessages) restore(messages []hotrestart.FinishedMessage) {
	for _, m := range messages {
		r.put(m.TraceID, finishedReply{answer: ingress.Response{Status: m.Status}, until: m.Until})
	}
}

// reply is the answer to a submission under the id of a finished message; false if none is remembered.
func (r *finishedMessages) reply(trace string, now time.Time) (reply ingress.Response, known bool) {
	remembered, found := r.replies[trace]
	return remembered.answer, found && now.Before(remembered.until)
}

// expire forgets messages past their deadlines, and the oldest beyond maxFinishedMessages.
func (r *finishedMessages) expire(now time.Time) {
	expired := 0
	for _, trace := range r.order {
		over := len(r.order)-expired > maxFinishedMessages
		if !over && now.Before(r.replies[trace].until) {
			break
		}
		delete(r.replies, trace)
		expired++
	}
	r.order = r.order[expired:]
	if len(r.order) == 0 {
		r.order = nil
	}
}
