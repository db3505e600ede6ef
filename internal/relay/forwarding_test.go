package relay

import (
	"net/http"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/hotrestart"
)

// Clients receive an answer even if the successor is gone. A submission that the successor may have accepted must
// fail: a client whose message is rejected would submit it again.
func TestForwardedSubmissionsAreAnswered(t *testing.T) {
	var f forwardedSubmissions
	unsent := newSubmission("m1", 7, time.Second)
	f.forward(nil, unsent)
	if a := <-unsent.reply; a.Status != http.StatusServiceUnavailable || a.RetryAfter == 0 {
		t.Errorf("without a successor: answer %+v, want status 503 with Retry-After", a)
	}
	sent := newSubmission("m2", 7, time.Second)
	f.pending = map[uint64]*submitEvent{3: sent}
	f.reply(&hotrestart.Answer{Seq: 4, Status: 202}) // for an unknown submission: ignored
	f.abort()
	if a := <-sent.reply; a.Status != http.StatusInternalServerError || !f.empty() {
		t.Errorf("after the successor is gone: answer %+v, want status 500", a)
	}
}
