package transport

import (
	"net/url"
	"strconv"
	"time"

	"ospreycroft/internal/distribution"
)

// MaxHold is the longest time for which a server holds a call.
const MaxHold = 10 * time.Second

// changesQuery encodes a request for changes as a URL query. hold is in nanoseconds; it is left out if it is 0.
func changesQuery(request distribution.ChangesRequest, hold int64) url.Values {
	q := url.Values{}
	q.Set("epoch", strconv.FormatUint(request.From.Epoch, 10))
	q.Set("from", strconv.FormatUint(request.From.Number, 10))
	if (request.RefusedVersion != distribution.Version{}) {
		q.Set("seen_epoch", strconv.FormatUint(request.RefusedVersion.Epoch, 10))
		q.Set("seen", strconv.FormatUint(request.RefusedVersion.Number, 10))
	}
	if hold > 0 {
		q.Set("hold_ms", strconv.FormatInt(hold/int64(time.Millisecond), 10))
	}
	if scope := request.Scope.String(); scope != "" {
		q.Set("scope", scope)
	}
	return q
}

// readChangesQuery decodes what changesQuery has encoded and limits hold to MaxHold. Errors: *MalformedError,
// *ScopeError.
func readChangesQuery(q url.Values) (request distribution.ChangesRequest, hold time.Duration, err error) {
	r := queryReader{query: q}
	request.From = distribution.Version{Epoch: r.number("epoch"), Number: r.number("from")}
	request.RefusedVersion = distribution.Version{Epoch: r.number("seen_epoch"), Number: r.number("seen")}
	milliseconds := min(r.number("hold_ms"), uint64(MaxHold/time.Millisecond))
	request.Scope = r.scope()
	return request, time.Duration(milliseconds) * time.Millisecond, r.err
}

// pieceQuery encodes a request for a piece as a URL query.
func pieceQuery(request distribution.PieceRequest) url.Values {
	q := url.Values{}
	if request.After != nil {
		q.Set("after_kind", string(request.After.Kind))
		q.Set("after_scope", request.After.Scope)
		q.Set("after_name", request.After.Name)
	}
	q.Set("max_bytes", strconv.Itoa(request.MaxBytes))
	if scope := request.Scope.String(); scope != "" {
		q.Set("scope", scope)
	}
	return q
}

// readPieceQuery decodes what pieceQuery has encoded. Errors: *MalformedError, *ScopeError.
func readPieceQuery(q url.Values) (request distribution.PieceRequest, err error) {
	r := queryReader{query: q}
	if q.Has("after_kind") {
		request.After = &distribution.Key{
			Kind:  distribution.Kind(q.Get("after_kind")),
			Scope: q.Get("after_scope"),
			Name:  q.Get("after_name"),
		}
	}
	request.MaxBytes = int(min(r.number("max_bytes"), distribution.MaxPieceBytes))
	request.Scope = r.scope()
	return request, r.err
}

// queryReader parses values of a URL query and keeps the first error.
type queryReader struct {
	query url.Values
	err   error
}

// number returns the named value, 0 if it is missing.
func (r *queryReader) number(name string) uint64 {
	text := r.query.Get(name)
	if text == "" {
		return 0
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil && r.err == nil {
		r.err = &distribution.MalformedError{What: "the call's " + name, Cause: err}
	}
	return n
}

func (r *queryReader) scope() distribution.Scope {
	scope, err := distribution.ParseScope(r.query.Get("scope"))
	if err != nil && r.err == nil {
		r.err = err
	}
	return scope
}
