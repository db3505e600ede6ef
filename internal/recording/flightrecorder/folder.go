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
	// FileExtension is the extension of a file that holds a recording or a part of one.
	FileExtension = ".flight"
	// MinFolderSize is the smallest value of Folder.Limit, in bytes.
	MinFolderSize = 1 << 20

	// filesPerFolder is the approximate number of files in a folder that Follow has filled. To free space, whole files
	// are removed, the oldest first.
	filesPerFolder = 8
	// maxFileNameWordLength limits the relay's name and the reason in a file's name, in bytes each.
	maxFileNameWordLength = 40

	tempExtension = FileExtension + ".tmp"
	// tempTimeout is the age above which a temporary file counts as left behind by a process that died.
	tempTimeout = time.Minute
)

// Folder is a folder for recordings. Its files with FileExtension are removed, the oldest first, to keep their total
// size within a limit.
type Folder struct {
	Path  string
	Limit int64  // bytes; at least MinFolderSize
	Name  string // the relay's; file names begin with it
}

// Dump writes the contents of a Recorder's ring to a new file and returns the file's path. The reason becomes a note in
// the recording and a part of the file's name.
func (f Folder) Dump(r *Recorder, reason string) (string, error) {
	r.Note("kept: " + reason)
	var ring bytes.Buffer
	if _, err := r.WriteTo(&ring); err != nil {
		return "", err
	}
	size := int64(ring.Len())
	if size > f.Limit {
		return "", fmt.Errorf("flightrecorder: the ring holds %d bytes, folder %q may hold %d", size, f.Path, f.Limit)
	}
	if err := f.freeSpace(size); err != nil {
		return "", err
	}
	path := filepath.Join(f.Path, f.fileName(fileNameWord(reason)))
	temp := path + ".tmp" // renamed to path when it is complete
	if err := os.WriteFile(temp, ring.Bytes(), 0o600); err != nil {
		return "", errors.Join(fmt.Errorf("flightrecorder: write the ring: %w", err), removeFile(temp))
	}
	if err := os.Rename(temp, path); err != nil {
		return "", errors.Join(fmt.Errorf("flightrecorder: write the ring: %w", err), removeFile(temp))
	}
	return path, nil
}

// removeFile removes a file. It is no error if the file does not exist.
func removeFile(path string) error {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("flightrecorder: %w", err)
	}
	return nil
}

// fileNameWord converts a text to a part of a file's name: lower-case letters, digits and hyphens.
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
	return strings.Trim(s[:min(len(s), maxFileNameWordLength)], "-")
}

// fileName returns a file name that ends in suffix and FileExtension. The names of one relay sort by time.
func (f Folder) fileName(suffix string) string {
	name := cmp.Or(fileNameWord(f.Name), "relay")
	now := time.Now().UTC().Format("20060102T150405.000000000")
	return fmt.Sprintf("%s-%s-%s%s", name, now, suffix, FileExtension)
}

// recordingFile is a file in a Folder that holds a recording or a part of one.
type recordingFile struct {
	name       string
	size       int64
	modifiedAt time.Time
}

// freeSpace creates the folder if it does not exist, and removes its oldest files until size more bytes fit. It also
// removes abandoned temporary files.
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

// files returns the folder's recording files, oldest first. It removes abandoned temporary files.
func (f Folder) files() ([]recordingFile, error) {
	entries, err := os.ReadDir(f.Path)
	if err != nil {
		return nil, fmt.Errorf("flightrecorder: %w", err)
	}
	var files []recordingFile
	for _, entry := range entries {
		info, err := entry.Info()
		if err != nil || !info.Mode().IsRegular() {
			continue // removed since ReadDir, or not a regular file
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

// isAbandoned reports whether a file is a temporary one, left behind by a process that died.
func isAbandoned(info fs.FileInfo) bool {
	return strings.HasSuffix(info.Name(), tempExtension) && time.Since(info.ModTime()) > tempTimeout
}

// Follow writes a recording continuously to files of the folder until ctx ends, and then writes the remaining part. If
// the process is killed, about the last followInterval of the recording is lost. Follow returns at the first error; the
// Recorder keeps recording in its ring.
func (f Folder) Follow(ctx context.Context, r *Recorder) error {
	w := folderWriter{folder: f, maxFileSize: max(f.Limit, MinFolderSize) / filesPerFolder}
	return errors.Join(followChunks(ctx, r, w.write), w.close())
}

// folderWriter writes pieces of a recording to a folder's files.
type folderWriter struct {
	folder      Folder
	maxFileSize int64    // bytes above which no further chunk begins in a file
	file        *os.File // nil: none is open
	size        int64    // bytes in file
}

// write appends a piece to the open file. It starts a new file if none is open, or if the piece begins a chunk and does
// not fit into the open file.
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

// nextFile closes the open file and creates the next one.
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
