package journal

import (
	"cmp"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/clock"
	"cherrytrestle.example/cherrytrestle/internal/state/store"
)

// Recovery is what Open found in the store.
type Recovery struct {
	Messages []*Message // not removed yet, in the order of their IDs, in which they were accepted
	Store    *store.Recovery
	// EndpointHealth is what Journal.SaveEndpointHealth stored last.
	EndpointHealth []byte
	// Migrated counts the messages that were taken over from a legacy log.
	Migrated int
	// ClockStep is by how much the wall clock was set since the journal was last opened, measured by the boot clock.
	ClockStep time.Duration
	// Unreadable counts the values in the store that are no message of a known encoding.
	Unreadable int
}

// Intact reports whether everything that was ever written could be read.
func (r *Recovery) Intact() bool { return r.Store.Intact() && r.Unreadable == 0 }

// restore rebuilds the journal from what the store found. It also continues the timeline: a time that is read from a
// message depends on it, so the anchor is read before any message.
func (j *Journal) restore(found *store.Recovery) (*Recovery, error) {
	recovery := &Recovery{Store: found}
	messageKeys, err := j.loadMetadata(found, recovery)
	if err != nil {
		return nil, err
	}
	if !j.options.readOnly {
		if err := j.saveAnchor(); err != nil {
			return nil, err
		}
	}
	for _, key := range messageKeys {
		if err := j.loadMessage(key, found, recovery); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(recovery.Messages, func(a, b *Message) int { return cmp.Compare(a.ID, b.ID) })
	return recovery, nil
}

// loadMetadata reads the values that are not messages and continues the timeline. It returns the keys of the others.
func (j *Journal) loadMetadata(found *store.Recovery, recovery *Recovery) (messageKeys []uint64, err error) {
	var last *clock.Anchor
	for _, key := range found.Keys {
		value, err := j.store.Get(key, j.scratch[:0])
		if err != nil {
			return nil, err
		}
		j.scratch = value
		switch valueVersion(value) {
		case healthVersion: // keys ascend, so the last value counts
			j.healthKeys = append(j.healthKeys, key)
			recovery.EndpointHealth = append([]byte(nil), value[1:]...)
		case anchorVersion:
			j.anchorKeys = append(j.anchorKeys, key)
			last = decodeAnchor(value)
		default:
			messageKeys = append(messageKeys, key)
		}
	}
	j.timeline, j.anchor = clock.Resume(last, j.options.Clock())
	if last != nil {
		recovery.ClockStep = j.anchor.WallOffset - last.WallOffset
	}
	return messageKeys, nil
}

// loadMessage reads a message and applies its deltas.
func (j *Journal) loadMessage(key uint64, found *store.Recovery, recovery *Recovery) error {
	value, err := j.store.Get(key, j.scratch[:0])
	if err != nil {
		return err
	}
	j.scratch = value
	m, ok := decodeMessage(value, j.timeline)
	if !ok {
		recovery.Unreadable++
		return nil
	}
	m.key = key
	m.Uncertain = found.Uncertain(key)
	for _, delta := range found.Deltas(key) {
		if !m.applyDelta(delta, j.timeline) {
			m.Uncertain = true
		}
	}
	if j.live[m.ID] != nil {
		return nil // a second copy: the migration of a legacy log was interrupted between two writes
	}
	j.live[m.ID] = m
	j.retainBody(m)
	recovery.Messages = append(recovery.Messages, m)
	return nil
}
