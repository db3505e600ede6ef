package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/relayprocess"
)

// request returns a request that submits a message of the class "order". edit may change it.
func (r *relayProcess) request(id string, expires time.Duration, edit func(*http.Request)) *http.Request {
	r.t.Helper()
	request, err := relayprocess.Submission{
		ID:          id,
		Destination: 7,
		TimeLeft:    expires,
		Body:        strings.NewReader("body"),
	}.NewRequest(context.Background(), r.addr)
	must(r.t, err)
	if edit != nil {
		edit(request)
	}
	return request
}

// submit submits a message, and returns the answer's status and its Retry-After.
func (r *relayProcess) submit(id string, expires time.Duration, edit func(*http.Request)) (int, string) {
	r.t.Helper()
	res, err := r.client.Do(r.request(id, expires, edit))
	must(r.t, err)
	drain(res.Body)
	closeQuietly(res.Body)
	return res.StatusCode, res.Header.Get("Retry-After")
}

// mustAccept submits a message that the relay must accept.
func (r *relayProcess) mustAccept(id string, expires time.Duration) {
	r.t.Helper()
	if status, _ := r.submit(id, expires, nil); status != http.StatusAccepted {
		r.t.Fatalf("%s: status %d", id, status)
	}
}

// accepts submits a message, and reports whether the relay accepted it.
func (r *relayProcess) accepts(id string) bool {
	return answersWith(r.client, r.request(id, 12*time.Second, nil), http.StatusAccepted)
}

// newMessageReaches submits a message under a new id, waits until one of two endpoints is called with it once, and
// reports whether that is the one wanted.
func (r *relayProcess) newMessageReaches(wanted, other *fakeEndpoint) bool {
	r.t.Helper()
	id := fmt.Sprint("new-", time.Now().UnixNano())
	r.mustAccept(id, 10*time.Second)
	eventually(r.t, id, func() bool { return wanted.count(id)+other.count(id) == 1 })
	return wanted.count(id) == 1
}

// withClass changes the class of a request's message.
func withClass(class string) func(*http.Request) {
	return func(req *http.Request) {
		req.URL.Path = "/" + class
		req.Header.Set("X-Qos", class)
	}
}

// toDestination changes the destination of a request's message.
func toDestination(n int) func(*http.Request) {
	return func(request *http.Request) { request.Header.Set("Envelope", fmt.Sprintf("dest=%d", n)) }
}

// answersWith sends a request, and reports whether it is answered with this status.
func answersWith(client *http.Client, request *http.Request, status int) bool {
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	drain(response.Body)
	closeQuietly(response.Body)
	return response.StatusCode == status
}

// traceID returns a trace id of 16 characters for a number.
func traceID(i int) string {
	const digits = "0123456789abcdef"
	id := []byte("00000000000bench")
	for k := 10; k >= 0; k-- {
		id[k] = digits[i%16]
		i /= 16
	}
	return string(id)
}

// waitSentOrEnded waits until a call with the message has reached the endpoint, or the platform has been notified that
// the message has ended.
func waitSentOrEnded(t testing.TB, endpoint *fakeEndpoint, platform *fakePlatform, id string) {
	t.Helper()
	eventually(t, id+" sent or ended", func() bool {
		return endpoint.count(id) > 0 || platform.notification(id) != nil
	})
}
