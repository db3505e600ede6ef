package loadreport

import (
	"fmt"
	"math"
	"time"
)

const (
	maxNameLength     = 64  // bytes of a member's name
	maxEndpointLength = 128 // bytes of an endpoint's name

	// MaxRateMultiple bounds a reported rate, as a multiple of the limit in the endpoint list. A relay reports only its
	// own traffic, so a rate above this multiple of the limit for all relays together is an error.
	MaxRateMultiple = 20
	// MaxRate bounds a reported rate for which the endpoint list has no limit, in calls a second.
	MaxRate = 1e5
	// minLimit is the least limit that MaxRateMultiple is applied to, in calls a second. Lesser limits count as
	// minLimit.
	minLimit      = 1.0
	maxBacklog    = 1 << 20 // messages
	maxRetryAfter = time.Hour
	// maxSequence bounds sequences and generations, so that there is always room for greater ones.
	maxSequence = math.MaxUint64 / 2
)

// RejectReason is the reason why a report was rejected. The texts are keys in the status page.
type RejectReason string

// The reasons for rejecting a report.
const (
	UnlistedMember RejectReason = "unlisted name"
	Malformed      RejectReason = "malformed"
	OutOfRange     RejectReason = "absurd figure"
	TooManyReports RejectReason = "too many pages"
	Expired        RejectReason = "too old"
)

// RejectedError is the error for a report that was rejected.
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

// validate returns an error if a report is invalid or its member is not listed.
func (t *Table) validate(r *Report) *RejectedError {
	if err := t.validateHeader(r); err != nil {
		return err
	}
	for i := range r.Scopes {
		scope := &r.Scopes[i]
		misplaced := scope.Destination < 0 || ReportNumber(scope.Destination) != r.Number
		if misplaced || len(scope.Endpoint) > maxEndpointLength {
			return rejectf(
				Malformed, "member %s: destination %d is not part of report %d, or its endpoint name is too long",
				r.Name, scope.Destination, r.Number,
			)
		}
		if i > 0 && scope.key().compare(r.Scopes[i-1].key()) <= 0 {
			return rejectf(Malformed, "member %s: scopes of report %d are not sorted or not unique", r.Name, r.Number)
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
			Malformed, "member %s: invalid generation %d, sequence %d, report number %d or scope count %d",
			r.Name, r.Generation, r.Sequence, r.Number, len(r.Scopes),
		)
	}
	if r.Age < 0 {
		return rejectf(OutOfRange, "member %s: negative age %v", r.Name, r.Age)
	}
	if r.Age > MaxAge {
		return rejectf(Expired, "member %s: age %v is greater than MaxAge", r.Name, r.Age)
	}
	return nil
}

// validateLoad checks the values of one scope.
func (t *Table) validateLoad(name string, load *ScopeLoad) *RejectedError {
	maxRate := MaxRate
	if limit, ok := t.limits[load.key()]; ok {
		maxRate = MaxRateMultiple * max(minLimit, limit)
	}
	for _, rate := range load.rates() {
		if !(rate >= 0 && rate <= maxRate) { // written so that NaN fails too
			return rejectf(
				OutOfRange, "member %s: rate %g per second at destination %d is not between 0 and %g",
				name, rate, load.Destination, maxRate,
			)
		}
	}
	if load.Backlog < 0 || load.Backlog > maxBacklog || load.RetryAfter < 0 || load.RetryAfter > maxRetryAfter {
		return rejectf(
			OutOfRange, "member %s: backlog %d or Retry-After %v of destination %d is out of range",
			name, load.Backlog, load.RetryAfter, load.Destination,
		)
	}
	return nil
}
