package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
)

// unusedAddr returns an address of an IP with a port that nobody listens on.
func unusedAddr(t testing.TB, ip string) string {
	t.Helper()
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	must(t, err)
	releaseAddr(t, listener)
	return listener.Addr().String()
}

// unusedTCPAndUDPAddr returns an address of a random loopback IP with a port that nobody listens on, with TCP or UDP.
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

// randomLoopbackIP returns a loopback IP that hardly anything else on the machine uses. On 127.0.0.1 a connection of
// another process could take the port of a relay while the relay is down.
func randomLoopbackIP() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
}
