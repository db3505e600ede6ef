package ratelog

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// Within minInterval only the first occurrence is logged. The next log line reports how many were suppressed.
func TestWarningLogsOncePerInterval(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	w := Warning{Message: "bad input"}
	for range 4 {
		w.Log(log, "peer", "p")
	}
	if text := out.String(); strings.Count(text, "bad input") != 1 || strings.Contains(text, "suppressed") {
		t.Errorf("four occurrences within the interval: %s", text)
	}
	out.Reset()
	w.lastLogged = time.Now().Add(-minInterval)
	w.Log(log, "peer", "p")
	if text := out.String(); strings.Count(text, "bad input") != 1 || !strings.Contains(text, "suppressed=3") {
		t.Errorf("after the interval: %s", text)
	}
}
