package faultfs

import (
	"bytes"
	"io"
	"os"
	"sync"

	"cherrytrestle.example/cherrytrestle/internal/state/store"
)

// Killer passes calls on to another file system, and kills its own process at one of them with SIGKILL. The files
// then remain as the earlier calls left them.
type Killer struct {
	FS        store.FS
	KillAt    int  // number of the call, counted from 1; 0: never
	TornWrite bool // if the call at KillAt is a write, half of its data is written first
	// DelayWrites delays each write until the next write, read or truncation, so that a kill loses the last write.
	// It simulates a journal that writes too late, a fault that a test of the journal must detect. Sync does not
	// flush the delayed write either.
	DelayWrites bool

	mu           sync.Mutex
	calls        int
	delayedWrite func() error // the write that was not passed on yet; nil: none
}

// beginCall counts a call, and kills the process if the call is the one at KillAt. tearWrite writes a part of the
// call's data before the kill; it is nil if the call is not a write.
func (k *Killer) beginCall(tearWrite func() error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calls++
	if k.calls != k.KillAt {
		return
	}
	if k.TornWrite && tearWrite != nil {
		_ = tearWrite() // the process is killed next, even if the partial write failed
	}
	if err := killSelf(); err != nil {
		panic(err) // if the process went on, a test would take it for killed
	}
	select {} // wait for the signal; mu stays locked, so that no other call writes
}

func killSelf() error {
	process, err := os.FindProcess(os.Getpid())
	if err != nil {
		return err
	}
	return process.Kill()
}

// flush passes the delayed write on to its file.
func (k *Killer) flush() error {
	k.mu.Lock()
	write := k.delayedWrite
	k.delayedWrite = nil
	k.mu.Unlock()
	if write == nil {
		return nil
	}
	return write()
}

// List implements store.FS.
func (k *Killer) List() ([]string, error) {
	k.beginCall(nil)
	return k.FS.List()
}

// Remove implements store.FS.
func (k *Killer) Remove(name string) error {
	k.beginCall(nil)
	return k.FS.Remove(name)
}

// Sync implements store.FS.
func (k *Killer) Sync() error {
	k.beginCall(nil)
	return k.FS.Sync()
}

// Lock implements store.FS.
func (k *Killer) Lock(name string) (io.Closer, error) {
	k.beginCall(nil)
	return k.FS.Lock(name)
}

// Open implements store.FS.
func (k *Killer) Open(name string, create bool) (store.File, error) {
	k.beginCall(nil)
	f, err := k.FS.Open(name, create)
	if err != nil {
		return nil, err
	}
	return &killerFile{File: f, killer: k}, nil
}

// killerFile is an open file of a Killer.
type killerFile struct {
	store.File
	killer *Killer
}

// ReadAt implements io.ReaderAt.
func (f *killerFile) ReadAt(p []byte, offset int64) (int, error) {
	f.killer.beginCall(nil)
	if err := f.killer.flush(); err != nil {
		return 0, err
	}
	return f.File.ReadAt(p, offset)
}

// WriteAt implements io.WriterAt.
func (f *killerFile) WriteAt(p []byte, offset int64) (int, error) {
	f.killer.beginCall(func() error {
		_, err := f.File.WriteAt(p[:len(p)/2], offset)
		return err
	})
	if !f.killer.DelayWrites {
		return f.File.WriteAt(p, offset)
	}
	data := bytes.Clone(p)
	err := f.killer.flush()
	f.killer.mu.Lock()
	f.killer.delayedWrite = func() error {
		_, err := f.File.WriteAt(data, offset)
		return err
	}
	f.killer.mu.Unlock()
	return len(p), err
}

// Truncate implements store.File.
func (f *killerFile) Truncate(size int64) error {
	f.killer.beginCall(nil)
	if err := f.killer.flush(); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

// Sync implements store.File.
func (f *killerFile) Sync() error {
	f.killer.beginCall(nil)
	return f.File.Sync()
}
