package relay

import (
	"context"
	"io"
	"log/slog"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/config/operatorfile"
	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/policy"
)

// recording is the relay's flight recorder and where its recordings go. A nil one records nothing.
type recording struct {
	*flightrecorder.Recorder
	settings operatorfile.Recorder
	folder   flightrecorder.Folder
	out      io.Writer // the log, where there is no folder
	log      *slog.Logger
}

// newRecording begins a recording of a module that knows nothing yet, or, with now over 0, of one in mid-life.
func newRecording(
	cfg Config,
	log *slog.Logger,
	out io.Writer,
	started time.Time,
	sender *policy.Engine,
	now time.Duration,
) *recording {
	set := cfg.Operator.Recorder
	if !set.Enabled {
		return &recording{log: log}
	}
	meta := flightrecorder.Meta{
		Name: cfg.Name, Revision: policy.Revision(), Program: cfg.Version, Seed: cfg.Seed, Settings: cfg.Settings, Started: started.Round(0),
	}
	rec := flightrecorder.NewRecorder
	if now > 0 {
		rec = func(meta flightrecorder.Meta, ring int, state func([]byte) []byte) *flightrecorder.Recorder {
			return flightrecorder.ResumeRecorder(meta, ring, state, now)
		}
	}
	return &recording{
		Recorder: rec(meta, set.Ring(), sender.Snapshot),
		settings: set, folder: flightrecorder.Folder{Path: set.Folder, Limit: int64(set.FolderMB * (1 << 20)), Name: cfg.Name}, out: out, log: log,
	}
}

// run writes the recording out as it goes on, where that is asked for, until ctx ends.
func (r *recording) run(ctx context.Context) {
	if r.Recorder == nil || r.settings.Write != operatorfile.WriteAll {
		return
	}
	var err error
	if r.settings.Folder != "" {
		err = r.folder.Follow(ctx, r.Recorder)
	} else {
		err = flightrecorder.FollowLog(ctx, r.Recorder, r.out)
	}
	if err != nil {
		r.log.Warn("recorder: no longer written", "err", err)
	}
}

// dump writes out what the ring holds.
func (r *recording) dump(reason string) {
	if r.Recorder == nil {
		r.log.Warn("no recording is kept: the recorder is off")
		return
	}
	path, err := "the log", error(nil)
	if r.settings.Folder != "" {
		path, err = r.folder.Dump(r.Recorder, reason)
	} else {
		err = flightrecorder.DumpToLog(r.Recorder, reason, r.out)
	}
	if err != nil {
		r.log.Warn("recording not kept", "reason", reason, "err", err)
		return
	}
	r.log.Info("recording kept", "reason", reason, "in", path)
}

// DumpRecording keeps what the flight recorder's ring holds. It may be called at any time, from any goroutine.
func (r *Relay) DumpRecording(reason string) { r.sharedRecorder.Load().dump(reason) }

// dumpOnPanic keeps the recording of a loop that panics, and lets it. It must be deferred.
func (r *Relay) dumpOnPanic() {
	if x := recover(); x != nil {
		r.recorder.dump("crash")
		panic(x)
	}
}
