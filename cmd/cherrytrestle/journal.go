package main

import (
	"encoding/json"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

type journalCommand struct {
	Inspect inspectCommand `cmd:"" help:"Print the counts of a journal's messages, its disk use and its free space."`
	Verify  verifyCommand  `cmd:"" help:"Read all of a journal, and print what cannot be read (exit status 3)."`
	Dump    dumpCommand    `cmd:"" help:"Write the messages of a journal as JSON Lines, without their bodies."`
}

// journalFolder selects the state folder of a relay, running or not, or a copy of a state folder. The commands do not
// change anything in the folder.
type journalFolder struct {
	State   string  `arg:"" help:"The relay's state folder." type:"existingdir"`
	LimitMB float64 `help:"The relay's disk limit in MB, as the platform sets it." default:"3"`
}

// exitDamaged is the exit status for a journal that is damaged.
const exitDamaged = 3

// withJournal opens the journal for reading, calls use, and closes the journal.
func (c *journalFolder) withJournal(use func(*journal.Journal, *journal.Recovery) error) error {
	j, recovery, err := journal.Read(c.State, int64(c.LimitMB*1e6))
	if err != nil {
		return err
	}
	defer func() { _ = j.Close() }() // the journal is only read, so an error loses no data
	return use(j, recovery)
}

type inspectCommand struct{ journalFolder }

// Run prints the counts of the journal's messages, its disk use, its free space and its damage.
func (c *inspectCommand) Run(s *cli.Streams) error {
	return c.withJournal(func(j *journal.Journal, recovery *journal.Recovery) error {
		out := cli.NewPrinter(s.Out)
		printMessageCounts(out, recovery)
		stats := j.Stats()
		out.Printf("store: %d segments, %d bytes on disk (limit %d), %d of them live; ", stats.SegmentCount,
			stats.DiskBytes, stats.Limit, stats.LiveBytes)
		out.Printf("space for %d bytes of new messages, %d of attempts, outcomes and removals\n",
			stats.AvailableForValues, stats.AvailableBytes)
		printRecovery(out, recovery)
		return out.Err()
	})
}

// printMessageCounts prints how many messages the journal has, and in which states.
func printMessageCounts(out *cli.Printer, recovery *journal.Recovery) {
	var cancelled, final, mayHaveRun, uncertain int
	for _, message := range recovery.Messages {
		switch {
		case message.Cancelled:
			cancelled++
		case message.Final != nil:
			final++
		}
		if len(message.UncertainAttempts) > 0 {
			mayHaveRun++
		}
		if message.Uncertain {
			uncertain++
		}
	}
	out.Printf("messages: %d, of which %d are cancelled, %d have an unacknowledged final answer, ",
		len(recovery.Messages), cancelled, final)
	out.Printf("%d may have run, %d may be missing records\n", mayHaveRun, uncertain)
}

// printRecovery prints which parts of the journal are damaged, lost or unexpected.
func printRecovery(out *cli.Printer, recovery *journal.Recovery) {
	store := recovery.Store
	for _, torn := range store.Torn {
		out.Printf("segment %d: torn write from byte %d on, never acknowledged (%d bytes)\n", torn.Segment, torn.From,
			torn.To-torn.From)
	}
	for _, damaged := range store.Damaged {
		out.Printf("segment %d: DAMAGED from byte %d to %d\n", damaged.Segment, damaged.From, damaged.To)
	}
	for _, segment := range store.Missing {
		out.Printf("segment %d: MISSING\n", segment)
	}
	for _, lost := range store.Lost {
		out.Printf("records %d to %d: LOST; messages accepted before them may have run\n", lost.From, lost.To-1)
	}
	for _, key := range store.LostKeys {
		out.Printf("message with key %d: LOST\n", key)
	}
	for _, name := range store.Foreign {
		out.Printf("%s: not a file of this store\n", name)
	}
	for _, segment := range store.Stale {
		out.Printf("segment %d: obsolete, will be removed at the relay's next start\n", segment)
	}
	if recovery.Unreadable > 0 {
		out.Printf("%d values hold NO MESSAGE in a known encoding\n", recovery.Unreadable)
	}
}

type verifyCommand struct{ journalFolder }

// Run reads the whole journal. The exit status is 0 if everything could be read, and exitDamaged otherwise.
func (c *verifyCommand) Run(s *cli.Streams) error {
	return c.withJournal(func(j *journal.Journal, recovery *journal.Recovery) error {
		out := cli.NewPrinter(s.Out)
		intact := recovery.Intact()
		for _, message := range recovery.Messages {
			if _, err := j.Body(message); err != nil {
				intact = false
				out.Printf("message %d (%s): %v\n", message.ID, message.TraceID, err)
			}
		}
		printRecovery(out, recovery)
		if intact {
			out.Printf("intact: %d messages, %d bytes read\n", len(recovery.Messages), recovery.Store.Bytes())
		}
		if out.Err() == nil && !intact {
			return cli.Exit(exitDamaged)
		}
		return out.Err()
	})
}

type dumpCommand struct{ journalFolder }

// messageLine is the line that dump writes for a message. The fields are ordered by their JSON keys.
type messageLine struct {
	Attempts    int                  `json:"attempts"`
	BodyBytes   int                  `json:"body_bytes"`
	Class       int                  `json:"class"`
	Tenant      int                  `json:"customer"`
	Deadline    string               `json:"deadline"`
	Destination policy.DestinationID `json:"destination"`
	Uncertain   bool                 `json:"doubtful"`
	Final       *journal.FinalAnswer `json:"final,omitempty"`
	ID          policy.MessageID     `json:"id"`
	MayHaveRun  []journal.Attempt    `json:"may_have_run"`
	ClassName   string               `json:"service"`
	Terms       *policy.MessageTerms `json:"terms,omitempty"` // none if they are unknown
	TraceID     string               `json:"trace"`
	Cancelled   bool                 `json:"withdrawn"`
}

// Run writes a JSON line for each message.
func (c *dumpCommand) Run(s *cli.Streams) error {
	return c.withJournal(func(j *journal.Journal, recovery *journal.Recovery) error {
		encoder := json.NewEncoder(s.Out)
		for _, message := range recovery.Messages {
			body, err := j.Body(message)
			if err != nil {
				return err
			}
			if err := encoder.Encode(newMessageLine(message, len(body))); err != nil {
				return err
			}
		}
		return nil
	})
}

func newMessageLine(message *journal.Message, bodyBytes int) messageLine {
	return messageLine{
		Attempts:    message.Attempts,
		BodyBytes:   bodyBytes,
		Class:       message.Class,
		Tenant:      message.Tenant,
		Deadline:    message.Deadline.UTC().Format(time.RFC3339Nano),
		Destination: message.Destination,
		Uncertain:   message.Uncertain,
		Final:       message.Final,
		ID:          message.ID,
		MayHaveRun:  message.UncertainAttempts,
		ClassName:   message.ClassName,
		Terms:       message.Terms,
		TraceID:     message.TraceID,
		Cancelled:   message.Cancelled,
	}
}
