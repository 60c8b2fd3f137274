package main

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"math"
	"net/http"
	"sync"
	"time"

	"ospreycroft/internal/atomicfile"
	"ospreycroft/internal/distribution"
	"ospreycroft/internal/distribution/statefile"
	"ospreycroft/internal/hint"
	"ospreycroft/internal/transient"
)

// journal keeps a source's state on a disk: each write to the source is answered only once the state with it is there.
// A change that a relay has read before the disk had it, and that a crash then loses, is taken back everywhere by the
// next writer's epoch; its publisher had no answer. A state that the disk has refused is written again until it is there,
// and no further write is taken before: its answer, a conflict with the first perhaps, would say that the first is kept.
type journal struct {
	mutex sync.Mutex // over all writes, in their order
	log   *distribution.Log
	place statefile.Place
	clock func() int64
	next  http.Handler
	// unsaved: the disk has refused the state at the log's head
	unsaved bool
}

// saveRetryInterval is how often a state that the disk has refused is written again.
const saveRetryInterval = 200 * time.Millisecond

// openJournal reads what an earlier life has left; both are of the same state, one for the source and one for the
// journal. Errors: *SourceStateError.
func openJournal(options *sourceOptions, clock func() int64) (*journal, *distribution.Log, error) {
	j := &journal{
		clock: clock,
		place: statefile.Place{Dir: options.dir, Installation: options.installation, Subscriber: options.name,
			MaxAge: math.MaxInt64, Files: atomicfile.Disk{}},
	}
	var held *distribution.Snapshot
	err := transient.RetryStart(func() (err error) {
		held, err = j.place.Load(clock())
		return err
	})
	if err != nil {
		return nil, nil, &SourceStateError{Path: j.place.Path(), Cause: err}
	}
	if held == nil {
		j.log = distribution.NewLog(distribution.Retention{})
		return j, distribution.NewLog(distribution.Retention{}), nil
	}
	state, err := distribution.NewStateOf(held.Entries)
	if err != nil {
		return nil, nil, &SourceStateError{Path: j.place.Path(), Cause: err}
	}
	j.log = distribution.NewLogAt(distribution.Retention{Changes: 1}, held.Version, state.Clone())
	return j, distribution.NewLogAt(distribution.Retention{}, held.Version, state), nil
}

// ServeHTTP hands calls on, and holds the answers of writes until they are on the disk.
func (j *journal) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	writes := r.Method == http.MethodPost && (r.URL.Path == "/v1/changes" || r.URL.Path == "/v1/epochs")
	if !writes {
		j.next.ServeHTTP(w, r)
		return
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if err := j.saveOwed(); err != nil {
		http.Error(w, hint.Line(err), http.StatusInternalServerError)
		return
	}
	answer := &recorded{header: http.Header{}, status: http.StatusOK}
	j.next.ServeHTTP(answer, r)
	if answer.status == http.StatusOK {
		var change distribution.Change
		err := json.Unmarshal(answer.body.Bytes(), &change)
		if err == nil {
			err = j.take(change)
		}
		if err != nil { // it is in force and may be lost with this process
			http.Error(w, hint.Line(err), http.StatusInternalServerError)
			return
		}
	}
	for key, values := range answer.header {
		w.Header()[key] = values
	}
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body.Bytes())
}

// take puts a change that the source has taken on the disk.
func (j *journal) take(change distribution.Change) (err error) {
	if change.Version.Epoch > j.log.Head().Epoch {
		_, err = j.log.Open(change.Published, change.Version.Epoch)
	} else {
		_, err = j.log.Append(change.Published, change.Version.Epoch, nil, change.Mutations)
	}
	if err != nil {
		return err
	}
	return j.save()
}

// maxOpenTries is how often an epoch is put on a disk that refuses it, for ten seconds, before the source gives up.
const maxOpenTries = 50

// open puts the change that opens an epoch on the disk, which may refuse it for a while.
func (j *journal) open(ctx context.Context, change distribution.Change) error {
	err := j.take(change)
	for try := 1; err != nil && try < maxOpenTries && ctx.Err() == nil; try++ {
		time.Sleep(saveRetryInterval)
		err = j.saveOwed()
	}
	return err
}

// save puts the state at the log's head on the disk.
func (j *journal) save() error {
	err := j.place.Save(
		&distribution.Snapshot{Version: j.log.Head(), TakenAt: j.clock(), Entries: j.log.State().Entries()},
	)
	if (err != nil) != j.unsaved {
		j.unsaved = err != nil
		logSaved(err)
	}
	return err
}

// saveOwed saves the state if the disk has refused it.
func (j *journal) saveOwed() error {
	if !j.unsaved {
		return nil
	}
	return j.save()
}

// keepSaving saves a state that the disk has refused until it is there, and returns when the context ends.
func (j *journal) keepSaving(ctx context.Context) {
	ticker := time.NewTicker(saveRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		j.mutex.Lock()
		_ = j.saveOwed()
		j.mutex.Unlock()
	}
}

// logSaved logs that the disk has begun to refuse the state, or takes it again.
func logSaved(err error) {
	if err != nil {
		slog.Warn("config-state-unwritten", hint.Attrs(err)...)
		return
	}
	slog.Info("config-state-written")
}

// recorded is an answer that is not sent yet.
type recorded struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header is a method of http.ResponseWriter, as are WriteHeader and Write.
func (r *recorded) Header() http.Header            { return r.header }
func (r *recorded) WriteHeader(status int)         { r.status = status }
func (r *recorded) Write(text []byte) (int, error) { return r.body.Write(text) }
