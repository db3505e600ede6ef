package discovery

import (
	"context"
	"errors"
	"math"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
)

// noVersion is lower than any version of a list.
const noVersion = int64(math.MinInt64)

// receiveOptions configures how one list is received.
type receiveOptions struct {
	fullSnapshot bool                    // the list is full, whatever its field "full" says
	knownVersion int64                   // changes up to this version were delivered before
	onProgress   func()                  // called whenever receiving the list has made progress
	cancel       context.CancelCauseFunc // ends the reading of a list that exceeds Config.ListTimeout
}

// receiver receives one list and delivers it: a short list as a whole, a long one in parts while it is read.
type receiver struct {
	*Watcher
	receiveOptions

	head    ListHead
	entries []Entry // read, but not delivered yet
	spare   []Entry // backing array of the part sent last; reused once that part is answered
	read    int     // number of entries read
	inParts bool    // the list is delivered in parts
	skipped bool    // the list is read but not delivered: its changes were delivered before
}

// receive receives one list and delivers it. The watcher's version changes only when the whole list is delivered.
func (w *Watcher) receive(lists *ListReader, options receiveOptions) error {
	r := &receiver{Watcher: w, receiveOptions: options, head: ListHead{Full: options.fullSnapshot}}
	lists.onBegin = nil
	if w.cfg.ListTimeout > 0 {
		lists.onBegin = r.startTimeout
	}
	err := lists.Next(&r.head, r.addEntry)
	if errors.Is(err, ErrTooLong) {
		w.oversizeLists.Log(w.cfg.Log, "err", err, "entries", r.read, "bytes", lists.src.listBytes)
	}
	if err != nil {
		return err
	}
	return r.finish()
}

// startTimeout cancels the reading of the list after Config.ListTimeout, unless stop is called before.
func (r *receiver) startTimeout() (stop func() bool) {
	return time.AfterFunc(r.cfg.ListTimeout, func() { r.cancel(errListTimeout) }).Stop
}

// addEntry adds an entry of the list. If the list has more entries than may be delivered as a whole, addEntry delivers
// them in parts.
func (r *receiver) addEntry(e Entry) error {
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

// maxUnsplitEntries returns the largest number of entries of a list that is delivered as a whole.
func (r *receiver) maxUnsplitEntries() int {
	if r.largeList() {
		return MaxPartEntries
	}
	return catalog.MaxEagerEndpoints
}

// largeList reports whether the owner holds a long list; see Config.LargeList.
func (r *receiver) largeList() bool { return r.cfg.LargeList != nil && r.cfg.LargeList() }

// beginParts begins to deliver the list in parts. If the list seems to hold only changes that were delivered before, it
// is skipped instead. The fields "version" and "full" may follow the entries; finish corrects the decision then.
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

// sendEntries sends the entries that were read in parts of MaxPartEntries, and keeps those that do not fill a part.
func (r *receiver) sendEntries() error {
	for len(r.entries) >= MaxPartEntries {
		part := r.entries[:MaxPartEntries:MaxPartEntries]
		if err := r.parts.send(&SnapshotPart{Kind: PartEntries, Entries: part}); err != nil {
			return err
		}
		// send has waited for the answer to the previous part, so the array of that part can be reused.
		rest := r.spare[:0]
		rest = append(rest, r.entries[MaxPartEntries:]...)
		r.spare = r.entries[:0]
		r.entries = rest
		r.onProgress()
	}
	return nil
}

// finish delivers what is left of the list after its last entry.
func (r *receiver) finish() error {
	full := r.fullSnapshot || r.head.Full
	isNew := full || r.head.Version > r.knownVersion
	switch {
	case r.skipped:
		// "version" or "full" may have come after the entries and show that the list is new. A snapshot is fetched
		// then.
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
		r.markDelivered(r.head.Version, full)
		r.cfg.OnUpdate(List{Version: r.head.Version, Full: full, Entries: r.entries})
	}
	return nil
}

// finishParts sends the remaining entries of a list that is delivered in parts, and its end. If the list is full, it
// also has the endpoints removed that the list did not name.
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
	r.markDelivered(r.head.Version, full)
	return nil
}

// sweep asks the owner to remove the endpoints that a full list did not name, until none is left.
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

// markDelivered records the version of a list that was delivered. A full list makes another snapshot unnecessary.
func (w *Watcher) markDelivered(version int64, full bool) {
	w.version = version
	w.needsSnapshot = w.needsSnapshot && !full
}
