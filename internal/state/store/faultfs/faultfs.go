// Package faultfs provides file systems that fail on demand, to test code that must survive such failures. FS is a
// file system in memory. It can stop at a call, as if the process were killed there, write only a part of the data,
// return an error, or be full. Killer passes calls on to another file system and kills its own process at one of
// them.
package faultfs

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"sync"
	"syscall"

	"cherrytrestle.example/cherrytrestle/internal/state/store"
)

// ErrStopped is returned by the call at which the simulated process stopped, and by all calls after it.
var ErrStopped = errors.New("faultfs: stopped")

// FS is a folder in memory. Its faults can be changed at any time.
type FS struct {
	mu           sync.Mutex
	files        map[string][]byte
	locked       bool
	calls        int
	stopAt       int              // number of the call; 0: never
	partial      int              // bytes that are still written if the call at stopAt is a write
	capacity     int64            // maximum bytes in all files; 0: unbounded
	failCall     func(Call) error // error of a call; nil: no call fails
	partialWrite func(Call) int   // bytes that are written although failCall failed the write; nil: none
}

// Call describes a call on an FS or its files. Size, Close and a Lock that fails with ErrLocked are not counted as
// calls.
type Call struct {
	Number int    // counted from 1 since the last StopAt
	Op     string // such as "open" or "write"
	Name   string // of the file; empty for calls on the folder
	Size   int    // bytes to read or write
}

// New returns an empty folder.
func New() *FS { return &FS{files: map[string][]byte{}} }

// StopAt stops the simulated process at the n-th call from now on: that call and all later ones fail with
// ErrStopped. If that call is a write, at most partial bytes of it are still written. If n is 0, the process does
// not stop.
func (f *FS) StopAt(n, partial int) {
	f.withLock(func() {
		f.calls = 0
		f.stopAt = n
		f.partial = partial
	})
}

// Fail makes each call fail for which failCall returns an error. partialWrite returns how many bytes of a failed
// write are still written; nil means none.
func (f *FS) Fail(failCall func(Call) error, partialWrite func(Call) int) {
	f.withLock(func() {
		f.failCall = failCall
		f.partialWrite = partialWrite
	})
}

// SetCapacity limits the bytes of all files; 0 means no limit.
func (f *FS) SetCapacity(n int64) { f.withLock(func() { f.capacity = n }) }

func (f *FS) withLock(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

// Calls returns the number of calls since the last StopAt, or since New.
func (f *FS) Calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// Reboot returns a copy of the folder as a new process finds it: with the data that was written, without lock and
// faults.
func (f *FS) Reboot() *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	rebooted := New()
	for name, data := range f.files {
		rebooted.files[name] = bytes.Clone(data)
	}
	return rebooted
}

// Files returns the names of the files, sorted.
func (f *FS) Files() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.files))
}

// Data returns a file's data without copying it. To change a file, Put a changed copy.
func (f *FS) Data(name string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.files[name]
}

// Put sets a file's data, creating the file if needed, or removes the file if data is nil.
func (f *FS) Put(name string, data []byte) {
	f.withLock(func() {
		if data == nil {
			delete(f.files, name)
			return
		}
		f.files[name] = data
	})
}

// Size returns the total size of all files, each rounded up to a multiple of unit.
func (f *FS) Size(unit int64) (sum int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, data := range f.files {
		sum += (int64(len(data)) + unit - 1) / unit * unit
	}
	return sum
}

// beginCall counts a call and returns the error with which the call must fail, if any. written is how many bytes a
// write stores, even if it fails.
func (f *FS) beginCall(op, name string, size int) (written int, err error) {
	f.calls++
	switch {
	case f.stopAt > 0 && f.calls > f.stopAt:
		return 0, ErrStopped
	case f.stopAt > 0 && f.calls == f.stopAt:
		return min(f.partial, size), ErrStopped
	case f.failCall == nil:
		return size, nil
	}
	call := Call{Number: f.calls, Op: op, Name: name, Size: size}
	err = f.failCall(call)
	if err == nil {
		return size, nil
	}
	if f.partialWrite != nil {
		written = min(size, f.partialWrite(call))
	}
	return written, fmt.Errorf("%s %s: %w", op, name, err)
}

// List implements store.FS.
func (f *FS) List() ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.beginCall("list", "", 0); err != nil {
		return nil, err
	}
	return slices.Sorted(maps.Keys(f.files)), nil
}

// Open implements store.FS.
func (f *FS) Open(name string, create bool) (store.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.beginCall("open", name, 0); err != nil {
		return nil, err
	}
	_, exists := f.files[name]
	switch {
	case create && exists:
		return nil, os.ErrExist
	case !create && !exists:
		return nil, os.ErrNotExist
	case create:
		f.files[name] = []byte{}
	}
	return &file{fs: f, name: name}, nil
}

// Remove implements store.FS.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.beginCall("remove", name, 0); err != nil {
		return err
	}
	if _, exists := f.files[name]; !exists {
		return os.ErrNotExist
	}
	delete(f.files, name)
	return nil
}

// Sync implements store.FS.
func (f *FS) Sync() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, err := f.beginCall("syncdir", "", 0)
	return err
}

// Lock implements store.FS.
func (f *FS) Lock(name string) (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.locked {
		return nil, store.ErrLocked
	}
	if _, err := f.beginCall("lock", name, 0); err != nil {
		return nil, err
	}
	f.locked = true
	return unlock{fs: f}, nil
}

// unlock releases the folder's lock.
type unlock struct{ fs *FS }

// Close implements io.Closer.
func (u unlock) Close() error {
	u.fs.withLock(func() { u.fs.locked = false })
	return nil
}

// file is an open file of an FS.
type file struct {
	fs   *FS
	name string
}

// ReadAt implements io.ReaderAt.
func (x *file) ReadAt(p []byte, offset int64) (int, error) {
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	if _, err := x.fs.beginCall("read", x.name, len(p)); err != nil {
		return 0, err
	}
	data := x.fs.files[x.name]
	if offset >= int64(len(data)) {
		return 0, io.EOF
	}
	n := copy(p, data[offset:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

// WriteAt implements io.WriterAt.
func (x *file) WriteAt(p []byte, offset int64) (int, error) {
	f := x.fs
	f.mu.Lock()
	defer f.mu.Unlock()
	n, err := f.beginCall("write", x.name, len(p))
	if excess := f.excess(x.name, offset+int64(n)); n > 0 && excess > 0 {
		n = max(0, n-int(excess))
		err = syscall.ENOSPC
	}
	if n > 0 {
		data := f.files[x.name]
		if growth := offset + int64(n) - int64(len(data)); growth > 0 {
			data = append(data, make([]byte, growth)...)
		}
		copy(data[offset:], p[:n])
		f.files[x.name] = data
	}
	return n, err
}

// excess returns by how many bytes the files would exceed the capacity if the named file grew to end bytes.
func (f *FS) excess(name string, end int64) int64 {
	if f.capacity == 0 {
		return 0
	}
	used := int64(0)
	for _, data := range f.files {
		used += int64(len(data))
	}
	return used + max(0, end-int64(len(f.files[name]))) - f.capacity
}

// Size implements store.File.
func (x *file) Size() (int64, error) {
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	return int64(len(x.fs.files[x.name])), nil
}

// Truncate implements store.File.
func (x *file) Truncate(size int64) error {
	f := x.fs
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.beginCall("truncate", x.name, 0); err != nil {
		return err
	}
	if data := f.files[x.name]; size < int64(len(data)) {
		f.files[x.name] = data[:size:size]
	}
	return nil
}

// Sync implements store.File.
func (x *file) Sync() error {
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	_, err := x.fs.beginCall("sync", x.name, 0)
	return err
}

// Close implements io.Closer.
func (x *file) Close() error { return nil }
