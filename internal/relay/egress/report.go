package egress

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"time"
)

// report reports what was read for a call, as far as it is not as expected.
func (c *Client) report(call *Call, conn *pooledConn, read *response, written bool) {
	if read.surplus {
		conn.reportSurplus(SurplusBehindResponse)
	}
	if read.origin == originOther && read.complete() {
		conn.reportSurplus(SurplusOtherCall)
	}
	if !read.complete() && !isConnFailure(read.err) {
		c.malformedResponses.Log(c.log, "endpoint", call.EndpointID, "conn", conn.id, "err", read.err)
	}
	c.logResponse(call, conn, read, written)
}

// logRequest logs what is about to be written for a call, for the level debug: which messages, how long after the
// decision on the call, and whether it was checked again after that decision.
func (c *Client) logRequest(call *Call, conn *pooledConn, checked bool) {
	if !c.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	bodyBytes := 0
	for _, a := range call.Attempts {
		bodyBytes += len(a.Body)
	}
	c.log.Debug("call written", "endpoint", call.EndpointID, "conn", conn.id, "call", conn.usage.calls,
		"messages", call.traceIDs(), "body_bytes", bodyBytes, "delay", time.Since(call.SentAt), "checked", checked)
}

// logResponse logs how a call ended, for the level debug: which messages it carried, on which connection, as which call
// of that connection, and what was read.
func (c *Client) logResponse(call *Call, conn *pooledConn, read *response, written bool) {
	if !c.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	status := 0
	if read.header != nil {
		status = read.header.StatusCode
	}
	c.log.Debug("call ended", "endpoint", call.EndpointID, "conn", conn.id, "call", conn.usage.calls,
		"messages", call.traceIDs(), "written", written, "status", status, "err", read.err)
}

// isConnFailure reports whether a response could not be read because the connection ended, failed or timed out, and
// not because the peer sent malformed data.
func isConnFailure(err error) bool {
	var network net.Error
	return errors.As(err, &network) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}
