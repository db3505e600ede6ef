package discovery

import (
	"context"
	"errors"
	"math"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
)

// noVersion is less than any version of a list.
const noVersion = int64(math.MinInt64)

// receiveOptions is how a list is received.
type receiveOptions struct {
	fullSnapshot bool                    // the list is full, whatever it says
	knownVersion int64                   // changes up to this version are known already
	onProgress   func()                  // is called as the list goes on
	cancel       context.CancelCauseFunc // ends the reading of a list that does not end in time
}

// receiver receives one list and delivers it: as a whole, or a long one in parts as it comes.
type receiver struct {
	*Watcher
	receiveOptions

	head    ListHead
	entries []Entry // not delivered yet
	spare   []Entry // the room of the part that was answered last
	read    int     // entries
	inParts bool    // the list is long
	skipped bool    // the list is known already: it is read and not delivered
}

// receive receives one list. Its version is reached with its end.
func (w *Watcher) receive(lists *ListReader, options receiveOptions) error {
	r := &receiver{Watcher: w, receiveOptions: options, head: ListHead{Full: options.fullSnapshot}}
	lists.onBegin = nil
	if w.cfg.ListTimeout > 0 {
		lists.onBegin = r.startTimeout
	}
	err := lists.Next(&r.head, r.take)
	if errors.Is(err, ErrTooLong) {
		w.oversizeLists.Log(w.cfg.Log, "err", err, "entries", r.read, "bytes", lists.src.listBytes)
	}
	if err != nil {
		return err
	}
	return r.finish()
}

// startTimeout cancels the list if it has not ended in time, unless stop is called.
func (r *receiver) startTimeout() (stop func() bool) {
	return time.AfterFunc(r.cfg.ListTimeout, func() { r.cancel(errListTimeout) }).Stop
}

// take takes an entry of the list. Once there are more than are delivered as a whole, they go in parts.
func (r *receiver) take(e Entry) error {
	r.read++
	if r.read%MaxPartEntries == 0 {
		r.onProgress()
	}
	r.entries = append(r.entries, e)
	if r.inParts {
		if len(r.entries) < MaxPartEntries {
			return nil
		}
	} else {
		if len(r.entries) <= r.maxUnsplitEntries() {
			return nil
		}
		if err := r.beginParts(); err != nil {
			return err
		}
	}
	if r.skipped {
		r.entries = r.entries[:0]
		return nil
	}
	return r.sendEntries()
}

// maxUnsplitEntries is how many entries a list may have that is delivered as a whole.
func (r *receiver) maxUnsplitEntries() int {
	if r.largeList() {
		return MaxPartEntries
	}
	return catalog.MaxEagerEndpoints
}

// largeList reports whether the owner's list is a long one.
func (r *receiver) largeList() bool { return r.cfg.LargeList != nil && r.cfg.LargeList() }

// beginParts begins to deliver the list in parts, unless it brings changes that are known already.
func (r *receiver) beginParts() error {
	r.inParts = true
	mayBeKnown := !r.fullSnapshot && !r.head.Full && r.knownVersion != noVersion
	r.skipped = mayBeKnown && (!r.head.hasVersion || r.head.Version <= r.knownVersion)
	if r.skipped {
		return nil
	}
	_, err := r.parts.sendAndWait(&SnapshotPart{Kind: PartBegin})
	return err
}

// sendEntries sends the full parts of the entries that were read.
func (r *receiver) sendEntries() error {
	for len(r.entries) >= MaxPartEntries {
		part := r.entries[:MaxPartEntries:MaxPartEntries]
		if err := r.parts.send(&SnapshotPart{Kind: PartEntries, Entries: part}); err != nil {
			return err
		}
		// The part before this one was answered: its room is free.
		rest := r.spare[:0]
		rest = append(rest, r.entries[MaxPartEntries:]...)
		r.spare = r.entries[:0]
		r.entries = rest
		r.onProgress()
	}
	return nil
}

// finish delivers what is left once the list has ended.
func (r *receiver) finish() error {
	full := r.fullSnapshot || r.head.Full
	isNew := full || r.head.Version > r.knownVersion
	switch {
	case r.skipped:
		// Its head may have come behind its entries, and say that it should have been delivered.
		r.needsSnapshot = r.needsSnapshot || isNew
		return nil
	case r.inParts:
		return r.finishParts(full)
	case full && r.largeList():
		if err := r.beginParts(); err != nil {
			return err
		}
		return r.finishParts(full)
	case isNew:
		r.reached(r.head.Version, full)
		r.cfg.OnUpdate(List{Version: r.head.Version, Full: full, Entries: r.entries})
	}
	return nil
}

// finishParts sends the rest of a list that goes in parts, and its end.
func (r *receiver) finishParts(full bool) error {
	if _, err := r.parts.sendAndWait(&SnapshotPart{Kind: PartEntries, Entries: r.entries}); err != nil {
		return err
	}
	if full {
		if err := r.sweep(); err != nil {
			return err
		}
	}
	complete, err := r.parts.sendAndWait(&SnapshotPart{Kind: PartEnd, Version: r.head.Version})
	if err != nil {
		return err
	}
	if !complete {
		return errTooManyEntries
	}
	r.reached(r.head.Version, full)
	return nil
}

// sweep has the owner remove the endpoints that a full list did not name.
func (r *receiver) sweep() error {
	for {
		done, err := r.parts.sendAndWait(&SnapshotPart{Kind: PartSweep})
		if err != nil {
			return err
		}
		r.onProgress()
		if done {
			return nil
		}
	}
}

// reached notes the version of a list that was delivered.
func (w *Watcher) reached(version int64, full bool) {
	w.version = version
	w.needsSnapshot = w.needsSnapshot && !full
}
