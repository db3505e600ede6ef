// Package store is a small embedded store for data that must survive the process. It is an append-only log in
// segment files with an index in memory. Compaction runs in bounded steps, and recovery reports what it could not
// read. The package does not depend on its users. docs/design/store.md describes the format on disk and the
// reasoning for each kind of crash.
//
// Putting a value assigns it a key. Small deltas can be appended to a value, and a value can be deleted. A Batch of
// these operations is one commit. It is written in one write, or in several if the active segment cannot hold the
// whole batch. A Store must be used by one goroutine at a time.
//
// The code calls the file-system directory of a store its folder. A directory is a record that lists the store's
// segments.
package store

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"time"
)

// MinLimit is the smallest allowed Options.Limit, in bytes.
const MinLimit = 1 << 20

// Shares of the limit that a put may fill. The remaining space is reserved for deltas, deletes and compaction,
// which must still work on a full store.
const (
	// maxLiveRatio limits the live bytes after a put: compaction frees space only by removing garbage.
	maxLiveRatio = 0.55
	// maxPutDiskRatio limits the bytes on disk after a put.
	maxPutDiskRatio = 0.80
)

// defaultSyncInterval replaces an Options.Interval of 0.
const defaultSyncInterval = time.Second

// Errors of a Store.
var (
	// ErrFull reports that there is no space for new values. Deltas and deletes may still fit.
	ErrFull = errors.New("store: no space for new values")
	// ErrNoSpace reports that a write would exceed the limit, so that not even deltas and deletes fit. Either the
	// limit is too small for the live data, or compaction has not freed enough space yet. If the disk itself is
	// full, the file system's error is returned instead.
	ErrNoSpace = errors.New("store: no space left")
	// ErrTooLarge reports a value or delta that is too large for a segment.
	ErrTooLarge = errors.New("store: value or delta too large")
	// ErrKeyNotFound reports a key without a live value.
	ErrKeyNotFound = errors.New("store: no such key")
	// ErrClosed reports the use of a store after Close.
	ErrClosed = errors.New("store: closed")
	// ErrReadOnly reports a write to a store that was opened read-only.
	ErrReadOnly = errors.New("store: opened read-only")
)

// SyncPolicy determines which commits survive a machine crash. Every commit survives a process crash, whatever the
// policy.
type SyncPolicy int

const (
	// SyncNever never syncs. The operating system decides when written data reaches the disk.
	SyncNever SyncPolicy = iota
	// SyncInterval syncs during a commit if Options.Interval has passed since the last sync.
	SyncInterval
	// SyncCommit syncs during every commit.
	SyncCommit
)

// String returns the policy's name.
func (p SyncPolicy) String() string {
	switch p {
	case SyncNever:
		return "never"
	case SyncInterval:
		return "interval"
	case SyncCommit:
		return "commit"
	}
	return fmt.Sprintf("SyncPolicy(%d)", int(p))
}

// Options configure a Store.
type Options struct {
	Limit    int64 // maximum bytes on disk; at least MinLimit
	Sync     SyncPolicy
	Interval time.Duration // for SyncInterval; 0 means 1 s
	ReadOnly bool          // nothing is written, removed or locked
	// Now is the clock for SyncInterval; nil means time.Now.
	Now func() time.Time
}

// withDefaults returns the options with defaults in place of those that are not set.
func (o Options) withDefaults() Options {
	if o.Now == nil {
		o.Now = time.Now
	}
	o.Interval = cmp.Or(o.Interval, defaultSyncInterval)
	return o
}

// Store is an open store.
type Store struct {
	fs      FS
	options Options
	lock    io.Closer
	closed  bool

	segments    []*segment // sorted by number; the last one is the active segment
	segmentSize int64
	appendable  bool // whether the active segment may be written to; true only if this process began it
	// truncateErr is set if what a failed write left in the active segment could not be truncated. The next write
	// must then begin a new segment.
	truncateErr error

	index map[uint64]valueLocation
	// deltas holds the delta chains of all values as linked lists, and freeDelta is the head of the list of unused
	// entries. The links are slice indexes plus 1; 0 ends a list.
	deltas    []deltaEntry
	freeDelta int32

	nextNumber uint64 // number of the next record
	liveBytes  int64  // of all live records
	diskBytes  int64  // of all files, in whole allocation units
	stats      Stats

	batch Batch
	// pendingDeletes are the keys of values in batches whose later operations could not be written. These values
	// are on disk, and must be deleted before the next batch is committed. pendingDeleteErr is the error of the
	// last attempt to delete them.
	pendingDeletes   []uint64
	pendingDeleteErr error

	unsynced bool
	syncedAt time.Time

	compaction compaction

	writeBuf   []byte  // reused for the frames of a write
	recordBuf  []byte  // reused for one record
	recordEnds []int64 // reused for the end offsets of the records of a write
}

// Stats describe the state of a store.
type Stats struct {
	LiveValues      int
	LiveBytes       int64 // bytes on disk of live values, their deltas, and deletes that are still needed
	DiskBytes       int64
	Limit           int64
	SegmentCount    int
	CommittedBytes  int64 // written by commits
	CompactedBytes  int64 // written by compaction
	RemovedSegments int
	// AvailableForValues is how many bytes of new values fit without further compaction.
	AvailableForValues int64
	// AvailableBytes is how many bytes of any operation fit without further compaction.
	AvailableBytes int64
}

// Stats returns the state of the store.
func (s *Store) Stats() Stats {
	stats := s.stats
	stats.LiveValues = len(s.index)
	stats.LiveBytes = s.liveBytes
	stats.DiskBytes = s.diskBytes
	stats.Limit = s.options.Limit
	stats.SegmentCount = len(s.segments)
	stats.AvailableForValues = max(0, min(s.availableLiveBytes(), s.maxPutDiskBytes()-s.diskBytes))
	stats.AvailableBytes = max(0, s.options.Limit-reservedBytes-s.diskBytes)
	return stats
}

// availableLiveBytes returns how many more bytes may become live. It reserves space for a delete of each live
// value.
func (s *Store) availableLiveBytes() int64 {
	maxLiveBytes := int64(maxLiveRatio * float64(s.options.Limit))
	return maxLiveBytes - s.liveBytes - int64(len(s.index))*maxDeleteSize
}

// maxPutDiskBytes returns how many bytes may be on disk after a put.
func (s *Store) maxPutDiskBytes() int64 { return int64(maxPutDiskRatio * float64(s.options.Limit)) }

// hasSpaceForValues reports whether a batch that puts values and takes size bytes on disk fits.
func (s *Store) hasSpaceForValues(size int64) bool {
	return s.availableLiveBytes() >= size && s.diskBytes+size <= s.maxPutDiskBytes()
}

// Get appends the value of a key to buf, as it was put and without its deltas.
func (s *Store) Get(key uint64, buf []byte) ([]byte, error) {
	value, ok := s.index[key]
	if !ok {
		return buf, fmt.Errorf("%w: %d", ErrKeyNotFound, key)
	}
	return s.readValue(value, buf)
}

func (s *Store) readValue(value valueLocation, buf []byte) ([]byte, error) {
	seg := s.findSegment(value.segment)
	offset := int64(value.offset)
	data := make([]byte, value.diskSize)
	if _, err := seg.file.ReadAt(data, offset); err != nil {
		return buf, fmt.Errorf("store: read segment %d, offset %d: %w", value.segment, offset, err)
	}
	record, err := joinFrames(seg.header.Epoch, offset, data)
	if err == nil && int(value.size) > len(record) {
		err = ErrDamaged
	}
	if err != nil {
		return buf, fmt.Errorf("store: segment %d, offset %d: %w", value.segment, offset, err)
	}
	return append(buf, record[len(record)-int(value.size):]...), nil
}

// syncCommit syncs the active segment if the sync policy requires it for the current commit.
func (s *Store) syncCommit() error {
	switch s.options.Sync {
	case SyncNever:
		return nil
	case SyncInterval:
		now := s.options.Now()
		// A negative elapsed time means that the clock was set back: sync now.
		if elapsed := now.Sub(s.syncedAt); elapsed >= 0 && elapsed < s.options.Interval {
			return nil
		}
		s.syncedAt = now
	}
	if !s.unsynced || len(s.segments) == 0 {
		return nil
	}
	if err := s.activeSegment().file.Sync(); err != nil {
		return fmt.Errorf("store: sync: %w", err)
	}
	s.unsynced = false
	return nil
}

// Close closes the store. Unless the policy is SyncNever, it first syncs what has not been synced yet, so that all
// commits survive a machine crash.
func (s *Store) Close() error {
	if s.closed {
		return ErrClosed
	}
	s.closed = true
	var errs []error
	if s.options.Sync != SyncNever && s.unsynced && len(s.segments) > 0 {
		errs = append(errs, s.activeSegment().file.Sync())
	}
	for _, seg := range s.segments {
		errs = append(errs, seg.file.Close())
	}
	if s.lock != nil {
		errs = append(errs, s.lock.Close())
	}
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("store: close: %w", err)
	}
	return nil
}
