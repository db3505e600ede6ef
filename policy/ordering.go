package policy

import "time"

// keyQueue orders the messages of one ordering key: each waits until the one before it is released.
type keyQueue struct {
	key         string
	messages    []*message    // in order of acceptance; only the first may be sent
	pausedUntil time.Duration // no message's first attempt before this: an attempt of an earlier message may still run
	expiring    bool          // in Engine.expiringKeyQueues
}

// joinKeyQueue appends a message to the queue of its ordering key.
func (e *Engine) joinKeyQueue(msg *message, key string) {
	queue := e.keyQueues[key]
	if queue == nil {
		queue = &keyQueue{key: key}
		e.keyQueues[key] = queue
	}
	queue.messages = append(queue.messages, msg)
	msg.keyQueue = queue
}

// pause blocks the first attempts of the key's messages until the given time, unless they are already blocked for
// longer.
func (queue *keyQueue) pause(until time.Duration) {
	queue.pausedUntil = max(queue.pausedUntil, until)
}

// startExpiry schedules the removal of an empty queue for the end of its pause.
func (e *Engine) startExpiry(queue *keyQueue) {
	if !queue.expiring {
		queue.expiring = true
		e.expiringKeyQueues = append(e.expiringKeyQueues, queue)
	}
}

// expireKeyQueues removes key queues that are empty and whose pause is over.
func (e *Engine) expireKeyQueues() {
	for len(e.expiringKeyQueues) > 0 && e.expiringKeyQueues[0].pausedUntil <= e.now {
		queue := e.expiringKeyQueues[0]
		e.expiringKeyQueues = e.expiringKeyQueues[1:]
		queue.expiring = false
		if len(queue.messages) == 0 {
			delete(e.keyQueues, queue.key)
		}
	}
}
