package faultproxy

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

const (
	// sendBatch is how many datagrams are sent before waiting until the proxy has read them. The buffers of sockets are
	// small.
	sendBatch = 20
	// quietPeriod is the time without a datagram after which no further datagram is expected.
	quietPeriod = 400 * time.Millisecond
)

// listenUDP opens a UDP socket with a large read buffer, as far as the system allows.
func listenUDP(t *testing.T) (conn *net.UDPConn, addr string) {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	nettest.CloseAtEnd(t, conn)
	if err := conn.SetReadBuffer(1 << 20); err != nil {
		t.Fatal(err)
	}
	return conn, conn.LocalAddr().String()
}

// encodeNumber returns a datagram that holds a number.
func encodeNumber(n int) []byte { return binary.BigEndian.AppendUint32(nil, uint32(n)) }

// sendNumbers sends numbered datagrams to a proxy, no faster than it reads them.
func sendNumbers(conn net.Conn, proxy *DatagramProxy, count int) error {
	for n := range count {
		if _, err := conn.Write(encodeNumber(n)); err != nil {
			return err
		}
		if (n+1)%sendBatch != 0 {
			continue
		}
		if err := awaitCount(proxy, n+1); err != nil {
			return err
		}
	}
	return nil
}

// awaitCount waits until a proxy has read a number of datagrams.
func awaitCount(proxy *DatagramProxy, want int) error {
	for end := time.Now().Add(nettest.Patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if passed, dropped := proxy.Counts(Upstream); passed+dropped == want {
			return nil
		}
	}
	passed, dropped := proxy.Counts(Upstream)
	return fmt.Errorf("the proxy passed %d and dropped %d datagrams, want %d in total", passed, dropped, want)
}

// receiveNumbers reads numbered datagrams until all are sent and none has arrived for quietPeriod. lastAt is the time
// at which the last one arrived.
func receiveNumbers(t *testing.T, conn *net.UDPConn, allSent <-chan struct{}) (numbers []int, lastAt time.Time) {
	t.Helper()
	buffer := make([]byte, 64)
	for {
		isLast := isClosed(allSent) // if so, a timeout of this read ends the loop
		setDeadline(t, conn, time.Now().Add(quietPeriod))
		n, err := conn.Read(buffer)
		switch {
		case err == nil && n == 4:
			numbers = append(numbers, int(binary.BigEndian.Uint32(buffer)))
			lastAt = time.Now()
		case err == nil:
			t.Fatalf("received a datagram of %d bytes, want 4", n)
		case !errors.Is(err, os.ErrDeadlineExceeded):
			t.Fatal(err)
		case isLast:
			return numbers, lastAt
		}
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
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

// datagramTest states the expected effect of faults on numbered datagrams.
type datagramTest struct {
	name                     string
	faults                   DatagramFaults
	minReceived, maxReceived int
	order                    ordering
	minDuration              time.Duration // from the start until the last datagram is received
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
	allSent := make(chan struct{})
	go func() {
		defer close(allSent)
		if err := sendNumbers(sender, proxy, sent); err != nil {
			t.Error(err)
		}
	}()
	received, lastAt := receiveNumbers(t, target, allSent)
	if len(received) < test.minReceived || len(received) > test.maxReceived {
		t.Errorf("received %d, want %d to %d", len(received), test.minReceived, test.maxReceived)
	}
	if took := lastAt.Sub(startedAt); len(received) > 0 && took < test.minDuration {
		t.Errorf("received all in %v, want at least %v", took, test.minDuration)
	}
	sorted := slices.IsSorted(received)
	if test.order == inOrder && !sorted || test.order == outOfOrder && sorted {
		t.Errorf("datagrams arrived in order: %t", sorted)
	}
	if passed, dropped := proxy.Counts(Upstream); passed+dropped != sent {
		t.Errorf("passed %d and dropped %d datagrams, want %d in total", passed, dropped, sent)
	}
}

func TestDatagramProxyRejectsRatioAboveOne(t *testing.T) {
	if err := (&DatagramProxy{}).SetFaults(Upstream, DatagramFaults{DropRatio: 2}); err == nil {
		t.Error("SetFaults accepted a ratio of 2")
	}
}

// The target's answers reach their sender, even if there are more senders than maxDatagramSessions.
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
			t.Errorf("answer to sender %d: %q, %v; want %q", n, buffer[:size], err, encodeNumber(n))
		}
		nettest.Close(sender)
	}
}

// echoDatagram sends the next datagram back to its sender.
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
