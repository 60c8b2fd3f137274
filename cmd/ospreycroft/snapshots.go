package main

import (
	"log/slog"

	"ospreycroft/internal/atomicfile"
	"ospreycroft/internal/hint"
	"ospreycroft/internal/limiter"
	"ospreycroft/internal/machineclock"
	"ospreycroft/internal/operator"
	"ospreycroft/internal/settings"
	"ospreycroft/internal/snapshot"
)

// snapshotSavesPerMaxAge: a list that does not change is saved so often within the age up to which it is believed.
const snapshotSavesPerMaxAge = 8

// startSnapshots reads what an earlier life of this limiter has left on a disk and begins to write there. Whatever is wrong
// with it is logged, and the start goes on without it.
func startSnapshots(
	config *settings.Config,
	options *operator.Options,
	limiterOptions *limiter.OperatorOptions,
	clock func() int64,
) (stop func()) {
	if options.SnapshotPath == "" {
		return func() {}
	}
	file := snapshot.Place{
		Dir:          options.SnapshotPath,
		Installation: options.Installation,
		Limiter:      config.Name,
		MaxAge:       options.SnapshotMaxAge,
		Clock:        machineclock.OriginOf(clock()),
	}
	var err error
	limiterOptions.Snapshot, err = file.Load(atomicfile.Disk{}, clock())
	if err != nil {
		slog.Warn("snapshot-refused", hint.Attrs(err)...)
	}
	writer := snapshot.NewWriter(atomicfile.Disk{}, file, func(err error) {
		if err == nil {
			slog.Info("snapshot-written")
			return
		}
		slog.Warn("snapshot-unwritten", hint.Attrs(err)...)
	})
	limiterOptions.SaveSnapshot = writer.Save
	limiterOptions.SaveEvery = options.SnapshotMaxAge / snapshotSavesPerMaxAge
	return writer.Close
}
