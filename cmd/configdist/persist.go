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

// persistingHandler wraps the handler of a source and stores the source's state on disk. It sends the response to a
// write only after the state with that write has been saved.
//
// A relay may read a change before it is saved. If a crash then loses the change, the epoch that the next start opens
// reverts it everywhere; its publisher has had no response.
//
// A failed save is retried until it succeeds, and further writes are refused until then: a response to a later write,
// such as a conflict with the unsaved one, would imply that the unsaved one is stored.
type persistingHandler struct {
	mutex     sync.Mutex // serializes writes
	log       *distribution.Log
	stateFile statefile.Store
	clock     func() int64
	next      http.Handler
	// unsaved is set while the last save has failed.
	unsaved bool
}

// saveRetryInterval is the pause before a failed save is retried.
const saveRetryInterval = 200 * time.Millisecond

// newPersistingHandler loads the state that the previous incarnation has stored, or starts with an empty one. The
// returned log, which is for the source, and the handler's own have separate copies of that state. Errors:
// *SourceStateError.
func newPersistingHandler(options *sourceOptions, clock func() int64) (*persistingHandler, *distribution.Log, error) {
	h := &persistingHandler{
		clock: clock,
		stateFile: statefile.Store{Dir: options.dir, Installation: options.installation, Subscriber: options.name,
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

// ServeHTTP passes calls to the next handler and holds back the response to a write until the state is saved.
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
		if err != nil { // the change is in force but may be lost with this process
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

// persist adds a change that the source has accepted to the handler's log and saves the state.
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

// maxOpenAttempts is how often a starting source tries to save the opening of its epoch, for ten seconds with
// saveRetryInterval between the attempts, before the start fails.
const maxOpenAttempts = 50

// persistWithRetries persists the change that opens an epoch, with up to maxOpenAttempts attempts or until ctx is done.
func (h *persistingHandler) persistWithRetries(ctx context.Context, change distribution.Change) error {
	err := h.persist(change)
	for attempt := 1; err != nil && attempt < maxOpenAttempts && ctx.Err() == nil; attempt++ {
		time.Sleep(saveRetryInterval)
		err = h.saveIfUnsaved()
	}
	return err
}

// save saves the state at the head of the log.
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

// saveIfUnsaved retries the last save if it has failed.
func (h *persistingHandler) saveIfUnsaved() error {
	if !h.unsaved {
		return nil
	}
	return h.save()
}

// retrySaves retries failed saves until ctx is done.
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

// logSaveResult logs the first failed save in a row, and the first successful one after it.
func logSaveResult(err error) {
	if err != nil {
		slog.Warn("config-state-unwritten", hint.Attrs(err)...)
		return
	}
	slog.Info("config-state-written")
}

// bufferedResponse is an http.ResponseWriter that keeps the response in memory.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter, as do WriteHeader and Write.
func (r *bufferedResponse) Header() http.Header            { return r.header }
func (r *bufferedResponse) WriteHeader(status int)         { r.status = status }
func (r *bufferedResponse) Write(text []byte) (int, error) { return r.body.Write(text) }
