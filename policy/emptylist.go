package policy

// emptyDestinationList is the destinations without routes, the one whose last route went first in front: a list through them, as
// they come and go one by one.
type emptyDestinationList struct{ first, last *destination }

func (l *emptyDestinationList) has(dest *destination) bool {
	return l.first == dest || dest.previousEmpty != nil
}

func (l *emptyDestinationList) add(dest *destination) {
	if dest.previousEmpty = l.last; l.last == nil {
		l.first = dest
	} else {
		l.last.nextEmpty = dest
	}
	l.last = dest
}

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
	dest.previousEmpty, dest.nextEmpty = nil, nil
}
