package relay

import (
	"net/http"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/hotrestart"
)

// Clients are answered also if the successor is gone. A submission that may have been accepted is not said to be
// rejected.
func TestForwardedSubmissionsAreAnswered(t *testing.T) {
	var f forwardedSubmissions
	unsent := newSubmission("m1", 7, time.Second)
	f.forward(nil, unsent)
	if a := <-unsent.reply; a.Status != http.StatusServiceUnavailable || a.RetryAfter == 0 {
		t.Errorf("%+v", a)
	}
	sent := newSubmission("m2", 7, time.Second)
	f.pending = map[uint64]*submitEvent{3: sent}
	f.reply(&hotrestart.Answer{Seq: 4, Status: 202}) // of nobody
	f.abort()
	if a := <-sent.reply; a.Status != http.StatusInternalServerError || !f.empty() {
		t.Errorf("%+v", a)
	}
}
