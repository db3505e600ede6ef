package policy

// emptyDestinationList is a linked list of the destinations without endpoints, in the order in which they lost
// their last endpoint. The links are fields of destination, so that a destination can be removed from any place in
// the list without a search.
type emptyDestinationList struct{ first, last *destination }

// has reports whether a destination is in the list.
func (l *emptyDestinationList) has(dest *destination) bool {
	return l.first == dest || dest.previousEmpty != nil
}

// add appends a destination that is not in the list.
func (l *emptyDestinationList) add(dest *destination) {
	dest.previousEmpty = l.last
	if l.last == nil {
		l.first = dest
	} else {
		l.last.nextEmpty = dest
	}
	l.last = dest
}

// remove takes a destination out of the list.
func (l *emptyDestinationList) remove(dest *destination) {
	if dest.previousEmpty == nil {
		l.first = dest.nextEmpty
	} else {
		dest.previousEmpty.nextEmpty = dest.nextEmpty
	}
	if dest.nextEmpty == nil {
		l.last = dest.previousEmpty
	} else {
		dest.nextEmpty.previousEmpty = dest.previousEmpty
	}
	dest.previousEmpty = nil
	dest.nextEmpty = nil
}
