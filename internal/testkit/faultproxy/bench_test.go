package faultproxy

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

// addIdleRules adds rules that never trigger.
func (h *harness) addIdleRules(n int) {
	h.t.Helper()
	for i := range n {
		h.addRule(fmt.Sprintf(`dir=up match="never %d" do=reset`, i))
	}
}

// connectDirectly makes a connection to the target without the proxy.
func (h *harness) connectDirectly() {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.target)
	if err != nil {
		h.t.Fatal(err)
	}
	client, server := conn.(*net.TCPConn), <-h.accepted
	h.t.Cleanup(func() {
		nettest.Close(client)
		nettest.Close(server)
	})
	h.client, h.server = client, server
}

// BenchmarkRoundTrip measures round trips through the proxy and without it. The latency of the proxy is the difference
// to the direct connection in the same run.
func BenchmarkRoundTrip(b *testing.B) {
	for _, test := range []struct {
		name    string
		connect func(h *harness)
		rules   int
	}{
		{name: "direct", connect: (*harness).connectDirectly},
		{name: "proxy", connect: (*harness).connect},
		{name: "proxy-with-10-rules", connect: (*harness).connect, rules: 10},
	} {
		b.Run(test.name, func(b *testing.B) {
			h := newHarness(b)
			h.addIdleRules(test.rules)
			test.connect(h)
			h.setDeadlines(time.Time{})
			var echo sync.WaitGroup
			echo.Go(func() { _, _ = io.Copy(h.server, h.server) }) // on error, the client fails
			buffer := make([]byte, 200)
			for b.Loop() {
				if _, err := h.client.Write(buffer); err != nil {
					b.Fatal(err)
				}
				if _, err := io.ReadFull(h.client, buffer); err != nil {
					b.Fatal(err)
				}
			}
			nettest.Close(h.client)
			echo.Wait()
		})
	}
}

func BenchmarkThroughput(b *testing.B) {
	const chunkSize = 1 << 20
	for _, rules := range []int{0, 10} {
		b.Run(fmt.Sprint("rules=", rules), func(b *testing.B) {
			h := newHarness(b)
			h.addIdleRules(rules)
			h.connect()
			h.setDeadlines(time.Time{})
			b.SetBytes(chunkSize)
			var reader sync.WaitGroup
			reader.Go(func() { _, _ = io.Copy(io.Discard, h.server) }) // on error, the client fails
			buffer := make([]byte, chunkSize)
			for b.Loop() {
				if _, err := h.client.Write(buffer); err != nil {
					b.Fatal(err)
				}
			}
			nettest.CloseWrite(h.client)
			reader.Wait()
		})
	}
}
