package main

import (
	"time"

	"onyxroad.dev/onyxroad/internal/cli"
	"onyxroad.dev/onyxroad/internal/flight"
	"onyxroad.dev/onyxroad/internal/tally"
)

type fleetCommand struct {
	Files []string      `arg:"" name:"file" help:"Recordings of many relays: files of a recorder's folder, or logs that hold them." type:"existingfile"`
	From  time.Duration `help:"Count from here on, since the first process began."`
	To    time.Duration `help:"Count up to here; 0: to the end."`
	Bin   time.Duration `default:"1s" help:"Width of the times that are told apart."`
	Place string        `help:"Tell one place by time: a destination, DESTINATION/ROUTE where routes stand apart, or all."`
}

// Run prints a table.
func (c *fleetCommand) Run(s *cli.Streams) error {
	found, err := flight.Load(c.Files...)
	if err != nil {
		return err
	}
	fleet, err := tally.Read(found, max(time.Millisecond, c.Bin))
	if err != nil {
		return err
	}
	return fleet.Write(s.Out, c.From, c.To, c.Place)
}
