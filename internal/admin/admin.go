// Package admin serves the management address of a relay: it reports the relay's readiness, its metrics and the status
// of its fleet to the platform and to on-call staff. A connection carries one request. A client that sends nothing or
// only a part of a request is disconnected within a second. No request waits for another connection.
package admin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"
)

const (
	// requestTimeout bounds the time to read a request, and also the time to write its answer. The platform expects an
	// answer within 1 s of the request.
	requestTimeout = 700 * time.Millisecond
	maxHeaderBytes = 4 << 10
)

// Server answers requests on the management address. Ready, Metrics and Fleet are called from many goroutines at once,
// and must return well within requestTimeout even if the relay's event loop is busy.
type Server struct {
	// Ready reports whether the process is ready to serve.
	Ready func() bool
	// Metrics writes the process's metrics.
	Metrics func(io.Writer)
	// Fleet writes this process's view of its fleet as JSON. It is nil if the process belongs to no fleet.
	Fleet func(io.Writer) error
	Log   *slog.Logger
}

// Handler returns the handler for all requests on the management address.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/readyz", s.handleReady)
	mux.HandleFunc("GET /v1/metrics", s.handleMetrics)
	if s.Fleet != nil {
		mux.HandleFunc("GET /v1/fleet", s.handleFleet)
	}
	return mux
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ready") // fails only if the client has disconnected
}

func (s *Server) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.Metrics(w)
}

func (s *Server) handleFleet(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := s.Fleet(w); err != nil {
		s.Log.Debug("fleet status not sent", "err", err) // the client has disconnected
	}
}

// Serve answers requests on l until ctx ends. Then it closes l and all connections.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{
		Handler:        s.Handler(),
		ReadTimeout:    requestTimeout,
		WriteTimeout:   requestTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		// The server reports clients that disconnect early as errors, which are only worth a debug message.
		ErrorLog: slog.NewLogLogger(s.Log.Handler(), slog.LevelDebug),
	}
	server.SetKeepAlivesEnabled(false)
	stop := context.AfterFunc(ctx, func() {
		if err := server.Close(); err != nil {
			s.Log.Debug("server of the management address not closed cleanly", "err", err)
		}
	})
	defer stop()
	err := server.Serve(&listener{Listener: l})
	if !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("admin: %w", err)
	}
	return nil
}
