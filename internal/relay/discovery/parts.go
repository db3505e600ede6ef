package discovery

import (
	"context"
	"errors"
	"math"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
)

// MaxPartEntries is how many entries the loop applies at once: well under a millisecond's work.
const MaxPartEntries = 512

// PartKind is what a part of a long list carries.
type PartKind int

const (
	// PartBegin begins a list.
	PartBegin PartKind = iota
	// PartEntries carries some of its entries.
	PartEntries
	// PartSweep removes some of the endpoints that a complete list did not name.
	PartSweep
	// PartEnd ends the list: its version is reached.
	PartEnd
)

// SnapshotPart is a part of a long list. The next one comes once Reply has its answer.
type SnapshotPart struct {
	Kind    PartKind
	Entries []Entry
	Version int64
	// Reply is buffered and receives one answer. For a sweep: whether it was the last. For the end: whether the catalog
	// holds all entries.
	Reply chan bool
}

// partSender is the way of a long list to the loop: one part at a time, while the next one is read.
type partSender struct {
	post      func(*SnapshotPart) bool // false: nobody takes parts any more
	stopped   <-chan struct{}          // closed then
	largeList func() bool              // all lists go this way that are not short changes; nil: none do

	pending chan bool // answers the part that was handed over last
}

var errStopped = errors.New("the relay ends")

// send waits for the answer to the part before and hands over the next one.
func (x *partSender) send(p *SnapshotPart) error {
	if _, err := x.wait(); err != nil {
		return err
	}
	if p.Reply = make(chan bool, 1); x.post == nil || !x.post(p) {
		return errStopped
	}
	x.pending = p.Reply
	return nil
}

// wait waits for the answer to the last part.
func (x *partSender) wait() (ok bool, err error) {
	if x.pending == nil {
		return true, nil
	}
	select {
	case ok = <-x.pending:
	case <-x.stopped:
		err = errStopped
	}
	x.pending = nil
	return ok, err
}

// sendAndWait hands over a part and waits for its answer.
func (x *partSender) sendAndWait(p *SnapshotPart) (ok bool, err error) {
	if err := x.send(p); err != nil {
		return false, err
	}
	return x.wait()
}

// maxWholeEntries is how many entries a list may have that is told as a whole.
func (x *partSender) maxWholeEntries() int {
	if x.largeList != nil && x.largeList() {
		return MaxPartEntries
	}
	return catalog.MaxEagerEndpoints
}

// receiveOptions is how a list is received.
type receiveOptions struct {
	snapshot     bool                    // the list is whole, whatever it says
	knownVersion int64                   // changes up to this version are known
	onProgress   func()                  // is called as the list goes on
	cancel       context.CancelCauseFunc // ends the reading of a list without end
}

// receive reads one list and tells of it: as a whole, or, a long one, in parts as it comes. Its version is taken on at
// its end.
func (w *Watcher) receive(lists *ListReader, how receiveOptions) error {
	head := ListHead{Full: how.snapshot}
	var entries, spare []Entry
	var read int
	var long, passed bool // passed: it is read and not told
	if lists.onBegin = nil; w.ListTimeout > 0 {
		lists.onBegin = func() func() bool { return time.AfterFunc(w.ListTimeout, func() { how.cancel(errListTimeout) }).Stop }
	}
	err := lists.Next(&head, func(e Entry) error {
		if read++; read%MaxPartEntries == 0 {
			how.onProgress()
		}
		if entries = append(entries, e); !long && len(entries) <= w.parts.maxWholeEntries() || long && len(entries) < MaxPartEntries {
			return nil
		}
		if !long {
			long = true
			passed = !how.snapshot && !head.Full && how.knownVersion != math.MinInt64 &&
				(!head.hasVersion || head.Version <= how.knownVersion)
			if !passed {
				if _, err := w.parts.sendAndWait(&SnapshotPart{Kind: PartBegin}); err != nil {
					return err
				}
			}
		}
		if passed {
			entries = entries[:0]
			return nil
		}
		for len(entries) >= MaxPartEntries {
			if err := w.parts.send(&SnapshotPart{Kind: PartEntries, Entries: entries[:MaxPartEntries:MaxPartEntries]}); err != nil {
				return err
			}
			// The part before this one has been taken: what it stood in is free.
			rest := entries[MaxPartEntries:]
			entries, spare = append(spare[:0], rest...), entries[:0]
			how.onProgress()
		}
		return nil
	})
	if errors.Is(err, ErrTooLong) {
		w.oversizeLists.Log(w.Log, "err", err, "entries", read, "bytes", lists.src.listBytes)
	}
	if err != nil {
		return err
	}
	full := how.snapshot || head.Full
	switch {
	case passed:
		w.NeedsSnapshot = w.NeedsSnapshot || full || head.Version > how.knownVersion // it was not known yet that it must be told
		return nil
	case !long && !(full && w.parts.largeList != nil && w.parts.largeList()):
		if full || head.Version > how.knownVersion {
			w.deliver(List{Version: head.Version, Full: full, Entries: entries})
		}
		return nil
	case !long:
		if _, err := w.parts.sendAndWait(&SnapshotPart{Kind: PartBegin}); err != nil {
			return err
		}
	}
	return w.finish(entries, head.Version, full, how.onProgress)
}

// finish tells the rest of a long list, and that it is at its end.
func (w *Watcher) finish(entries []Entry, version int64, full bool, moves func()) error {
	if _, err := w.parts.sendAndWait(&SnapshotPart{Kind: PartEntries, Entries: entries}); err != nil {
		return err
	}
	for done := !full; !done; moves() {
		var err error
		if done, err = w.parts.sendAndWait(&SnapshotPart{Kind: PartSweep}); err != nil {
			return err
		}
	}
	held, err := w.parts.sendAndWait(&SnapshotPart{Kind: PartEnd, Version: version})
	if err != nil {
		return err
	}
	if !held {
		return errTooManyEntries
	}
	w.Version, w.NeedsSnapshot = version, w.NeedsSnapshot && !full
	return nil
}
