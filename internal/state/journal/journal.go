// Package journal is what a relay must remember over its restarts, on the embedded store: the messages that it has
// taken on, their attempts, what may have run, and the notices that end them. What was written outlasts the process;
// nothing is decided here. A Journal is for one goroutine.
package journal

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/bootclock"
	"cherrytrestle.example/cherrytrestle/internal/state/clock"
	"cherrytrestle.example/cherrytrestle/internal/state/store"
)

// ErrFull tells that there is no room for new work. Ends and outcomes still find room.
var ErrFull = errors.New("journal: no room for new work")

// Message is a message that was taken on, with what the journal knows of its fate.
type Message struct {
	ID             uint32    `json:"ID"`    // the relay's number for it
	TraceID        string    `json:"Trace"` // the client's
	IdempotencyKey string    `json:"Key"`   // idempotency key; "" if none
	OrderingKey    string    `json:"Order"` // what it is about, in a class that keeps order; "" if none
	Class          int       `json:"Class"`
	ClassName      string    `json:"Service"` // the class by its name: its number is that of one configuration; "" if not known
	Tenant         int       `json:"Customer"`
	Destination    int       `json:"Dest"`
	Deadline       time.Time `json:"Deadline"`
	Body           []byte    `json:"Body"` // nil where it was left on disk: Journal.Body

	Attempts          int          `json:"Attempts"` // sends so far
	UncertainAttempts []Attempt    `json:"MayRun"`   // those of them that have no outcome or one that does not prove that they never ran
	Final             *FinalAnswer `json:"Final"`    // the notice that ends it, once decided

	// Withdrawn tells that nothing is owed, since its client left without an answer. It may have run, and should it
	// be handed in once more, that must be known.
	Cancelled bool `json:"Withdrawn"`
	// Doubtful tells that records which could not be read may have been about it: it may have run, anywhere.
	Uncertain bool `json:"Doubtful"`

	key      uint64 // in the store; 0: not in it
	bodySize int    // of the body
}

// Attempt is one send.
type Attempt struct {
	Number   int       `json:"N"`
	Endpoint string    `json:"Host"`
	Zone     int       `json:"Zone"`
	SentAt   time.Time `json:"At"`
	// Undated tells that the machine was started anew since, or that this cannot be told: At goes by the wall clock
	// alone, which may have been set.
	Undated bool `json:"Undated"`
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
	Store    *store.Recovery
	// Standing is what was kept last by Journal.Standing.
	EndpointHealth []byte
	// Carried is how many messages came over from a log of the form before this one.
	Migrated int
	// Stepped is by how much the wall clock was set since the journal was last opened, as far as the boot's clock
	// tells.
	ClockStep time.Duration
	// Unreadable are values of the store that hold no message of this form.
	Unreadable int
}

// Intact tells whether all that was ever written could be read.
func (r *Recovery) Intact() bool { return r.Store.Intact() && r.Unreadable == 0 }

// Options are those of a Journal.
type Options struct {
	Limit    int64 // bytes on disk
	Sync     store.SyncPolicy
	Interval time.Duration
	// Bodies bounds the bodies that are kept in memory beside the store, in bytes; 0: all are.
	MaxBodyBytes int64
	// Clock reads the machine's clocks; nil: bootclock.Now.
	Clock func() bootclock.Reading
	// Through is what stands between the journal and the files of its folder; nil: nothing.
	WrapFS func(store.FS) store.FS

	readOnly bool
}

// Steps of compaction, for each write.
const (
	minCompaction   = 8 << 10
	compactionRatio = 3 // so many times what was written
)

// Journal is an open journal.
type Journal struct {
	store     *store.Store
	options   Options
	live      map[uint32]*Message
	pending   []pendingRecord
	scratch   []byte
	bodyBytes int64
	// The keys of what Standing kept, and of anchors: all but the last of each are of no use.
	healthKeys, anchorKeys []uint64

	timeline      clock.Timeline
	anchor        clock.Anchor // in the store, if that had room
	compactionErr error        // compaction could not go on; told once
}

// pendingRecord is an outcome or an end that is not written yet.
type pendingRecord struct {
	m    *Message
	kind byte // of a delta; 0: the message ends
	n    int
}

// Open reads the journal in a folder, or begins one.
func Open(fs store.FS, opt Options) (*Journal, *Recovery, error) { return open(fs, opt, false) }

func open(fs store.FS, opt Options, readOnly bool) (*Journal, *Recovery, error) {
	s, found, err := store.Open(
		fs,
		store.Options{Limit: opt.Limit, Sync: opt.Sync, Interval: opt.Interval, ReadOnly: readOnly},
	)
	if err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	opt.readOnly = readOnly
	j := &Journal{store: s, options: opt, live: map[uint32]*Message{}}
	rec := &Recovery{Store: found}
	keys, err := j.loadMetadata(found, rec)
	if err == nil && !readOnly {
		err = j.saveAnchor()
	}
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("journal: %w", err), s.Close())
	}
	for _, key := range keys {
		value, err := s.Get(key, j.scratch[:0])
		if err != nil {
			return nil, nil, errors.Join(fmt.Errorf("journal: %w", err), s.Close())
		}
		j.scratch = value
		m, ok := decode(value, j.timeline)
		if !ok {
			rec.Unreadable++
			continue
		}
		m.key, m.Uncertain = key, found.Uncertain(key)
		for _, d := range found.Deltas(key) {
			if !m.apply(d, j.timeline) {
				m.Uncertain = true
			}
		}
		if was := j.live[m.ID]; was != nil { // the carrying over of an older log was cut off between two writes
			continue
		}
		j.live[m.ID] = m
		j.retainBody(m)
		rec.Messages = append(rec.Messages, m)
	}
	slices.SortFunc(rec.Messages, func(a, b *Message) int { return int(int64(a.ID) - int64(b.ID)) })
	return j, rec, nil
}

// loadMetadata reads what is no message, and goes on with the axis; the other keys are returned.
func (j *Journal) loadMetadata(found *store.Recovery, rec *Recovery) (keys []uint64, err error) {
	var last *clock.Anchor
	for _, key := range found.Keys {
		value, err := j.store.Get(key, j.scratch[:0])
		if err != nil {
			return nil, err
		}
		switch j.scratch = value; {
		case len(value) > 0 && value[0] == healthVersion:
			j.healthKeys = append(j.healthKeys, key) // in the order of their keys: the last counts
			rec.EndpointHealth = append([]byte(nil), value[1:]...)
		case len(value) > 0 && value[0] == anchorVersion:
			j.anchorKeys, last = append(j.anchorKeys, key), decodeAnchor(value)
		default:
			keys = append(keys, key)
		}
	}
	if j.options.Clock == nil {
		j.options.Clock = bootclock.Now
	}
	j.timeline, j.anchor = clock.Resume(last, j.options.Clock())
	if last != nil {
		rec.ClockStep = j.anchor.WallOffset - last.WallOffset
	}
	return keys, nil
}

// saveAnchor writes the anchor, if it is not what was written last. Without room the next process goes by the one
// before it.
func (j *Journal) saveAnchor() error {
	if len(j.anchorKeys) > 0 {
		value, err := j.store.Get(j.anchorKeys[len(j.anchorKeys)-1], nil)
		if err != nil {
			return err
		}
		if was := decodeAnchor(value); was != nil && *was == j.anchor {
			return nil
		}
	}
	if err := j.replace(&j.anchorKeys, encodeAnchor(&j.anchor, nil)); err != nil && !errors.Is(err, ErrFull) {
		return err
	}
	return nil
}

// Stamp is a time of this process on the journal's axis, to which nothing that is done to the wall clock matters, in
// the form of a wall time. What Standing keeps should be timed so.
func (j *Journal) Stamp(t time.Time) time.Time { return time.Unix(0, j.timeline.Stamp(t)) }

// retainBody leaves a body on disk where the bodies in memory would be too many.
func (j *Journal) retainBody(m *Message) {
	m.bodySize = len(m.Body)
	if j.options.MaxBodyBytes > 0 && j.bodyBytes+int64(m.bodySize) > j.options.MaxBodyBytes {
		m.Body = nil
		return
	}
	j.bodyBytes += int64(m.bodySize)
}

// Body is a message's body, from memory or from the store.
func (j *Journal) Body(m *Message) ([]byte, error) {
	if m.Body != nil || m.bodySize == 0 {
		return m.Body, nil
	}
	value, err := j.store.Get(m.key, nil)
	if err != nil {
		return nil, fmt.Errorf("journal: body: %w", err)
	}
	return value[len(value)-m.bodySize:], nil
}

// Size is the length of a message's body, in bytes.
func (m *Message) Size() int { return max(m.bodySize, len(m.Body)) }

// SaveEndpointHealth keeps data in the place of what was kept before: what a process wants the next one to know beside
// the messages. It is one commit with all that is noted. With ErrFull what was kept before stays.
func (j *Journal) SaveEndpointHealth(data []byte) error {
	return j.replace(&j.healthKeys, append([]byte{healthVersion}, data...))
}

// replace puts a value in the place of those under keys.
func (j *Journal) replace(keys *[]uint64, value []byte) error {
	b := j.beginBatch()
	key := b.Put(nil, value)
	for _, old := range *keys {
		b.Delete(old)
	}
	if err := j.commit(b); err != nil {
		return err
	}
	*keys = append((*keys)[:0], key)
	return nil
}

// Close writes what is noted and how far the wall clock has been set by now, and closes the store.
func (j *Journal) Close() error {
	err := j.Flush()
	if _, now := clock.Resume(&j.anchor, j.options.Clock()); err == nil && !j.options.readOnly &&
		now.WallOffset != j.anchor.WallOffset {
		j.anchor = now
		err = j.saveAnchor()
	}
	return errors.Join(err, j.store.Close())
}

// Stats tells how the store fares.
func (j *Journal) Stats() store.Stats { return j.store.Stats() }

// Tracks tells whether m has no end yet.
func (j *Journal) Tracks(m *Message) bool { return j.live[m.ID] == m }

// Accept records that ms are taken on, all or none. With ErrFull nothing of them is in the journal.
func (j *Journal) Accept(ms ...*Message) error {
	b := j.beginBatch()
	keys := make([]uint64, 0, 16)
	for _, m := range ms {
		j.scratch = m.encode(j.scratch[:0], j.timeline)
		keys = append(keys, b.Put(j.scratch, m.Body))
	}
	if err := j.commit(b); err != nil {
		return err
	}
	for i, m := range ms {
		m.key = keys[i]
		j.live[m.ID] = m
		j.retainBody(m)
	}
	return nil
}

// RecordSends records attempts before their first byte, all or none.
func (j *Journal) RecordSends(sends ...Send) error {
	b := j.beginBatch()
	for i := range sends {
		s := &sends[i]
		j.scratch = appendAttempt(append(j.scratch[:0], deltaSend), &s.Attempt, j.timeline)
		b.Append(s.Message.key, j.scratch)
	}
	if err := j.commit(b); err != nil {
		return err
	}
	for _, s := range sends {
		s.Message.addAttempt(s.Attempt)
	}
	return nil
}

// RecordNotRun notes an outcome which proves that attempt n took no effect. Any other outcome changes nothing of what a
// restart has to go by.
func (j *Journal) RecordNotRun(m *Message, n int) {
	if !j.Tracks(m) {
		return
	}
	m.removeAttempt(n)
	j.pending = append(j.pending, pendingRecord{m, deltaNotRun, n})
}

// RecordFinal notes the notice that will end m.
func (j *Journal) RecordFinal(m *Message, f FinalAnswer) {
	if !j.Tracks(m) {
		return
	}
	m.Final = &f
	j.pending = append(j.pending, pendingRecord{m, deltaFinal, 0})
}

// RecordCancelled notes that nothing is owed for m but to remember what may have run, until End.
func (j *Journal) RecordCancelled(m *Message) {
	if !j.Tracks(m) {
		return
	}
	m.Cancelled = true
	j.pending = append(j.pending, pendingRecord{m, deltaCancelled, 0})
}

// Remove notes that nothing more is owed for m.
func (j *Journal) Remove(m *Message) {
	if !j.Tracks(m) {
		return
	}
	delete(j.live, m.ID)
	if m.Body != nil {
		j.bodyBytes -= int64(m.bodySize)
	}
	j.pending = append(j.pending, pendingRecord{m, 0, 0})
}

// Flush writes what is noted. After an error the notes are kept for the next write.
func (j *Journal) Flush() error {
	if len(j.pending) == 0 {
		return nil
	}
	return j.commit(j.beginBatch())
}

// beginBatch is a batch with all that is noted.
func (j *Journal) beginBatch() *store.Batch {
	b := j.store.Begin()
	for _, n := range j.pending {
		switch n.kind {
		case 0:
			b.Delete(n.m.key)
		case deltaNotRun:
			j.scratch = appendVarint(append(j.scratch[:0], deltaNotRun), int64(n.n))
			b.Append(n.m.key, j.scratch)
		case deltaFinal:
			j.scratch = appendFinal(append(j.scratch[:0], deltaFinal), n.m.Final)
			b.Append(n.m.key, j.scratch)
		case deltaCancelled:
			b.Append(n.m.key, []byte{deltaCancelled})
		}
	}
	return b
}

// commit writes a batch, which begins with the notes, and has the store compact in proportion. Where new work finds no
// room the notes are written by themselves.
func (j *Journal) commit(b *store.Batch) error {
	before := j.store.Stats().CommittedBytes
	err := j.store.Commit(b)
	if errors.Is(err, store.ErrFull) {
		err = ErrFull
		if len(j.pending) > 0 {
			if e := j.store.Commit(j.beginBatch()); e != nil {
				return errors.Join(err, e)
			}
			j.pending = j.pending[:0]
		}
	}
	if err == nil {
		j.pending = j.pending[:0]
	}
	if j.store.CompactionDue() {
		written := int(j.store.Stats().CommittedBytes - before)
		if _, e := j.store.Compact(max(minCompaction, compactionRatio*written)); e != nil && j.compactionErr == nil {
			j.compactionErr = e // the next step tries again
		}
	}
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// CompactionError is the first error that kept compaction from going on, if any did since it was last asked for.
func (j *Journal) CompactionError() error {
	err := j.compactionErr
	j.compactionErr = nil
	return err
}

func (m *Message) addAttempt(a Attempt) {
	m.Attempts = max(m.Attempts, a.Number+1)
	m.UncertainAttempts = append(m.UncertainAttempts, a)
}

func (m *Message) removeAttempt(n int) {
	m.UncertainAttempts = slices.DeleteFunc(m.UncertainAttempts, func(a Attempt) bool { return a.Number == n })
}
