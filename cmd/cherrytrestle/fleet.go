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

type fleetCommand struct {
	Count  countCommand  `cmd:"" default:"withargs" help:"Count across the recordings of many relays what all of them together did (the default)."`
	Status statusCommand `cmd:"" help:"Tell of a running fleet as its relays see it."`
}

const (
	statusTimeout = 2 * time.Second // for each relay's answer
	maxStatusSize = 4 << 20         // bytes of it
)

type statusCommand struct {
	Addrs []string `arg:"" name:"address" help:"Second addresses of relays (ROUTER_MANAGEMENT)."`
}

// Run prints, for each relay that is asked, the members as it sees them, and what it refused and why. It fails if one
// does not answer.
func (c *statusCommand) Run(ctx context.Context, s *cli.Streams) error {
	client := http.Client{Timeout: statusTimeout}
	var errs []error
	for _, addr := range c.Addrs {
		st, err := fetchStatus(ctx, &client, addr)
		if err != nil {
			errs = append(errs, fmt.Errorf("fleet: %s: %w", addr, err))
			continue
		}
		if err := st.Print(s.Out); err != nil {
			return err
		}
	}
	return errors.Join(errs...)
}

func fetchStatus(ctx context.Context, client *http.Client, addr string) (st fleet.Status, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/fleet", nil)
	if err != nil {
		return st, err
	}
	res, err := client.Do(req)
	if err != nil {
		return st, err
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusNotFound {
		return st, errors.New("the relay belongs to no fleet")
	} else if res.StatusCode != http.StatusOK {
		return st, errors.New(res.Status)
	}
	err = json.NewDecoder(io.LimitReader(res.Body, maxStatusSize)).Decode(&st)
	return st, err
}

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
	fleet, err := fleetstats.Read(found, max(time.Millisecond, c.Bin))
	if err != nil {
		return err
	}
	return fleet.Write(s.Out, c.From, c.To, c.Place)
}
