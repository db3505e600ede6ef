package relay

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/ingress"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

// maxIDSize bounds an id or a key of a message, in bytes.
const maxIDSize = 256

// handleRequest answers a client's request.
func (r *Relay) handleRequest(conn *ingress.Conn, request *http.Request) ingress.Response {
	switch {
	case request.URL.Path == "/_health" && request.Method == http.MethodGet:
		if !r.endpointsKnown.Load() || r.terminating.Load() {
			return ingress.Response{Status: http.StatusServiceUnavailable}
		}
		return ingress.Response{Status: http.StatusOK}
	case request.Method != http.MethodPost:
		return ingress.Response{Status: http.StatusMethodNotAllowed, Text: "messages are handed in by POST"}
	}
	return r.receiveMessage(conn, request)
}

// receiveMessage takes one message. Whatever is malformed ends here and never reaches the policy.
func (r *Relay) receiveMessage(conn *ingress.Conn, request *http.Request) ingress.Response {
	receivedAt := time.Now()
	m, timeLeft, err := r.parseMessage(request)
	if err != nil {
		return ingress.BadRequest("%v", err)
	}
	m.Deadline = receivedAt.Add(timeLeft)
	m.Body, err = conn.ReadBody(request)
	if err != nil {
		return ingress.ErrorResponse(err)
	}
	if !conn.BeginHandling() {
		return ingress.Response{}
	}
	submitted := &submitEvent{message: m, reply: make(chan ingress.Response, 1)}
	if !r.post(submitted) {
		conn.EndHandling()
		return unavailableReply
	}
	response := <-submitted.reply
	if conn.EndHandling() {
		return response
	}
	// A client that has left without the response submits the message anew: this one must not be sent as well.
	if m.ID != 0 {
		r.post(cancelEvent{m.ID})
	}
	return ingress.Response{}
}

// parseMessage reads all of a request but its body.
func (r *Relay) parseMessage(req *http.Request) (m *journal.Message, left time.Duration, err error) {
	class, t := strings.TrimPrefix(req.URL.Path, "/"), r.clientConfig.Load()
	m = &journal.Message{
		TraceID:        req.Header.Get("X-Trace-Id"),
		IdempotencyKey: req.Header.Get("Idempotency-Key"),
		OrderingKey:    req.URL.Query().Get("key"), // what the message is about, where its class keeps order
		Class:          slices.Index(t.ClassNames, class), ClassName: class,
	}
	switch {
	case m.Class < 0:
		return nil, 0, fmt.Errorf("unknown class %q", class)
	case req.Header.Get("X-Qos") != class:
		return nil, 0, errors.New("X-Qos and the path differ")
	case m.TraceID == "" || max(len(m.TraceID), len(m.IdempotencyKey), len(m.OrderingKey)) > maxIDSize:
		return nil, 0, errors.New("no X-Trace-Id, or an id or key too long")
	case len(req.Header["X-Trace-Id"]) > 1 || len(req.Header["Idempotency-Key"]) > 1:
		return nil, 0, errors.New("more than one id or key")
	case m.IdempotencyKey == "" && t.Settings.Classes[m.Class].Effect == policy.IdempotentByKey:
		return nil, 0, errors.New("no Idempotency-Key")
	}
	if len(t.TenantNames) > 0 {
		if m.Tenant = slices.Index(t.TenantNames, req.Header.Get("X-Customer")); m.Tenant < 0 {
			return nil, 0, fmt.Errorf("unknown customer %q", req.Header.Get("X-Customer"))
		}
	}
	ms, err := strconv.ParseInt(req.Header.Get("X-Expires-In-Ms"), 10, 64)
	if most := maxTimeLeft(t.Settings.Classes[m.Class]); err != nil || ms < 0 || ms > most.Milliseconds() {
		return nil, 0, errors.New("bad X-Expires-In-Ms")
	}
	if m.Destination, err = parseDestination(req.Header.Get("Envelope")); err != nil {
		return nil, 0, err
	}
	return m, time.Duration(ms) * time.Millisecond, nil
}

// parseDestination finds dest among the name=value pairs of an envelope.
func parseDestination(envelope string) (int, error) {
	for _, pair := range strings.FieldsFunc(envelope, func(c rune) bool { return strings.ContainsRune(",;& ", c) }) {
		if value, ok := strings.CutPrefix(pair, "dest="); ok {
			n, err := strconv.Atoi(value)
			if err != nil || n < 0 {
				return 0, fmt.Errorf("bad dest %q", value)
			}
			return n, nil
		}
	}
	return 0, errors.New("Envelope names no dest")
}
