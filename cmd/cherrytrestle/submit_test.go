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

// request returns a request that submits a message of the class "order" to destination 7. edit may be nil, or change
// the request.
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

// submit submits a message. It returns the response's status and its header Retry-After.
func (r *relayProcess) submit(id string, expires time.Duration, edit func(*http.Request)) (int, string) {
	r.t.Helper()
	res, err := r.client.Do(r.request(id, expires, edit))
	must(r.t, err)
	drain(res.Body)
	closeQuietly(res.Body)
	return res.StatusCode, res.Header.Get("Retry-After")
}

// mustAccept submits a message, and ends the test if the relay does not accept it.
func (r *relayProcess) mustAccept(id string, expires time.Duration) {
	r.t.Helper()
	if status, _ := r.submit(id, expires, nil); status != http.StatusAccepted {
		r.t.Fatalf("submission of %s: status %d, want %d", id, status, http.StatusAccepted)
	}
}

// accepts submits a message, and reports whether the relay accepted it.
func (r *relayProcess) accepts(id string) bool {
	return answersWith(r.client, r.request(id, 12*time.Second, nil), http.StatusAccepted)
}

// newMessageReaches submits a message with a new id, waits until one of two endpoints has received it, and reports
// whether that endpoint is the wanted one.
func (r *relayProcess) newMessageReaches(wanted, other *fakeEndpoint) bool {
	r.t.Helper()
	id := fmt.Sprint("new-", time.Now().UnixNano())
	r.mustAccept(id, 10*time.Second)
	eventually(r.t, id, func() bool { return wanted.count(id)+other.count(id) == 1 })
	return wanted.count(id) == 1
}

// withClass returns a function that changes the class of a request's message.
func withClass(class string) func(*http.Request) {
	return func(req *http.Request) {
		req.URL.Path = "/" + class
		req.Header.Set("X-Qos", class)
	}
}

// toDestination returns a function that changes the destination of a request's message.
func toDestination(n int) func(*http.Request) {
	return func(request *http.Request) { request.Header.Set("Envelope", fmt.Sprintf("dest=%d", n)) }
}

// answersWith sends a request, and reports whether the answer has this status.
func answersWith(client *http.Client, request *http.Request, status int) bool {
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	drain(response.Body)
	closeQuietly(response.Body)
	return response.StatusCode == status
}

// traceID returns a trace id of 16 characters, which begins with the hexadecimal digits of i.
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
