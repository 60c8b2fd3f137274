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

// snapshotSavesPerMaxAge is how often an unchanged endpoint list is saved within the maximum age of a usable snapshot.
const snapshotSavesPerMaxAge = 8

// startSnapshots loads the snapshot that the previous process of this limiter left on the disk and starts the writer of
// new ones; the function it returns closes the writer. An error is logged, and the limiter starts without a snapshot.
func startSnapshots(
	config *settings.Config,
	options *operator.Options,
	limiterOptions *limiter.OperatorOptions,
	clock func() int64,
) (stop func()) {
	if options.SnapshotPath == "" {
		return func() {}
	}
	file := snapshot.Store{
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
