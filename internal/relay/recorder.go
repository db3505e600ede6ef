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

// recording is the relay's flight recorder, and where its recordings are written. Without a Recorder it records
// nothing.
type recording struct {
	*flightrecorder.Recorder
	settings operatorfile.Recorder
	folder   flightrecorder.Folder
	out      io.Writer // the log, which receives recordings if no folder is set
	log      *slog.Logger
}

// newRecording begins a recording of a new engine. If now is above 0, the engine was restored from a predecessor's
// state at that time, and the recording begins with the restored state.
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

// run writes the recording continuously until ctx ends, if the operator's file says so (operatorfile.WriteAll).
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

// dump writes the contents of the recorder's ring to the folder, or to the log if no folder is set.
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

// DumpRecording writes the contents of the flight recorder's ring to the recorder's folder or to the log, with the
// reason for it. It may be called at any time, from any goroutine.
func (r *Relay) DumpRecording(reason string) { r.sharedRecorder.Load().dump(reason) }

// dumpOnPanic writes the recording if the loop panics, and panics again with the same value. It must be deferred.
func (r *Relay) dumpOnPanic() {
	if cause := recover(); cause != nil {
		r.recorder.dump("crash")
		panic(cause)
	}
}
