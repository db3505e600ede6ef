package faultfs

import (
	"io"
	"os"
	"sync"

	"cherrytrestle.example/cherrytrestle/internal/state/store"
)

// Killer passes calls on to a file system of the operating system, and kills its own process at one of them: a real
// SIGKILL, after which the files are as the calls before left them.
type Killer struct {
	FS   store.FS
	At   int  // the call, from 1; 0: never
	Torn bool // where that call is a write, half of it is written first
	// Late has each write reach the file only with the next one, so that a kill takes the last one with it: the fault
	// of a journal that is written behind what it is for. It is for showing that a check convicts it.
	Late bool

	mu    sync.Mutex
	calls int
	held  func() error // the write that has not reached its file
}

// step counts a call and kills the process if it is the one.
func (k *Killer) step(torn func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.calls++; k.calls != k.At {
		return
	}
	if k.Torn && torn != nil {
		torn()
	}
	if p, err := os.FindProcess(os.Getpid()); err == nil {
		p.Kill()
	}
	select {} // the signal is on its way; nothing more is done, under mu
}

// flush has the write that is held reach its file.
func (k *Killer) flush() error {
	k.mu.Lock()
	held := k.held
	k.held = nil
	k.mu.Unlock()
	if held == nil {
		return nil
	}
	return held()
}

// List implements store.FS.
func (k *Killer) List() ([]string, error) { k.step(nil); return k.FS.List() }

// Remove implements store.FS.
func (k *Killer) Remove(name string) error { k.step(nil); return k.FS.Remove(name) }

// Sync implements store.FS.
func (k *Killer) Sync() error { k.step(nil); return k.FS.Sync() }

// Lock implements store.FS.
func (k *Killer) Lock(name string) (io.Closer, error) { k.step(nil); return k.FS.Lock(name) }

// Open implements store.FS.
func (k *Killer) Open(name string, create bool) (store.File, error) {
	k.step(nil)
	f, err := k.FS.Open(name, create)
	if err != nil {
		return nil, err
	}
	return &killerFile{f, k}, nil
}

type killerFile struct {
	store.File
	k *Killer
}

func (f *killerFile) ReadAt(p []byte, off int64) (int, error) {
	f.k.step(nil)
	if err := f.k.flush(); err != nil {
		return 0, err
	}
	return f.File.ReadAt(p, off)
}

func (f *killerFile) WriteAt(p []byte, off int64) (int, error) {
	f.k.step(func() { f.File.WriteAt(p[:len(p)/2], off) })
	if !f.k.Late {
		return f.File.WriteAt(p, off)
	}
	err, data := f.k.flush(), append([]byte(nil), p...)
	f.k.mu.Lock()
	f.k.held = func() error { _, err := f.File.WriteAt(data, off); return err }
	f.k.mu.Unlock()
	return len(p), err
}

func (f *killerFile) Truncate(size int64) error {
	f.k.step(nil)
	if err := f.k.flush(); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

func (f *killerFile) Sync() error { f.k.step(nil); return f.File.Sync() }
