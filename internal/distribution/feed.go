package distribution

// feed answers subscribers from a log. Source and Relay are feeds.
type feed struct {
	log      *Log
	spending spending
}

func newFeed(log *Log, budget Budget) feed {
	return feed{log: log, spending: spending{Budget: budget.orDefault()}}
}

func (f *feed) ready() bool { return f.log.head != Version{} }

// Head is the version up to which this server leads.
func (f *feed) Head() Version { return f.log.Head() }

// Newer is a method of Server.
func (f *feed) Newer(request ChangesRequest) bool {
	known := request.From
	if known.Less(request.Seen) {
		known = request.Seen
	}
	return known.Less(f.log.head)
}

func (f *feed) changes(age int64, request ChangesRequest) (*Delta, error) {
	if err := request.Scope.Check(); err != nil {
		return nil, err
	}
	if !f.ready() {
		return nil, &NotReadyError{}
	}
	until := f.log.head
	if !f.Newer(request) {
		until = request.From // what the subscriber has refused is not sent again
	}
	delta, err := f.log.changes(request.From, until, request.Scope)
	if err != nil {
		return nil, err
	}
	delta.Age = age
	return delta, nil
}

func (f *feed) piece(now, age int64, request PieceRequest) (*Piece, error) {
	if err := request.Scope.Check(); err != nil {
		return nil, err
	}
	if !f.ready() {
		return nil, &NotReadyError{}
	}
	maxBytes := min(max(request.MaxBytes, MinPieceBytes), MaxPieceBytes)
	if wait := f.spending.wait(now, int64(maxBytes)); wait > 0 {
		return nil, &ThrottledError{RetryAfter: wait}
	}
	entries, last := f.log.state.after(request.After, request.Scope, maxBytes)
	for _, e := range entries {
		f.spending.spend(int64(e.size()))
	}
	return &Piece{Version: f.log.head, Entries: entries, Last: last, Age: age}, nil
}
