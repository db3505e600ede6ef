package loadreport

import (
	"testing"
	"time"
)

// A member begins a new incarnation after the first few rivals. If rivals continue to appear, another process uses the
// name, and the member is suspended until no rival has been observed for rivalSuspension.
func TestNameClaim(t *testing.T) {
	type observation struct {
		at        int // seconds
		takeOver  bool
		suspended bool // after the observation
	}
	for name, observations := range map[string][]observation{
		"old data directory, one rival": {{5, true, false}},
		"older data directory, late rivals": {
			{5, true, false},
			{7, true, false},
			{40, true, false},
			{80, true, false},
		},
		"another process under the same name": {
			{5, true, false},
			{6, true, false},
			{7, true, false},
			{8, false, true},
			{40, false, true},
			{99, false, true},
			{160, true, false},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var claim NameClaim
			for _, want := range observations {
				now := time.Duration(want.at) * time.Second
				takeOver := claim.ObserveRival(now)
				if suspended := claim.Suspended(now); takeOver != want.takeOver || suspended != want.suspended {
					t.Errorf(
						"after %d s: take over %v, suspended %v, want %v, %v",
						want.at, takeOver, suspended, want.takeOver, want.suspended,
					)
				}
			}
		})
	}
}

// A suspension is never shortened, and only the first one is reported as new.
func TestSuspend(t *testing.T) {
	var claim NameClaim
	if !claim.Suspend(time.Second, 10*time.Second) {
		t.Error("the first suspension was not reported as new")
	}
	if claim.Suspend(2*time.Second, time.Second) {
		t.Error("the second suspension was reported as new")
	}
	if !claim.Suspended(10 * time.Second) {
		t.Error("the suspension was shortened by the second one")
	}
	if claim.Suspended(11 * time.Second) {
		t.Error("the suspension did not end after 10 s")
	}
}
