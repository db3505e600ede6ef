// Package manage serves the second address of a relay, where the platform and on-call staff ask whether it is ready and
// how it fares. One call travels on a connection. Whoever connects and says nothing, or half of a call, is closed
// within a second and holds nobody up: an answer needs no other connection and nothing of the relay but what it has at
// hand.
package admin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// callTimeout bounds how long a call may take to come, and its answer to leave. An answer is owed within 1 s of the
	// call.
	callTimeout    = 700 * time.Millisecond
	maxHeaderBytes = 4 << 10 // bytes
	// maxConnections bounds the connections: the oldest makes way. Guards against callers that stay and say nothing, of
	// which each costs a descriptor for callTimeout.
	maxConnections = 16
)

// Server answers on the second address.
type Server struct {
	// Ready tells whether the process is ready to serve. It may be called from many goroutines at once and must not
	// wait.
	Ready func() bool
	// Figures writes the process's figures. The same holds for it.
	Metrics func(io.Writer)
	// Fleet writes what this process sees of its fleet, as JSON; nil: it belongs to none. The same holds for it.
	Fleet func(io.Writer) error
	Log   *slog.Logger
}

// Handler answers the calls.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !s.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	mux.HandleFunc("GET /v1/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		s.Metrics(w)
	})
	if s.Fleet != nil {
		mux.HandleFunc("GET /v1/fleet", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			if err := s.Fleet(w); err != nil {
				s.Log.Debug("fleet not told", "err", err) // the caller has left
			}
		})
	}
	return mux
}

// Serve answers on l until ctx ends; then l and all connections are closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{
		Handler: s.Handler(), ReadTimeout: callTimeout, WriteTimeout: callTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(s.Log.Handler(), slog.LevelDebug), // callers that leave early are no news
	}
	server.SetKeepAlivesEnabled(false)
	defer context.AfterFunc(ctx, func() { server.Close() })()
	if err := server.Serve(&listener{Listener: l}); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("manage: %w", err)
	}
	return nil
}

// listener keeps no more than maxConnections connections open.
type listener struct {
	net.Listener
	mu          sync.Mutex
	connections []*connection // oldest first
}

type connection struct {
	net.Conn
	listener *listener
}

func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{nc, l}
	l.mu.Lock()
	l.connections = append(l.connections, c)
	var oldest *connection
	if len(l.connections) > maxConnections {
		oldest = l.connections[0]
	}
	l.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return c, nil
}

func (c *connection) Close() error {
	c.listener.mu.Lock()
	for i, x := range c.listener.connections {
		if x == c {
			c.listener.connections = append(c.listener.connections[:i], c.listener.connections[i+1:]...)
			break
		}
	}
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
