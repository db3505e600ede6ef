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
	Count  countCommand  `cmd:"" default:"withargs" help:"Print a table of counts, summed over the recordings of many relays (the default)."`
	Status statusCommand `cmd:"" help:"Print the status of a running fleet, as each of its relays sees it."`
}

const (
	statusTimeout = 2 * time.Second  // bounds the wait for each relay's answer
	maxStatusSize = 4 << 20          // upper bound on a relay's answer, in bytes
	minBinWidth   = time.Millisecond // lower bound on the flag --bin
)

// errNoFleet is returned for a relay that belongs to no fleet.
var errNoFleet = errors.New("the relay belongs to no fleet")

type statusCommand struct {
	Addrs []string `arg:"" name:"address" help:"Management addresses of relays (ROUTER_MANAGEMENT)."`
}

// Run prints the status of the fleet as each of the relays sees it. It queries all relays, and returns an error if
// any of them does not answer.
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

// fetchStatus requests the status of the fleet from the management address of a relay.
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
	defer func() { _ = response.Body.Close() }() // the body is only read, so an error loses no data
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
	From  time.Duration `help:"Start of the time range, as time since the start of the first process."`
	To    time.Duration `help:"End of the time range, as time since the start of the first process; 0: the end of the recordings."`
	Bin   time.Duration `default:"1s" help:"Width of a time bin, for the table by time."`
	Place string        `help:"Print the counts by time of one rate-limit scope (a destination, or DESTINATION/ENDPOINT where each endpoint has a limit of its own) or of all scopes together (all)."`
}

// Run prints the counts as a table: a row for each rate-limit scope or, with --place, a row for each time bin.
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
