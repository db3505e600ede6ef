package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/hotrestart"
	"cherrytrestle.example/cherrytrestle/policy"
)

// successorOf is a relay that has taken up what another one hands over; edit may spoil the state.
func successorOf(t *testing.T, old *Relay, edit func(*hotrestart.State)) *Relay {
	t.Helper()
	s := old.exportState()
	edit(s)
	if err := old.journal.Close(); err != nil {
		t.Fatal(err)
	}
	r, err := New(old.cfg, discardLog(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	r.callCtx = old.callCtx
	t.Cleanup(func() { r.egress.Close() })
	r.restoreState(s)
	return r
}

func outcomeOf(o policy.Outcome, id uint32, n int, wait time.Duration) remoteOutcome {
	return remoteOutcome{
		ID:           id,
		Number:       n,
		Outcome:      o,
		RetryAfter:   wait,
		Latency:      10 * time.Millisecond,
		CallFinished: true,
	}
}

// Whether the module's state can be read or not: what is out at the other process is not sent again before its outcome,
// and that binds: a delivery ends the message, a told wait holds the next one, what was not told may have run.
func TestTakeOverWithAttemptsInFlight(t *testing.T) {
	forms := map[string]func(*hotrestart.State){
		"the same form": func(*hotrestart.State) {},
		"another form":  func(s *hotrestart.State) { s.Snapshot = []byte{9} },
	}
	for name, edit := range forms {
		t.Run(name, func(t *testing.T) {
			old := newTestRelay(t)
			in := []*submitEvent{
				newSubmission("m1", 7, 9*time.Second),
				newSubmission("m2", 7, 9*time.Second),
				newSubmission("m3", 7, 9*time.Second),
			}
			for i, x := range in {
				x.message.ClassName, x.message.OrderingKey = "order", string(rune('a'+i))
			}
			submitAll(old, in...)
			if len(old.activeCalls) != 3 {
				t.Fatalf("%d calls out", len(old.activeCalls))
			}
			r := successorOf(t, old, edit)
			if len(r.remoteAttempts) != 3 || r.pending != 3 || len(r.activeCalls) != 0 {
				t.Fatalf("remote %d, held %d, calls %d", len(r.remoteAttempts), r.pending, len(r.activeCalls))
			}
			r.step([]event{tick{}})
			if len(r.activeCalls) != 0 {
				t.Fatal("sent again with the outcome still to come")
			}
			r.step([]event{outcomeOf(policy.OK, in[0].message.ID, 0, 0)})
			if r.messages[in[0].message.ID] != nil || r.pending != 2 {
				t.Errorf("delivered there, not ended here: held %d", r.pending)
			}
			r.step([]event{outcomeOf(policy.Overloaded, in[1].message.ID, 0, 5*time.Second)})
			views, _ := r.engine.Views()
			if len(r.activeCalls) != 0 || len(views) != 1 || views[0].RetryAfterUntil < r.now()+4*time.Second {
				t.Errorf("a told wait does not bind: %d calls, %+v", len(r.activeCalls), views)
			}
			r.step([]event{predecessorGone{}})
			m := r.messages[in[2].message.ID]
			if len(r.remoteAttempts) != 0 || m == nil || m.completed || m.inFlight != 0 || len(m.UncertainAttempts) != 1 ||
				len(r.messages[in[1].message.ID].UncertainAttempts) != 0 {
				t.Errorf("what was not told: %+v", m)
			}
			if a := submitAll(r, newSubmission("m3", 7, 9*time.Second))[0]; a.Status != http.StatusAccepted || r.pending != 2 {
				t.Errorf("handed in again: %+v, held %d", a, r.pending)
			}
		})
	}
}

// A process that takes over says that it is ready only once the one before it knows of it: told to end before that,
// this one would end without handing over, and its clients' connections with it.
func TestReadyOnlyAfterWelcome(t *testing.T) {
	dir := t.TempDir()
	l, err := hotrestart.Listen(filepath.Join(dir, "s"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	r := &Relay{log: discardLog()}
	if r.predecessor, err = hotrestart.Dial(filepath.Join(dir, "s")); err != nil {
		t.Fatal(err)
	}
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	first := hotrestart.NewConn(nc)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- r.takeOver(ctx) }()
	if f, err := first.Receive(); err != nil || f.Hello == nil {
		t.Fatalf("%+v, %v", f, err)
	}
	if r.awaitingHandover.Load() {
		t.Error("ready before it is welcome")
	}
	if err := first.Send(hotrestart.Frame{Welcome: true}); err != nil {
		t.Fatal(err)
	}
	for !r.awaitingHandover.Load() { // the test's own time limit ends what never comes
		runtime.Gosched()
	}
	cancel()
	if err := <-ended; !errors.Is(err, errTerminated) {
		t.Errorf("told to end: %v", err)
	}
}

// A message that ended while its end could not be written does not come back with the log.
func TestTakeOverOfAnEndThatIsNotInTheJournal(t *testing.T) {
	old := newTestRelay(t)
	in := newSubmission("m1", 7, 9*time.Second)
	submitAll(old, in)
	r := successorOf(t, old, func(s *hotrestart.State) { s.Messages, s.Attempts = nil, nil })
	if len(r.messages) != 0 || r.pending != 0 || r.journal.Tracks(in.message) {
		t.Errorf("held %d, %v", r.pending, r.messages)
	}
}

// A process to which nothing can be handed answers its clients all the same; one that may have taken a message on is
// not said to have refused it.
func TestForwardedSubmissionsAreAnswered(t *testing.T) {
	var f forwardedSubmissions
	none := newSubmission("m1", 7, time.Second)
	f.forward(nil, none)
	if a := <-none.reply; a.Status != http.StatusServiceUnavailable || a.RetryAfter == 0 {
		t.Errorf("%+v", a)
	}
	open := newSubmission("m2", 7, time.Second)
	f.pending = map[uint64]*submitEvent{3: open}
	f.reply(&hotrestart.Answer{Seq: 4, Status: 202}) // of nobody
	f.abort()
	if a := <-open.reply; a.Status != http.StatusInternalServerError || !f.empty() {
		t.Errorf("%+v", a)
	}
}
