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

// persistingHandler keeps a source's state on a disk: each write to the source is answered only once the state with it is there.
// A change that a relay has read before the disk had it, and that a crash then loses, is taken back everywhere by the
// next writer's epoch; its publisher had no answer. A state that the disk has refused is written again until it is there,
// and no further write is taken before: its answer, a conflict with the first perhaps, would say that the first is kept.
type persistingHandler struct {
	mutex     sync.Mutex // over all writes, in their order
	log       *distribution.Log
	stateFile statefile.Place
	clock     func() int64
	next      http.Handler
	// unsaved: the disk has refused the state at the log's head
	unsaved bool
}

// saveRetryInterval is how often a state that the disk has refused is written again.
const saveRetryInterval = 200 * time.Millisecond

// newPersistingHandler reads what an earlier life has left; both are of the same state, one for the source and one for the
// journal. Errors: *SourceStateError.
func newPersistingHandler(options *sourceOptions, clock func() int64) (*persistingHandler, *distribution.Log, error) {
	h := &persistingHandler{
		clock: clock,
		stateFile: statefile.Place{Dir: options.dir, Installation: options.installation, Subscriber: options.name,
			MaxAge: math.MaxInt64, Files: atomicfile.Disk{}},
	}
	var saved *distribution.Snapshot
	err := transient.RetryStart(func() (err error) {
		saved, err = h.stateFile.Load(clock())
		return err
	})
	if err != nil {
		return nil, nil, &SourceStateError{Path: h.stateFile.Path(), Cause: err}
	}
	if saved == nil {
		h.log = distribution.NewLog(distribution.Retention{})
		return h, distribution.NewLog(distribution.Retention{}), nil
	}
	state, err := distribution.NewStateOf(saved.Entries)
	if err != nil {
		return nil, nil, &SourceStateError{Path: h.stateFile.Path(), Cause: err}
	}
	h.log = distribution.NewLogAt(distribution.Retention{Changes: 1}, saved.Version, state.Clone())
	return h, distribution.NewLogAt(distribution.Retention{}, saved.Version, state), nil
}

// ServeHTTP hands calls on, and holds the answers of writes until they are on the disk.
func (h *persistingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	isWrite := r.Method == http.MethodPost && (r.URL.Path == "/v1/changes" || r.URL.Path == "/v1/epochs")
	if !isWrite {
		h.next.ServeHTTP(w, r)
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if err := h.saveIfUnsaved(); err != nil {
		http.Error(w, hint.Line(err), http.StatusInternalServerError)
		return
	}
	response := &bufferedResponse{header: http.Header{}, status: http.StatusOK}
	h.next.ServeHTTP(response, r)
	if response.status == http.StatusOK {
		var change distribution.Change
		err := json.Unmarshal(response.body.Bytes(), &change)
		if err == nil {
			err = h.persist(change)
		}
		if err != nil { // it is in force and may be lost with this process
			http.Error(w, hint.Line(err), http.StatusInternalServerError)
			return
		}
	}
	for key, values := range response.header {
		w.Header()[key] = values
	}
	w.WriteHeader(response.status)
	_, _ = w.Write(response.body.Bytes())
}

// persist puts a change that the source has taken on the disk.
func (h *persistingHandler) persist(change distribution.Change) (err error) {
	if change.Version.Epoch > h.log.Head().Epoch {
		_, err = h.log.Open(change.Published, change.Version.Epoch)
	} else {
		_, err = h.log.Append(change.Published, change.Version.Epoch, nil, change.Mutations)
	}
	if err != nil {
		return err
	}
	return h.save()
}

// maxOpenAttempts is how often an epoch is put on a disk that refuses it, for ten seconds, before the source gives up.
const maxOpenAttempts = 50

// persistWithRetries puts the change that opens an epoch on the disk, which may refuse it for a while.
func (h *persistingHandler) persistWithRetries(ctx context.Context, change distribution.Change) error {
	err := h.persist(change)
	for attempt := 1; err != nil && attempt < maxOpenAttempts && ctx.Err() == nil; attempt++ {
		time.Sleep(saveRetryInterval)
		err = h.saveIfUnsaved()
	}
	return err
}

// save puts the state at the log's head on the disk.
func (h *persistingHandler) save() error {
	err := h.stateFile.Save(
		&distribution.Snapshot{Version: h.log.Head(), TakenAt: h.clock(), Entries: h.log.State().Entries()},
	)
	if (err != nil) != h.unsaved {
		h.unsaved = err != nil
		logSaveResult(err)
	}
	return err
}

// saveIfUnsaved saves the state if the disk has refused it.
func (h *persistingHandler) saveIfUnsaved() error {
	if !h.unsaved {
		return nil
	}
	return h.save()
}

// retrySaves saves a state that the disk has refused until it is there, and returns when the context ends.
func (h *persistingHandler) retrySaves(ctx context.Context) {
	ticker := time.NewTicker(saveRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		h.mutex.Lock()
		_ = h.saveIfUnsaved()
		h.mutex.Unlock()
	}
}

// logSaveResult logs that the disk has begun to refuse the state, or takes it again.
func logSaveResult(err error) {
	if err != nil {
		slog.Warn("config-state-unwritten", hint.Attrs(err)...)
		return
	}
	slog.Info("config-state-written")
}

// bufferedResponse is an answer that is not sent yet.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header is a method of http.ResponseWriter, as are WriteHeader and Write.
func (r *bufferedResponse) Header() http.Header            { return r.header }
func (r *bufferedResponse) WriteHeader(status int)         { r.status = status }
func (r *bufferedResponse) Write(text []byte) (int, error) { return r.body.Write(text) }
