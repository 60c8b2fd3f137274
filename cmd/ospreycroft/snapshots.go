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

// savesInSnapshotAge: a list that does not change is saved so often within the age up to which it is believed.
const savesInSnapshotAge = 8

// startSnapshots reads what an earlier life of this limiter has left on a disk and begins to write there. Whatever is wrong
// with it is logged, and the start goes on without it.
func startSnapshots(
	config *settings.Config,
	o *operator.Options,
	options *limiter.OperatorOptions,
	clock func() int64,
) (stop func()) {
	if o.SnapshotPath == "" {
		return func() {}
	}
	place := snapshot.Place{
		Dir:          o.SnapshotPath,
		Installation: o.Installation,
		Limiter:      config.Name,
		MaxAge:       o.SnapshotMaxAge,
		Clock:        machineclock.OriginOf(clock()),
	}
	var err error
	options.Snapshot, err = place.Load(atomicfile.Disk{}, clock())
	if err != nil {
		slog.Warn("snapshot-refused", hint.Attrs(err)...)
	}
	writer := snapshot.NewWriter(atomicfile.Disk{}, place, func(err error) {
		if err == nil {
			slog.Info("snapshot-written")
			return
		}
		slog.Warn("snapshot-unwritten", hint.Attrs(err)...)
	})
	options.SaveSnapshot = writer.Save
	options.SaveEvery = o.SnapshotMaxAge / savesInSnapshotAge
	return writer.Close
}
