package egress

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/policy"
)

// asNetError returns an error as package net reports one of a system call.
func asNetError(op string, errno syscall.Errno) error {
	return &net.OpError{Op: op, Net: "tcp", Err: os.NewSyscallError(op, errno)}
}

// A connection that cannot be opened carries no request. A shortage of the relay's own resources is waited for, and is
// no failure of the endpoint; any other error is a failed connect.
func TestFailingConnectNeverRan(t *testing.T) {
	for errno, want := range map[syscall.Errno]policy.Outcome{
		syscall.EMFILE:        policy.NotSent,
		syscall.ENFILE:        policy.NotSent,
		syscall.ENOBUFS:       policy.NotSent,
		syscall.ENOMEM:        policy.NotSent,
		syscall.EADDRNOTAVAIL: policy.NotSent,
		syscall.ECONNREFUSED:  policy.ConnectFailed,
		syscall.ECONNRESET:    policy.ConnectFailed,
		syscall.ETIMEDOUT:     policy.ConnectFailed,
		syscall.ENETUNREACH:   policy.ConnectFailed,
		syscall.EHOSTUNREACH:  policy.ConnectFailed,
		syscall.ENETDOWN:      policy.ConnectFailed,
		syscall.EACCES:        policy.ConnectFailed,
	} {
		t.Run(fmt.Sprint(int(errno)), func(t *testing.T) {
			config := testConfig()
			config.ConnectTimeout = 50 * time.Millisecond
			config.Dial = func(context.Context, string, string) (net.Conn, error) {
				return nil, asNetError("connect", errno)
			}
			client := newTestClient(t, config)
			if r := doCall(t, client, newCall("127.0.0.1:1", "a")); r[0].Outcome != want {
				t.Errorf("%v: outcome %v, want %v", errno, r[0].Outcome, want)
			}
			if n := openConns(client); n != 0 {
				t.Errorf("%v: %d connections counted as open", errno, n)
			}
		})
	}
}

// A shortage that ends in time delays the call.
func TestMomentaryShortageDelaysTheCall(t *testing.T) {
	addr, _ := nettest.RawServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		nettest.Send(conn, nettest.OKResponse)
		return true
	})
	config := testConfig()
	failures := 3
	config.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if failures--; failures >= 0 {
			return nil, asNetError("socket", syscall.ENFILE)
		}
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}
	if r := doCall(t, newTestClient(t, config), newCall(addr, "a")); r[0].Outcome != policy.OK {
		t.Errorf("outcome %v", r[0].Outcome)
	}
}

// failingConn is a connection of which reads fail with readErr, and writes with writeErr after some bytes; nil: they
// do not fail.
type failingConn struct {
	net.Conn
	readErr, writeErr error
}

func (c failingConn) Read(b []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	return c.Conn.Read(b)
}

func (c failingConn) Write(b []byte) (int, error) {
	if c.writeErr != nil {
		n, _ := c.Conn.Write(b[:len(b)/2])
		return n, c.writeErr
	}
	return c.Conn.Write(b)
}

// A broken connection may show as any of several errors. A request that was written may have run; one that was not
// written completely did not.
func TestBrokenConnectionShowsInManyWays(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH,
		syscall.ENETUNREACH, syscall.EPIPE, syscall.ENOBUFS,
	} {
		err := asNetError("read or write", errno)
		for _, broken := range []struct {
			conn failingConn
			want policy.Outcome
		}{
			{failingConn{readErr: err}, policy.Reset},
			{failingConn{writeErr: err, readErr: err}, policy.ConnectFailed},
		} {
			addr, _ := nettest.RawServer(t, func(int, net.Conn, *http.Request) bool { return true })
			config := testConfig()
			config.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
				dialed := broken.conn
				dialed.Conn = conn
				return dialed, err
			}
			client := newTestClient(t, config)
			if r := doCall(t, client, newCall(addr, "a")); r[0].Outcome != broken.want || openConns(client) != 0 {
				t.Errorf("%v: outcome %v, want %v; %d open", errno, r[0].Outcome, broken.want, openConns(client))
			}
		}
	}
}
