package faultproxy

import (
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// receiver is a UDP socket that tells what came.
func receiver(t *testing.T) (*net.UDPConn, string) {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c, c.LocalAddr().String()
}

// take reads numbered datagrams until none has come for a while.
func take(c *net.UDPConn, quiet time.Duration) (got []int) {
	buf := make([]byte, 64)
	for {
		c.SetReadDeadline(time.Now().Add(quiet))
		n, err := c.Read(buf)
		if err != nil {
			return got
		}
		if n == 4 {
			got = append(got, int(binary.BigEndian.Uint32(buf)))
		}
	}
}

func TestDatagrams(t *testing.T) {
	defer goleak.VerifyNone(t)
	const sent = 400
	for name, c := range map[string]struct {
		faults      DatagramFaults
		least, most int // that come
		inOrder     bool
		atLeast     time.Duration
	}{
		"sound":   {DatagramFaults{}, sent, sent, true, 0},
		"cut":     {DatagramFaults{DropRatio: 1}, 0, 0, true, 0},
		"lossy":   {DatagramFaults{DropRatio: 0.3}, sent / 2, sent * 17 / 20, true, 0},
		"doubled": {DatagramFaults{DuplicateRatio: 0.5}, sent * 13 / 10, sent * 17 / 10, true, 0},
		"mixed":   {DatagramFaults{ReorderRatio: 0.3}, sent, sent, false, reorderHold},
		"late":    {DatagramFaults{Delay: 60 * time.Millisecond}, sent, sent, false, 60 * time.Millisecond},
		"thin":    {DatagramFaults{BytesPerSecond: 16000}, sent, sent, false, 90 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			to, addr := receiver(t)
			d, err := StartDatagramProxy("127.0.0.1:0", addr, 7)
			if err != nil {
				t.Fatal(err)
			}
			defer d.Close()
			if err := d.SetFaults(Upstream, c.faults); err != nil {
				t.Fatal(err)
			}
			from, err := net.Dial("udp", d.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer from.Close()
			began := time.Now()
			go func() {
				for i := range sent {
					from.Write(binary.BigEndian.AppendUint32(nil, uint32(i)))
					if i%20 == 19 {
						time.Sleep(time.Millisecond) // the sockets' buffers are small
					}
				}
			}()
			got := take(to, 400*time.Millisecond)
			if took := time.Since(began); len(got) < c.least || len(got) > c.most || took < c.atLeast {
				t.Errorf("%d came in %v, want %d to %d in %v at least", len(got), took, c.least, c.most, c.atLeast)
			}
			inOrder := true
			for i := 1; i < len(got); i++ {
				inOrder = inOrder && got[i] >= got[i-1]
			}
			if c.inOrder && !inOrder || name == "mixed" && inOrder {
				t.Error("order:", inOrder)
			}
			if passed, dropped := d.Counts(Upstream); passed+dropped != sent {
				t.Error(passed, dropped)
			}
		})
	}
	if err := (&DatagramProxy{}).SetFaults(Upstream, DatagramFaults{DropRatio: 2}); err == nil {
		t.Error("a share of 2 is taken")
	}
}

// What a target answers goes back to who asked.
func TestDatagramsAnswers(t *testing.T) {
	defer goleak.VerifyNone(t)
	to, addr := receiver(t)
	d, err := StartDatagramProxy("127.0.0.1:0", addr, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	for i := range sessionsMost + 5 { // more senders than it tells apart at once
		from, err := net.Dial("udp", d.Addr())
		if err != nil {
			t.Fatal(err)
		}
		from.Write(binary.BigEndian.AppendUint32(nil, uint32(i)))
		buf := make([]byte, 8)
		to.SetReadDeadline(time.Now().Add(5 * time.Second))
		n, back, err := to.ReadFromUDP(buf)
		if err != nil {
			t.Fatal(err)
		}
		to.WriteToUDP(buf[:n], back)
		from.SetReadDeadline(time.Now().Add(5 * time.Second))
		if n, err := from.Read(buf); err != nil || n != 4 || int(binary.BigEndian.Uint32(buf)) != i {
			t.Errorf("%d: %d bytes, %v", i, n, err)
		}
		from.Close()
	}
}

// A link that is cut is silent both ways, on streams that are open too, and sound again when it heals.
func TestLink(t *testing.T) {
	defer goleak.VerifyNone(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); io.Copy(c, c) }()
		}
	}()
	l, err := StartLink("127.0.0.1", ln.Addr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	echo := func(c net.Conn, within time.Duration) bool {
		c.SetDeadline(time.Now().Add(within))
		if _, err := c.Write([]byte("x")); err != nil {
			return false
		}
		_, err := io.ReadFull(c, make([]byte, 1))
		return err == nil
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	open := dial()
	if !echo(open, 5*time.Second) {
		t.Fatal("a sound link")
	}
	if err := l.SetFaults(LinkFaults{Cut: true}); err != nil {
		t.Fatal(err)
	}
	if echo(open, 100*time.Millisecond) || echo(dial(), 100*time.Millisecond) {
		t.Error("something passes a cut link")
	}
	if err := l.SetFaults(LinkFaults{}); err != nil {
		t.Fatal(err)
	}
	if c := dial(); !echo(c, 5*time.Second) {
		t.Error("nothing passes a healed link")
	}
}
