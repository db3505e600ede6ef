// Package journal records what a relay must know after a restart: the messages that it has accepted, their attempts,
// the attempts that may have run, and final answers that are not delivered yet. It stores them in an embedded
// log-structured store. What has been written survives the end of the process, SIGKILL included. The package only
// records: it makes no decisions about messages.
package journal

import (
	"errors"
	"fmt"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/bootclock"
	"cherrytrestle.example/cherrytrestle/internal/state/clock"
	"cherrytrestle.example/cherrytrestle/internal/state/store"
	"cherrytrestle.example/cherrytrestle/policy"
)

// ErrFull reports that there is no room for new messages. Attempts, outcomes and removals still find room.
var ErrFull = errors.New("no room for new messages")

// Options configure a Journal.
type Options struct {
	Limit    int64 // bytes on disk
	Sync     store.SyncPolicy
	Interval time.Duration // between syncs, under store.SyncInterval
	// MaxBodyBytes bounds the bodies that stay in memory in addition to the store; 0 means no bound.
	MaxBodyBytes int64
	// Clock reads the machine's clocks; nil means bootclock.Now.
	Clock func() bootclock.Reading
	// WrapFS wraps the file system of the journal's folder; nil leaves it as it is.
	WrapFS func(store.FS) store.FS

	readOnly bool
}

// Journal is an open journal. It is not safe for concurrent use.
type Journal struct {
	store     *store.Store
	options   Options
	live      map[policy.MessageID]*Message // messages that are not removed, by ID
	pending   []pendingRecord
	scratch   []byte // reused for encoding and for reading values
	bodyBytes int64  // of the bodies in memory

	// healthKeys and anchorKeys are the store's keys of saved endpoint health and of anchors. Only the last of each
	// counts.
	healthKeys []uint64
	anchorKeys []uint64

	timeline      clock.Timeline
	anchor        clock.Anchor // the one that should be stored: the store may have had no room for it
	compactionErr error        // the first since CompactionError was last called
}

// Open opens the journal in a file system, or creates one.
func Open(fs store.FS, options Options) (*Journal, *Recovery, error) {
	if options.Clock == nil {
		options.Clock = bootclock.Now
	}
	st, found, err := store.Open(fs, store.Options{
		Limit:    options.Limit,
		Sync:     options.Sync,
		Interval: options.Interval,
		ReadOnly: options.readOnly,
	})
	if err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	j := &Journal{store: st, options: options, live: map[policy.MessageID]*Message{}}
	recovery, err := j.restore(found)
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("journal: %w", err), st.Close())
	}
	return j, recovery, nil
}

// Close writes what is pending and how far the wall clock has been set by now, and closes the store.
func (j *Journal) Close() error {
	err := j.Flush()
	if err == nil && !j.options.readOnly {
		err = j.updateAnchor()
	}
	return errors.Join(err, j.store.Close())
}

// Stats returns the store's use of space and work.
func (j *Journal) Stats() store.Stats { return j.store.Stats() }

// Tracks reports whether m was accepted and is not removed yet.
func (j *Journal) Tracks(m *Message) bool { return j.live[m.ID] == m }

// Body returns the body of a message, from memory or from the store.
func (j *Journal) Body(m *Message) ([]byte, error) {
	if m.Body != nil || m.bodySize == 0 {
		return m.Body, nil
	}
	value, err := j.store.Get(m.key, nil)
	if err != nil {
		return nil, fmt.Errorf("journal: read the body of message %d: %w", m.ID, err)
	}
	return value[len(value)-m.bodySize:], nil
}

// retainBody keeps the body of a stored message in memory, unless the bodies there would then exceed their bound.
func (j *Journal) retainBody(m *Message) {
	m.bodySize = len(m.Body)
	if j.options.MaxBodyBytes > 0 && j.bodyBytes+int64(m.bodySize) > j.options.MaxBodyBytes {
		m.Body = nil
		return
	}
	j.bodyBytes += int64(m.bodySize)
}

// releaseBody takes a removed message's body out of the count of bodies in memory.
func (j *Journal) releaseBody(m *Message) {
	if m.Body != nil {
		j.bodyBytes -= int64(m.bodySize)
	}
}

// CompactionError returns the first error that stopped compaction since it was last called, if there was one.
func (j *Journal) CompactionError() error {
	err := j.compactionErr
	j.compactionErr = nil
	return err
}
