package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
)

// fakeEndpoints answer every call at once, at several addresses.
type fakeEndpoints struct {
	servers []*httptest.Server
	calls   atomic.Int64
}

func startEndpoints(count int) *fakeEndpoints {
	e := &fakeEndpoints{}
	for range count {
		e.servers = append(e.servers, httptest.NewServer(e))
	}
	return e
}

// ServeHTTP counts a call.
func (e *fakeEndpoints) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // A call that breaks off counts as well.
	e.calls.Add(1)
}

// addr returns one of the addresses in turn.
func (e *fakeEndpoints) addr(i int) string {
	return e.servers[i%len(e.servers)].Listener.Addr().String()
}

func (e *fakeEndpoints) close() {
	for _, server := range e.servers {
		server.CloseClientConnections()
		server.Close()
	}
}
