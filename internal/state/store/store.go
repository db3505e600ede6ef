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
	MinLimit         = 1 << 20
	minSegmentSize   = 128 << 10
	maxSegmentSize   = 16 << 20
	segmentsPerLimit = 16  // a limit is about so many segments
	allocationUnit   = 512 // each file counts in whole ones of these
)

// Shares of the limit.
const (
	maxLiveRatio    = 0.55 // puts are refused beyond this much that lives
	maxPutDiskRatio = 0.80 // and beyond this much on disk: the rest is for deltas, deletes and compaction
)

const (
	segmentSuffix = ".seg"
	lockFileName  = "lock"
)

// The errors of a Store.
var (
	// ErrFull tells that there is no room for new values. Deltas and deletes still find room.
	ErrFull = errors.New("store: no room for new values")
	// ErrNoSpace tells that not even deltas and deletes found room: the limit is too small for what lives, or the disk
	// is full.
	ErrNoSpace = errors.New("store: no room at all")
	// ErrTooLarge tells of a value that no segment could hold.
	ErrTooLarge = errors.New("store: value too large")
	// ErrKeyNotFound tells of a key that is not alive.
	ErrKeyNotFound = errors.New("store: no such key")
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
	kindPut        byte = iota + 1 // value; its key is the record's own number
	kindMovedPut                   // key, value
	kindDelta                      // key, delta
	kindMovedDelta                 // key, number that it had, delta
	kindDelete                     // key, segment that held its put
	kindDirectory                  // the segments that are there: see directory
	kindRemoved                    // segment that is removed
)

// valueLocation is where a live value stands.
type valueLocation struct {
	segment     uint32
	offset      uint32
	diskSize    uint32 // bytes that its frames take
	size        uint32 // of the value
	newestDelta int32  // chain of its deltas in Store.deltas, from 1; 0: none
}

// deltaEntry is what is kept of one: where it stands, to count that segment's live bytes.
type deltaEntry struct {
	number            uint64 // of its record, before any move
	segment, diskSize uint32
	next              int32
}

// segment is one file.
type segment struct {
	number     uint32
	header     Header
	file       File
	size       int64             // good bytes
	fileSize   int64             // bytes of the file, at the most
	nextNumber uint64            // number behind its last record
	liveBytes  int64             // bytes of records that live
	tombstones map[uint32]uint32 // bytes of deletes in it, by the segment that held the put
	values     int               // live values in it
}

// Store is an open store.
type Store struct {
	fs       FS
	options  Options
	lock     io.Closer
	segments []*segment // by number; the last is written to
	index    map[uint64]valueLocation
	// deltas are the chains of all keys, free the first unused one of them.
	deltas    []deltaEntry
	freeDelta int32

	nextNumber  uint64 // number of the next record
	segmentSize int64
	liveBytes   int64 // bytes of all records that live
	diskBytes   int64 // bytes of all files

	batch      Batch
	writeBuf   []byte
	closed     bool
	appendable bool // the last segment may be written to
	syncedAt   time.Time
	unsynced   bool

	recordBuf, moveBuf []byte  // scratch of records
	recordEnds         []int64 // of the records of a write
	readBuf            []byte  // a stretch of segment readSegment from readOffset on
	readSegment        uint32
	readOffset         int64

	compacting    *segment // being compacted
	compactOffset int64    // how far
	compactNumber uint64   // of the record there
	stats         Stats
	truncateErr   error // a write failed in a way that leaves its segment in doubt: a new one must be begun
	// pendingDeletes are values of a batch that failed half-way: they stand on disk, and are ended before anything else.
	pendingDeletes   []uint64
	pendingDeleteErr error
}

// Stats tell how a store fares.
type Stats struct {
	LiveValues      int   // values
	LiveBytes       int64 // that they and their deltas take
	DiskBytes       int64
	Limit           int64
	SegmentCount    int
	CommittedBytes  int64 // bytes written by commits
	CompactedBytes  int64 // bytes written again by compaction
	RemovedSegments int   // segments
	// AvailableForValues is how many more bytes of new values fit as things stand; AvailableBytes, of anything.
	AvailableForValues, AvailableBytes int64
}

// Stats tells how the store fares.
func (s *Store) Stats() Stats {
	st := s.stats
	st.LiveValues, st.LiveBytes, st.DiskBytes, st.Limit, st.SegmentCount = len(s.index), s.liveBytes, s.diskBytes, s.options.Limit, len(s.segments)
	st.AvailableForValues = max(0, min(s.availableLiveBytes(), int64(maxPutDiskRatio*float64(s.options.Limit))-s.diskBytes))
	st.AvailableBytes = max(0, s.options.Limit-s.reservedBytes()-s.diskBytes)
	return st
}

// maxDeleteSize is what a delete takes at most: its frame, its kind and two numbers.
const maxDeleteSize = frameHeaderSize + 1 + 2*binary.MaxVarintLen64

// availableLiveBytes is how much more may live: a delete for each value must find room, too.
func (s *Store) availableLiveBytes() int64 {
	return int64(maxLiveRatio*float64(s.options.Limit)) - s.liveBytes - int64(len(s.index))*maxDeleteSize
}

// reservedBytes is never used by anything: whole fileUnits, and the files' own count.
func (s *Store) reservedBytes() int64 { return allocationUnit * 4 }

// Batch is what one commit does. Its methods add to it; it must not be kept over Commit.
type Batch struct {
	store    *Store
	ops      []op
	data     []byte // of all ops
	putCount int
	err      error
}

type op struct {
	kind     byte
	key      uint64
	from, to int // of data
}

// Begin returns the store's batch, emptied.
func (s *Store) Begin() *Batch {
	if len(s.pendingDeletes) > 0 {
		s.applyPendingDeletes() // keys follow from what is written before them; where it fails Commit will, too
	}
	b := &s.batch
	b.store, b.ops, b.data, b.putCount, b.err = s, b.ops[:0], b.data[:0], 0, nil
	return b
}

// Put adds a new value, made of parts, and returns the key that it will have once it is committed.
func (b *Batch) Put(parts ...[]byte) (key uint64) {
	key = b.store.nextNumber + uint64(len(b.ops))
	b.add(kindPut, key, parts...)
	b.putCount++
	return key
}

// Append adds a delta to a value, which may have been put in this batch.
func (b *Batch) Append(key uint64, delta []byte) { b.add(kindDelta, key, delta) }

// Delete ends a value. A key that is not alive makes no error: it is ended.
func (b *Batch) Delete(key uint64) { b.add(kindDelete, key) }

// Len is how many operations the batch holds.
func (b *Batch) Len() int { return len(b.ops) }

func (b *Batch) add(kind byte, key uint64, parts ...[]byte) {
	from := len(b.data)
	for _, p := range parts {
		b.data = append(b.data, p...)
	}
	if len(b.data)-from > b.store.maxValueSize() {
		b.err = fmt.Errorf("%w: %d bytes, %d at most", ErrTooLarge, len(b.data)-from, b.store.maxValueSize())
	}
	b.ops = append(b.ops, op{kind, key, from, len(b.data)})
}

// maxValueSize is how long a value or a delta may be.
func (s *Store) maxValueSize() int { return int(s.segmentSize) * 7 / 8 }

// Commit writes a batch, all of it or none. After ErrFull the same without puts may be committed; after any error the
// store holds what it held before, but for one case: of a batch longer than a segment whose first part was written and
// whose second could not be, deltas and deletes of the first part stand.
func (s *Store) Commit(b *Batch) error {
	switch {
	case b.err != nil:
		return b.err
	case s.options.ReadOnly:
		return ErrReadOnly
	case s.closed:
		return ErrClosed // the lock is gone: another process may write
	case len(b.ops) == 0:
		return nil
	}
	if len(s.pendingDeletes) > 0 {
		return fmt.Errorf("store: %d values of a batch that failed could not be ended yet: %w", len(s.pendingDeletes), s.pendingDeleteErr)
	}
	known := func(o *op) bool { // in the index, or put in this batch
		_, ok := s.index[o.key]
		return ok || o.key >= s.nextNumber && o.key < s.nextNumber+uint64(len(b.ops))
	}
	for i := range b.ops {
		if o := &b.ops[i]; o.kind == kindDelta && !known(o) {
			return fmt.Errorf("%w: %d", ErrKeyNotFound, o.key)
		}
	}
	need := s.maxBatchSize(b)
	if b.putCount > 0 && (s.availableLiveBytes() < need || s.diskBytes+need > int64(maxPutDiskRatio*float64(s.options.Limit))) {
		return ErrFull
	}
	for from := 0; from < len(b.ops); {
		to, err := s.writeOps(b, from)
		if err != nil {
			s.scheduleDeletes(b, from)
			return err
		}
		from = to
	}
	return s.syncCommit()
}

// maxBatchSize is what a batch takes on disk, at the most.
func (s *Store) maxBatchSize(b *Batch) int64 {
	n := int64(0)
	for i := range b.ops {
		n += maxFramedSize(int64(b.ops[i].to-b.ops[i].from) + 1 + 2*binary.MaxVarintLen64)
	}
	return n
}

// maxFramedSize is what a record of n bytes takes, wherever it begins.
func maxFramedSize(n int64) int64 {
	return n + frameHeaderSize*(2+n/(BlockSize-frameHeaderSize)) + frameHeaderSize
}

// writeOps writes as many of a batch's operations as fit a segment, in one write, and notes what became of them.
func (s *Store) writeOps(b *Batch, from int) (to int, err error) {
	if err := s.ensureSpace(maxFramedSize(int64(b.ops[from].to-b.ops[from].from) + 1 + 2*binary.MaxVarintLen64)); err != nil {
		return from, err
	}
	seg := s.segments[len(s.segments)-1]
	s.writeBuf = s.writeBuf[:0]
	number := s.nextNumber
	s.recordEnds = s.recordEnds[:0]
	for to = from; to < len(b.ops); to++ {
		o := &b.ops[to]
		at := seg.size + int64(len(s.writeBuf))
		if to > from && at+maxFramedSize(int64(o.to-o.from)+1+2*binary.MaxVarintLen64) > s.segmentSize {
			break
		}
		s.writeBuf = s.appendOp(s.writeBuf, seg, at, number, o, b)
		s.recordEnds = append(s.recordEnds, seg.size+int64(len(s.writeBuf)))
		number++
	}
	if err := s.appendToSegment(seg, s.writeBuf); err != nil {
		return from, err
	}
	at := seg.size - int64(len(s.writeBuf))
	for i := from; i < to; i++ {
		end := s.recordEnds[i-from]
		s.applyOp(seg, &b.ops[i], s.nextNumber, frameOffset(at), end)
		s.nextNumber++
		at = end
	}
	seg.nextNumber = s.nextNumber
	s.stats.CommittedBytes += int64(len(s.writeBuf))
	return to, nil
}

// frameOffset is where a record's first frame stands that is written at an offset: not in a block's last bytes, where no
// frame header fits.
func frameOffset(at int64) int64 {
	if room := BlockSize - at%BlockSize; room < frameHeaderSize {
		return at + room
	}
	return at
}

// framedSize is what a record of n bytes takes at an offset.
func framedSize(at, n int64) int64 {
	from := at
	for first := true; first || n > 0; first = false {
		room := BlockSize - at%BlockSize
		if room < frameHeaderSize {
			at += room
			room = BlockSize
		}
		k := min(room-frameHeaderSize, n)
		at, n = at+frameHeaderSize+k, n-k
	}
	return at - from
}

// appendOpHeader is an operation's record up to its bytes.
func (s *Store) appendOpHeader(b []byte, o *op) []byte {
	b = append(b, o.kind)
	switch o.kind {
	case kindDelta:
		b = binary.AppendUvarint(b, o.key)
	case kindDelete:
		b = binary.AppendUvarint(b, o.key)
		b = binary.AppendUvarint(b, uint64(s.index[o.key].segment))
	}
	return b
}

func (s *Store) appendOp(buf []byte, seg *segment, at int64, number uint64, o *op, b *Batch) []byte {
	s.recordBuf = append(s.appendOpHeader(s.recordBuf[:0], o), b.data[o.from:o.to]...)
	return AppendRecord(buf, seg.header.Epoch, at, number, s.recordBuf)
}

// applyOp takes an operation that was written into the index.
func (s *Store) applyOp(seg *segment, o *op, number uint64, at, end int64) {
	disk := end - at
	switch o.kind {
	case kindPut:
		s.index[o.key] = valueLocation{segment: seg.number, offset: uint32(at), diskSize: uint32(disk), size: uint32(o.to - o.from)}
		seg.values++
		s.addLiveBytes(seg, disk)
	case kindDelta:
		p, ok := s.index[o.key]
		if !ok {
			return
		}
		p.newestDelta = s.addDelta(deltaEntry{number: number, segment: seg.number, diskSize: uint32(disk), next: p.newestDelta})
		s.index[o.key] = p
		s.addLiveBytes(seg, disk)
	case kindDelete:
		p, ok := s.index[o.key]
		if !ok {
			return
		}
		s.removeValue(o.key, p)
		if s.findSegment(p.segment) != nil {
			seg.tombstones[p.segment] += uint32(disk)
			s.addLiveBytes(seg, disk)
		}
	}
}

func (s *Store) addLiveBytes(seg *segment, n int64) {
	seg.liveBytes += n
	s.liveBytes += n
}

// removeValue takes a value and its deltas out of the index.
func (s *Store) removeValue(key uint64, p valueLocation) {
	delete(s.index, key)
	if seg := s.findSegment(p.segment); seg != nil {
		s.addLiveBytes(seg, -int64(p.diskSize))
		seg.values--
	}
	for i := p.newestDelta; i != 0; {
		d := &s.deltas[i-1]
		if seg := s.findSegment(d.segment); seg != nil {
			s.addLiveBytes(seg, -int64(d.diskSize))
		}
		next := d.next
		d.next, s.freeDelta = s.freeDelta, i
		i = next
	}
}

// addDelta puts a delta into a free place and returns its number.
func (s *Store) addDelta(d deltaEntry) int32 {
	if i := s.freeDelta; i != 0 {
		s.freeDelta = s.deltas[i-1].next
		s.deltas[i-1] = d
		return i
	}
	s.deltas = append(s.deltas, d)
	return int32(len(s.deltas))
}

// findSegment finds one by its number; nil if it is gone.
func (s *Store) findSegment(number uint32) *segment {
	i, ok := slices.BinarySearchFunc(s.segments, number, func(g *segment, n uint32) int { return cmp.Compare(g.number, n) })
	if !ok {
		return nil
	}
	return s.segments[i]
}

// scheduleDeletes notes what the first part of a batch put into earlier segments, when a later part could not be written.
func (s *Store) scheduleDeletes(b *Batch, done int) {
	for i := range b.ops[:done] {
		if o := &b.ops[i]; o.kind == kindPut {
			s.pendingDeletes = append(s.pendingDeletes, o.key)
		}
	}
}

// applyPendingDeletes ends the values that undo noted, each in a write of its own.
func (s *Store) applyPendingDeletes() {
	for len(s.pendingDeletes) > 0 {
		key := s.pendingDeletes[len(s.pendingDeletes)-1]
		if _, ok := s.index[key]; ok {
			b := Batch{store: s, ops: []op{{kind: kindDelete, key: key}}}
			if _, err := s.writeOps(&b, 0); err != nil {
				s.pendingDeleteErr = err
				return
			}
		}
		s.pendingDeletes = s.pendingDeletes[:len(s.pendingDeletes)-1]
	}
}

// appendToSegment appends data to a segment in one write.
func (s *Store) appendToSegment(seg *segment, data []byte) error {
	grown := roundToUnits(max(seg.fileSize, seg.size+int64(len(data)))) - roundToUnits(seg.fileSize)
	if s.diskBytes+grown > s.options.Limit-s.reservedBytes() {
		return ErrNoSpace
	}
	n, err := seg.file.WriteAt(data, seg.size)
	if err == nil && n < len(data) {
		err = io.ErrShortWrite
	}
	if err != nil {
		// A part may stand there. What it is must not be read as written, by this process or the next.
		if cut := seg.file.Truncate(seg.size); cut != nil {
			s.truncateErr = cmp.Or(s.truncateErr, cut)
			s.recordFileSize(seg, seg.size+int64(n))
		}
		return fmt.Errorf("store: write: %w", err)
	}
	s.recordFileSize(seg, seg.size+int64(len(data)))
	seg.size += int64(len(data))
	s.unsynced = true
	return nil
}

func roundToUnits(n int64) int64 { return (n + allocationUnit - 1) / allocationUnit * allocationUnit }

// recordFileSize notes how long a segment's file is.
func (s *Store) recordFileSize(seg *segment, size int64) {
	if size > seg.fileSize {
		s.diskBytes += roundToUnits(size) - roundToUnits(seg.fileSize)
		seg.fileSize = size
	}
}

// ensureSpace sees to it that the last segment has room for n bytes.
func (s *Store) ensureSpace(n int64) error {
	if s.appendable && s.truncateErr == nil && s.segments[len(s.segments)-1].size+n <= s.segmentSize {
		return nil
	}
	return s.rollSegment()
}

// rollSegment begins a new segment. Its first record names all that are there, and how far each goes: what stands behind that
// in one of them was never acknowledged.
func (s *Store) rollSegment() error {
	number := uint32(1)
	if n := len(s.segments); n > 0 {
		number = s.segments[n-1].number + 1
	}
	h := Header{Format: Format, Epoch: rand.Uint64(), Segment: uint64(number), FirstRecord: s.nextNumber}
	data := h.Append(nil)
	// it counts for none: keys are not moved by it
	data = AppendRecord(data, h.Epoch, HeaderSize, s.nextNumber-1, s.directoryRecord(number))
	if s.diskBytes+roundToUnits(int64(len(data))) > s.options.Limit-s.reservedBytes() {
		return ErrNoSpace
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
	if s.options.Sync != SyncNever {
		if n := len(s.segments); n > 0 && s.unsynced {
			err = s.segments[n-1].file.Sync()
		}
		if err := errors.Join(err, s.fs.Sync()); err != nil {
			return errors.Join(fmt.Errorf("store: new segment: %w", err), file.Close(), s.fs.Remove(name))
		}
	}
	seg := &segment{
		number:     number,
		header:     h,
		file:       file,
		size:       int64(len(data)),
		tombstones: map[uint32]uint32{},
		nextNumber: s.nextNumber,
	}
	s.segments = append(s.segments, seg)
	s.recordFileSize(seg, seg.size)
	s.appendable, s.truncateErr, s.unsynced = true, nil, true
	return nil
}

// directoryRecord is the record of that name: for each segment its number, the number of its first record and the one behind
// its last. It includes the segment that it stands in, whose end is not told: 0.
func (s *Store) directoryRecord(number uint32) []byte {
	b := []byte{kindDirectory}
	for _, g := range s.segments {
		b = binary.AppendUvarint(b, uint64(g.number))
		b = binary.AppendUvarint(b, g.header.FirstRecord)
		b = binary.AppendUvarint(b, g.nextNumber)
	}
	for _, x := range []uint64{uint64(number), s.nextNumber, 0} {
		b = binary.AppendUvarint(b, x)
	}
	return b
}

func segmentName(number uint32) string { return fmt.Sprintf("%08x%s", number, segmentSuffix) }

func parseSegmentName(name string) (number uint32, ok bool) {
	text, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok || len(text) != 8 {
		return 0, false
	}
	_, err := fmt.Sscanf(text, "%08x", &number)
	return number, err == nil && segmentName(number) == name
}

// syncCommit makes commits outlast the machine, as the policy asks.
func (s *Store) syncCommit() error {
	switch s.options.Sync {
	case SyncNever:
		return nil
	case SyncInterval:
		now := s.options.Now()
		if since := now.Sub(s.syncedAt); since >= 0 && since < s.options.Interval { // a clock set back syncs at once
			return nil
		}
		s.syncedAt = now
	}
	if !s.unsynced || len(s.segments) == 0 {
		return nil
	}
	if err := s.segments[len(s.segments)-1].file.Sync(); err != nil {
		return fmt.Errorf("store: sync: %w", err)
	}
	s.unsynced = false
	return nil
}

// Get appends a value to buf, as it was put, without its deltas.
func (s *Store) Get(key uint64, buf []byte) ([]byte, error) {
	p, ok := s.index[key]
	if !ok {
		return buf, fmt.Errorf("%w: %d", ErrKeyNotFound, key)
	}
	return s.readValue(p, buf)
}

func (s *Store) readValue(p valueLocation, buf []byte) ([]byte, error) {
	seg := s.findSegment(p.segment)
	data := make([]byte, p.diskSize)
	if _, err := seg.file.ReadAt(data, int64(p.offset)); err != nil {
		return buf, fmt.Errorf("store: read: %w", err)
	}
	record, err := joinFrames(seg.header.Epoch, int64(p.offset), data)
	if err != nil || int(p.size) > len(record) {
		return buf, fmt.Errorf("store: segment %d, offset %d: %w", p.segment, p.offset, cmp.Or(err, ErrDamaged))
	}
	return append(buf, record[len(record)-int(p.size):]...), nil
}

// joinFrames is the record whose frames data are.
func joinFrames(epoch uint64, at int64, data []byte) ([]byte, error) {
	var record []byte
	for len(data) > 0 {
		if room := BlockSize - at%BlockSize; room < frameHeaderSize {
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
		record = append(record, frame[frameHeaderSize:]...)
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
	if s.options.Sync != SyncNever && s.unsynced && len(s.segments) > 0 {
		errs = append(errs, s.segments[len(s.segments)-1].file.Sync())
	}
	for _, g := range s.segments {
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
