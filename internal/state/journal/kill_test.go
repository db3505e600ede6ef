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

// writerVariable is the name of an environment variable. If it is set, this test binary runs as a process that writes
// to a journal until it is killed. The value is the state folder.
const writerVariable = "JOURNAL_TEST_WRITER"

// Words in the reports of the writer process. A report is one line: a word, then a message ID or another value.
const (
	reportFound    = "found"    // followed by the ID of a recovered message
	reportIntact   = "intact"   // followed by true or false; reported after all recovered messages
	reportAccepted = "accepted" // followed by the ID of a message that has been accepted
	reportRemoving = "removing" // followed by the ID of a message that is about to be removed
	reportError    = "error"
)

func TestMain(m *testing.M) {
	if dir := os.Getenv(writerVariable); dir != "" {
		fmt.Println(reportError, runWriter(dir))
		return
	}
	os.Exit(m.Run())
}

// runWriter writes to a journal as fast as possible and reports each change on standard output. It returns only if
// there is an error.
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

// writerMonitor checks the reports of writer processes that run and are killed one after the other.
type writerMonitor struct {
	unfinished map[policy.MessageID]bool // messages that were accepted and not removed
	accepted   int
}

// follow reads the reports of one writer until the writer ends. It calls recovered after the writer has opened the
// journal.
func (w *writerMonitor) follow(t *testing.T, reports io.Reader, recovered func()) {
	t.Helper()
	found := map[policy.MessageID]bool{}
	lines := bufio.NewScanner(reports)
	for lines.Scan() {
		var word, value string
		if _, err := fmt.Sscan(lines.Text(), &word, &value); err != nil {
			t.Fatalf("malformed report %q: %v", lines.Text(), err)
		}
		if word == reportIntact {
			w.checkRecovery(t, found, value)
			recovered()
			continue
		}
		var id policy.MessageID
		if _, err := fmt.Sscan(value, &id); err != nil {
			t.Fatalf("malformed message ID in report %q: %v", lines.Text(), err)
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
			t.Fatalf("unexpected report %q", lines.Text())
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
		t.Errorf("the recovered journal is damaged: writer reported intact = %s", intact)
	}
	w.unfinished = found
}

// Writer processes that use the same folder are killed one after the other at random moments: during an append, the
// start of a segment, a compaction or a removal. No message is lost that was accepted and not removed.
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
				_ = cmd.Process.Kill() // fails if the writer has ended
				_ = cmd.Wait()         // always fails because the writer was killed
			}()
			monitor.follow(t, out, func() {
				delay := time.Duration(rng.IntN(20_000)) * time.Microsecond
				time.AfterFunc(delay, func() { _ = cmd.Process.Kill() }) // fails if the writer has ended
			})
		})
	}
	if minAccepted := 10 * *kills; monitor.accepted < minAccepted {
		t.Errorf("%d messages accepted; the test needs at least %d", monitor.accepted, minAccepted)
	}
	t.Logf("%d messages accepted by %d writers", monitor.accepted, *kills)
}
