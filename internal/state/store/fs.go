package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FS is the interface of the file system that the store needs: a single folder, whose files are accessed by name.
type FS interface {
	// List returns the names of the folder's files, in any order.
	List() ([]string, error)
	// Open opens an existing file, or creates a file if create is set. Creating a file that exists is an error.
	Open(name string, create bool) (File, error)
	Remove(name string) error
	// Sync syncs the folder, so that its list of files survives a machine crash.
	Sync() error
	// Lock locks the folder, using the file with this name, until the Closer is closed. It fails with ErrLocked if
	// another process holds the lock.
	Lock(name string) (io.Closer, error)
}

// File is an open file of an FS.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Size() (int64, error)
	Truncate(size int64) error
	Sync() error
}

// ErrLocked reports that another process holds the folder's lock.
var ErrLocked = errors.New("store: the folder is in use by another process")

// Dir is an FS in a folder of the operating system's file system. Its value is the folder's path.
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
		f, err = os.Open(d.path(name)) // read access is enough for a read-only store
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

// Lock implements FS. The operating system releases the lock when the process ends, even if it is killed.
func (d Dir) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrLocked
		} else {
			err = fmt.Errorf("lock: %w", err)
		}
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// osFile is a File of the operating system's file system.
type osFile struct{ *os.File }

// Size implements File.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
