package transport

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"ospreycroft/internal/distribution"
)

// Limits of a server.
const (
	// MaxPublicationBytes bounds the body of a publication. It leaves room for a change with every character escaped
	// in JSON.
	MaxPublicationBytes = 2 << 20
	// MaxReportBytes bounds the body of an acknowledgement, a summary or an EpochOpening.
	MaxReportBytes = 64 << 10
	// MaxHeldCalls is how many calls a server holds at once. Further calls get *distribution.ThrottledError.
	MaxHeldCalls = 4096

	readHeaderTimeout = 5 * time.Second
	readTimeout       = MaxHold + 5*time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 16 << 10
)

// Publication is the body of a call that publishes a change.
type Publication struct {
	Epoch uint64 `json:"epoch"`
	// Expected is the head that the change was made for; another head refuses it. nil accepts any head.
	Expected  *distribution.Version   `json:"expected,omitempty"`
	Mutations []distribution.Mutation `json:"mutations"`
}

// EpochOpening is the body of a call that opens an epoch.
type EpochOpening struct {
	Epoch uint64 `json:"epoch"`
}

// Server is an http.Handler that serves the calls of subscribers and, at a source, those of writers and relays.
type Server struct {
	mutex          sync.Mutex // guards backend, source, versionChanged and heldCalls
	backend        distribution.Server
	source         *distribution.Source // nil for a relay
	clock          func() int64
	versionChanged chan struct{} // closed and replaced when the version changes
	heldCalls      int           // calls waiting in awaitNewer
	routes         *http.ServeMux
}

// NewSourceServer returns a server of a source. clock returns the time in nanoseconds and must be monotonic.
func NewSourceServer(source *distribution.Source, clock func() int64) *Server {
	s := newServer(source, clock)
	s.source = source
	s.routes.HandleFunc("POST /v1/epochs", s.open)
	s.routes.HandleFunc("POST /v1/changes", s.publish)
	s.routes.HandleFunc("POST /v1/summaries", s.summarize)
	s.routes.HandleFunc("GET /v1/overview", s.overview)
	return s
}

// NewRelayServer returns a server of a relay. NewRelayFollower keeps the relay up to date with the source. clock
// returns the time in nanoseconds and must be monotonic.
func NewRelayServer(relay *distribution.Relay, clock func() int64) *Server {
	s := newServer(relay, clock)
	for _, route := range []string{"POST /v1/epochs", "POST /v1/changes", "POST /v1/summaries", "GET /v1/overview"} {
		s.routes.HandleFunc(
			route,
			func(w http.ResponseWriter, _ *http.Request) { writeError(w, &distribution.ReadOnlyError{}) },
		)
	}
	return s
}

func newServer(backend distribution.Server, clock func() int64) *Server {
	s := &Server{backend: backend, clock: clock, versionChanged: make(chan struct{}), routes: http.NewServeMux()}
	s.routes.HandleFunc("GET /v1/changes", s.changes)
	s.routes.HandleFunc("GET /v1/pieces", s.piece)
	s.routes.HandleFunc("POST /v1/acknowledgements", s.acknowledge)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.routes.ServeHTTP(w, r) }

// HTTP returns an http.Server with this handler, timeouts and a header limit. The caller provides the listener.
func (s *Server) HTTP() *http.Server {
	return &http.Server{Handler: s, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		WriteTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// withLock calls run under the server's lock and wakes the held calls if the version has changed.
func (s *Server) withLock(run func(now int64)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.backend.Head()
	run(s.clock())
	if s.backend.Head() != before {
		close(s.versionChanged)
		s.versionChanged = make(chan struct{})
	}
}

func (s *Server) changes(w http.ResponseWriter, r *http.Request) {
	request, hold, err := readChangesQuery(r.URL.Query())
	if err != nil {
		writeError(w, err)
		return
	}
	if err := s.awaitNewer(r, request, hold); err != nil {
		writeError(w, err)
		return
	}
	var delta *distribution.Delta
	s.withLock(func(now int64) { delta, err = s.backend.Changes(now, request) })
	writeResponse(w, delta, err)
}

// awaitNewer waits until the server has something newer than the request, maxHold has passed, or the client has closed
// the call. Errors: *distribution.ThrottledError if MaxHeldCalls are held.
func (s *Server) awaitNewer(r *http.Request, request distribution.ChangesRequest, maxHold time.Duration) error {
	if maxHold <= 0 {
		return nil
	}
	timer := time.NewTimer(maxHold)
	defer timer.Stop()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.heldCalls >= MaxHeldCalls {
		return &distribution.ThrottledError{RetryAfter: int64(time.Second)}
	}
	s.heldCalls++
	defer func() { s.heldCalls-- }()
	for !s.backend.HasNewer(request) {
		versionChanged := s.versionChanged
		s.mutex.Unlock()
		done := false
		select {
		case <-versionChanged:
		case <-timer.C:
			done = true
		case <-r.Context().Done():
			done = true
		}
		s.mutex.Lock()
		if done {
			return nil
		}
	}
	return nil
}

func (s *Server) piece(w http.ResponseWriter, r *http.Request) {
	request, err := readPieceQuery(r.URL.Query())
	if err != nil {
		writeError(w, err)
		return
	}
	var piece *distribution.Piece
	s.withLock(func(now int64) { piece, err = s.backend.Piece(now, request) })
	writeResponse(w, piece, err)
}

func (s *Server) acknowledge(w http.ResponseWriter, r *http.Request) {
	var acknowledgement distribution.Acknowledgement
	err := readBody(w, r, "an acknowledgement", MaxReportBytes, &acknowledgement)
	if err == nil {
		s.withLock(func(now int64) { err = s.backend.Acknowledge(now, acknowledgement) })
	}
	writeNoContent(w, err)
}

func (s *Server) open(w http.ResponseWriter, r *http.Request) {
	var opening EpochOpening
	var change distribution.Change
	err := readBody(w, r, "an opening", MaxReportBytes, &opening)
	if err == nil {
		s.withLock(func(int64) { change, err = s.source.Open(time.Now().UnixNano(), opening.Epoch) })
	}
	writeResponse(w, change, err)
}

func (s *Server) publish(w http.ResponseWriter, r *http.Request) {
	var p Publication
	var change distribution.Change
	err := readBody(w, r, "a publication", MaxPublicationBytes, &p)
	if err == nil {
		s.withLock(func(int64) { change, err = s.source.Publish(time.Now().UnixNano(), p.Epoch, p.Expected, p.Mutations) })
	}
	writeResponse(w, change, err)
}

func (s *Server) summarize(w http.ResponseWriter, r *http.Request) {
	var summary distribution.Summary
	err := readBody(w, r, "a summary", MaxReportBytes, &summary)
	if err == nil {
		s.withLock(func(now int64) { err = s.source.Summarize(now, summary) })
	}
	writeNoContent(w, err)
}

func (s *Server) overview(w http.ResponseWriter, _ *http.Request) {
	var overview distribution.Overview
	s.withLock(func(now int64) { overview = s.source.Overview(now) })
	writeResponse(w, overview, nil)
}

// readBody decodes a body of exactly one JSON value without unknown keys into result. Errors: *MalformedError,
// *TooLargeError.
func readBody(w http.ResponseWriter, r *http.Request, what string, maxBytes int64, result any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(result)
	if err == nil {
		if _, trailing := decoder.Token(); trailing != io.EOF {
			err = errors.New("something stands behind it")
		}
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return &distribution.TooLargeError{What: what, Bytes: int(maxBytes) + 1, Max: int(maxBytes)}
	}
	return &distribution.MalformedError{What: what, Cause: err}
}

func writeResponse(w http.ResponseWriter, body any, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, body)
}

func writeNoContent(w http.ResponseWriter, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeError(w http.ResponseWriter, err error) {
	status, failure := failureOf(err)
	writeJSON(w, status, failure)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	var text bytes.Buffer
	encoder := json.NewEncoder(&text)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(body); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text.Bytes())
}
