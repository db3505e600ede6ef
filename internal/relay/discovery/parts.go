package discovery

import "errors"

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

// String returns the kind's name in lower case.
func (k PartKind) String() string {
	switch k {
	case PartBegin:
		return "begin"
	case PartEntries:
		return "entries"
	case PartSweep:
		return "sweep"
	case PartEnd:
		return "end"
	}
	return "unknown"
}

// SnapshotPart is a part of a long list. The next one comes once Reply has its answer.
type SnapshotPart struct {
	Kind    PartKind
	Entries []Entry
	Version int64
	// Reply is buffered and receives one answer. For a sweep: whether it was the last. For the end: whether the catalog
	// holds all entries.
	Reply chan bool
}

// errStopped reports that the owner of the watcher takes no more parts.
var errStopped = errors.New("relay has stopped")

// partSender sends the parts of a long list to the owner of a watcher, one at a time, while the next one is read.
type partSender struct {
	post    func(*SnapshotPart) bool // false: the owner has stopped
	stopped <-chan struct{}          // closed then

	pending chan bool // receives the answer to the last part; nil: that has its answer
}

// send waits for the answer to the last part and sends the next one.
func (s *partSender) send(p *SnapshotPart) error {
	if _, err := s.wait(); err != nil {
		return err
	}
	p.Reply = make(chan bool, 1)
	if s.post == nil || !s.post(p) {
		return errStopped
	}
	s.pending = p.Reply
	return nil
}

// wait waits for the answer to the last part.
func (s *partSender) wait() (ok bool, err error) {
	if s.pending == nil {
		return true, nil
	}
	select {
	case ok = <-s.pending:
	case <-s.stopped:
		err = errStopped
	}
	s.pending = nil
	return ok, err
}

// sendAndWait sends a part and waits for its answer.
func (s *partSender) sendAndWait(p *SnapshotPart) (ok bool, err error) {
	if err := s.send(p); err != nil {
		return false, err
	}
	return s.wait()
}
