package egress

import (
	"bytes"

	"cherrytrestle.example/cherrytrestle/internal/memory"
)

const (
	// ConnSize estimates the memory of a connection, in bytes: its read buffer, the goroutine that watches it, what the
	// runtime keeps for its socket, and a small response.
	ConnSize = 10<<10 + smallResponseSize
	// smallResponseSize is the memory that a response may take without a reservation of its own, in bytes. Endpoints
	// with large responses therefore do not affect those of others.
	smallResponseSize = 6 << 10
	// parsedStateSize estimates the memory of one element of a parsed batch response, without its text, in bytes.
	parsedStateSize = 64
)

// responseMemory is the memory of the response that is read on a connection.
type responseMemory struct {
	size     int   // in bytes
	reserved int64 // beyond smallResponseSize, in bytes
}

// reserveResponse reserves memory for the response that is being read, until releaseResponse.
func (c *pooledConn) reserveResponse(bytes int) bool {
	c.response.size += bytes
	needed := int64(max(0, c.response.size-smallResponseSize)) - c.response.reserved
	if needed <= 0 {
		return true
	}
	if !c.pool.budget.Reserve(memory.Responses, needed) {
		return false
	}
	c.response.reserved += needed
	return true
}

// releaseResponse releases the memory of a response that is not needed any more.
func (c *pooledConn) releaseResponse() {
	c.pool.budget.Release(memory.Responses, c.response.reserved)
	c.response = responseMemory{}
}

// reserveStates reserves the memory for parsing the states in a batch response.
func (c *pooledConn) reserveStates(body []byte) bool {
	elements := bytes.Count(body, []byte{','}) + 1
	return c.reserveResponse(len(body) + parsedStateSize*elements)
}
