package policy

import (
	"testing"
	"time"
)

// Where room is short so many messages are looked at for one to refuse, and no more: a restart finds a full house of which none may be
// refused, and would look through all of it for each message that it takes up, and for each new one.
func TestRoomIsLookedForOnlySoFar(t *testing.T) {
	for _, c := range []struct {
		name    string
		behind  int // messages that may not be refused, behind one that may
		refused bool
	}{
		{"near the end", scanDepth - 1, true},
		{"beyond the depth", scanDepth, false},
	} {
		s, err := New(Settings{Classes: []Class{{Effect: Safe, Aim: 3 * time.Second, GiveUp: 16 * time.Second}}, MaxHeld: (c.behind*10 + 8) / 9}, 1) // short with the last
		if err != nil {
			t.Fatal(err)
		}
		evs := []Event{{Kind: Taken, ID: 1, Destination: 5, Left: 8 * time.Second}}
		for i := range c.behind {
			evs = append(evs, Event{Kind: Taken, ID: uint32(i + 2), Destination: 5, Left: 9 * time.Second, Resumed: &Resumed{}})
		}
		refused := false
		for _, a := range s.Step(time.Second, evs) {
			refused = refused || a.Kind == Refuse && a.ID == 1
		}
		if refused != c.refused {
			t.Errorf("%s: refused %v, want %v", c.name, refused, c.refused)
		}
	}
}
