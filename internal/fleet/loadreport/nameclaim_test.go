package loadreport

import (
	"testing"
	"time"
)

// A member begins a new incarnation past a rival a few times. Whoever goes on answering is another process, and this
// one is suspended until no rival was observed for long.
func TestNameClaim(t *testing.T) {
	type observation struct {
		at        int // seconds
		takeOver  bool
		suspended bool // afterwards
	}
	for name, observations := range map[string][]observation{
		"an old data directory": {{5, true, false}},
		"one that is older still, later": {
			{5, true, false},
			{7, true, false},
			{40, true, false},
			{80, true, false},
		},
		"another process under the name": {
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
					t.Errorf("after %d s: take over %v, suspended %v", want.at, takeOver, suspended)
				}
			}
		})
	}
}

// A suspension is never shortened, and only the first one is reported as new.
func TestSuspend(t *testing.T) {
	var claim NameClaim
	if !claim.Suspend(time.Second, 10*time.Second) {
		t.Error("the first suspension is not new")
	}
	if claim.Suspend(2*time.Second, time.Second) {
		t.Error("the second suspension is new")
	}
	if !claim.Suspended(10 * time.Second) {
		t.Error("the suspension was shortened")
	}
	if claim.Suspended(11 * time.Second) {
		t.Error("the suspension has not ended")
	}
}
