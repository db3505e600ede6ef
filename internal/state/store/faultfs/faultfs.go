// Package faultfs is a file system in memory that fails as it is told to: it stops at a call, as a process that is
// killed there, writes a part, answers with an error, or is full. It is for tests of what must survive that.
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

// ErrStopped answers all calls after the one at which the process stopped.
var ErrStopped = errors.New("faultfs: stopped")

// FS is a folder. Its faults may be set at any time.
type FS struct {
	mu           sync.Mutex
	files        map[string][]byte
	locked       bool
	calls        int
	stopAt       int              // 0: never
	partial      int              // bytes that the call at which it stops still writes
	capacity     int64            // bytes in all files; 0: no bound
	failCall     func(Call) error // nil: none
	partialWrite func(Call) int   // bytes of a write that are written before fail's error; nil: none
	log          []Call
}

// Call is one call that changes something or reads.
type Call struct {
	Number int // from 1
	Op     string
	Name   string
	Size   int
}

// New returns an empty folder.
func New() *FS { return &FS{files: map[string][]byte{}} }

// StopAt has the process stop at its n-th call from now on, of which a write still writes so many bytes.
func (f *FS) StopAt(n, partial int) { f.set(func() { f.calls, f.stopAt, f.partial = 0, n, partial }) }

// Fail has calls fail for which fail returns an error; short says how much of such a write is written.
func (f *FS) Fail(fail func(Call) error, short func(Call) int) {
	f.set(func() { f.failCall, f.partialWrite = fail, short })
}

// SetCapacity bounds the bytes of all files.
func (f *FS) SetCapacity(n int64) { f.set(func() { f.capacity = n }) }

func (f *FS) set(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

// Calls is how many calls came since StopAt.
func (f *FS) Calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// Reboot is the folder as a new process finds it: what was written, no lock, no faults.
func (f *FS) Reboot() *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := New()
	for name, data := range f.files {
		g.files[name] = bytes.Clone(data)
	}
	return g
}

// Files are the names of the files, sorted.
func (f *FS) Files() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.files))
}

// Data is a file's, to be read or replaced by Put.
func (f *FS) Data(name string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.files[name]
}

// Put writes a file, or removes it if data is nil.
func (f *FS) Put(name string, data []byte) {
	f.set(func() {
		if f.files[name] = data; data == nil {
			delete(f.files, name)
		}
	})
}

// Size is the size of all files, in whole units.
func (f *FS) Size(unit int64) (sum int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, data := range f.files {
		sum += (int64(len(data)) + unit - 1) / unit * unit
	}
	return sum
}

// beginCall counts a call and returns its error, and how much of a write is done all the same.
func (f *FS) beginCall(op, name string, size int) (written int, err error) {
	f.calls++
	c := Call{f.calls, op, name, size}
	switch {
	case f.stopAt > 0 && f.calls > f.stopAt:
		return 0, ErrStopped
	case f.stopAt > 0 && f.calls == f.stopAt:
		return min(f.partial, size), ErrStopped
	case f.failCall == nil:
		return size, nil
	}
	if err := f.failCall(c); err != nil {
		if f.partialWrite != nil {
			written = min(size, f.partialWrite(c))
		}
		return written, fmt.Errorf("%s %s: %w", op, name, err)
	}
	return size, nil
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
	_, there := f.files[name]
	switch {
	case create && there:
		return nil, os.ErrExist
	case !create && !there:
		return nil, os.ErrNotExist
	case create:
		f.files[name] = []byte{}
	}
	return &file{f, name}, nil
}

// Remove implements store.FS.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.beginCall("remove", name, 0); err != nil {
		return err
	}
	if _, there := f.files[name]; !there {
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
	return unlock{f}, nil
}

type unlock struct{ f *FS }

func (u unlock) Close() error { u.f.set(func() { u.f.locked = false }); return nil }

type file struct {
	fs   *FS
	name string
}

func (x *file) ReadAt(p []byte, at int64) (int, error) {
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	if _, err := x.fs.beginCall("read", x.name, len(p)); err != nil {
		return 0, err
	}
	data := x.fs.files[x.name]
	if at >= int64(len(data)) {
		return 0, io.EOF
	}
	n := copy(p, data[at:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (x *file) WriteAt(p []byte, at int64) (int, error) {
	f := x.fs
	f.mu.Lock()
	defer f.mu.Unlock()
	n, err := f.beginCall("write", x.name, len(p))
	data := f.files[x.name]
	if end := at + int64(n); f.capacity > 0 && n > 0 {
		sum := int64(0)
		for _, d := range f.files {
			sum += int64(len(d))
		}
		if over := sum + max(0, end-int64(len(data))) - f.capacity; over > 0 {
			n, err = max(0, n-int(over)), syscall.ENOSPC
		}
	}
	if n > 0 {
		if grow := at + int64(n) - int64(len(data)); grow > 0 {
			data = append(data, make([]byte, grow)...)
		}
		copy(data[at:], p[:n])
		f.files[x.name] = data
	}
	return n, err
}

func (x *file) Size() (int64, error) {
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	return int64(len(x.fs.files[x.name])), nil
}

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

func (x *file) Sync() error {
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	_, err := x.fs.beginCall("sync", x.name, 0)
	return err
}

func (x *file) Close() error { return nil }
