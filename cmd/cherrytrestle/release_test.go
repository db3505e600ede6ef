package main

import (
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// A process that this one starts holds copies of all its descriptors until its own program has begun: the kernel closes
// them as a part of exec, which may be after the call that started it has returned. Whatever is released for the next
// process is therefore not free when it has been closed here, but once these copies are closed, too.

// releaseAddr closes a listener, and waits until its address refuses connections.
func releaseAddr(t testing.TB, l net.Listener) {
	t.Helper()
	must(t, closeBetweenForks(l))
	eventually(t, "the address is free", func() bool {
		conn, err := net.Dial(l.Addr().Network(), l.Addr().String())
		if err == nil {
			closeQuietly(conn)
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	})
}

// releaseDatagramAddr closes a socket for datagrams, and waits until its address refuses them.
func releaseDatagramAddr(t testing.TB, socket net.PacketConn) {
	t.Helper()
	must(t, closeBetweenForks(socket))
	addr := socket.LocalAddr()
	eventually(t, "the address is free", func() bool {
		conn, err := net.Dial(addr.Network(), addr.String())
		must(t, err)
		defer closeQuietly(conn)
		must(t, conn.SetReadDeadline(time.Now().Add(10*time.Millisecond)))
		writeQuietly(conn, "x")
		_, err = conn.Read(make([]byte, 1))
		return errors.Is(err, syscall.ECONNREFUSED)
	})
}

// releaseLock closes what holds the lock of a file, and waits until the file can be locked.
func releaseLock(t testing.TB, holder io.Closer, path string) {
	t.Helper()
	must(t, closeBetweenForks(holder))
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	must(t, err)
	defer closeQuietly(file)
	eventually(t, "the lock is free", func() bool {
		return syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil
	})
	must(t, syscall.Flock(int(file.Fd()), syscall.LOCK_UN)) // also for copies of the descriptor
}

// closeBetweenForks closes c while no process is being forked, so that no copy is made meanwhile.
func closeBetweenForks(c io.Closer) error {
	syscall.ForkLock.Lock()
	defer syscall.ForkLock.Unlock()
	return c.Close()
}

// Whatever still has a copy of the released descriptor, the address or lock is free when the release returns.
func TestReleaseWaitsForCopies(t *testing.T) {
	const copyHeld = 100 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	must(t, err)
	lockPath := filepath.Join(t.TempDir(), "lock")
	lock, err := os.Create(lockPath)
	must(t, err)
	must(t, syscall.Flock(int(lock.Fd()), syscall.LOCK_EX))
	for _, c := range []struct {
		name    string
		holder  interface{ File() (*os.File, error) }
		release func()
	}{
		{"address", listener.(*net.TCPListener), func() { releaseAddr(t, listener) }},
		{"datagram address", socket.(*net.UDPConn), func() { releaseDatagramAddr(t, socket) }},
		{"lock", duplicable{lock}, func() { releaseLock(t, lock, lockPath) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			held, err := c.holder.File()
			must(t, err)
			var closed atomic.Bool
			time.AfterFunc(copyHeld, func() {
				closed.Store(true)
				closeQuietly(held)
			})
			c.release()
			if !closed.Load() {
				t.Error("it was released while a copy was open")
			}
		})
	}
}

// duplicable is a file that can be duplicated as sockets can.
type duplicable struct{ file *os.File }

// File returns a duplicate of the file's descriptor.
func (d duplicable) File() (*os.File, error) {
	descriptor, err := syscall.Dup(int(d.file.Fd()))
	if err != nil {
		return nil, err
	}
	return os.NewFile(uintptr(descriptor), d.file.Name()), nil
}
