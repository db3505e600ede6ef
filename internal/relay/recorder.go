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

const bytesPerMiB = 1 << 20

// recording is the relay's flight recorder and where its recordings go. One without a Recorder records nothing.
type recording struct {
	*flightrecorder.Recorder
	settings operatorfile.Recorder
	folder   flightrecorder.Folder
	out      io.Writer // the log, which receives recordings if no folder is set
	log      *slog.Logger
}

// newRecording begins a recording of a new engine, or, with now over 0, of one that was restored then.
func newRecording(
	cfg Config,
	log *slog.Logger,
	out io.Writer,
	started time.Time,
	engine *policy.Engine,
	now time.Duration,
) *recording {
	settings := cfg.Operator.Recorder
	if !settings.Enabled {
		return &recording{log: log}
	}
	meta := flightrecorder.Meta{
		Name:     cfg.Name,
		Revision: policy.Revision(),
		Program:  cfg.Version,
		Seed:     cfg.Seed,
		Settings: cfg.Settings,
		Started:  started.Round(0),
	}
	r := &recording{
		settings: settings,
		folder: flightrecorder.Folder{
			Path:  settings.Folder,
			Limit: int64(settings.FolderMB * bytesPerMiB),
			Name:  cfg.Name,
		},
		out: out,
		log: log,
	}
	if now > 0 {
		r.Recorder = flightrecorder.ResumeRecorder(meta, settings.RingBytes(), engine.Snapshot, now)
	} else {
		r.Recorder = flightrecorder.NewRecorder(meta, settings.RingBytes(), engine.Snapshot)
	}
	return r
}

// run writes the recording out continuously, if the operator's file asks for that, until ctx ends.
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
		r.log.Warn("recording stopped", "err", err)
	}
}

// dump writes out what the recorder's ring holds.
func (r *recording) dump(reason string) {
	if r.Recorder == nil {
		r.log.Warn("no recording written: the recorder is off")
		return
	}
	path := "the log"
	var err error
	if r.settings.Folder != "" {
		path, err = r.folder.Dump(r.Recorder, reason)
	} else {
		err = flightrecorder.DumpToLog(r.Recorder, reason, r.out)
	}
	if err != nil {
		r.log.Warn("recording not written", "reason", reason, "err", err)
		return
	}
	r.log.Info("recording written", "reason", reason, "path", path)
}

// DumpRecording writes out what the flight recorder's ring holds. It may be called at any time, from any goroutine.
func (r *Relay) DumpRecording(reason string) { r.sharedRecorder.Load().dump(reason) }

// dumpOnPanic writes out the recording of a loop that panics, and panics again. It must be deferred.
func (r *Relay) dumpOnPanic() {
	if cause := recover(); cause != nil {
		r.recorder.dump("crash")
		panic(cause)
	}
}
