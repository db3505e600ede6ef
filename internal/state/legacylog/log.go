// Package legacylog is the write-ahead log in which former versions of the program kept their messages. The journal
// replaced it; the package is there to migrate what such a version left, and to compare the two in benchmarks.
//
// The log is one file in the state folder, of records as in record.go. What has been written survives SIGKILL without a
// sync. The loss of the machine loses it: then other relays take over the messages. Times in it are wall times, since
// the monotonic clock of one process has no meaning in the next.
package legacylog

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// ErrFull reports that there is no room for new messages. Attempts, outcomes and removals still find room.
var ErrFull = errors.New("legacylog: no room for new messages")

const (
	fileName     = "wal.log"
	tempFileName = "wal.tmp" // the new file of a compaction
	blockSize    = 512       // in which a file takes space on disk, in bytes
)

// Ratios of the disk limit. During a compaction the old file and the new one stand side by side, and both must fit: the
// sum of the two stays below 1 by more than a write takes.
const (
	maxLiveRatio    = 0.36 // new messages are rejected beyond this
	compactionRatio = 0.5  // a file beyond this is compacted
)

// Recovery is what Open found.
type Recovery struct {
	Messages []*Message // not removed yet, in the order of their IDs, in which they were accepted
	// Damaged reports that records before the last one were unreadable: the attempts of a message may be missing.
	Damaged bool
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	dir       string
	limit     int64 // bytes on disk
	file      *os.File
	size      int64               // of the file, which holds good records up to there
	live      map[uint32]*Message // messages that are not removed, by ID
	liveBytes int64               // estimate of what they take in a compacted log
	pending   []byte              // records that wait for the next write
}

// Open opens the log in dir, or creates one, with a limit of bytes on disk.
func Open(dir string, limit int64) (*Log, Recovery, error) {
	l := &Log{dir: dir, limit: limit, live: map[uint32]*Message{}}
	damaged, err := l.open()
	if err != nil {
		return nil, Recovery{}, fmt.Errorf("legacylog: %w", err)
	}
	return l, Recovery{Messages: l.messages(), Damaged: damaged}, nil
}

// open reads the file and opens it for appending.
func (l *Log) open() (damaged bool, err error) {
	// A crash during a compaction leaves the old file complete, and a part of the new one.
	if err := os.Remove(l.path(tempFileName)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return false, err
	}
	data, err := os.ReadFile(l.path(fileName))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return false, err
	}
	l.size, damaged = l.replay(data)
	l.file, err = os.OpenFile(l.path(fileName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return false, err
	}
	// A record behind a torn one could be taken for its rest: the tail is removed before anything is appended.
	if err := l.file.Truncate(l.size); err != nil {
		return false, errors.Join(fmt.Errorf("remove a torn tail: %w", err), l.file.Close())
	}
	return damaged, nil
}

func (l *Log) path(name string) string { return filepath.Join(l.dir, name) }

// Close writes what is pending and closes the file.
func (l *Log) Close() error { return errors.Join(l.Flush(), l.file.Close()) }

// Accept records that messages are accepted, all or none. After ErrFull none of them is in the log.
func (l *Log) Accept(messages ...*Message) error {
	var records []byte
	for _, m := range messages {
		records = appendRecord(records, record{Kind: recordAccept, ID: m.ID, Message: m}, m.Body)
	}
	if l.liveBytes+int64(len(records)) > l.limitShare(maxLiveRatio) {
		return ErrFull
	}
	if err := l.write(records); err != nil {
		return err
	}
	for _, m := range messages {
		l.add(m)
	}
	return nil
}

// RecordSends records attempts, all or none. It is called before the first byte of any of them leaves.
func (l *Log) RecordSends(sends ...Send) error {
	var records []byte
	for _, send := range sends {
		records = appendRecord(records, record{Kind: recordSend, ID: send.Message.ID, Attempt: &send.Attempt}, nil)
	}
	if err := l.write(records); err != nil {
		return err
	}
	for _, send := range sends {
		l.update(send.Message, func() { send.Message.addAttempt(send.Attempt) })
	}
	return nil
}

// RecordNotRun notes an outcome which proves that an attempt never ran. No other outcome needs a record: it would
// change nothing for the next process.
func (l *Log) RecordNotRun(m *Message, attempt int) {
	if l.live[m.ID] == nil {
		return
	}
	l.update(m, func() { m.removeAttempt(attempt) })
	l.addPending(record{Kind: recordNotRun, ID: m.ID, N: attempt})
}

// RecordFinal notes the final answer that will end m.
func (l *Log) RecordFinal(m *Message, answer FinalAnswer) {
	if l.live[m.ID] == nil {
		return
	}
	m.Final = &answer
	l.addPending(record{Kind: recordFinal, ID: m.ID, Final: &answer})
}

// RecordCancelled notes that the client of m waits for no answer. Until Remove the log keeps which attempts may have
// run.
func (l *Log) RecordCancelled(m *Message) {
	if l.live[m.ID] == nil {
		return
	}
	m.Cancelled = true
	l.addPending(record{Kind: recordCancelled, ID: m.ID})
}

// Remove notes that m is complete and need not be known any longer.
func (l *Log) Remove(m *Message) {
	if l.live[m.ID] == nil {
		return
	}
	l.remove(m)
	l.addPending(record{Kind: recordRemove, ID: m.ID})
}

func (l *Log) addPending(rec record) { l.pending = appendRecord(l.pending, rec, nil) }

// Flush writes what is pending. After an error it stays pending for the next write.
func (l *Log) Flush() error {
	if len(l.pending) == 0 {
		return nil
	}
	return l.write(nil)
}

// write appends the pending records and then others in one write. After an error only the others are given up.
func (l *Log) write(records []byte) error {
	data := slices.Concat(l.pending, records)
	if l.size+int64(len(data)) > l.limitShare(compactionRatio) {
		// A compaction writes the state that the pending records have led to, so they need not be written. If it
		// fails, there still is the room beyond compactionRatio.
		if err := l.compact(); err == nil {
			data = records
		}
	}
	if len(data) == 0 {
		return nil
	}
	if l.size+int64(len(data)) > l.limit-2*blockSize {
		return ErrFull
	}
	if _, err := l.file.WriteAt(data, l.size); err != nil {
		// A part may have been written: it must not stand before later records.
		return errors.Join(fmt.Errorf("legacylog: %w", err), l.file.Truncate(l.size))
	}
	l.size += int64(len(data))
	l.pending = l.pending[:0]
	return nil
}

// compact replaces the file with one that holds the live messages alone.
func (l *Log) compact() error {
	var records []byte
	for _, m := range l.messages() {
		records = appendRecord(records, record{Kind: recordAccept, ID: m.ID, Message: m}, m.Body)
	}
	if l.size+int64(len(records))+4*blockSize > l.limit {
		return ErrFull
	}
	file, err := l.replaceFile(records)
	if err != nil {
		return fmt.Errorf("legacylog: compact: %w", err)
	}
	_ = l.file.Close() // an error loses nothing: the new file holds all that counts
	l.file = file
	l.size = int64(len(records))
	l.pending = l.pending[:0]
	l.liveBytes = 0
	for _, m := range l.live {
		l.liveBytes += estimatedSize(m)
	}
	return nil
}

// replaceFile writes a new file and puts it in place of the log's. A crash leaves the one or the other, complete.
func (l *Log) replaceFile(data []byte) (*os.File, error) {
	temp := l.path(tempFileName)
	file, err := os.OpenFile(temp, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, err
	}
	_, err = file.Write(data)
	if err == nil {
		err = os.Rename(temp, l.path(fileName))
	}
	if err != nil {
		return nil, errors.Join(err, file.Close(), os.Remove(temp))
	}
	return file, nil
}

// limitShare returns a ratio of the limit in bytes.
func (l *Log) limitShare(ratio float64) int64 { return int64(ratio * float64(l.limit)) }

// messages returns the live messages in the order of their IDs, in which they were accepted.
func (l *Log) messages() []*Message {
	messages := make([]*Message, 0, len(l.live))
	for _, m := range l.live {
		messages = append(messages, m)
	}
	slices.SortFunc(messages, func(a, b *Message) int { return cmp.Compare(a.ID, b.ID) })
	return messages
}
