// Package wal is the relay's write-ahead log: what it has taken on, what it has sent, and what has ended, in
// one file of the folder that outlasts the process. What was written survives SIGKILL without a sync; only
// the machine's loss loses it, and then others take the work over. Times in it are wall time, since no
// process's own clock means anything to the next.
package legacylog

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// ErrFull tells that the log has no room for new work. Ends and outcomes still find room.
var ErrFull = errors.New("wal: no room for new work")

// Message is a message that was taken on, with what the log knows of its fate.
type Message struct {
	ID             uint32    `json:"ID"`    // the log's own number for it
	TraceID        string    `json:"Trace"` // the client's
	IdempotencyKey string    `json:"Key"`   // idempotency key; "" if none
	OrderingKey    string    `json:"Order"` // what it is about, in a class that keeps order; "" if none
	Class          int       `json:"Class"`
	ClassName      string    `json:"Service,omitempty"` // the class by its name: its number is that of one configuration; "" if not known
	Tenant         int       `json:"Customer"`
	Destination    int       `json:"Dest"`
	Deadline       time.Time `json:"Deadline"`
	Body           []byte    `json:"-"`

	Attempts          int          `json:"Attempts"` // sends so far
	UncertainAttempts []Attempt    `json:"MayRun"`   // those of them that have no outcome or one that does not prove that they never ran
	Final             *FinalAnswer `json:"Final"`    // the notice that ends it, once decided

	// Withdrawn tells that nothing is owed, since its client left without an answer. It may have run, and should it
	// be handed in once more, that must be known.
	Cancelled bool `json:"Withdrawn,omitempty"`
}

// Attempt is one send.
type Attempt struct {
	Number   int       `json:"N"`
	Endpoint string    `json:"Host"`
	Zone     int       `json:"Zone"`
	SentAt   time.Time `json:"At"`
}

// FinalAnswer is the notice that ends a message which was not delivered.
type FinalAnswer struct {
	Retryable  bool          `json:"Deferred"` // the client may safely come again
	RetryAfter time.Duration `json:"Again"`
}

// Send is an attempt about to be made, and whose.
type Send struct {
	Message *Message
	Attempt Attempt
}

// Recovery is what Open found.
type Recovery struct {
	Messages []*Message // unfinished, in the order in which they were taken on
	// Damaged tells that records before the last were unreadable: a message's sends may be missing from it.
	Damaged bool
}

// The kinds of record.
const (
	recordAccept byte = iota + 1
	recordSend
	recordNotRun
	recordFinal
	recordRemove
	recordCancelled
)

const (
	fileName     = "wal.log"
	tempFileName = "wal.tmp"

	magic         = 0xC7A1
	headerSize    = 10 // magic, length, checksum
	blockSize     = 512
	maxRecordSize = 1 << 20 // of a record: a message's is far smaller

	// Shares of the disk limit. While the log is compacted the old and the new file stand side by side, and
	// both must fit: maxLiveRatio + compactionRatio stays clear of 1 by more than a batch.
	maxLiveRatio    = 0.36
	compactionRatio = 0.5
)

// record is the readable part of every record; a body follows it raw.
type record struct {
	Kind    byte         `json:"Kind"`
	ID      uint32       `json:"ID"`
	Message *Message     `json:"Message,omitempty"`
	Attempt *Attempt     `json:"Attempt,omitempty"`
	N       int          `json:"N,omitempty"`
	Final   *FinalAnswer `json:"Final,omitempty"`
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	dir       string
	limit     int64 // bytes on disk
	file      *os.File
	size      int64 // of the file, all of it good
	live      map[uint32]*Message
	liveBytes int64  // that the live messages would take in a new file, about
	pending   []byte // outcomes and ends not yet written
}

// Open reads the log in dir, or begins one, that may take limit bytes of disk.
func Open(dir string, limit int64) (*Log, Recovery, error) {
	l := &Log{dir: dir, limit: limit, live: map[uint32]*Message{}}
	// A crash in mid-compaction leaves the old file whole and a part of the new one.
	if err := os.Remove(filepath.Join(dir, tempFileName)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, Recovery{}, fmt.Errorf("wal: %w", err)
	}
	path := filepath.Join(dir, fileName)
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, Recovery{}, fmt.Errorf("wal: %w", err)
	}
	good, damaged := l.replay(data)
	l.file, err = os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, Recovery{}, fmt.Errorf("wal: %w", err)
	}
	// What follows a torn record could not be told from it: the tail goes before anything is appended.
	if err := l.file.Truncate(good); err != nil {
		l.file.Close()
		return nil, Recovery{}, fmt.Errorf("wal: drop a torn tail: %w", err)
	}
	l.size = good
	return l, Recovery{Messages: l.messages(), Damaged: damaged}, nil
}

// Close writes what is noted and closes the file.
func (l *Log) Close() error { return errors.Join(l.Flush(), l.file.Close()) }

// Tracks tells whether m has no end yet.
func (l *Log) Tracks(m *Message) bool { return l.live[m.ID] != nil }

// Accept records that ms are taken on, all or none. With ErrFull nothing of them is in the log.
func (l *Log) Accept(ms ...*Message) error {
	var buf []byte
	for _, m := range ms {
		buf = appendRecord(buf, record{Kind: recordAccept, ID: m.ID, Message: m}, m.Body)
	}
	if l.liveBytes+int64(len(buf)) > l.limitShare(maxLiveRatio) {
		return ErrFull
	}
	if err := l.write(buf); err != nil {
		return err
	}
	for _, m := range ms {
		l.live[m.ID] = m
		l.liveBytes += estimatedSize(m)
	}
	return nil
}

// RecordSends records attempts before their first byte, all or none.
func (l *Log) RecordSends(sends ...Send) error {
	var buf []byte
	for _, s := range sends {
		buf = appendRecord(buf, record{Kind: recordSend, ID: s.Message.ID, Attempt: &s.Attempt}, nil)
	}
	if err := l.write(buf); err != nil {
		return err
	}
	for _, s := range sends {
		l.liveBytes -= estimatedSize(s.Message)
		s.Message.addAttempt(s.Attempt)
		l.liveBytes += estimatedSize(s.Message)
	}
	return nil
}

// RecordNotRun notes an outcome which proves that attempt n took no effect. Any other outcome changes nothing of
// what a restart has to go by.
func (l *Log) RecordNotRun(m *Message, n int) {
	if l.live[m.ID] == nil {
		return
	}
	l.liveBytes -= estimatedSize(m)
	m.removeAttempt(n)
	l.liveBytes += estimatedSize(m)
	l.pending = appendRecord(l.pending, record{Kind: recordNotRun, ID: m.ID, N: n}, nil)
}

// RecordFinal notes the notice that will end m.
func (l *Log) RecordFinal(m *Message, f FinalAnswer) {
	if l.live[m.ID] == nil {
		return
	}
	m.Final = &f
	l.pending = appendRecord(l.pending, record{Kind: recordFinal, ID: m.ID, Final: &f}, nil)
}

// RecordCancelled notes that nothing is owed for m but to remember what may have run, until End.
func (l *Log) RecordCancelled(m *Message) {
	if l.live[m.ID] == nil {
		return
	}
	m.Cancelled = true
	l.pending = appendRecord(l.pending, record{Kind: recordCancelled, ID: m.ID}, nil)
}

// Remove notes that nothing more is owed for m.
func (l *Log) Remove(m *Message) {
	if l.live[m.ID] == nil {
		return
	}
	delete(l.live, m.ID)
	l.liveBytes -= estimatedSize(m)
	l.pending = appendRecord(l.pending, record{Kind: recordRemove, ID: m.ID}, nil)
}

// Flush writes what is noted. After an error the notes are kept for the next write.
func (l *Log) Flush() error {
	if len(l.pending) == 0 {
		return nil
	}
	return l.write(nil)
}

// write appends the notes and buf in one write. Only buf is given up on an error.
func (l *Log) write(buf []byte) error {
	all := append(l.pending, buf...)
	if l.size+int64(len(all)) > l.limitShare(compactionRatio) {
		// The notes are in the state that a compaction writes, so they need no records of their own. Where it
		// fails, the room beyond the share is left.
		if err := l.compact(); err == nil {
			all = append(all[:0], buf...)
		}
	}
	if len(all) == 0 {
		return nil
	}
	if l.size+int64(len(all)) > l.limit-2*blockSize {
		return ErrFull
	}
	if _, err := l.file.WriteAt(all, l.size); err != nil {
		// A part may have been written: it must not stand before later records.
		return errors.Join(fmt.Errorf("wal: %w", err), l.file.Truncate(l.size))
	}
	l.size += int64(len(all))
	l.pending = l.pending[:0]
	return nil
}

// compact puts a file of the live messages alone in the place of the log.
func (l *Log) compact() error {
	var buf []byte
	for _, m := range l.messages() {
		buf = appendRecord(buf, record{Kind: recordAccept, ID: m.ID, Message: m}, m.Body)
	}
	if l.size+int64(len(buf))+4*blockSize > l.limit {
		return ErrFull
	}
	temp := filepath.Join(l.dir, tempFileName)
	f, err := os.OpenFile(temp, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("wal: compact: %w", err)
	}
	if _, err = f.Write(buf); err == nil {
		err = os.Rename(temp, filepath.Join(l.dir, fileName)) // a crash leaves the one or the other, whole
	}
	if err != nil {
		return errors.Join(fmt.Errorf("wal: compact: %w", err), f.Close(), os.Remove(temp))
	}
	l.file.Close()
	l.file, l.size, l.pending, l.liveBytes = f, int64(len(buf)), l.pending[:0], 0
	for _, m := range l.live {
		l.liveBytes += estimatedSize(m)
	}
	return nil
}

func (l *Log) limitShare(x float64) int64 { return int64(x * float64(l.limit)) }

// messages are the live ones in the order in which they were taken on.
func (l *Log) messages() []*Message {
	ms := make([]*Message, 0, len(l.live))
	for _, m := range l.live {
		ms = append(ms, m)
	}
	slices.SortFunc(ms, func(a, b *Message) int { return int(int64(a.ID) - int64(b.ID)) })
	return ms
}

// estimatedSize is about what m takes in a new file.
func estimatedSize(m *Message) int64 {
	n := 280 + len(m.Body) + len(m.TraceID) + len(m.IdempotencyKey) + len(m.OrderingKey)
	for _, a := range m.UncertainAttempts {
		n += 80 + len(a.Endpoint)
	}
	return int64(n)
}

func (m *Message) addAttempt(a Attempt) {
	m.Attempts = max(m.Attempts, a.Number+1)
	m.UncertainAttempts = append(m.UncertainAttempts, a)
}

func (m *Message) removeAttempt(n int) {
	m.UncertainAttempts = slices.DeleteFunc(m.UncertainAttempts, func(a Attempt) bool { return a.Number == n })
}

// replay applies the records in data. It passes over what it cannot read and returns the end of the last good
// record, and whether unreadable bytes stood before it.
func (l *Log) replay(data []byte) (good int64, damaged bool) {
	for at := 0; at < len(data); {
		rec, body, n := readRecord(data[at:])
		if n == 0 {
			at++ // look for the next record: a damaged one must not hide those behind it
			continue
		}
		if int64(at) != good {
			damaged = true
		}
		at += n
		good = int64(at)
		l.apply(rec, body)
	}
	return good, damaged
}

func (l *Log) apply(rec record, body []byte) {
	m := l.live[rec.ID]
	switch {
	case rec.Kind == recordAccept && rec.Message != nil:
		m = rec.Message
		m.ID, m.Body = rec.ID, slices.Clone(body)
		l.live[m.ID] = m
		l.liveBytes += estimatedSize(m)
		return
	case m == nil:
		return // its first record is unreadable
	}
	l.liveBytes -= estimatedSize(m)
	switch {
	case rec.Kind == recordSend && rec.Attempt != nil:
		m.addAttempt(*rec.Attempt)
	case rec.Kind == recordNotRun:
		m.removeAttempt(rec.N)
	case rec.Kind == recordFinal && rec.Final != nil:
		m.Final = rec.Final
	case rec.Kind == recordCancelled:
		m.Cancelled = true
	case rec.Kind == recordRemove:
		delete(l.live, m.ID)
		return
	}
	l.liveBytes += estimatedSize(m)
}

// appendRecord appends a record: magic, length, checksum, then the length of the readable part, that, and the
// body.
func appendRecord(buf []byte, rec record, body []byte) []byte {
	text, err := json.Marshal(rec)
	if err != nil {
		panic(err) // plain fields only: cannot fail
	}
	start := len(buf)
	buf = append(buf, make([]byte, headerSize)...)
	buf = binary.AppendUvarint(buf, uint64(len(text)))
	buf = append(buf, text...)
	buf = append(buf, body...)
	payload := buf[start+headerSize:]
	binary.LittleEndian.PutUint16(buf[start:], magic)
	binary.LittleEndian.PutUint32(buf[start+2:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(buf[start+6:], crc32.ChecksumIEEE(payload))
	return buf
}

// readRecord reads the record at the start of data; n is 0 if there is no whole one.
func readRecord(data []byte) (rec record, body []byte, n int) {
	if len(data) < headerSize || binary.LittleEndian.Uint16(data) != magic {
		return rec, nil, 0
	}
	size := int64(binary.LittleEndian.Uint32(data[2:]))
	if size > maxRecordSize || size > int64(len(data)-headerSize) {
		return rec, nil, 0
	}
	payload := data[headerSize : headerSize+size]
	if crc32.ChecksumIEEE(payload) != binary.LittleEndian.Uint32(data[6:]) {
		return rec, nil, 0
	}
	text, k := binary.Uvarint(payload)
	if k <= 0 || text > uint64(len(payload)-k) {
		return rec, nil, 0
	}
	payload = payload[k:]
	if json.Unmarshal(payload[:text], &rec) != nil {
		return rec, nil, 0
	}
	return rec, payload[text:], headerSize + int(size)
}
