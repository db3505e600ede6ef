package egress

import (
	"hash/maphash"
	"net/http"
	"slices"
	"strings"
)

// HTTP/1.1 matches responses to requests by their order alone. An endpoint, or what stands between, may write a
// response twice, and the second copy may arrive at any later time, also while the next request is out. No look at the
// connection before that request, and no pause, shows whether a copy is still to come. The first call of a connection
// cannot receive a copy. A later one believes only a response that no earlier call can have received:
//
//   - A response with status 200 that names exactly the messages of its call. A connection never carries a message
//     twice in calls that rely on this.
//   - A response that announces the end of the connection, if the request asked for it. It is the last call of its
//     connection, and no earlier response announced the end. Only endpoints that are expected to announce it get such
//     calls on a connection that was used before.
//
// Any other response leaves open whether the messages have run. Calls with messages that may run only once rely on the
// second alone, since a rejection names no messages.

const (
	// maxMessagesPerConn bounds the messages that a connection carries, since it remembers each of them.
	maxMessagesPerConn = 1024
	// maxSilentEndpoints bounds the endpoints that are remembered as not announcing the end of a connection.
	maxSilentEndpoints = 4096
)

// messageSeed is the seed of the hashes of messages that connections remember.
var messageSeed = maphash.MakeSeed()

// connUsage is what a connection has carried so far.
type connUsage struct {
	calls    int      // number of requests that were written, or begun to be
	messages []uint64 // hashes of the messages in these requests
	unnamed  bool     // a response named no messages: only one more call is possible, which closes the connection
	closing  bool     // the last request asked to close the connection
	repeated bool     // the last request carried a message that an earlier one had carried
}

// add records a call whose request is about to be written.
func (u *connUsage) add(call *Call, closing bool) {
	u.calls++
	u.closing = closing
	u.repeated = u.carried(call)
	for _, a := range call.Attempts {
		u.messages = append(u.messages, maphash.String(messageSeed, a.TraceID))
	}
}

// carried reports whether the connection has carried a message of the call.
func (u *connUsage) carried(call *Call) bool {
	return slices.ContainsFunc(call.Attempts, func(a *Attempt) bool {
		return slices.Contains(u.messages, maphash.String(messageSeed, a.TraceID))
	})
}

// namesSuffice reports whether the call needs no other proof that a response is its own than the names of its messages.
// A rejection names none. That a message which may run only once was rejected must be proven, or it could not be sent
// again.
func (u *connUsage) namesSuffice(call *Call) bool {
	return call.Batch && !call.OnceOnly && !u.unnamed && !u.carried(call)
}

// full reports whether the connection has carried as many messages as it may.
func (u *connUsage) full() bool { return len(u.messages) >= maxMessagesPerConn }

// closeAnnouncements holds which endpoints are expected to announce the end of a connection when a request asks for it:
// those of a kind of which one has done so, except those that did not. The expectation decides only how connections are
// used. What a response proves does not depend on it.
type closeAnnouncements struct {
	kinds  map[int]struct{}
	silent map[endpointAddr]struct{}
}

func newCloseAnnouncements() closeAnnouncements {
	return closeAnnouncements{kinds: map[int]struct{}{}, silent: map[endpointAddr]struct{}{}}
}

// learn records whether an endpoint of a kind has announced the end of a connection.
func (a *closeAnnouncements) learn(target endpointAddr, kind int, announced bool) {
	if announced {
		a.kinds[kind] = struct{}{}
		delete(a.silent, target)
		return
	}
	if len(a.silent) >= maxSilentEndpoints {
		clear(a.silent)
	}
	a.silent[target] = struct{}{}
}

// expected reports whether an endpoint of a kind is expected to announce the end of a connection.
func (a *closeAnnouncements) expected(target endpointAddr, kind int) bool {
	_, known := a.kinds[kind]
	_, silent := a.silent[target]
	return known && !silent
}

// mayCarry reports whether the response to the call can be told from the responses to earlier calls of the connection.
// The caller holds the pool's mutex.
func (c *pooledConn) mayCarry(call *Call) bool {
	return c.usage.calls == 0 || c.usage.namesSuffice(call) || c.pool.announcements.expected(c.target, call.Kind)
}

// closesAfter reports whether the request of the call asks to close the connection: if nothing else can show that its
// response is its own, or to learn whether the endpoint announces the end.
func (c *pooledConn) closesAfter(call *Call) bool {
	if c.usage.calls > 0 {
		return !c.usage.namesSuffice(call)
	}
	return (!call.Batch || call.OnceOnly) && !c.pool.expectsAnnouncement(c.target, call.Kind)
}

// expectsAnnouncement reports whether an endpoint of a kind is expected to announce the end of a connection.
func (p *pool) expectsAnnouncement(target endpointAddr, kind int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.announcements.expected(target, kind)
}

// learnAnnouncement records whether an endpoint has announced the end of a connection as a request had asked.
func (p *pool) learnAnnouncement(target endpointAddr, kind int, announced bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.announcements.learn(target, kind, announced)
}

// origin is what is known of which call a response belongs to.
type origin int

const (
	originCall    origin = iota // the call whose response is awaited
	originUnknown               // perhaps another source than that call, but no copy of an earlier response
	originOther                 // perhaps an earlier call of the connection
)

// identify determines which call the response belongs to.
func (r *response) identify(call *Call, usage *connUsage) {
	r.states = parseBatchStates(r.body)
	ok := r.header != nil && r.header.StatusCode == http.StatusOK
	r.named = ok && call.Batch && r.complete() && namesMessages(r.states, call)
	r.announcesClose = r.complete() && announcesClose(r.header)
	nameless := ok && call.Batch && !r.named
	switch {
	case usage.calls == 1:
		r.origin = originCall
	case !r.complete() || nameless:
		r.origin = originOther
	case r.named && !usage.repeated:
		r.origin = originCall
	case usage.closing:
		r.origin = r.closingOrigin()
	default:
		r.origin = originUnknown
	}
}

// closingOrigin returns the origin of a response on a used connection whose request asked to close the connection.
func (r *response) closingOrigin() origin {
	if r.announcesClose {
		return originCall
	}
	return originOther
}

// announcesClose reports whether a header announces the end of the connection. Without a length, and in HTTP/1.0, a
// response ends with its connection even if it does not say so: it may have lost its header.
func announcesClose(header *http.Response) bool {
	hasLength := header.ContentLength >= 0 || len(header.TransferEncoding) > 0
	return header.Close && hasLength && header.ProtoAtLeast(1, 1) && !isSpliced(header)
}

// isSpliced reports whether a header seems to consist of the beginning of one response and the end of another.
func isSpliced(header *http.Response) bool {
	const version = "HTTP/"
	if strings.Contains(header.Status, version) {
		return true
	}
	for name, values := range header.Header {
		if strings.Contains(name+strings.Join(values, " "), version) {
			return true
		}
	}
	return false
}

// reusable reports whether another call may use the connection after the response to a call, and records how.
func (c *pooledConn) reusable(call *Call, r *response) bool {
	switch {
	case c.usage.closing || c.usage.full() || r.origin != originCall:
		return false
	case r.named:
		return true
	}
	c.usage.unnamed = true
	return c.usage.calls == 1 && c.pool.expectsAnnouncement(c.target, call.Kind)
}
