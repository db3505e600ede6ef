package flightrecorder

import (
	"bufio"
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"io"
)

const (
	// logPrefix stands before a part of a recording in a line of a log.
	logPrefix = "flight "
	// maxLineSize bounds such a line in bytes.
	maxLineSize = 64 << 10
	// lineDataSize is how many bytes of a recording a line holds: base64 makes four bytes of three, and the rest is for
	// the prefix and what collectors of logs put before the line.
	lineDataSize = maxLineSize / 8 * 5
)

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
		if _, err := log.Write(append(line, '\n')); err != nil { // one write, so that no other line gets between
			return fmt.Errorf("flightrecorder: log: %w", err)
		}
		data = data[n:]
	}
	return nil
}

// FromLog decodes the lines of a log that hold parts of recordings, in their order. A line that cannot be decoded is
// skipped: the Reader reports what it held as lost.
func FromLog(log []byte) (data []byte) {
	lines := bufio.NewScanner(bytes.NewReader(log))
	lines.Buffer(nil, maxLineSize)
	for lines.Scan() {
		// Whoever collected the log may have put something before the line.
		_, text, ok := bytes.Cut(lines.Bytes(), []byte(logPrefix))
		if !ok {
			continue
		}
		if part, err := base64.StdEncoding.DecodeString(string(bytes.TrimSpace(text))); err == nil {
			data = append(data, part...)
		}
	}
	return data
}
