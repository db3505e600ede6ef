package main

import (
	"encoding/json"
	"fmt"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
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

// exitDamaged is the status of a journal that is damaged.
const exitDamaged = 3

func (c *journalFolder) read() (*journal.Journal, *journal.Recovery, error) {
	return journal.Read(c.State, int64(c.LimitMB*1e6))
}

type inspectCommand struct{ journalFolder }

// Run tells what is there.
func (c *inspectCommand) Run(s *cli.Streams) error {
	j, rec, err := c.read()
	if err != nil {
		return err
	}
	defer j.Close()
	st := j.Stats()
	withdrawn, decided, mayRun, doubtful := 0, 0, 0, 0
	for _, m := range rec.Messages {
		switch {
		case m.Cancelled:
			withdrawn++
		case m.Final != nil:
			decided++
		}
		if len(m.UncertainAttempts) > 0 {
			mayRun++
		}
		if m.Uncertain {
			doubtful++
		}
	}
	fmt.Fprintf(
		s.Out,
		"messages: %d, of which %d are withdrawn, %d wait for their notices to be taken, %d may have run, %d are doubtful\n",
		len(rec.Messages),
		withdrawn,
		decided,
		mayRun,
		doubtful,
	)
	fmt.Fprintf(
		s.Out,
		"store: %d segments, %d bytes on disk of %d, %d of them live; room for %d bytes of new messages, %d of ends and outcomes\n",
		st.SegmentCount,
		st.DiskBytes,
		st.Limit,
		st.LiveBytes,
		st.AvailableForValues,
		st.AvailableBytes,
	)
	printRecovery(s, rec)
	return nil
}

// printRecovery tells what was odd.
func printRecovery(s *cli.Streams, rec *journal.Recovery) {
	f := rec.Store
	for _, x := range f.Torn {
		fmt.Fprintf(
			s.Out,
			"segment %d: torn behind byte %d, never acknowledged (%d bytes)\n",
			x.Segment,
			x.From,
			x.To-x.From,
		)
	}
	for _, x := range f.Damaged {
		fmt.Fprintf(s.Out, "segment %d: DAMAGED from byte %d to %d\n", x.Segment, x.From, x.To)
	}
	for _, n := range f.Missing {
		fmt.Fprintf(s.Out, "segment %d: MISSING\n", n)
	}
	for _, n := range f.Lost {
		fmt.Fprintf(s.Out, "records %d to %d: LOST; messages taken on before them may have run\n", n.From, n.To-1)
	}
	for _, key := range f.LostKeys {
		fmt.Fprintf(s.Out, "message with key %d: LOST\n", key)
	}
	for _, name := range f.Foreign {
		fmt.Fprintf(s.Out, "%s: not a file of this store\n", name)
	}
	for _, n := range f.Stale {
		fmt.Fprintf(s.Out, "segment %d: done with, and removed at the next start\n", n)
	}
	if rec.Unreadable > 0 {
		fmt.Fprintf(s.Out, "%d values hold NO MESSAGE of this form\n", rec.Unreadable)
	}
}

type verifyCommand struct{ journalFolder }

// Run exits with 0 if all could be read, and with 3 if not.
func (c *verifyCommand) Run(s *cli.Streams) error {
	j, rec, err := c.read()
	if err != nil {
		return err
	}
	defer j.Close()
	unread := 0
	for _, m := range rec.Messages {
		if _, err := j.Body(m); err != nil {
			unread++
			fmt.Fprintf(s.Out, "message %d (%s): %v\n", m.ID, m.TraceID, err)
		}
	}
	printRecovery(s, rec)
	if !rec.Intact() || unread > 0 {
		return cli.Exit(exitDamaged)
	}
	fmt.Fprintf(s.Out, "sound: %d messages, %d bytes read\n", len(rec.Messages), rec.Store.Bytes())
	return nil
}

type dumpCommand struct{ journalFolder }

// Run writes a line for each message.
func (c *dumpCommand) Run(s *cli.Streams) error {
	j, rec, err := c.read()
	if err != nil {
		return err
	}
	defer j.Close()
	out := json.NewEncoder(s.Out)
	for _, m := range rec.Messages {
		body, err := j.Body(m)
		if err != nil {
			return err
		}
		line := map[string]any{
			"id": m.ID, "trace": m.TraceID, "class": m.Class, "service": m.ClassName, "customer": m.Tenant, "destination": m.Destination, "deadline": m.Deadline.UTC().Format(time.RFC3339Nano),
			"body_bytes": len(
				body,
			), "attempts": m.Attempts, "may_have_run": m.UncertainAttempts, "withdrawn": m.Cancelled, "doubtful": m.Uncertain,
		}
		if m.Final != nil {
			line["final"] = m.Final
		}
		if err := out.Encode(line); err != nil {
			return err
		}
	}
	return nil
}
