package relay

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"onyxroad.dev/onyxroad/internal/wal"
	"onyxroad.dev/onyxroad/policy"
)

const (
	bodyMost   = 64 << 10
	traceMost  = 256 // bytes of an id or a key
	expiresTop = 24 * time.Hour
)

// answer is what a client is told of the message that it handed in.
type answer struct {
	status int
	again  time.Duration // advice with a refusal; 0: none
}

// newServer returns the server that clients connect to.
func (r *Relay) newServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /_health", r.health)
	mux.HandleFunc("POST /{class}", r.handIn)
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       10 * time.Second,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    16 << 10,
		ErrorLog:          slog.NewLogLogger(r.log.Handler(), slog.LevelDebug),
	}
}

func (r *Relay) health(w http.ResponseWriter, _ *http.Request) {
	if !r.listed.Load() || r.ending.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// handIn takes one message. Whatever is malformed ends here and never reaches the decision module.
func (r *Relay) handIn(w http.ResponseWriter, req *http.Request) {
	came := time.Now()
	m, left, err := r.parse(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.Deadline = came.Add(left)
	m.Body, err = io.ReadAll(http.MaxBytesReader(w, req.Body, bodyMost))
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		http.Error(w, "body over 64 KiB", http.StatusRequestEntityTooLarge)
		return
	} else if err != nil {
		http.Error(w, "unreadable body", http.StatusBadRequest)
		return
	}
	in := &handIn{m: m, reply: make(chan answer, 1)}
	if !r.post(in) {
		reply(w, answer{http.StatusServiceUnavailable, policy.RetryAdvice})
		return
	}
	a := <-in.reply
	// A client that has left without the answer hands the message in anew: this one must not be sent as well.
	if req.Context().Err() != nil {
		r.post(withdrawal{m.ID})
		return
	}
	reply(w, a)
}

// reply writes an answer, with advice if there is any.
func reply(w http.ResponseWriter, a answer) {
	if a.again > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(a.again.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(a.status)
}

// parse reads all of a request but its body.
func (r *Relay) parse(req *http.Request) (m *wal.Message, left time.Duration, err error) {
	m = &wal.Message{
		Trace: req.Header.Get("X-Trace-Id"),
		Key:   req.Header.Get("Idempotency-Key"),
		Order: req.URL.Query().Get("key"), // what the message is about, where its class keeps order
		Class: slices.Index(r.cfg.Classes, req.PathValue("class")),
	}
	switch {
	case m.Class < 0:
		return nil, 0, fmt.Errorf("unknown class %q", req.PathValue("class"))
	case req.Header.Get("X-Qos") != req.PathValue("class"):
		return nil, 0, errors.New("X-Qos and the path differ")
	case m.Trace == "" || max(len(m.Trace), len(m.Key), len(m.Order)) > traceMost:
		return nil, 0, errors.New("no X-Trace-Id, or an id or key too long")
	case m.Key == "" && r.cfg.Settings.Classes[m.Class].Effect == policy.Keyed:
		return nil, 0, errors.New("no Idempotency-Key")
	}
	if len(r.cfg.Customers) > 0 {
		if m.Customer = slices.Index(r.cfg.Customers, req.Header.Get("X-Customer")); m.Customer < 0 {
			return nil, 0, fmt.Errorf("unknown customer %q", req.Header.Get("X-Customer"))
		}
	}
	ms, err := strconv.ParseInt(req.Header.Get("X-Expires-In-Ms"), 10, 64)
	if err != nil || ms < 0 || ms > expiresTop.Milliseconds() {
		return nil, 0, errors.New("bad X-Expires-In-Ms")
	}
	if m.Dest, err = destination(req.Header.Get("Envelope")); err != nil {
		return nil, 0, err
	}
	return m, time.Duration(ms) * time.Millisecond, nil
}

// destination finds dest among the name=value pairs of an envelope.
func destination(envelope string) (int, error) {
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
