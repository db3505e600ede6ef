package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FS is what the store asks of a file system. Names are of files within the one folder that it was made for.
type FS interface {
	// List returns the names of the folder's files, in any order.
	List() ([]string, error)
	// Open opens a file; with create it must not be there yet.
	Open(name string, create bool) (File, error)
	Remove(name string) error
	// Sync has the folder's entries outlast the machine.
	Sync() error
	// Lock keeps a second process from the folder until the Closer is closed; ErrLocked if one is there already.
	Lock(name string) (io.Closer, error)
}

// File is an open file.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Size() (int64, error)
	Truncate(size int64) error
	Sync() error
}

// ErrLocked tells that another process has the folder open.
var ErrLocked = errors.New("store: the folder is in use by another process")

// Dir is a folder of the operating system.
type Dir string

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// List implements FS.
func (d Dir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// Open implements FS.
func (d Dir) Open(name string, create bool) (File, error) {
	flag := os.O_RDWR
	if create {
		flag |= os.O_CREATE | os.O_EXCL
	}
	f, err := os.OpenFile(d.path(name), flag, 0o600)
	if !create && errors.Is(err, os.ErrPermission) {
		f, err = os.Open(d.path(name)) // to be read, at least
	}
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Remove implements FS.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// Sync implements FS.
func (d Dir) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock implements FS. The lock ends with the process, however it ends.
func (d Dir) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, fmt.Errorf("lock: %w", err)
	}
	return f, nil
}

type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
