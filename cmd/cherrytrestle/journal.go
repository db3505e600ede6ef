package main

import (
	"encoding/json"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

type journalCommand struct {
	Inspect inspectCommand `cmd:"" help:"Tell what a journal holds and how much room is left."`
	Verify  verifyCommand  `cmd:"" help:"Read all of a journal, and tell what cannot be read (status 3)."`
	Dump    dumpCommand    `cmd:"" help:"Write the messages of a journal as JSON Lines, without their bodies."`
}

// journalFolder is the state folder of a relay, running or not, or a copy of one. Nothing in it is changed.
type journalFolder struct {
	State   string  `arg:"" help:"The relay's state folder." type:"existingdir"`
	LimitMB float64 `help:"The disk limit, as the platform tells it to the relay." default:"3"`
}

// exitDamaged is the exit status for a journal that is damaged.
const exitDamaged = 3

// withJournal opens the journal for reading, calls use and closes it.
func (c *journalFolder) withJournal(use func(*journal.Journal, *journal.Recovery) error) error {
	j, recovery, err := journal.Read(c.State, int64(c.LimitMB*1e6))
	if err != nil {
		return err
	}
	defer func() { _ = j.Close() }() // It was only read: there is nothing to lose.
	return use(j, recovery)
}

type inspectCommand struct{ journalFolder }

// Run prints counts of the journal's messages and its use of the disk.
func (c *inspectCommand) Run(s *cli.Streams) error {
	return c.withJournal(func(j *journal.Journal, recovery *journal.Recovery) error {
		out := cli.NewPrinter(s.Out)
		printMessageCounts(out, recovery)
		stats := j.Stats()
		out.Printf("store: %d segments, %d bytes on disk of %d, %d of them live; ", stats.SegmentCount,
			stats.DiskBytes, stats.Limit, stats.LiveBytes)
		out.Printf("room for %d bytes of new messages, %d of ends and outcomes\n", stats.AvailableForValues,
			stats.AvailableBytes)
		printRecovery(out, recovery)
		return out.Err()
	})
}

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
	out.Printf("messages: %d, of which %d are withdrawn, %d wait for their notices to be taken, ",
		len(recovery.Messages), cancelled, final)
	out.Printf("%d may have run, %d are doubtful\n", mayHaveRun, uncertain)
}

// printRecovery prints what of the journal was damaged, lost or not expected.
func printRecovery(out *cli.Printer, recovery *journal.Recovery) {
	store := recovery.Store
	for _, torn := range store.Torn {
		out.Printf("segment %d: torn behind byte %d, never acknowledged (%d bytes)\n", torn.Segment, torn.From,
			torn.To-torn.From)
	}
	for _, damaged := range store.Damaged {
		out.Printf("segment %d: DAMAGED from byte %d to %d\n", damaged.Segment, damaged.From, damaged.To)
	}
	for _, segment := range store.Missing {
		out.Printf("segment %d: MISSING\n", segment)
	}
	for _, lost := range store.Lost {
		out.Printf("records %d to %d: LOST; messages taken on before them may have run\n", lost.From, lost.To-1)
	}
	for _, key := range store.LostKeys {
		out.Printf("message with key %d: LOST\n", key)
	}
	for _, name := range store.Foreign {
		out.Printf("%s: not a file of this store\n", name)
	}
	for _, segment := range store.Stale {
		out.Printf("segment %d: done with, and removed at the next start\n", segment)
	}
	if recovery.Unreadable > 0 {
		out.Printf("%d values hold NO MESSAGE of this form\n", recovery.Unreadable)
	}
}

type verifyCommand struct{ journalFolder }

// Run exits with 0 if all could be read, and with 3 if not.
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
			out.Printf("sound: %d messages, %d bytes read\n", len(recovery.Messages), recovery.Store.Bytes())
		}
		if out.Err() == nil && !intact {
			return cli.Exit(exitDamaged)
		}
		return out.Err()
	})
}

type dumpCommand struct{ journalFolder }

// messageLine is a message of the journal as dump writes it. The fields are in the order of their keys.
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
	TraceID     string               `json:"trace"`
	Cancelled   bool                 `json:"withdrawn"`
}

// Run writes a line for each message.
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
		TraceID:     message.TraceID,
		Cancelled:   message.Cancelled,
	}
}
