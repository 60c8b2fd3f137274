package distribution

// logServer answers subscribers from a log. Source and Relay embed it.
type logServer struct {
	log         *Log
	pieceBudget byteBudget
}

func newLogServer(log *Log, budget Budget) logServer {
	return logServer{log: log, pieceBudget: byteBudget{Budget: budget.orDefault()}}
}

func (f *logServer) ready() bool { return f.log.head != Version{} }

// Head implements Server.
func (f *logServer) Head() Version { return f.log.Head() }

// HasNewer implements Server.
func (f *logServer) HasNewer(request ChangesRequest) bool {
	known := request.From
	if known.Less(request.RefusedVersion) {
		known = request.RefusedVersion
	}
	return known.Less(f.log.head)
}

func (f *logServer) changes(age int64, request ChangesRequest) (*Delta, error) {
	if err := request.Scope.Check(); err != nil {
		return nil, err
	}
	if !f.ready() {
		return nil, &NotReadyError{}
	}
	until := f.log.head
	if !f.HasNewer(request) {
		until = request.From // a change that the subscriber has refused is not sent again
	}
	delta, err := f.log.changes(request.From, until, request.Scope)
	if err != nil {
		return nil, err
	}
	delta.Age = age
	return delta, nil
}

func (f *logServer) piece(now, age int64, request PieceRequest) (*Piece, error) {
	if err := request.Scope.Check(); err != nil {
		return nil, err
	}
	if !f.ready() {
		return nil, &NotReadyError{}
	}
	maxBytes := min(max(request.MaxBytes, MinPieceBytes), MaxPieceBytes)
	if wait := f.pieceBudget.wait(now, int64(maxBytes)); wait > 0 {
		return nil, &ThrottledError{RetryAfter: wait}
	}
	entries, last := f.log.state.entriesAfter(request.After, request.Scope, maxBytes)
	for _, e := range entries {
		f.pieceBudget.spend(int64(e.size()))
	}
	return &Piece{Version: f.log.head, Entries: entries, Last: last, Age: age}, nil
}
