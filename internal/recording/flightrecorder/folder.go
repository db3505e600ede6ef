package flightrecorder

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

const (
	// FileExtension ends the name of a file that holds a recording or a part of one.
	FileExtension = ".flight"
	// MinFolderSize is the smallest limit of a folder's files, in bytes.
	MinFolderSize = 1 << 20

	// filesPerFolder is about how many files Follow fills a folder with: the oldest is removed as a whole.
	filesPerFolder = 8
	// maxReasonLength bounds the part of a file's name that states a reason, in bytes.
	maxReasonLength = 40

	tempExtension = FileExtension + ".tmp"
	// tempTimeout is the age from which a temporary file is one that a dead process left.
	tempTimeout = time.Minute
)

// Folder is a folder for recordings with a limit on the bytes of the files in it that end in FileExtension. The oldest
// are removed for new ones.
type Folder struct {
	Path  string
	Limit int64 // bytes; at least MinFolderSize
	Name  string
}

// Dump writes what a Recorder's ring holds into a file of its own and returns the file's path.
func (f Folder) Dump(r *Recorder, reason string) (string, error) {
	r.Note("kept: " + reason)
	var ring bytes.Buffer
	if _, err := r.WriteTo(&ring); err != nil {
		return "", err
	}
	size := int64(ring.Len())
	if size > f.Limit {
		return "", fmt.Errorf("flightrecorder: the ring holds %d bytes, the folder may hold %d", size, f.Limit)
	}
	if err := f.freeSpace(size); err != nil {
		return "", err
	}
	path := filepath.Join(f.Path, f.fileName(fileNameWord(reason)))
	temp := path + ".tmp" // it gets its name only when it is complete
	if err := os.WriteFile(temp, ring.Bytes(), 0o600); err != nil {
		return "", errors.Join(fmt.Errorf("flightrecorder: write the ring: %w", err), removeFile(temp))
	}
	if err := os.Rename(temp, path); err != nil {
		return "", errors.Join(fmt.Errorf("flightrecorder: write the ring: %w", err), removeFile(temp))
	}
	return path, nil
}

// removeFile removes a file, which need not exist.
func removeFile(path string) error {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("flightrecorder: %w", err)
	}
	return nil
}

// fileNameWord makes a text fit for a part of a file's name.
func fileNameWord(s string) string {
	s = strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= '0' && r <= '9', r == '-':
			return r
		case r >= 'A' && r <= 'Z':
			return r + 'a' - 'A'
		}
		return '-'
	}, s)
	return strings.Trim(s[:min(len(s), maxReasonLength)], "-")
}

// fileName returns a name that sorts by time.
func (f Folder) fileName(what string) string {
	name := cmp.Or(fileNameWord(f.Name), "relay")
	now := time.Now().UTC().Format("20060102T150405.000000000")
	return fmt.Sprintf("%s-%s-%s%s", name, now, what, FileExtension)
}

// recordingFile is a file of a folder.
type recordingFile struct {
	name       string
	size       int64
	modifiedAt time.Time
}

// freeSpace removes the oldest files until size more bytes fit, and temporary files of dead processes.
func (f Folder) freeSpace(size int64) error {
	if err := os.MkdirAll(f.Path, 0o700); err != nil {
		return fmt.Errorf("flightrecorder: %w", err)
	}
	files, err := f.files()
	if err != nil {
		return err
	}
	used := int64(0)
	for _, file := range files {
		used += file.size
	}
	for _, file := range files {
		if used+size <= f.Limit {
			break
		}
		if err := removeFile(filepath.Join(f.Path, file.name)); err != nil {
			return err
		}
		used -= file.size
	}
	return nil
}

// files returns the folder's files, oldest first. It removes temporary files of dead processes.
func (f Folder) files() ([]recordingFile, error) {
	entries, err := os.ReadDir(f.Path)
	if err != nil {
		return nil, fmt.Errorf("flightrecorder: %w", err)
	}
	var files []recordingFile
	for _, entry := range entries {
		info, err := entry.Info()
		if err != nil || !info.Mode().IsRegular() {
			continue // removed meanwhile, or none of ours
		}
		name := entry.Name()
		switch {
		case isAbandoned(info):
			if err := removeFile(filepath.Join(f.Path, name)); err != nil {
				return nil, err
			}
		case strings.HasSuffix(name, FileExtension):
			files = append(files, recordingFile{name: name, size: info.Size(), modifiedAt: info.ModTime()})
		}
	}
	slices.SortFunc(files, func(a, b recordingFile) int {
		return cmp.Or(a.modifiedAt.Compare(b.modifiedAt), cmp.Compare(a.name, b.name))
	})
	return files, nil
}

// isAbandoned reports whether a file is a temporary one that a dead process left.
func isAbandoned(info fs.FileInfo) bool {
	return strings.HasSuffix(info.Name(), tempExtension) && time.Since(info.ModTime()) > tempTimeout
}

// Follow writes a recording into files of the folder as it goes on, until ctx ends, and then what is left of it. A
// killed process loses what it recorded since the last followInterval. An error ends it: the relay goes on without.
func (f Folder) Follow(ctx context.Context, r *Recorder) error {
	w := folderWriter{folder: f, maxFileSize: max(f.Limit, MinFolderSize) / filesPerFolder}
	return errors.Join(followChunks(ctx, r, w.write), w.close())
}

// folderWriter writes pieces of a recording into a folder's files.
type folderWriter struct {
	folder      Folder
	maxFileSize int64
	file        *os.File // nil: none is open
	size        int64
}

// write writes a piece into the open file, or into a new one if it begins a chunk that does not fit.
func (w *folderWriter) write(p piece) error {
	isFull := p.offset == 0 && w.size+int64(len(p.data)) > w.maxFileSize
	if w.file == nil || isFull {
		if err := w.nextFile(); err != nil {
			return err
		}
	}
	n, err := w.file.Write(p.data)
	w.size += int64(n)
	if err != nil {
		return fmt.Errorf("flightrecorder: %w", err)
	}
	return nil
}

func (w *folderWriter) nextFile() error {
	if err := w.close(); err != nil {
		return fmt.Errorf("flightrecorder: %w", err)
	}
	if err := w.folder.freeSpace(w.maxFileSize); err != nil {
		return err
	}
	path := filepath.Join(w.folder.Path, w.folder.fileName("run"))
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return fmt.Errorf("flightrecorder: %w", err)
	}
	w.file = file
	w.size = 0
	return nil
}

// close closes the open file, if there is one.
func (w *folderWriter) close() error {
	if w.file == nil {
		return nil
	}
	file := w.file
	w.file = nil
	return file.Close()
}
