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

// Bounds of a server.
const (
	// MaxPublicationBytes bounds the body of a publication: a change in JSON, every character of which may be escaped.
	MaxPublicationBytes = 2 << 20
	// MaxReportBytes bounds the body of an acknowledgement, a summary and an opening.
	MaxReportBytes = 64 << 10
	// MaxHeld is how many calls a server holds at once.
	MaxHeld = 4096

	headTimeout = 5 * time.Second
	readTimeout = MaxHold + 5*time.Second
	idleTimeout = time.Minute
	maxHead     = 16 << 10
)

// Publication is the body of a call that publishes a change.
type Publication struct {
	Epoch uint64 `json:"epoch"`
	// Expected is the head for which the change was made; nil for any.
	Expected  *distribution.Version   `json:"expected,omitempty"`
	Mutations []distribution.Mutation `json:"mutations"`
}

// Opening is the body of a call that opens an epoch.
type Opening struct {
	Epoch uint64 `json:"epoch"`
}

// Server answers the calls of subscribers, and at a source those of writers and relays. It is an http.Handler.
type Server struct {
	mutex   sync.Mutex // over all that is behind server
	server  distribution.Server
	source  *distribution.Source // nil at a relay
	clock   func() int64
	changed chan struct{} // closed and replaced with each new version
	held    int
	routes  *http.ServeMux
}

// NewSourceServer serves a source. clock gives the time in nanoseconds and never goes back.
func NewSourceServer(source *distribution.Source, clock func() int64) *Server {
	s := newServer(source, clock)
	s.source = source
	s.routes.HandleFunc("POST /v1/epochs", s.open)
	s.routes.HandleFunc("POST /v1/changes", s.publish)
	s.routes.HandleFunc("POST /v1/summaries", s.summarize)
	s.routes.HandleFunc("GET /v1/overview", s.overview)
	return s
}

// NewRelayServer serves a relay. See NewRelayFollower for how it follows the source.
func NewRelayServer(relay *distribution.Relay, clock func() int64) *Server {
	s := newServer(relay, clock)
	for _, route := range []string{"POST /v1/epochs", "POST /v1/changes", "POST /v1/summaries", "GET /v1/overview"} {
		s.routes.HandleFunc(
			route,
			func(w http.ResponseWriter, _ *http.Request) { fail(w, &distribution.ReadOnlyError{}) },
		)
	}
	return s
}

func newServer(server distribution.Server, clock func() int64) *Server {
	s := &Server{server: server, clock: clock, changed: make(chan struct{}), routes: http.NewServeMux()}
	s.routes.HandleFunc("GET /v1/changes", s.changes)
	s.routes.HandleFunc("GET /v1/pieces", s.piece)
	s.routes.HandleFunc("POST /v1/acknowledgements", s.acknowledge)
	return s
}

// ServeHTTP is the method of http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.routes.ServeHTTP(w, r) }

// HTTP is a net/http server with this one's bounds. Its address and listener are the caller's.
func (s *Server) HTTP() *http.Server {
	return &http.Server{Handler: s, ReadHeaderTimeout: headTimeout, ReadTimeout: readTimeout, WriteTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHead}
}

// do runs something under the server's lock, and wakes held calls where the version has changed.
func (s *Server) do(run func(now int64)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.server.Head()
	run(s.clock())
	if s.server.Head() != before {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *Server) changes(w http.ResponseWriter, r *http.Request) {
	request, hold, err := readChangesQuery(r.URL.Query())
	if err != nil {
		fail(w, err)
		return
	}
	if err := s.hold(r, request, hold); err != nil {
		fail(w, err)
		return
	}
	var delta *distribution.Delta
	s.do(func(now int64) { delta, err = s.server.Changes(now, request) })
	answer(w, delta, err)
}

// hold waits until there is something newer, or a time has passed, or the caller has gone.
func (s *Server) hold(r *http.Request, request distribution.ChangesRequest, most time.Duration) error {
	if most <= 0 {
		return nil
	}
	end := time.NewTimer(most)
	defer end.Stop()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.held >= MaxHeld {
		return &distribution.ThrottledError{RetryAfter: int64(time.Second)}
	}
	s.held++
	defer func() { s.held-- }()
	for !s.server.Newer(request) {
		changed := s.changed
		s.mutex.Unlock()
		over := false
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			over = true
		}
		s.mutex.Lock()
		if over {
			return nil
		}
	}
	return nil
}

func (s *Server) piece(w http.ResponseWriter, r *http.Request) {
	request, err := readPieceQuery(r.URL.Query())
	if err != nil {
		fail(w, err)
		return
	}
	var piece *distribution.Piece
	s.do(func(now int64) { piece, err = s.server.Piece(now, request) })
	answer(w, piece, err)
}

func (s *Server) acknowledge(w http.ResponseWriter, r *http.Request) {
	var a distribution.Acknowledgement
	err := readBody(w, r, "an acknowledgement", MaxReportBytes, &a)
	if err == nil {
		s.do(func(now int64) { err = s.server.Acknowledge(now, a) })
	}
	noContent(w, err)
}

func (s *Server) open(w http.ResponseWriter, r *http.Request) {
	var opening Opening
	var change distribution.Change
	err := readBody(w, r, "an opening", MaxReportBytes, &opening)
	if err == nil {
		s.do(func(int64) { change, err = s.source.Open(time.Now().UnixNano(), opening.Epoch) })
	}
	answer(w, change, err)
}

func (s *Server) publish(w http.ResponseWriter, r *http.Request) {
	var p Publication
	var change distribution.Change
	err := readBody(w, r, "a publication", MaxPublicationBytes, &p)
	if err == nil {
		s.do(func(int64) { change, err = s.source.Publish(time.Now().UnixNano(), p.Epoch, p.Expected, p.Mutations) })
	}
	answer(w, change, err)
}

func (s *Server) summarize(w http.ResponseWriter, r *http.Request) {
	var summary distribution.Summary
	err := readBody(w, r, "a summary", MaxReportBytes, &summary)
	if err == nil {
		s.do(func(now int64) { err = s.source.Summarize(now, summary) })
	}
	noContent(w, err)
}

func (s *Server) overview(w http.ResponseWriter, _ *http.Request) {
	var overview distribution.Overview
	s.do(func(now int64) { overview = s.source.Overview(now) })
	answer(w, overview, nil)
}

// readBody reads one JSON value with no key that is not known. Errors: *MalformedError, *TooLargeError.
func readBody(w http.ResponseWriter, r *http.Request, what string, most int64, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, most))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		if _, more := decoder.Token(); more != io.EOF {
			err = errors.New("something stands behind it")
		}
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return &distribution.TooLargeError{What: what, Bytes: int(most) + 1, Max: int(most)}
	}
	return &distribution.MalformedError{What: what, Cause: err}
}

func answer(w http.ResponseWriter, body any, err error) {
	if err != nil {
		fail(w, err)
		return
	}
	write(w, http.StatusOK, body)
}

func noContent(w http.ResponseWriter, err error) {
	if err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func fail(w http.ResponseWriter, err error) {
	status, failure := failureOf(err)
	write(w, status, failure)
}

func write(w http.ResponseWriter, status int, body any) {
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
