package journal

import (
	"bufio"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/store"
)

var kills = flag.Int("kills", 40, "how often TestKilledWriterLosesNoMessage kills the process that writes")

// Under a variable this binary is a process that writes a journal as fast as it can, until it is killed.
func TestMain(m *testing.M) {
	if dir := os.Getenv("JOURNAL_TEST_WRITER"); dir != "" {
		if err := runWriter(dir); err != nil {
			fmt.Println("error", err)
		}
		return
	}
	os.Exit(m.Run())
}

// runWriter tells on standard output what it found, each message once it is taken on, and each before it is ended.
func runWriter(dir string) error {
	j, rec, err := OpenFolder(dir, Options{Limit: store.MinLimit})
	if err != nil {
		return err
	}
	next := uint32(0)
	for _, m := range rec.Messages {
		fmt.Println("found", m.ID)
		next = max(next, m.ID)
	}
	fmt.Println("sound", rec.Intact())
	live := rec.Messages
	for {
		next++
		m := message(next)
		m.Body = make([]byte, 200+int(next)*37%3000)
		if err := j.Accept(m); err != nil {
			return err
		}
		fmt.Println("took", m.ID)
		live = append(live, m)
		if err := j.RecordSends(Send{m, Attempt{Endpoint: "s-1", SentAt: time.Unix(1, 0)}}); err != nil {
			return err
		}
		for len(live) > 100 {
			fmt.Println("ends", live[0].ID)
			j.Remove(live[0])
			live = live[1:]
		}
		if err := j.Flush(); err != nil {
			return err
		}
	}
}

// Killed at any moment of append, roll, compaction and removal, hundreds of times over one folder, the journal has
// forgotten nothing that was taken on and not ended.
func TestKilledWriterLosesNoMessage(t *testing.T) {
	dir := t.TempDir()
	rng := rand.New(rand.NewPCG(1, uint64(*kills)))
	owed := map[uint32]bool{}
	wrote := 0
	for n := range *kills {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "JOURNAL_TEST_WRITER="+dir)
		out, err := cmd.StdoutPipe()
		must(t, err)
		must(t, cmd.Start())
		found := map[uint32]bool{}
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			var word, value string
			fmt.Sscan(lines.Text(), &word, &value)
			var id uint32
			fmt.Sscan(value, &id)
			switch word {
			case "found":
				found[id] = true
			case "sound":
				for id := range owed {
					if !found[id] {
						t.Errorf("after kill %d: message %d is forgotten", n, id)
					}
				}
				if value != "true" {
					t.Errorf("after kill %d the journal is damaged", n)
				}
				owed = found
				time.AfterFunc(time.Duration(rng.IntN(20_000))*time.Microsecond, func() { cmd.Process.Kill() })
			case "took":
				wrote++
				owed[id] = true
			case "ends":
				delete(owed, id)
			default:
				t.Fatalf("kill %d: %s", n, lines.Text())
			}
		}
		cmd.Wait()
	}
	if wrote < 10**kills {
		t.Errorf("%d messages in %d lives: the test shows little", wrote, *kills)
	}
	t.Logf("%d messages in %d lives", wrote, *kills)
}
