package journal

import (
	"cmp"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/clock"
	"cherrytrestle.example/cherrytrestle/internal/state/store"
)

// Recovery is what Open read from the store.
type Recovery struct {
	Messages []*Message // messages that are not removed, sorted by ID, which is the order of acceptance
	Store    *store.Recovery
	// EndpointHealth is the data of the last successful call of Journal.SaveEndpointHealth.
	EndpointHealth []byte
	Rules          []byte // the data of the last successful call of Journal.SaveRules; nil if there was none
	// Migrated is the number of messages that OpenFolder migrated from a legacy log.
	Migrated int
	// ClockStep is the amount by which the wall clock was set since the stored anchor was written, measured against
	// the boot clock. It is 0 after a reboot, since the boot clock then starts again.
	ClockStep time.Duration
	// Unreadable is the number of values in the store that could not be decoded as messages.
	Unreadable int
}

// Intact reports whether the store could read all that was committed, and every message could be decoded.
func (r *Recovery) Intact() bool { return r.Store.Intact() && r.Unreadable == 0 }

// restore rebuilds the journal from the recovered store. It continues the timeline first, because decoding the times
// of a message depends on the timeline.
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

// loadMetadata reads the endpoint health and the anchors, and continues the timeline from the last anchor. It returns
// the keys of all other values, which should be messages.
func (j *Journal) loadMetadata(found *store.Recovery, recovery *Recovery) (messageKeys []uint64, err error) {
	var last *clock.Anchor
	for _, key := range found.Keys {
		value, err := j.store.Get(key, j.scratch[:0])
		if err != nil {
			return nil, err
		}
		j.scratch = value
		switch valueVersion(value) {
		case healthVersion: // keys ascend, so the last value is the newest
			j.healthKeys = append(j.healthKeys, key)
			recovery.EndpointHealth = append([]byte(nil), value[1:]...)
		case anchorVersion:
			j.anchorKeys = append(j.anchorKeys, key)
			last = decodeAnchor(value)
		case rulesVersion:
			j.rulesKeys = append(j.rulesKeys, key)
			recovery.Rules = append([]byte(nil), value[1:]...)
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
	m, ok := decodeMessage(value, j.timeline, j.terms)
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
		return nil // a second copy, left by an interrupted migration of a legacy log
	}
	j.live[m.ID] = m
	j.retainBody(m)
	recovery.Messages = append(recovery.Messages, m)
	return nil
}
