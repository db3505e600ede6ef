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

// A child process holds copies of all descriptors of this process until its exec closes them, which may be after the
// call that started the child has returned. Closing a descriptor here therefore does not yet release its address or
// lock for the next process: the copies must be closed, too.

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

// releaseDatagramAddr closes a datagram socket, and waits until its address refuses datagrams.
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

// releaseLock closes the holder of a file's lock, and waits until the file can be locked.
func releaseLock(t testing.TB, holder io.Closer, path string) {
	t.Helper()
	must(t, closeBetweenForks(holder))
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	must(t, err)
	defer closeQuietly(file)
	eventually(t, "the lock is free", func() bool {
		return syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil
	})
	must(t, syscall.Flock(int(file.Fd()), syscall.LOCK_UN)) // also for copies of the descriptor in child processes
}

// closeBetweenForks closes c while no process is being forked, so that no child gets a new copy of the descriptor.
func closeBetweenForks(c io.Closer) error {
	syscall.ForkLock.Lock()
	defer syscall.ForkLock.Unlock()
	return c.Close()
}

// TestReleaseWaitsForCopies checks that the release functions wait for all copies of a descriptor: the address or lock
// is free when they return.
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
				t.Error("the release returned while a copy of the descriptor was open")
			}
		})
	}
}

// duplicable gives a file the method File of the sockets of package net.
type duplicable struct{ file *os.File }

// File returns a duplicate of the file's descriptor.
func (d duplicable) File() (*os.File, error) {
	descriptor, err := syscall.Dup(int(d.file.Fd()))
	if err != nil {
		return nil, err
	}
	return os.NewFile(uintptr(descriptor), d.file.Name()), nil
}
