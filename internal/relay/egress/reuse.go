package egress

import (
	"hash/maphash"
	"net/http"
	"slices"
)

// HTTP/1.1 matches responses to requests by their order alone. An endpoint, or what stands between, may write a
// response twice, and the second copy may arrive at any later time, also while the next request is out. No look at the
// connection before that request, and no pause, shows whether a copy is still to come. A call may therefore use a
// connection that has carried other calls only if no response to those can be taken for its own:
//
//   - Only a response with status 200 that names exactly the messages of its call leaves a connection in use. All other
//     responses name no messages, also those to calls with a single message.
//   - So a copy on a used connection is a 200 that names messages of an earlier call. A connection never carries the
//     same message twice, and the copy names none of the present call's.
//   - Any response without names on a used connection, such as a 503, thus belongs to the present call.

// maxMessagesPerConn bounds the messages that a connection carries, since it remembers each of them.
const maxMessagesPerConn = 1024

// messageSeed is the seed of the hashes of messages that connections remember.
var messageSeed = maphash.MakeSeed()

// connUsage is what a connection has carried so far.
type connUsage struct {
	calls    int      // number of requests that were written, or begun to be
	messages []uint64 // hashes of the messages in these requests
}

// add records a call whose request is about to be written.
func (u *connUsage) add(call *Call) {
	u.calls++
	for _, a := range call.Attempts {
		u.messages = append(u.messages, maphash.String(messageSeed, a.TraceID))
	}
}

// carried reports whether the connection has carried a message of the call. It may be wrong in saying that it has.
func (u *connUsage) carried(call *Call) bool {
	return slices.ContainsFunc(call.Attempts, func(a *Attempt) bool {
		return slices.Contains(u.messages, maphash.String(messageSeed, a.TraceID))
	})
}

// full reports whether the connection has carried as many messages as it may.
func (u *connUsage) full() bool { return len(u.messages) >= maxMessagesPerConn }

// mayCarry reports whether the responses to the connection's earlier calls can be told from the response to this call.
func (c *pooledConn) mayCarry(call *Call) bool {
	return c.usage.calls == 0 || call.Batch && !c.usage.carried(call)
}

// identify determines whether a response names exactly the messages of its call, and whether it may be a copy of a
// response to an earlier call of its connection: a 200 that does not.
func (r *response) identify(call *Call, conn *pooledConn) {
	r.states = parseBatchStates(r.body)
	ok := r.header != nil && r.header.StatusCode == http.StatusOK
	r.identified = ok && call.Batch && r.complete() && namesMessages(r.states, call)
	r.foreign = ok && !r.identified && conn.usage.calls > 1
}
