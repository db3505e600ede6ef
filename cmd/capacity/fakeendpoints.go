package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
)

// fakeEndpoints are HTTP servers, each with its own address, that answer every call at once with status 200.
type fakeEndpoints struct {
	servers []*httptest.Server
	calls   atomic.Int64 // received by all servers
}

func startEndpoints(count int) *fakeEndpoints {
	e := &fakeEndpoints{}
	for range count {
		e.servers = append(e.servers, httptest.NewServer(e))
	}
	return e
}

// ServeHTTP answers a call and counts it.
func (e *fakeEndpoints) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // A call with an incomplete body is counted as well.
	e.calls.Add(1)
}

// addr returns the address of server i modulo the number of servers.
func (e *fakeEndpoints) addr(i int) string {
	return e.servers[i%len(e.servers)].Listener.Addr().String()
}

func (e *fakeEndpoints) close() {
	for _, server := range e.servers {
		server.CloseClientConnections()
		server.Close()
	}
}
