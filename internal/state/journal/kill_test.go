package journal

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/store"
	"cherrytrestle.example/cherrytrestle/policy"
)

var kills = flag.Int("kills", 40, "how often TestKilledWriterLosesNoMessage kills the process that writes")

// writerVariable names the environment variable under which this binary is a process that writes a journal until it is
// killed. Its value is the state folder.
const writerVariable = "JOURNAL_TEST_WRITER"

// The words with which the writer reports what it does, one line each, followed by a message ID or a value.
const (
	reportFound    = "found"    // a message that the journal recovered
	reportIntact   = "intact"   // whether the recovery was intact; behind all that was found
	reportAccepted = "accepted" // a message, after it was accepted
	reportRemoving = "removing" // a message, before it is removed
	reportError    = "error"
)

func TestMain(m *testing.M) {
	if dir := os.Getenv(writerVariable); dir != "" {
		fmt.Println(reportError, runWriter(dir))
		return
	}
	os.Exit(m.Run())
}

// runWriter writes a journal as fast as it can, and reports on standard output. It returns only with an error.
func runWriter(dir string) error {
	j, recovery, err := OpenFolder(dir, Options{Limit: store.MinLimit})
	if err != nil {
		return err
	}
	lastID := policy.MessageID(0)
	for _, m := range recovery.Messages {
		fmt.Println(reportFound, m.ID)
		lastID = max(lastID, m.ID)
	}
	fmt.Println(reportIntact, recovery.Intact())
	live := recovery.Messages
	for {
		lastID++
		m := message(lastID)
		m.Body = make([]byte, 200+int(lastID)*37%3000)
		if err := j.Accept(m); err != nil {
			return err
		}
		fmt.Println(reportAccepted, m.ID)
		live = append(live, m)
		if err := j.RecordSends(Send{m, Attempt{Endpoint: "s-1", SentAt: time.Unix(1, 0)}}); err != nil {
			return err
		}
		for len(live) > 100 {
			fmt.Println(reportRemoving, live[0].ID)
			j.Remove(live[0])
			live = live[1:]
		}
		if err := j.Flush(); err != nil {
			return err
		}
	}
}

// writerMonitor follows the reports of writers that are killed one after the other.
type writerMonitor struct {
	unfinished map[policy.MessageID]bool // messages that were accepted and not removed
	accepted   int
}

// follow reads the reports of one writer until it ends. It calls recovered once the writer has opened the journal.
func (w *writerMonitor) follow(t *testing.T, reports io.Reader, recovered func()) {
	t.Helper()
	found := map[policy.MessageID]bool{}
	lines := bufio.NewScanner(reports)
	for lines.Scan() {
		var word, value string
		if _, err := fmt.Sscan(lines.Text(), &word, &value); err != nil {
			t.Fatalf("%q: %v", lines.Text(), err)
		}
		if word == reportIntact {
			w.checkRecovery(t, found, value)
			recovered()
			continue
		}
		var id policy.MessageID
		if _, err := fmt.Sscan(value, &id); err != nil {
			t.Fatalf("%q: %v", lines.Text(), err)
		}
		switch word {
		case reportFound:
			found[id] = true
		case reportAccepted:
			w.accepted++
			w.unfinished[id] = true
		case reportRemoving:
			delete(w.unfinished, id)
		default:
			t.Fatal(lines.Text())
		}
	}
}

func (w *writerMonitor) checkRecovery(t *testing.T, found map[policy.MessageID]bool, intact string) {
	t.Helper()
	for id := range w.unfinished {
		if !found[id] {
			t.Errorf("message %d is lost", id)
		}
	}
	if intact != "true" {
		t.Error("the journal is damaged")
	}
	w.unfinished = found
}

// A writer that is killed at any moment of an append, a new segment, a compaction or a removal, again and again in one
// folder, loses no message that was accepted and not removed.
func TestKilledWriterLosesNoMessage(t *testing.T) {
	dir := t.TempDir()
	rng := rand.New(rand.NewPCG(1, uint64(*kills)))
	monitor := &writerMonitor{unfinished: map[policy.MessageID]bool{}}
	for n := range *kills {
		t.Run(fmt.Sprint("kill ", n), func(t *testing.T) {
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), writerVariable+"="+dir)
			out, err := cmd.StdoutPipe()
			must(t, err)
			must(t, cmd.Start())
			defer func() {
				_ = cmd.Process.Kill() // an error: it has ended
				_ = cmd.Wait()         // always an error: it was killed
			}()
			monitor.follow(t, out, func() {
				delay := time.Duration(rng.IntN(20_000)) * time.Microsecond
				time.AfterFunc(delay, func() { _ = cmd.Process.Kill() }) // an error: it ended by itself
			})
		})
	}
	if minAccepted := 10 * *kills; monitor.accepted < minAccepted {
		t.Errorf("%d messages accepted, %d are needed to show anything", monitor.accepted, minAccepted)
	}
	t.Logf("%d messages accepted by %d writers", monitor.accepted, *kills)
}
