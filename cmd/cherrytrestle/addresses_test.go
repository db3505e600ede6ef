package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
)

// unusedAddr returns an address of the given IP with a TCP port that no process listens on.
func unusedAddr(t testing.TB, ip string) string {
	t.Helper()
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	must(t, err)
	releaseAddr(t, listener)
	return listener.Addr().String()
}

// unusedTCPAndUDPAddr returns an address of a random loopback IP with a port that no process uses for TCP or UDP.
func unusedTCPAndUDPAddr(t testing.TB) string {
	t.Helper()
	ip := randomLoopbackIP()
	for {
		addr := unusedAddr(t, ip)
		conn, err := net.ListenPacket("udp", addr)
		if err == nil {
			releaseDatagramAddr(t, conn)
			return addr
		}
	}
}

// randomLoopbackIP returns a random loopback IP, which other processes on the machine are unlikely to use. On
// 127.0.0.1 another process could be assigned a relay's port while the relay does not listen on it: for an outgoing
// connection, or for a listener of a test of another package.
func randomLoopbackIP() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
}

// TestManagementAddressIsFreeUntilTheRelayListens checks that a listener of another process, which the system gives the
// port of a chosen management address on 127.0.0.1, does not keep the relay from starting.
func TestManagementAddressIsFreeUntilTheRelayListens(t *testing.T) {
	platform := newPlatform(t)
	r := prepareRelay(t, newEndpoint(t, nil).list(singleKind, "ready"), nil)
	management := r.setManagement()
	_, port, err := net.SplitHostPort(management)
	must(t, err)
	other, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", port))
	must(t, err)
	defer closeQuietly(other)
	r.start(platform)
	waitReady(t, management)
}
