package flightrecorder

import (
	"bytes"
	"cmp"
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

const (
	// Ext ends the name of a file that holds a recording or a part of one.
	FileExtension = ".flight"
	// MinFolderSize is the least room for files, in bytes.
	MinFolderSize  = 1 << 20
	filesPerFolder = 8                      // a folder's room is used up by about so many files
	followInterval = 100 * time.Millisecond // a sink looks no more often
	lineDataSize   = maxLineSize / 8 * 5    // bytes of a recording in a line of the log
)

// Folder is a folder for recordings with a limit of its own on the bytes of the files in it that end in Ext. The oldest
// make room for new ones.
type Folder struct {
	Path  string
	Limit int64 // bytes; MinFolderSize at least
	Name  string
}

// Dump writes what a Recorder's ring holds into a file of its own and returns the file's path.
func (f Folder) Dump(r *Recorder, reason string) (string, error) {
	r.Note("kept: " + reason)
	var ring bytes.Buffer
	if _, err := r.WriteTo(&ring); err != nil {
		return "", err
	}
	if int64(ring.Len()) > f.Limit {
		return "", fmt.Errorf("flight: the ring holds %d bytes, the folder may hold %d", ring.Len(), f.Limit)
	}
	if err := f.freeSpace(int64(ring.Len())); err != nil {
		return "", err
	}
	path := filepath.Join(f.Path, f.fileName(fileNameWord(reason)))
	temp := path + ".tmp" // under its name only when whole
	if err := os.WriteFile(temp, ring.Bytes(), 0o600); err != nil {
		return "", errors.Join(fmt.Errorf("flight: keep the ring: %w", err), removeFile(temp))
	}
	if err := os.Rename(temp, path); err != nil {
		return "", errors.Join(fmt.Errorf("flight: keep the ring: %w", err), removeFile(temp))
	}
	return path, nil
}

func removeFile(path string) error {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("flight: %w", err)
	}
	return nil
}

// fileNameWord makes a reason fit for a file's name.
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
	return strings.Trim(s[:min(len(s), 40)], "-")
}

// fileName is a name that sorts by time.
func (f Folder) fileName(what string) string {
	return fmt.Sprintf(
		"%s-%s-%s%s",
		cmp.Or(fileNameWord(f.Name), "relay"),
		time.Now().UTC().Format("20060102T150405.000000000"),
		what,
		FileExtension,
	)
}

// freeSpace removes the oldest files until so many more bytes fit, and those that a process that died left half-written.
func (f Folder) freeSpace(more int64) error {
	if err := os.MkdirAll(f.Path, 0o700); err != nil {
		return fmt.Errorf("flight: %w", err)
	}
	entries, err := os.ReadDir(f.Path)
	if err != nil {
		return fmt.Errorf("flight: %w", err)
	}
	type file struct {
		name string
		size int64
		at   time.Time
	}
	var files []file
	var sum int64
	for _, e := range entries {
		info, err := e.Info()
		if err != nil || !info.Mode().IsRegular() {
			continue
		}
		switch name := e.Name(); {
		case strings.HasSuffix(name, FileExtension+".tmp") && time.Since(info.ModTime()) > time.Minute:
			if err := removeFile(filepath.Join(f.Path, name)); err != nil {
				return err
			}
		case strings.HasSuffix(name, FileExtension):
			files = append(files, file{name, info.Size(), info.ModTime()})
			sum += info.Size()
		}
	}
	slices.SortFunc(files, func(a, b file) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.name, b.name)) })
	for _, x := range files {
		if sum+more <= f.Limit {
			break
		}
		if err := removeFile(filepath.Join(f.Path, x.name)); err != nil {
			return err
		}
		sum -= x.size
	}
	return nil
}

// Follow writes a recording into files of the folder as it goes on, until ctx ends, and then what is left of it. What
// the last tenth of a second held is lost with a killed process. An error ends it: the relay goes on without.
func (f Folder) Follow(ctx context.Context, r *Recorder) error {
	var file *os.File
	var size int64
	part := max(f.Limit, MinFolderSize) / filesPerFolder
	err := followChunks(ctx, r, func(p piece) error {
		if file == nil || p.offset == 0 && size+int64(len(p.data)) > part {
			if file != nil {
				if err := file.Close(); err != nil {
					return fmt.Errorf("flight: %w", err)
				}
				file = nil
			}
			if err := f.freeSpace(part); err != nil {
				return err
			}
			var err error
			if file, err = os.OpenFile(filepath.Join(f.Path, f.fileName("run")), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600); err != nil {
				return fmt.Errorf("flight: %w", err)
			}
			size = 0
		}
		n, err := file.Write(p.data)
		if size += int64(n); err != nil {
			return fmt.Errorf("flight: %w", err)
		}
		return nil
	})
	if file != nil {
		err = errors.Join(err, file.Close())
	}
	return err
}

// FollowLog writes a recording into a log, as lines of text, as Folder.Follow does into files. It is for platforms that
// keep nothing of a process but its log.
func FollowLog(ctx context.Context, r *Recorder, log io.Writer) error {
	return followChunks(ctx, r, func(p piece) error { return writeLines(log, p.data) })
}

// DumpToLog writes what a Recorder's ring holds into a log.
func DumpToLog(r *Recorder, reason string, log io.Writer) error {
	r.Note("kept: " + reason)
	var ring bytes.Buffer
	if _, err := r.WriteTo(&ring); err != nil {
		return err
	}
	return writeLines(log, ring.Bytes())
}

func writeLines(log io.Writer, data []byte) error {
	for len(data) > 0 {
		n := min(len(data), lineDataSize)
		line := make([]byte, 0, len(logPrefix)+base64.StdEncoding.EncodedLen(n)+1)
		line = append(line, logPrefix...)
		line = base64.StdEncoding.AppendEncode(line, data[:n])
		if _, err := log.Write(append(line, '\n')); err != nil { // whole, so that no other line gets between
			return fmt.Errorf("flight: log: %w", err)
		}
		data = data[n:]
	}
	return nil
}

// followChunks hands a recording's pieces to write until ctx ends.
func followChunks(ctx context.Context, r *Recorder, write func(piece) error) error {
	more := r.startFollowing()
	var at position
	for ending := false; ; {
		pieces, to, lost := r.readFrom(at)
		at = to
		if lost > 0 {
			slog.Warn("recorder: the ring was overwritten before it was written out", "chunks", lost)
		}
		for _, p := range pieces {
			if err := write(p); err != nil {
				return err
			}
		}
		if ending {
			return nil
		}
		select {
		case <-ctx.Done():
			ending = true
			continue
		case <-time.After(followInterval):
		}
		select {
		case <-ctx.Done():
			ending = true
		case <-more:
		}
	}
}
