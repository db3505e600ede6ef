package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Lines of a record.
const (
	headerLine = `{"format":1,"scenario":"s","relays":["r1"],` +
		`"classes":[{"name":"c","effect":"safe","aim":1000000000,"give_up":2000000000,"worth":1}],` +
		`"customers":[{"name":"a"}]}` + "\n"
	startLine     = `{"at":1,"k":"process","relay":"r1","state":"start"}` + "\n"
	submittedLine = `{"at":2,"k":"offer","id":"m","of":"m","relay":"r1","dest":1,"for":1000000000}` + "\n"
	answeredLine  = `{"at":3,"k":"heard","id":"m","relay":"r1","status":202}` + "\n"
	noticeLine    = `{"at":4,"k":"notice","relay":"r1","id":"m","state":"deferred"}` + "\n"
	invalidLine   = `{"at":5,"k":"fault","cause":"odd"}` + "\n"
	endLine       = `{"at":9000000000,"k":"end"}` + "\n"
)

// The report command checks a stored record again, and exits with the status of the result.
func TestReportOfARecord(t *testing.T) {
	const started = headerLine + startLine + submittedLine + answeredLine
	for _, c := range []struct {
		name   string
		record string
		status int
		want   string
	}{
		{"rules held", started + noticeLine + endLine, exitHeld, "1 held"},
		{"message lost", started + endLine, exitViolated, "BROKEN"},
		{"record without end", started + noticeLine, exitInconclusive, "NOT JUDGED"},
		{"invalid run", started + noticeLine + invalidLine + endLine, exitViolated, "INVALID RUN"},
		{"no record", "nonsense\n", exitFailed, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, "record.jsonl"), []byte(c.record), 0o600); err != nil {
				t.Fatal(err)
			}
			status, out, _ := call("report", dir)
			if status != c.status || !strings.Contains(out, c.want) {
				t.Errorf("status %d, want %d: %s", status, c.status, out)
			}
			status, out, _ = call("report", "--json", dir)
			if status != c.status || status != exitFailed && !json.Valid([]byte(out)) {
				t.Errorf("as JSON: status %d, want %d: %s", status, c.status, out)
			}
		})
	}
}
