// Package store is a small embedded store for data that must survive the process: an append-only log in segments with
// an index in memory, compaction in bounded steps, and a recovery that reports what it could not read. It knows nothing
// of its users. docs/design/store.md has the format on disk and the argument for each crash.
//
// A value is put and gets a key; small deltas are appended to it; it is deleted. A batch of these is one commit and one
// write. A Store must be used by one goroutine at a time.
package store

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"time"
)

// MinLimit is the smallest limit of a store in bytes.
const MinLimit = 1 << 20

// Space that is kept free, as parts of the limit, so that deltas, deletes and compaction work on a full store.
const (
	// maxLiveRatio bounds what is live after a put: compaction needs garbage to remove.
	maxLiveRatio = 0.55
	// maxPutDiskRatio bounds what is on disk after a put: the rest is for deltas, deletes and compaction.
	maxPutDiskRatio = 0.80
)

// defaultSyncInterval is the interval of SyncInterval where none is set.
const defaultSyncInterval = time.Second

// Errors of a Store.
var (
	// ErrFull reports that there is no space for new values. Deltas and deletes still find space.
	ErrFull = errors.New("store: no space for new values")
	// ErrNoSpace reports that not even deltas and deletes find space: the limit is too small for what is live, or the
	// disk is full.
	ErrNoSpace = errors.New("store: no space left")
	// ErrTooLarge reports a value that no segment could hold.
	ErrTooLarge = errors.New("store: value too large")
	// ErrKeyNotFound reports a key without a live value.
	ErrKeyNotFound = errors.New("store: no such key")
	// ErrClosed reports the use of a store after Close.
	ErrClosed = errors.New("store: closed")
	// ErrReadOnly reports a write to a store that was opened read-only.
	ErrReadOnly = errors.New("store: opened read-only")
)

// SyncPolicy says which commits survive the loss of the machine. All survive the death of the process.
type SyncPolicy int

const (
	// SyncNever leaves it to the operating system what is written out.
	SyncNever SyncPolicy = iota
	// SyncInterval syncs in a commit once Options.Interval has passed since the last sync.
	SyncInterval
	// SyncCommit syncs in each commit.
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
	Limit    int64 // bytes on disk, at least MinLimit
	Sync     SyncPolicy
	Interval time.Duration // of SyncInterval; 0: 1 s
	ReadOnly bool          // nothing is written, removed or locked
	// Now is the clock of SyncInterval; nil: time.Now.
	Now func() time.Time
}

// withDefaults returns the options with the values of those that are not set.
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

	segments    []*segment // by number; the last one is written to
	segmentSize int64
	appendable  bool // the last segment may be written to: this process began it
	// truncateErr is the error of a failed write whose segment could not be cut back: a new segment must be begun.
	truncateErr error

	index map[uint64]valueLocation
	// deltas are the chains of all values, freeDelta the first unused one, by index from 1.
	deltas    []deltaEntry
	freeDelta int32

	nextNumber uint64 // number of the next record
	liveBytes  int64  // of all live records
	diskBytes  int64  // of all files
	stats      Stats

	batch Batch
	// pendingDeletes are values of a batch that failed half-way: they are on disk, and are deleted before anything
	// else.
	pendingDeletes   []uint64
	pendingDeleteErr error

	unsynced bool
	syncedAt time.Time

	compaction compaction

	writeBuf   []byte  // reused for the frames of a write
	recordBuf  []byte  // reused for one record
	recordEnds []int64 // reused for the offsets behind the records of a write
}

// Stats describe the state of a store.
type Stats struct {
	LiveValues      int
	LiveBytes       int64 // that live values and their deltas take on disk
	DiskBytes       int64
	Limit           int64
	SegmentCount    int
	CommittedBytes  int64 // written by commits
	CompactedBytes  int64 // written again by compaction
	RemovedSegments int
	// AvailableForValues is how many more bytes of new values fit before compaction makes space.
	AvailableForValues int64
	// AvailableBytes is how many more bytes of anything fit.
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

// availableLiveBytes is how many more bytes may be live. A delete for each live value must find space, too.
func (s *Store) availableLiveBytes() int64 {
	maxLiveBytes := int64(maxLiveRatio * float64(s.options.Limit))
	return maxLiveBytes - s.liveBytes - int64(len(s.index))*maxDeleteSize
}

// maxPutDiskBytes is how many bytes may be on disk after a put.
func (s *Store) maxPutDiskBytes() int64 { return int64(maxPutDiskRatio * float64(s.options.Limit)) }

// hasSpaceForValues reports whether a batch of this size with new values fits.
func (s *Store) hasSpaceForValues(size int64) bool {
	return s.availableLiveBytes() >= size && s.diskBytes+size <= s.maxPutDiskBytes()
}

// Get appends a value to buf, as it was put, without its deltas.
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
		return buf, fmt.Errorf("store: read: %w", err)
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

// syncCommit makes commits survive the loss of the machine, as the policy asks.
func (s *Store) syncCommit() error {
	switch s.options.Sync {
	case SyncNever:
		return nil
	case SyncInterval:
		now := s.options.Now()
		// A clock that was set back syncs at once.
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

// Close closes the store. What was committed survives the process, and the loss of the machine as far as the policy
// says.
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
