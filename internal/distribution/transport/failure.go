package transport

import (
	"errors"
	"net/http"

	"ospreycroft/internal/distribution"
	"ospreycroft/internal/hint"
)

// Failure is the body of an error response.
type Failure struct {
	// Code names the type of the error. Which of the fields below Hint are set depends on it.
	Code    string `json:"code"`
	Message string `json:"message"`
	Hint    string `json:"hint"`
	// From is the version that the caller has, for compacted and behind, or the head that the writer expected, for
	// conflict. Head is the server's version; for compacted it is the oldest one in the server's log.
	From *distribution.Version `json:"from,omitempty"`
	Head *distribution.Version `json:"head,omitempty"`
	// Epoch is the open epoch and Given the writer's, for fenced and epoch_step.
	Epoch uint64 `json:"epoch,omitempty"`
	Given uint64 `json:"given,omitempty"`
	// RetryAfter is how long the caller has to wait, in nanoseconds, for throttled.
	RetryAfter int64 `json:"retry_after_ns,omitempty"`
	// Key and Why are set for key, Why alone for kind (the kind itself) and scope, What and Why for malformed, and
	// What, Bytes and Max for too_large.
	Key   *distribution.Key `json:"key,omitempty"`
	Why   string            `json:"why,omitempty"`
	What  string            `json:"what,omitempty"`
	Bytes int               `json:"bytes,omitempty"`
	Max   int               `json:"max,omitempty"`
}

// Values of Failure.Code.
const (
	codeCompacted = "compacted"
	codeBehind    = "behind"
	codeNotReady  = "not_ready"
	codeThrottled = "throttled"
	codeFenced    = "fenced"
	codeEpochStep = "epoch_step"
	codeConflict  = "conflict"
	codeEmpty     = "empty"
	codeKind      = "kind"
	codeKey       = "key"
	codeScope     = "scope"
	codeTooLarge  = "too_large"
	codeReadOnly  = "read_only"
	codeMalformed = "malformed"
	codeInternal  = "internal"
)

// maxRetryAfter bounds the RetryAfter that a client accepts from a server, in nanoseconds.
const maxRetryAfter = int64(10e9)

// failureOf returns the status and body of the response for an error.
func failureOf(err error) (status int, failure Failure) {
	status, failure = statusAndFailure(err)
	failure.Message, failure.Hint = err.Error(), hint.For(err)
	return status, failure
}

// statusAndFailure returns the status of the response for an error, and its body without message and hint. An error of
// another type than those listed gives status 500 and code internal.
func statusAndFailure(err error) (int, Failure) {
	var (
		compacted *distribution.CompactedError
		behind    *distribution.BehindError
		notReady  *distribution.NotReadyError
		throttled *distribution.ThrottledError
		fenced    *distribution.FencedError
		step      *distribution.EpochStepError
		conflict  *distribution.ConflictError
		empty     *distribution.EmptyChangeError
		kind      *distribution.KindError
		key       *distribution.KeyError
		scope     *distribution.ScopeError
		tooLarge  *distribution.TooLargeError
		readOnly  *distribution.ReadOnlyError
		malformed *distribution.MalformedError
	)
	switch {
	case errors.As(err, &compacted):
		return http.StatusGone, Failure{Code: codeCompacted, From: &compacted.From, Head: &compacted.Oldest}
	case errors.As(err, &behind):
		return http.StatusConflict, Failure{Code: codeBehind, From: &behind.From, Head: &behind.Head}
	case errors.As(err, &notReady):
		return http.StatusServiceUnavailable, Failure{Code: codeNotReady}
	case errors.As(err, &throttled):
		return http.StatusTooManyRequests, Failure{Code: codeThrottled, RetryAfter: throttled.RetryAfter}
	case errors.As(err, &fenced):
		return http.StatusConflict, Failure{Code: codeFenced, Epoch: fenced.Open, Given: fenced.Given}
	case errors.As(err, &step):
		return http.StatusBadRequest, Failure{Code: codeEpochStep, Epoch: step.Open, Given: step.Given}
	case errors.As(err, &conflict):
		return http.StatusConflict, Failure{Code: codeConflict, From: &conflict.Expected, Head: &conflict.Head}
	case errors.As(err, &empty):
		return http.StatusBadRequest, Failure{Code: codeEmpty}
	case errors.As(err, &kind):
		return http.StatusBadRequest, Failure{Code: codeKind, Why: kind.Kind}
	case errors.As(err, &key):
		return http.StatusBadRequest, Failure{Code: codeKey, Key: &key.Key, Why: key.Why}
	case errors.As(err, &scope):
		return http.StatusBadRequest, Failure{Code: codeScope, Why: scope.Why}
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, Failure{
			Code:  codeTooLarge,
			What:  tooLarge.What,
			Bytes: tooLarge.Bytes,
			Max:   tooLarge.Max,
		}
	case errors.As(err, &readOnly):
		return http.StatusMethodNotAllowed, Failure{Code: codeReadOnly}
	case errors.As(err, &malformed):
		return http.StatusBadRequest, Failure{Code: codeMalformed, What: malformed.What, Why: malformed.Cause.Error()}
	}
	return http.StatusInternalServerError, Failure{Code: codeInternal}
}

// errorOf restores the typed error from a failure. It returns nil if the code is unknown or internal.
func errorOf(failure Failure) error {
	from := failure.From
	head := failure.Head
	key := failure.Key
	if from == nil {
		from = &distribution.Version{}
	}
	if head == nil {
		head = &distribution.Version{}
	}
	if key == nil {
		key = &distribution.Key{}
	}
	switch failure.Code {
	case codeCompacted:
		return &distribution.CompactedError{From: *from, Oldest: *head}
	case codeBehind:
		return &distribution.BehindError{From: *from, Head: *head}
	case codeNotReady:
		return &distribution.NotReadyError{}
	case codeThrottled:
		return &distribution.ThrottledError{RetryAfter: min(max(failure.RetryAfter, 0), maxRetryAfter)}
	case codeFenced:
		return &distribution.FencedError{Open: failure.Epoch, Given: failure.Given}
	case codeEpochStep:
		return &distribution.EpochStepError{Open: failure.Epoch, Given: failure.Given}
	case codeConflict:
		return &distribution.ConflictError{Expected: *from, Head: *head}
	case codeEmpty:
		return &distribution.EmptyChangeError{}
	case codeKind:
		return &distribution.KindError{Kind: failure.Why}
	case codeKey:
		return &distribution.KeyError{Key: *key, Why: failure.Why}
	case codeScope:
		return &distribution.ScopeError{Why: failure.Why}
	case codeTooLarge:
		return &distribution.TooLargeError{What: failure.What, Bytes: failure.Bytes, Max: failure.Max}
	case codeReadOnly:
		return &distribution.ReadOnlyError{}
	case codeMalformed:
		return &distribution.MalformedError{What: failure.What, Cause: errors.New(failure.Why)}
	}
	return nil
}
