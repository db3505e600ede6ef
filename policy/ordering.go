package policy

import "time"

// keyQueue is the order of one key.
type keyQueue struct {
	key         string
	messages    []*message // in the order taken; the first has the turn
	pausedUntil time.Duration
	expiring    bool // kept for its rest alone
}

// joinKeyQueue puts a message at the end of its key's line.
func (e *Engine) joinKeyQueue(msg *message, key string) {
	queue := e.keyQueues[key]
	if queue == nil {
		queue = &keyQueue{key: key}
		e.keyQueues[key] = queue
	}
	queue.messages = append(queue.messages, msg)
	msg.keyQueue = queue
}

// expireKeyQueues forgets turns whose line is empty and whose rest is over.
func (e *Engine) expireKeyQueues() {
	for len(e.expiringKeyQueues) > 0 && e.expiringKeyQueues[0].pausedUntil <= e.now {
		queue := e.expiringKeyQueues[0]
		e.expiringKeyQueues = e.expiringKeyQueues[1:]
		if queue.expiring = false; len(queue.messages) == 0 {
			delete(e.keyQueues, queue.key)
		}
	}
}
