package journal

import (
	"errors"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/clock"
)

// Stamp converts a time of this process to the journal's timeline and returns it in the form of a wall time. Setting
// the wall clock does not affect the result, so times in the data for SaveEndpointHealth should be converted with
// Stamp.
func (j *Journal) Stamp(t time.Time) time.Time { return time.Unix(0, j.timeline.Stamp(t)) }

// SaveEndpointHealth stores data for the next process and replaces the data stored before. Pending records are
// written in the same commit. After ErrFull the data stored before remains.
func (j *Journal) SaveEndpointHealth(data []byte) error {
	return j.replace(&j.healthKeys, append([]byte{healthVersion}, data...))
}

// SaveRules stores the rules for new messages for the next process and replaces those stored before. Pending records
// are written in the same commit. After ErrFull the rules stored before remain.
func (j *Journal) SaveRules(data []byte) error {
	return j.replace(&j.rulesKeys, append([]byte{rulesVersion}, data...))
}

// saveAnchor stores the current anchor unless the store already holds it. If there is no space, saveAnchor returns no
// error, and the next process continues the timeline from the previous anchor.
func (j *Journal) saveAnchor() error {
	saved, err := j.savedAnchor()
	if err != nil {
		return err
	}
	if saved != nil && *saved == j.anchor {
		return nil
	}
	err = j.replace(&j.anchorKeys, encodeAnchor(&j.anchor, nil))
	if errors.Is(err, ErrFull) {
		return nil
	}
	return err
}

// savedAnchor returns the last anchor in the store. It returns nil if there is none or if it cannot be decoded.
func (j *Journal) savedAnchor() (*clock.Anchor, error) {
	if len(j.anchorKeys) == 0 {
		return nil, nil
	}
	value, err := j.store.Get(j.anchorKeys[len(j.anchorKeys)-1], nil)
	if err != nil {
		return nil, err
	}
	return decodeAnchor(value), nil
}

// updateAnchor stores a new anchor if the wall clock was set while this process ran.
func (j *Journal) updateAnchor() error {
	_, now := clock.Resume(&j.anchor, j.options.Clock())
	if now.WallOffset == j.anchor.WallOffset {
		return nil
	}
	j.anchor = now
	return j.saveAnchor()
}

// replace stores a value and deletes the values under keys in one commit. keys then holds only the key of the new
// value.
func (j *Journal) replace(keys *[]uint64, value []byte) error {
	batch := j.beginBatch()
	key := batch.Put(nil, value)
	for _, old := range *keys {
		batch.Delete(old)
	}
	if err := j.commit(batch); err != nil {
		return err
	}
	*keys = append((*keys)[:0], key)
	return nil
}
