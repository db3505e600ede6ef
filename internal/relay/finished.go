package relay

import (
	"net/http"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/hotrestart"
	"cherrytrestle.example/cherrytrestle/internal/relay/ingress"
)

// maxFinishedMessages bounds how many finished messages are kept: those of about four seconds, at a thousand messages
// a second.
const maxFinishedMessages = 4096

// finishedMessages holds the answers to messages that are finished and no longer in the journal, until the deadlines
// of the messages. It includes messages of a predecessor that handed over. A client that lost its connection before
// it received the answer submits its message again under the same id, possibly after the delivery.
type finishedMessages struct {
	replies map[string]finishedReply // by trace id
	order   []string                 // trace ids, in the order in which the messages finished
	bytes   int64                    // estimated memory
}

// finishedReply is the answer to a client that submits a finished message again, and until when it is valid.
type finishedReply struct {
	answer ingress.Response
	until  time.Time
}

// add stores the answer to a finished message, unless it is safe to accept the message as a new one.
func (r *finishedMessages) add(m *message) {
	if len(m.UncertainAttempts) == 0 {
		return // it never ran, so it may be submitted as a new message
	}
	reply := finishedReply{until: m.Deadline}
	switch m.result {
	case resultDelivered:
		reply.answer.Status = http.StatusAccepted // perhaps after its client had left
	case resultFailed:
		if m.Final.Retryable {
			return // the client was asked to submit it again
		}
		reply.answer = finalAnswer(*m.Final)
	case resultPending, resultCancelled:
		return // nobody was promised anything
	}
	r.put(m.TraceID, reply)
}

// put stores a reply under a trace id.
func (r *finishedMessages) put(trace string, reply finishedReply) {
	if r.replies == nil {
		r.replies = map[string]finishedReply{}
	}
	if _, known := r.replies[trace]; !known {
		r.order = append(r.order, trace)
		r.bytes += finishedMemory(trace)
	}
	r.replies[trace] = reply
}

// export returns the finished messages for the successor, which then gives the same answers.
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

// restore adds the finished messages that the predecessor exported.
func (r *finishedMessages) restore(messages []hotrestart.FinishedMessage) {
	for _, m := range messages {
		r.put(m.TraceID, finishedReply{answer: ingress.Response{Status: m.Status}, until: m.Until})
	}
}

// reply returns the answer to a submission under the id of a finished message; known is false if none is stored or
// the stored one is no longer valid.
func (r *finishedMessages) reply(trace string, now time.Time) (reply ingress.Response, known bool) {
	stored, found := r.replies[trace]
	return stored.answer, found && now.Before(stored.until)
}

// expire removes messages from the oldest on: those past their deadlines, and those beyond maxFinishedMessages. It
// stops at the first message that stays. A message behind it may remain past its own deadline, which reply checks.
func (r *finishedMessages) expire(now time.Time) {
	expired := 0
	for _, trace := range r.order {
		over := len(r.order)-expired > maxFinishedMessages
		if !over && now.Before(r.replies[trace].until) {
			break
		}
		delete(r.replies, trace)
		r.bytes -= finishedMemory(trace)
		expired++
	}
	r.order = r.order[expired:]
	if len(r.order) == 0 {
		r.order = nil
	}
}
