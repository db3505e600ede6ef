package loadreport

import (
	"fmt"
	"math"
	"time"
)

const (
	maxNameLength     = 64  // bytes of a member's name
	maxEndpointLength = 128 // bytes of an endpoint's name

	// MaxRateMultiple bounds a reported rate, as a multiple of the limit in the endpoint list. A relay reports its own
	// part only: more than this multiple of what the destination takes from all relays is not traffic but an error.
	MaxRateMultiple = 20
	// MaxRate bounds a reported rate where the endpoint list has no limit, in calls a second.
	MaxRate = 1e5
	// minLimit is the limit that any destination is taken to have at least, in calls a second.
	minLimit      = 1.0
	maxBacklog    = 1 << 20
	maxRetryAfter = time.Hour
	// maxSequence bounds sequences and generations: one beyond it would leave no room for a greater one.
	maxSequence = math.MaxUint64 / 2
)

// RejectReason is why a report was rejected. The texts are keys of the status page.
type RejectReason string

// The reasons.
const (
	UnlistedMember RejectReason = "unlisted name"
	Malformed      RejectReason = "malformed"
	OutOfRange     RejectReason = "absurd figure"
	TooManyReports RejectReason = "too many pages"
	Expired        RejectReason = "too old"
)

// RejectedError says why a report was rejected.
type RejectedError struct {
	Reason RejectReason
	Detail string
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("load report rejected: %s: %s", e.Reason, e.Detail)
}

func rejectf(reason RejectReason, format string, args ...any) *RejectedError {
	return &RejectedError{reason, fmt.Sprintf(format, args...)}
}

// validate returns why a report cannot be right; nil: it may be.
func (t *Table) validate(r *Report) *RejectedError {
	if err := t.validateHeader(r); err != nil {
		return err
	}
	for i := range r.Scopes {
		scope := &r.Scopes[i]
		misplaced := scope.Destination < 0 || ReportNumber(scope.Destination) != r.Number
		if misplaced || len(scope.Endpoint) > maxEndpointLength {
			return rejectf(Malformed, "%s: destination %d in report %d", r.Name, scope.Destination, r.Number)
		}
		if i > 0 && scope.key().compare(r.Scopes[i-1].key()) <= 0 {
			return rejectf(Malformed, "%s: scopes of report %d are not sorted", r.Name, r.Number)
		}
		if err := t.validateLoad(r.Name, scope); err != nil {
			return err
		}
	}
	return nil
}

func (t *Table) validateHeader(r *Report) *RejectedError {
	if len(r.Name) > maxNameLength || !t.listed[r.Name] {
		return rejectf(UnlistedMember, "%.64q", r.Name)
	}
	validVersion := r.Generation > 0 && r.Generation <= maxSequence && r.Sequence > 0 && r.Sequence <= maxSequence
	if !validVersion || r.Number < 0 || len(r.Scopes) > MaxScopes {
		return rejectf(
			Malformed, "%s: generation %d, sequence %d, report %d of %d scopes",
			r.Name, r.Generation, r.Sequence, r.Number, len(r.Scopes),
		)
	}
	if r.Age < 0 {
		return rejectf(OutOfRange, "%s: age %v", r.Name, r.Age)
	}
	if r.Age > MaxAge {
		return rejectf(Expired, "%s: age %v", r.Name, r.Age)
	}
	return nil
}

// validateLoad checks the figures of one scope.
func (t *Table) validateLoad(name string, load *ScopeLoad) *RejectedError {
	maxRate := MaxRate
	if limit, ok := t.limits[load.key()]; ok {
		maxRate = MaxRateMultiple * max(minLimit, limit)
	}
	for _, rate := range load.rates() {
		if !(rate >= 0 && rate <= maxRate) { // written so that NaN fails too
			return rejectf(
				OutOfRange, "%s: %g a second at destination %d, %g at most", name, rate, load.Destination, maxRate,
			)
		}
	}
	if load.Backlog < 0 || load.Backlog > maxBacklog || load.RetryAfter < 0 || load.RetryAfter > maxRetryAfter {
		return rejectf(
			OutOfRange, "%s: backlog %d, Retry-After %v at destination %d",
			name, load.Backlog, load.RetryAfter, load.Destination,
		)
	}
	return nil
}
