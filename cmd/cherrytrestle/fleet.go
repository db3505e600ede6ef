package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/fleet"
	"cherrytrestle.example/cherrytrestle/internal/recording/fleetstats"
	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
)

//nolint:lll // A struct tag is one line.
type fleetCommand struct {
	Count  countCommand  `cmd:"" default:"withargs" help:"Count across the recordings of many relays what all of them together did (the default)."`
	Status statusCommand `cmd:"" help:"Tell of a running fleet as its relays see it."`
}

const (
	statusTimeout = 2 * time.Second  // for each relay's answer
	maxStatusSize = 4 << 20          // of an answer, in bytes
	minBinWidth   = time.Millisecond // of the table by time
)

// errNoFleet is returned for a relay that belongs to no fleet.
var errNoFleet = errors.New("the relay belongs to no fleet")

type statusCommand struct {
	Addrs []string `arg:"" name:"address" help:"Second addresses of relays (ROUTER_MANAGEMENT)."`
}

// Run prints the fleet as each of the relays sees it. It fails if one does not answer.
func (c *statusCommand) Run(ctx context.Context, s *cli.Streams) error {
	client := http.Client{Timeout: statusTimeout}
	var errs []error
	for _, addr := range c.Addrs {
		status, err := fetchStatus(ctx, &client, addr)
		if err != nil {
			errs = append(errs, fmt.Errorf("fleet: %s: %w", addr, err))
			continue
		}
		if err := status.Print(s.Out); err != nil {
			return err
		}
	}
	return errors.Join(errs...)
}

// fetchStatus queries the second address of a relay for the status of its fleet.
func fetchStatus(ctx context.Context, client *http.Client, addr string) (fleet.Status, error) {
	var status fleet.Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/fleet", http.NoBody)
	if err != nil {
		return status, err
	}
	response, err := client.Do(request)
	if err != nil {
		return status, err
	}
	defer func() { _ = response.Body.Close() }() // nothing was written, so that an error loses nothing
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return status, errNoFleet
	default:
		return status, errors.New(response.Status)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxStatusSize)).Decode(&status)
	return status, err
}

//nolint:lll // A struct tag is one line.
type countCommand struct {
	Files []string      `arg:"" name:"file" help:"Recordings of many relays: files of a recorder's folder, or logs that hold them." type:"existingfile"`
	From  time.Duration `help:"Count from here on, since the first process began."`
	To    time.Duration `help:"Count up to here; 0: to the end."`
	Bin   time.Duration `default:"1s" help:"Width of the times that are told apart."`
	Place string        `help:"Tell one place by time: a destination, DESTINATION/ROUTE where routes stand apart, or all."`
}

// Run prints a table.
func (c *countCommand) Run(s *cli.Streams) error {
	found, err := flightrecorder.Load(c.Files...)
	if err != nil {
		return err
	}
	stats, err := fleetstats.Read(found, max(minBinWidth, c.Bin))
	if err != nil {
		return err
	}
	return stats.Write(s.Out, c.From, c.To, c.Place)
}
