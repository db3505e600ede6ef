// Package store is a small embedded store for what must outlast a process: an append-only log in segments, an index of
// what lives in memory, compaction in bounded steps, and a recovery that says what it could not read. It knows nothing
// of who uses it. docs/design/store.md has the form on disk and the argument for each crash.
//
// A value is put and gets a key; small deltas are appended to it; it is deleted. A batch of these is one commit and one
// write. A Store is for one goroutine.
package store

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"
)

// Bounds, in bytes.
const (
	// MinLimit is the least that a store may be limited to.
	MinLimit     = 1 << 20
	leastSegment = 128 << 10
	mostSegment  = 16 << 20
	segments     = 16  // a limit is about so many segments
	fileUnit     = 512 // each file counts in whole ones of these
)

// Shares of the limit.
const (
	liveShare = 0.55 // puts are refused beyond this much that lives
	fullShare = 0.80 // and beyond this much on disk: the rest is for deltas, deletes and compaction
)

const (
	suffix   = ".seg"
	lockName = "lock"
)

// The errors of a Store.
var (
	// ErrFull tells that there is no room for new values. Deltas and deletes still find room.
	ErrFull = errors.New("store: no room for new values")
	// ErrNoRoom tells that not even deltas and deletes found room: the limit is too small for what lives, or the disk
	// is full.
	ErrNoRoom = errors.New("store: no room at all")
	// ErrTooLarge tells of a value that no segment could hold.
	ErrTooLarge = errors.New("store: value too large")
	// ErrNoKey tells of a key that is not alive.
	ErrNoKey = errors.New("store: no such key")
	// ErrClosed tells of a store that was closed.
	ErrClosed = errors.New("store: closed")
	// ErrReadOnly tells of a write to a store that was opened to be read.
	ErrReadOnly = errors.New("store: opened to be read only")
)

// SyncPolicy says what outlasts the loss of the machine. What was committed outlasts the process under each.
type SyncPolicy int

// The policies.
const (
	SyncNever    SyncPolicy = iota // what the system wrote out by itself
	SyncInterval                   // what was committed Options.Interval ago
	SyncCommit                     // all that was committed
)

// Options are those of a Store.
type Options struct {
	Limit    int64 // bytes on disk, MinLimit at least
	Sync     SyncPolicy
	Interval time.Duration // SyncInterval: default 1 s
	ReadOnly bool          // nothing is written, removed or locked
	// Now is the clock of SyncInterval; nil: time.Now.
	Now func() time.Time
}

// The kinds of record: the first byte, then fields as unsigned varints, then bytes.
const (
	recPut        byte = iota + 1 // value; its key is the record's own number
	recMovedPut                   // key, value
	recDelta                      // key, delta
	recMovedDelta                 // key, number that it had, delta
	recDelete                     // key, segment that held its put
	recDirectory                  // the segments that are there: see directory
	recGone                       // segment that is removed
)

// place is where a live value stands.
type place struct {
	segment uint32
	offset  uint32
	disk    uint32 // bytes that its frames take
	size    uint32 // of the value
	deltas  int32  // chain of its deltas in Store.deltas, from 1; 0: none
}

// delta is what is kept of one: where it stands, to count that segment's live bytes.
type delta struct {
	number        uint64 // of its record, before any move
	segment, disk uint32
	next          int32
}

// segment is one file.
type segment struct {
	number uint32
	header Header
	file   File
	size   int64             // good bytes
	onDisk int64             // bytes of the file, at the most
	end    uint64            // number behind its last record
	live   int64             // bytes of records that live
	tombs  map[uint32]uint32 // bytes of deletes in it, by the segment that held the put
	values int               // live values in it
}

// Store is an open store.
type Store struct {
	fs    FS
	opt   Options
	lock  io.Closer
	segs  []*segment // by number; the last is written to
	index map[uint64]place
	// deltas are the chains of all keys, free the first unused one of them.
	deltas []delta
	free   int32

	next    uint64 // number of the next record
	segSize int64
	live    int64 // bytes of all records that live
	disk    int64 // bytes of all files

	batch    Batch
	buf      []byte
	closed   bool
	open     bool // the last segment may be written to
	syncedAt time.Time
	unsynced bool

	rec, moved []byte  // scratch of records
	ends       []int64 // of the records of a write
	readBuf    []byte  // a stretch of segment readSeg from readAt on
	readSeg    uint32
	readAt     int64

	victim *segment // being compacted
	at     int64    // how far
	number uint64   // of the record there
	stats  Stats
	failed error // a write failed in a way that leaves its segment in doubt: a new one must be begun
	// toEnd are values of a batch that failed half-way: they stand on disk, and are ended before anything else.
	toEnd  []uint64
	endErr error
}

// Stats tell how a store fares.
type Stats struct {
	Live      int   // values
	LiveBytes int64 // that they and their deltas take
	DiskBytes int64
	Limit     int64
	Segments  int
	Committed int64 // bytes written by commits
	Copied    int64 // bytes written again by compaction
	Removed   int   // segments
	// RoomForValues is how many more bytes of new values fit as things stand; RoomForAll, of anything.
	RoomForValues, RoomForAll int64
}

// Stats tells how the store fares.
func (s *Store) Stats() Stats {
	st := s.stats
	st.Live, st.LiveBytes, st.DiskBytes, st.Limit, st.Segments = len(s.index), s.live, s.disk, s.opt.Limit, len(s.segs)
	st.RoomForValues = max(0, min(s.liveRoom(), int64(fullShare*float64(s.opt.Limit))-s.disk))
	st.RoomForAll = max(0, s.opt.Limit-s.reserved()-s.disk)
	return st
}

// deleteSize is what a delete takes at most: its frame, its kind and two numbers.
const deleteSize = frameHeader + 1 + 2*binary.MaxVarintLen64

// liveRoom is how much more may live: a delete for each value must find room, too.
func (s *Store) liveRoom() int64 {
	return int64(liveShare*float64(s.opt.Limit)) - s.live - int64(len(s.index))*deleteSize
}

// reserved is never used by anything: whole fileUnits, and the files' own count.
func (s *Store) reserved() int64 { return fileUnit * 4 }

// Batch is what one commit does. Its methods add to it; it must not be kept over Commit.
type Batch struct {
	s    *Store
	ops  []op
	data []byte // of all ops
	puts int
	err  error
}

type op struct {
	kind     byte
	key      uint64
	from, to int // of data
}

// Begin returns the store's batch, emptied.
func (s *Store) Begin() *Batch {
	if len(s.toEnd) > 0 {
		s.finish() // keys follow from what is written before them; where it fails Commit will, too
	}
	b := &s.batch
	b.s, b.ops, b.data, b.puts, b.err = s, b.ops[:0], b.data[:0], 0, nil
	return b
}

// Put adds a new value, made of parts, and returns the key that it will have once it is committed.
func (b *Batch) Put(parts ...[]byte) (key uint64) {
	key = b.s.next + uint64(len(b.ops))
	b.add(recPut, key, parts...)
	b.puts++
	return key
}

// Append adds a delta to a value, which may have been put in this batch.
func (b *Batch) Append(key uint64, delta []byte) { b.add(recDelta, key, delta) }

// Delete ends a value. A key that is not alive makes no error: it is ended.
func (b *Batch) Delete(key uint64) { b.add(recDelete, key) }

// Len is how many operations the batch holds.
func (b *Batch) Len() int { return len(b.ops) }

func (b *Batch) add(kind byte, key uint64, parts ...[]byte) {
	from := len(b.data)
	for _, p := range parts {
		b.data = append(b.data, p...)
	}
	if len(b.data)-from > b.s.mostValue() {
		b.err = fmt.Errorf("%w: %d bytes, %d at most", ErrTooLarge, len(b.data)-from, b.s.mostValue())
	}
	b.ops = append(b.ops, op{kind, key, from, len(b.data)})
}

// mostValue is how long a value or a delta may be.
func (s *Store) mostValue() int { return int(s.segSize) * 7 / 8 }

// Commit writes a batch, all of it or none. After ErrFull the same without puts may be committed; after any error the
// store holds what it held before, but for one case: of a batch longer than a segment whose first part was written and
// whose second could not be, deltas and deletes of the first part stand.
func (s *Store) Commit(b *Batch) error {
	switch {
	case b.err != nil:
		return b.err
	case s.opt.ReadOnly:
		return ErrReadOnly
	case s.closed:
		return ErrClosed // the lock is gone: another process may write
	case len(b.ops) == 0:
		return nil
	}
	if len(s.toEnd) > 0 {
		return fmt.Errorf("store: %d values of a batch that failed could not be ended yet: %w", len(s.toEnd), s.endErr)
	}
	known := func(o *op) bool { // in the index, or put in this batch
		_, ok := s.index[o.key]
		return ok || o.key >= s.next && o.key < s.next+uint64(len(b.ops))
	}
	for i := range b.ops {
		if o := &b.ops[i]; o.kind == recDelta && !known(o) {
			return fmt.Errorf("%w: %d", ErrNoKey, o.key)
		}
	}
	need := s.needs(b)
	if b.puts > 0 && (s.liveRoom() < need || s.disk+need > int64(fullShare*float64(s.opt.Limit))) {
		return ErrFull
	}
	for from := 0; from < len(b.ops); {
		to, err := s.writeSome(b, from)
		if err != nil {
			s.undo(b, from)
			return err
		}
		from = to
	}
	return s.sync()
}

// needs is what a batch takes on disk, at the most.
func (s *Store) needs(b *Batch) int64 {
	n := int64(0)
	for i := range b.ops {
		n += framed(int64(b.ops[i].to-b.ops[i].from) + 1 + 2*binary.MaxVarintLen64)
	}
	return n
}

// framed is what a record of n bytes takes, wherever it begins.
func framed(n int64) int64 {
	return n + frameHeader*(2+n/(BlockSize-frameHeader)) + frameHeader
}

// writeSome writes as many of a batch's operations as fit a segment, in one write, and notes what became of them.
func (s *Store) writeSome(b *Batch, from int) (to int, err error) {
	if err := s.ready(framed(int64(b.ops[from].to-b.ops[from].from) + 1 + 2*binary.MaxVarintLen64)); err != nil {
		return from, err
	}
	seg := s.segs[len(s.segs)-1]
	s.buf = s.buf[:0]
	number := s.next
	s.ends = s.ends[:0]
	for to = from; to < len(b.ops); to++ {
		o := &b.ops[to]
		at := seg.size + int64(len(s.buf))
		if to > from && at+framed(int64(o.to-o.from)+1+2*binary.MaxVarintLen64) > s.segSize {
			break
		}
		s.buf = s.appendOp(s.buf, seg, at, number, o, b)
		s.ends = append(s.ends, seg.size+int64(len(s.buf)))
		number++
	}
	if err := s.write(seg, s.buf); err != nil {
		return from, err
	}
	at := seg.size - int64(len(s.buf))
	for i := from; i < to; i++ {
		end := s.ends[i-from]
		s.note(seg, &b.ops[i], s.next, begins(at), end)
		s.next++
		at = end
	}
	seg.end = s.next
	s.stats.Committed += int64(len(s.buf))
	return to, nil
}

// begins is where a record's first frame stands that is written at an offset: not in a block's last bytes, where no
// frame header fits.
func begins(at int64) int64 {
	if room := BlockSize - at%BlockSize; room < frameHeader {
		return at + room
	}
	return at
}

// recordSize is what a record of n bytes takes at an offset.
func recordSize(at, n int64) int64 {
	from := at
	for first := true; first || n > 0; first = false {
		room := BlockSize - at%BlockSize
		if room < frameHeader {
			at += room
			room = BlockSize
		}
		k := min(room-frameHeader, n)
		at, n = at+frameHeader+k, n-k
	}
	return at - from
}

// head is an operation's record up to its bytes.
func (s *Store) head(b []byte, o *op) []byte {
	b = append(b, o.kind)
	switch o.kind {
	case recDelta:
		b = binary.AppendUvarint(b, o.key)
	case recDelete:
		b = binary.AppendUvarint(b, o.key)
		b = binary.AppendUvarint(b, uint64(s.index[o.key].segment))
	}
	return b
}

func (s *Store) appendOp(buf []byte, seg *segment, at int64, number uint64, o *op, b *Batch) []byte {
	s.rec = append(s.head(s.rec[:0], o), b.data[o.from:o.to]...)
	return AppendRecord(buf, seg.header.Epoch, at, number, s.rec)
}

// note takes an operation that was written into the index.
func (s *Store) note(seg *segment, o *op, number uint64, at, end int64) {
	disk := end - at
	switch o.kind {
	case recPut:
		s.index[o.key] = place{segment: seg.number, offset: uint32(at), disk: uint32(disk), size: uint32(o.to - o.from)}
		seg.values++
		s.lives(seg, disk)
	case recDelta:
		p, ok := s.index[o.key]
		if !ok {
			return
		}
		p.deltas = s.link(delta{number: number, segment: seg.number, disk: uint32(disk), next: p.deltas})
		s.index[o.key] = p
		s.lives(seg, disk)
	case recDelete:
		p, ok := s.index[o.key]
		if !ok {
			return
		}
		s.end(o.key, p)
		if s.segment(p.segment) != nil {
			seg.tombs[p.segment] += uint32(disk)
			s.lives(seg, disk)
		}
	}
}

func (s *Store) lives(seg *segment, n int64) {
	seg.live += n
	s.live += n
}

// end takes a value and its deltas out of the index.
func (s *Store) end(key uint64, p place) {
	delete(s.index, key)
	if seg := s.segment(p.segment); seg != nil {
		s.lives(seg, -int64(p.disk))
		seg.values--
	}
	for i := p.deltas; i != 0; {
		d := &s.deltas[i-1]
		if seg := s.segment(d.segment); seg != nil {
			s.lives(seg, -int64(d.disk))
		}
		next := d.next
		d.next, s.free = s.free, i
		i = next
	}
}

// link puts a delta into a free place and returns its number.
func (s *Store) link(d delta) int32 {
	if i := s.free; i != 0 {
		s.free = s.deltas[i-1].next
		s.deltas[i-1] = d
		return i
	}
	s.deltas = append(s.deltas, d)
	return int32(len(s.deltas))
}

// segment finds one by its number; nil if it is gone.
func (s *Store) segment(number uint32) *segment {
	i, ok := slices.BinarySearchFunc(s.segs, number, func(g *segment, n uint32) int { return cmp.Compare(g.number, n) })
	if !ok {
		return nil
	}
	return s.segs[i]
}

// undo notes what the first part of a batch put into earlier segments, when a later part could not be written.
func (s *Store) undo(b *Batch, done int) {
	for i := range b.ops[:done] {
		if o := &b.ops[i]; o.kind == recPut {
			s.toEnd = append(s.toEnd, o.key)
		}
	}
}

// finish ends the values that undo noted, each in a write of its own.
func (s *Store) finish() {
	for len(s.toEnd) > 0 {
		key := s.toEnd[len(s.toEnd)-1]
		if _, ok := s.index[key]; ok {
			b := Batch{s: s, ops: []op{{kind: recDelete, key: key}}}
			if _, err := s.writeSome(&b, 0); err != nil {
				s.endErr = err
				return
			}
		}
		s.toEnd = s.toEnd[:len(s.toEnd)-1]
	}
}

// write appends data to a segment in one write.
func (s *Store) write(seg *segment, data []byte) error {
	grown := units(max(seg.onDisk, seg.size+int64(len(data)))) - units(seg.onDisk)
	if s.disk+grown > s.opt.Limit-s.reserved() {
		return ErrNoRoom
	}
	n, err := seg.file.WriteAt(data, seg.size)
	if err == nil && n < len(data) {
		err = io.ErrShortWrite
	}
	if err != nil {
		// A part may stand there. What it is must not be read as written, by this process or the next.
		if cut := seg.file.Truncate(seg.size); cut != nil {
			s.failed = cmp.Or(s.failed, cut)
			s.grow(seg, seg.size+int64(n))
		}
		return fmt.Errorf("store: write: %w", err)
	}
	s.grow(seg, seg.size+int64(len(data)))
	seg.size += int64(len(data))
	s.unsynced = true
	return nil
}

func units(n int64) int64 { return (n + fileUnit - 1) / fileUnit * fileUnit }

// grow notes how long a segment's file is.
func (s *Store) grow(seg *segment, size int64) {
	if size > seg.onDisk {
		s.disk += units(size) - units(seg.onDisk)
		seg.onDisk = size
	}
}

// ready sees to it that the last segment has room for n bytes.
func (s *Store) ready(n int64) error {
	if s.open && s.failed == nil && s.segs[len(s.segs)-1].size+n <= s.segSize {
		return nil
	}
	return s.roll()
}

// roll begins a new segment. Its first record names all that are there, and how far each goes: what stands behind that
// in one of them was never acknowledged.
func (s *Store) roll() error {
	number := uint32(1)
	if n := len(s.segs); n > 0 {
		number = s.segs[n-1].number + 1
	}
	h := Header{Format: Format, Epoch: rand.Uint64(), Segment: uint64(number), First: s.next}
	data := h.Append(nil)
	// it counts for none: keys are not moved by it
	data = AppendRecord(data, h.Epoch, HeaderSize, s.next-1, s.directory(number))
	if s.disk+units(int64(len(data))) > s.opt.Limit-s.reserved() {
		return ErrNoRoom
	}
	name := segmentName(number)
	file, err := s.fs.Open(name, true)
	if errors.Is(err, os.ErrExist) {
		// Left by a roll that failed half-way: nothing refers to it.
		if err = s.fs.Remove(name); err == nil {
			file, err = s.fs.Open(name, true)
		}
	}
	if err != nil {
		return fmt.Errorf("store: new segment: %w", err)
	}
	if n, err := file.WriteAt(data, 0); err != nil || n < len(data) {
		return errors.Join(
			fmt.Errorf("store: new segment: %w", cmp.Or(err, io.ErrShortWrite)),
			file.Close(),
			s.fs.Remove(name),
		)
	}
	if s.opt.Sync != SyncNever {
		if n := len(s.segs); n > 0 && s.unsynced {
			err = s.segs[n-1].file.Sync()
		}
		if err := errors.Join(err, s.fs.Sync()); err != nil {
			return errors.Join(fmt.Errorf("store: new segment: %w", err), file.Close(), s.fs.Remove(name))
		}
	}
	seg := &segment{
		number: number,
		header: h,
		file:   file,
		size:   int64(len(data)),
		tombs:  map[uint32]uint32{},
		end:    s.next,
	}
	s.segs = append(s.segs, seg)
	s.grow(seg, seg.size)
	s.open, s.failed, s.unsynced = true, nil, true
	return nil
}

// directory is the record of that name: for each segment its number, the number of its first record and the one behind
// its last. It includes the segment that it stands in, whose end is not told: 0.
func (s *Store) directory(number uint32) []byte {
	b := []byte{recDirectory}
	for _, g := range s.segs {
		b = binary.AppendUvarint(b, uint64(g.number))
		b = binary.AppendUvarint(b, g.header.First)
		b = binary.AppendUvarint(b, g.end)
	}
	for _, x := range []uint64{uint64(number), s.next, 0} {
		b = binary.AppendUvarint(b, x)
	}
	return b
}

func segmentName(number uint32) string { return fmt.Sprintf("%08x%s", number, suffix) }

func parseName(name string) (number uint32, ok bool) {
	text, ok := strings.CutSuffix(name, suffix)
	if !ok || len(text) != 8 {
		return 0, false
	}
	_, err := fmt.Sscanf(text, "%08x", &number)
	return number, err == nil && segmentName(number) == name
}

// sync makes commits outlast the machine, as the policy asks.
func (s *Store) sync() error {
	switch s.opt.Sync {
	case SyncNever:
		return nil
	case SyncInterval:
		now := s.opt.Now()
		if since := now.Sub(s.syncedAt); since >= 0 && since < s.opt.Interval { // a clock set back syncs at once
			return nil
		}
		s.syncedAt = now
	}
	if !s.unsynced || len(s.segs) == 0 {
		return nil
	}
	if err := s.segs[len(s.segs)-1].file.Sync(); err != nil {
		return fmt.Errorf("store: sync: %w", err)
	}
	s.unsynced = false
	return nil
}

// Get appends a value to buf, as it was put, without its deltas.
func (s *Store) Get(key uint64, buf []byte) ([]byte, error) {
	p, ok := s.index[key]
	if !ok {
		return buf, fmt.Errorf("%w: %d", ErrNoKey, key)
	}
	return s.read(p, buf)
}

func (s *Store) read(p place, buf []byte) ([]byte, error) {
	seg := s.segment(p.segment)
	data := make([]byte, p.disk)
	if _, err := seg.file.ReadAt(data, int64(p.offset)); err != nil {
		return buf, fmt.Errorf("store: read: %w", err)
	}
	record, err := joined(seg.header.Epoch, int64(p.offset), data)
	if err != nil || int(p.size) > len(record) {
		return buf, fmt.Errorf("store: segment %d, offset %d: %w", p.segment, p.offset, cmp.Or(err, ErrDamaged))
	}
	return append(buf, record[len(record)-int(p.size):]...), nil
}

// joined is the record whose frames data are.
func joined(epoch uint64, at int64, data []byte) ([]byte, error) {
	var record []byte
	for len(data) > 0 {
		if room := BlockSize - at%BlockSize; room < frameHeader {
			if int64(len(data)) < room {
				return nil, ErrDamaged
			}
			at, data = at+room, data[room:]
			continue
		}
		frame, ok := readFrame(epoch, at, data[:min(int64(len(data)), BlockSize-at%BlockSize)])
		if !ok {
			return nil, ErrDamaged
		}
		record = append(record, frame[frameHeader:]...)
		at, data = at+int64(len(frame)), data[len(frame):]
	}
	return record, nil
}

// Close closes the store. What was committed is there for the next process, or the machine's next start, as the policy
// says.
func (s *Store) Close() error {
	if s.closed {
		return ErrClosed
	}
	s.closed = true
	var errs []error
	if s.opt.Sync != SyncNever && s.unsynced && len(s.segs) > 0 {
		errs = append(errs, s.segs[len(s.segs)-1].file.Sync())
	}
	for _, g := range s.segs {
		errs = append(errs, g.file.Close())
	}
	if s.lock != nil {
		errs = append(errs, s.lock.Close())
	}
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("store: close: %w", err)
	}
	return nil
}
