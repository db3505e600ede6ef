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
	// logPrefix precedes the encoded part of a recording in a line of a log.
	logPrefix = "flight "
	// maxLineSize limits the lines that FromLog reads, in bytes.
	maxLineSize = 64 << 10
	// lineDataSize is the number of bytes of a recording in a line. Base64 turns three bytes into four. The remaining
	// space is for logPrefix and for what log collectors add in front of the line.
	lineDataSize = maxLineSize / 8 * 5
)

// FollowLog writes a recording to a log as lines of text, in the same way as Folder.Follow writes it to files. It is
// for platforms that keep only the log of a process.
func FollowLog(ctx context.Context, r *Recorder, log io.Writer) error {
	return followChunks(ctx, r, func(p piece) error { return writeLines(log, p.data) })
}

// DumpToLog writes the contents of a Recorder's ring to a log. The reason becomes a note in the recording.
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
		if _, err := log.Write(append(line, '\n')); err != nil { // A single write keeps the line in one piece.
			return fmt.Errorf("flightrecorder: write to the log: %w", err)
		}
		data = data[n:]
	}
	return nil
}

// FromLog decodes the lines of a log that hold parts of recordings, in their order. A line that cannot be decoded is
// skipped: the Reader reports its contents as lost. The first line that is longer than maxLineSize ends the reading.
func FromLog(log []byte) (data []byte) {
	lines := bufio.NewScanner(bytes.NewReader(log))
	lines.Buffer(nil, maxLineSize)
	for lines.Scan() {
		// A log collector may have added text in front of the prefix.
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
