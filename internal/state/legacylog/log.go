// Package legacylog implements the write-ahead log in which earlier versions of the program stored their messages.
// The journal has replaced it. The package remains in order to migrate the messages of such a version and to compare
// the log with the journal in benchmarks.
//
// The log is one file of records in the state folder; record.go defines the records. Written records survive SIGKILL
// without a sync. They do not survive the loss of the machine: other relays then take over the messages. Times in the
// log are wall times, since monotonic clock readings of one process have no meaning in the next.
package legacylog

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// ErrFull reports that the disk limit leaves no space for new messages. Attempts, outcomes and removals can still be
// written.
var ErrFull = errors.New("legacylog: no room for new messages")

const (
	fileName     = "wal.log"
	tempFileName = "wal.tmp" // the new file of a compaction
	blockSize    = 512       // unit of disk allocation, in bytes
)

// Shares of the disk limit. During a compaction the old file and the new one exist at the same time, and both must fit
// into the limit. The two shares add up to less than 1, and the difference is more than one write takes.
const (
	maxLiveRatio    = 0.36 // bound on the size of live messages; beyond it, new messages are rejected
	compactionRatio = 0.5  // bound on the size of the file; beyond it, the file is compacted
)

// Recovery is what Open read from the log.
type Recovery struct {
	Messages []*Message // messages that are not removed, sorted by ID, which is the order of acceptance
	// Damaged reports that bytes before the last complete record were unreadable: attempts of any message may be
	// missing.
	Damaged bool
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	dir       string
	limit     int64 // maximum size on disk, in bytes
	file      *os.File
	size      int64               // bytes of the file that hold complete records; the next write starts there
	live      map[uint32]*Message // accepted messages that are not removed, by ID
	liveBytes int64               // estimated size of the live messages in a compacted log
	pending   []byte              // encoded records that the next write includes
}

// Open opens the log in dir, or creates one there. limit is the maximum size on disk, in bytes.
func Open(dir string, limit int64) (*Log, Recovery, error) {
	l := &Log{dir: dir, limit: limit, live: map[uint32]*Message{}}
	damaged, err := l.open()
	if err != nil {
		return nil, Recovery{}, fmt.Errorf("legacylog: %w", err)
	}
	return l, Recovery{Messages: l.messages(), Damaged: damaged}, nil
}

// open reads the log file and opens it for appending.
func (l *Log) open() (damaged bool, err error) {
	// A crash during a compaction leaves the old file complete and may leave an incomplete new file.
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
	// Truncate after the last complete record: otherwise the next record would follow an incomplete one and could be
	// read as a part of it.
	if err := l.file.Truncate(l.size); err != nil {
		return false, errors.Join(fmt.Errorf("truncate after the last complete record: %w", err), l.file.Close())
	}
	return damaged, nil
}

func (l *Log) path(name string) string { return filepath.Join(l.dir, name) }

// Close writes the pending records and closes the file.
func (l *Log) Close() error { return errors.Join(l.Flush(), l.file.Close()) }

// Accept records messages as accepted, either all of them or none. After ErrFull none of them is in the log.
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

// RecordSends records attempts, either all of them or none. It must be called before the first byte of any of them is
// sent.
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

// RecordNotRun adds a pending record of an outcome that proves that an attempt never ran. Other outcomes need no
// record: the attempt stays uncertain after them, as it is without an outcome.
func (l *Log) RecordNotRun(m *Message, attempt int) {
	if l.live[m.ID] == nil {
		return
	}
	l.update(m, func() { m.removeAttempt(attempt) })
	l.addPending(record{Kind: recordNotRun, ID: m.ID, N: attempt})
}

// RecordFinal adds a pending record of the final answer of m.
func (l *Log) RecordFinal(m *Message, answer FinalAnswer) {
	if l.live[m.ID] == nil {
		return
	}
	m.Final = &answer
	l.addPending(record{Kind: recordFinal, ID: m.ID, Final: &answer})
}

// RecordCancelled adds a pending record that the client of m no longer waits for an answer. The log keeps the
// uncertain attempts of m until Remove.
func (l *Log) RecordCancelled(m *Message) {
	if l.live[m.ID] == nil {
		return
	}
	m.Cancelled = true
	l.addPending(record{Kind: recordCancelled, ID: m.ID})
}

// Remove drops m, which is complete, from the live messages and adds a pending record of its removal.
func (l *Log) Remove(m *Message) {
	if l.live[m.ID] == nil {
		return
	}
	l.remove(m)
	l.addPending(record{Kind: recordRemove, ID: m.ID})
}

func (l *Log) addPending(rec record) { l.pending = appendRecord(l.pending, rec, nil) }

// Flush writes the pending records. After an error they stay pending for the next write.
func (l *Log) Flush() error {
	if len(l.pending) == 0 {
		return nil
	}
	return l.write(nil)
}

// write appends the pending records and then the given records in one write. After an error the pending records stay
// pending and the given records are dropped.
func (l *Log) write(records []byte) error {
	data := slices.Concat(l.pending, records)
	if l.size+int64(len(data)) > l.limitShare(compactionRatio) {
		// The compacted file already includes the effect of the pending records, so they need not be written. If
		// compaction fails, the file may grow beyond compactionRatio, up to the disk limit.
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
		// A part of the data may have been written. It must not precede later records.
		return errors.Join(fmt.Errorf("legacylog: %w", err), l.file.Truncate(l.size))
	}
	l.size += int64(len(data))
	l.pending = l.pending[:0]
	return nil
}

// compact replaces the log file with one that holds only the live messages.
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
	_ = l.file.Close() // safe to ignore: the new file holds all live messages
	l.file = file
	l.size = int64(len(records))
	l.pending = l.pending[:0]
	l.liveBytes = 0
	for _, m := range l.live {
		l.liveBytes += estimatedSize(m)
	}
	return nil
}

// replaceFile writes a temporary file and renames it to the log file. After a crash of the process the log file is
// either the old file or the new one, and complete.
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

// limitShare returns a share of the disk limit in bytes.
func (l *Log) limitShare(ratio float64) int64 { return int64(ratio * float64(l.limit)) }

// messages returns the live messages sorted by ID, which is the order of acceptance.
func (l *Log) messages() []*Message {
	messages := make([]*Message, 0, len(l.live))
	for _, m := range l.live {
		messages = append(messages, m)
	}
	slices.SortFunc(messages, func(a, b *Message) int { return cmp.Compare(a.ID, b.ID) })
	return messages
}
