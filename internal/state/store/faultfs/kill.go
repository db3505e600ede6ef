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
	FS        store.FS
	KillAt    int  // the call, from 1; 0: never
	TornWrite bool // where that call is a write, half of it is written first
	// Late has each write reach the file only with the next one, so that a kill takes the last one with it: the fault
	// of a journal that is written behind what it is for. It is for showing that a check convicts it.
	DelayWrites bool

	mu           sync.Mutex
	calls        int
	delayedWrite func() error // the write that has not reached its file
}

// step counts a call and kills the process if it is the one.
func (k *Killer) step(torn func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.calls++; k.calls != k.KillAt {
		return
	}
	if k.TornWrite && torn != nil {
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
	held := k.delayedWrite
	k.delayedWrite = nil
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
	killer *Killer
}

func (f *killerFile) ReadAt(p []byte, off int64) (int, error) {
	f.killer.step(nil)
	if err := f.killer.flush(); err != nil {
		return 0, err
	}
	return f.File.ReadAt(p, off)
}

func (f *killerFile) WriteAt(p []byte, off int64) (int, error) {
	f.killer.step(func() { f.File.WriteAt(p[:len(p)/2], off) })
	if !f.killer.DelayWrites {
		return f.File.WriteAt(p, off)
	}
	err, data := f.killer.flush(), append([]byte(nil), p...)
	f.killer.mu.Lock()
	f.killer.delayedWrite = func() error { _, err := f.File.WriteAt(data, off); return err }
	f.killer.mu.Unlock()
	return len(p), err
}

func (f *killerFile) Truncate(size int64) error {
	f.killer.step(nil)
	if err := f.killer.flush(); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

func (f *killerFile) Sync() error { f.killer.step(nil); return f.File.Sync() }
