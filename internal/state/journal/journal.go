// Package journal stores what a relay needs after a restart: the messages that it has accepted, their attempts, which
// of these attempts may have run, final answers that are not delivered yet, and the health of endpoints. An attempt
// has run if the endpoint processed the message. The data is kept in the log-structured store of package store.
// Written data survives the end of the process, SIGKILL included. The package only stores records: it makes no
// decisions about messages.
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

// ErrFull reports that the disk limit leaves no space for new messages. Attempts, outcomes and removals can still be
// written.
var ErrFull = errors.New("no room for new messages")

// Options configure a Journal.
type Options struct {
	Limit    int64 // maximum size on disk, in bytes
	Sync     store.SyncPolicy
	Interval time.Duration // time between syncs, if Sync is store.SyncInterval
	// MaxBodyBytes limits the total size of the message bodies that are kept in memory in addition to the store. 0
	// means no limit.
	MaxBodyBytes int64
	// Clock reads the machine's clocks; nil means bootclock.Now.
	Clock func() bootclock.Reading
	// WrapFS wraps the file system of the journal's folder in OpenFolder; nil means no wrapping.
	WrapFS func(store.FS) store.FS

	readOnly bool
}

// Journal is an open journal. It is not safe for concurrent use.
type Journal struct {
	store     *store.Store
	options   Options
	live      map[policy.MessageID]*Message // accepted messages that are not removed, by ID
	terms     sharedTerms                   // of the messages that were read
	pending   []pendingRecord
	replaced  map[*Message]uint64 // keys of the messages that the batch being written replaces
	scratch   []byte              // buffer reused for encoding and for reading values
	bodyBytes int64               // total size of the bodies in memory

	// healthKeys, anchorKeys and rulesKeys are the store keys under which endpoint health, anchors of the timeline and
	// rules for new messages are saved. If there are several, only the value of the last key is used.
	healthKeys []uint64
	anchorKeys []uint64
	rulesKeys  []uint64

	timeline      clock.Timeline
	anchor        clock.Anchor // current anchor; not in the store if there was no space for it
	compactionErr error        // first error since the last call of CompactionError
}

// Open opens the journal in fs, or creates one there.
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
	j := &Journal{store: st, options: options, live: map[policy.MessageID]*Message{}, terms: sharedTerms{}}
	recovery, err := j.restore(found)
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("journal: %w", err), st.Close())
	}
	return j, recovery, nil
}

// Close writes the pending records, saves a new anchor if the wall clock was set while the journal was open, and
// closes the store.
func (j *Journal) Close() error {
	err := j.Flush()
	if err == nil && !j.options.readOnly {
		err = j.updateAnchor()
	}
	return errors.Join(err, j.store.Close())
}

// Stats returns the statistics of the store.
func (j *Journal) Stats() store.Stats { return j.store.Stats() }

// Tracks reports whether m was accepted and has not been removed.
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

// retainBody keeps the body of a stored message in memory, unless the total size of the bodies there would exceed
// MaxBodyBytes.
func (j *Journal) retainBody(m *Message) {
	m.bodySize = len(m.Body)
	if j.options.MaxBodyBytes > 0 && j.bodyBytes+int64(m.bodySize) > j.options.MaxBodyBytes {
		m.Body = nil
		return
	}
	j.bodyBytes += int64(m.bodySize)
}

// releaseBody subtracts a removed message's body from bodyBytes if the body was in memory.
func (j *Journal) releaseBody(m *Message) {
	if m.Body != nil {
		j.bodyBytes -= int64(m.bodySize)
	}
}

// CompactionError returns the first compaction error since the previous call of CompactionError, or nil if there was
// none.
func (j *Journal) CompactionError() error {
	err := j.compactionErr
	j.compactionErr = nil
	return err
}
