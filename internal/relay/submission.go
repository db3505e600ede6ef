package relay

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"cherrytrestle.example/cherrytrestle/internal/relay/ingress"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

// maxIDSize bounds the trace id, the idempotency key and the ordering key of a message, in bytes each.
const maxIDSize = 256

// envelopeHeader is the name of the header with a message's destination.
const envelopeHeader = "Envelope"

// shorten returns a part of a text from a client that is short enough for a log and a response.
func shorten(text string) string { return text[:min(len(text), maxIDSize)] }

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

// receiveMessage reads one message, passes it to the loop and returns the loop's response. Malformed requests are
// rejected here and never reach the policy.
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
		return unavailableResponse
	}
	response := <-submitted.reply
	if conn.EndHandling() {
		return response
	}
	// The client disconnected before the response and will submit the message again, as a new one. This one must not be
	// sent as well.
	if m.ID != 0 {
		r.post(cancelEvent{m.ID})
	}
	return ingress.Response{}
}

// parseMessage parses all of a request except its body.
func (r *Relay) parseMessage(request *http.Request) (m *journal.Message, timeLeft time.Duration, err error) {
	config := r.clientConfig.Load()
	className := strings.TrimPrefix(request.URL.Path, "/")
	m = &journal.Message{
		TraceID:        request.Header.Get("X-Trace-Id"),
		IdempotencyKey: request.Header.Get("Idempotency-Key"),
		Class:          slices.Index(config.ClassNames, className),
	}
	if m.Class < 0 {
		return nil, 0, fmt.Errorf("unknown class %q", shorten(className))
	}
	m.ClassName = config.ClassNames[m.Class]
	// An ordered class delivers messages with the same key in order. The key is copied, since it may be a part of the
	// whole request line, which the message must not keep.
	m.OrderingKey = strings.Clone(request.URL.Query().Get("key"))
	class := config.Settings.Classes[m.Class]
	if err := checkIDs(m, request, class); err != nil {
		return nil, 0, err
	}
	if m.Tenant, err = parseTenant(request, config.TenantNames); err != nil {
		return nil, 0, err
	}
	m.TenantName = nameAt(config.TenantNames, m.Tenant)
	if timeLeft, err = parseTimeLeft(request, class); err != nil {
		return nil, 0, err
	}
	if m.Destination, err = parseDestination(request.Header.Get(envelopeHeader)); err != nil {
		return nil, 0, err
	}
	return m, timeLeft, nil
}

// checkIDs checks the headers that identify a message and its class.
func checkIDs(m *journal.Message, request *http.Request, class policy.Class) error {
	longest := max(len(m.TraceID), len(m.IdempotencyKey), len(m.OrderingKey))
	switch {
	case request.Header.Get("X-Qos") != m.ClassName:
		return errors.New("X-Qos and the path differ")
	case m.TraceID == "" || longest > maxIDSize:
		return errors.New("no X-Trace-Id, or an id or key too long")
	case !utf8.ValidString(m.TraceID) || !utf8.ValidString(m.IdempotencyKey) || !utf8.ValidString(m.OrderingKey):
		return errors.New("an id or key is not UTF-8") // the JSON of batches and notifications could not name it
	case len(request.Header["X-Trace-Id"]) > 1 || len(request.Header["Idempotency-Key"]) > 1:
		return errors.New("more than one id or key")
	case m.IdempotencyKey == "" && class.Effect == policy.IdempotentByKey:
		return errors.New("no Idempotency-Key")
	}
	return nil
}

// parseTenant returns the index of a request's tenant. It is 0 if no tenants are configured.
func parseTenant(request *http.Request, names []string) (int, error) {
	if len(names) == 0 {
		return 0, nil
	}
	name := request.Header.Get("X-Customer")
	tenant := slices.Index(names, name)
	if tenant < 0 {
		return 0, fmt.Errorf("unknown customer %q", shorten(name))
	}
	return tenant, nil
}

// parseTimeLeft returns the time that the client gives its message until the deadline.
func parseTimeLeft(request *http.Request, class policy.Class) (time.Duration, error) {
	ms, err := strconv.ParseInt(request.Header.Get("X-Expires-In-Ms"), 10, 64)
	if err != nil || ms < 0 || ms > maxTimeLeft(class).Milliseconds() {
		return 0, errors.New("bad X-Expires-In-Ms")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// parseDestination returns the value of dest among the name=value pairs of an envelope.
func parseDestination(envelope string) (policy.DestinationID, error) {
	isSeparator := func(c rune) bool { return strings.ContainsRune(",;& ", c) }
	for _, pair := range strings.FieldsFunc(envelope, isSeparator) {
		value, found := strings.CutPrefix(pair, "dest=")
		if !found {
			continue
		}
		destination, err := strconv.Atoi(value)
		if err != nil || destination < 0 {
			return 0, fmt.Errorf("bad dest %q", shorten(value))
		}
		return policy.DestinationID(destination), nil
	}
	return 0, fmt.Errorf("%s names no dest", envelopeHeader)
}
