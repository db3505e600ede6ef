package faultproxy

import (
	"encoding/binary"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

// listenUDP opens a UDP socket for datagrams.
func listenUDP(t *testing.T) (conn *net.UDPConn, addr string) {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	nettest.CloseAtEnd(t, conn)
	return conn, conn.LocalAddr().String()
}

// encodeNumber returns a datagram that holds a number.
func encodeNumber(n int) []byte { return binary.BigEndian.AppendUint32(nil, uint32(n)) }

// sendNumbers sends numbered datagrams, with pauses because the buffers of the sockets are small.
func sendNumbers(conn net.Conn, count int) error {
	for n := range count {
		if _, err := conn.Write(encodeNumber(n)); err != nil {
			return err
		}
		if n%20 == 19 {
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

// receiveNumbers reads numbered datagrams until none has come for a while.
func receiveNumbers(t *testing.T, conn *net.UDPConn, quiet time.Duration) (numbers []int) {
	t.Helper()
	buffer := make([]byte, 64)
	for {
		if err := conn.SetReadDeadline(time.Now().Add(quiet)); err != nil {
			t.Fatal(err)
		}
		n, err := conn.Read(buffer)
		if err != nil {
			return numbers
		}
		if n == 4 {
			numbers = append(numbers, int(binary.BigEndian.Uint32(buffer)))
		}
	}
}

// ordering is what a test expects of the order of datagrams.
type ordering int

const (
	anyOrder ordering = iota
	inOrder
	outOfOrder
)

func TestDatagramFaults(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	const sent = 400
	for _, test := range []datagramTest{
		{
			name:        "none",
			minReceived: sent, maxReceived: sent,
			order: inOrder,
		},
		{
			name:   "drop all",
			faults: DatagramFaults{DropRatio: 1},
			order:  inOrder,
		},
		{
			name:        "drop some",
			faults:      DatagramFaults{DropRatio: 0.3},
			minReceived: sent / 2, maxReceived: sent * 17 / 20,
			order: inOrder,
		},
		{
			name:        "duplicate",
			faults:      DatagramFaults{DuplicateRatio: 0.5},
			minReceived: sent * 13 / 10, maxReceived: sent * 17 / 10,
			order: inOrder,
		},
		{
			name:        "reorder",
			faults:      DatagramFaults{ReorderRatio: 0.3},
			minReceived: sent, maxReceived: sent,
			order:       outOfOrder,
			minDuration: reorderDelay,
		},
		{
			name:        "delay",
			faults:      DatagramFaults{Delay: 60 * time.Millisecond},
			minReceived: sent, maxReceived: sent,
			minDuration: 60 * time.Millisecond,
		},
		{
			name:        "rate",
			faults:      DatagramFaults{BytesPerSecond: 16000},
			minReceived: sent, maxReceived: sent,
			minDuration: 90 * time.Millisecond,
		},
	} {
		t.Run(test.name, func(t *testing.T) { test.run(t, sent) })
	}
}

// datagramTest is what faults do to numbered datagrams.
type datagramTest struct {
	name                     string
	faults                   DatagramFaults
	minReceived, maxReceived int
	order                    ordering
	minDuration              time.Duration // until the last one is received
}

func (test datagramTest) run(t *testing.T, sent int) {
	target, addr := listenUDP(t)
	proxy, err := StartDatagramProxy("127.0.0.1:0", addr, 7)
	if err != nil {
		t.Fatal(err)
	}
	nettest.CloseAtEnd(t, proxy)
	if err := proxy.SetFaults(Upstream, test.faults); err != nil {
		t.Fatal(err)
	}
	sender, err := net.Dial("udp", proxy.Addr())
	if err != nil {
		t.Fatal(err)
	}
	nettest.CloseAtEnd(t, sender)
	startedAt := time.Now()
	var sending sync.WaitGroup
	sending.Go(func() {
		if err := sendNumbers(sender, sent); err != nil {
			t.Error(err)
		}
	})
	received := receiveNumbers(t, target, 400*time.Millisecond)
	took := time.Since(startedAt)
	sending.Wait()
	if len(received) < test.minReceived || len(received) > test.maxReceived || took < test.minDuration {
		t.Errorf("received %d in %v, want %d to %d in at least %v",
			len(received), took, test.minReceived, test.maxReceived, test.minDuration)
	}
	sorted := slices.IsSorted(received)
	if test.order == inOrder && !sorted || test.order == outOfOrder && sorted {
		t.Error("order:", sorted)
	}
	if passed, dropped := proxy.Counts(Upstream); passed+dropped != sent {
		t.Error(passed, dropped)
	}
}

func TestDatagramProxyRejectsRatioAboveOne(t *testing.T) {
	if err := (&DatagramProxy{}).SetFaults(Upstream, DatagramFaults{DropRatio: 2}); err == nil {
		t.Error("a ratio of 2 is accepted")
	}
}

// The answers of a target go back to the sender, also with more senders than the proxy tells apart at once.
func TestDatagramProxyReturnsAnswers(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	target, addr := listenUDP(t)
	proxy, err := StartDatagramProxy("127.0.0.1:0", addr, 1)
	if err != nil {
		t.Fatal(err)
	}
	nettest.CloseAtEnd(t, proxy)
	for n := range maxDatagramSessions + 5 {
		sender, err := net.Dial("udp", proxy.Addr())
		if err != nil {
			t.Fatal(err)
		}
		setDeadline(t, sender, time.Now().Add(nettest.Patience))
		setDeadline(t, target, time.Now().Add(nettest.Patience))
		if _, err := sender.Write(encodeNumber(n)); err != nil {
			t.Fatal(err)
		}
		echoDatagram(t, target)
		buffer := make([]byte, 8)
		if size, err := sender.Read(buffer); err != nil || !slices.Equal(buffer[:size], encodeNumber(n)) {
			t.Errorf("%d: %d bytes, %v", n, size, err)
		}
		nettest.Close(sender)
	}
}

// echoDatagram sends the next datagram back.
func echoDatagram(t *testing.T, conn *net.UDPConn) {
	t.Helper()
	buffer := make([]byte, 8)
	n, sender, err := conn.ReadFromUDP(buffer)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.WriteToUDP(buffer[:n], sender); err != nil {
		t.Fatal(err)
	}
}
