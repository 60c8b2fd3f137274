package transport

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"ospreycroft/internal/distribution"
)

// MaxResponseBytes bounds the body of a response. It leaves room for MaxDeltaBytes or MaxPieceBytes of content with
// every character escaped in JSON.
const MaxResponseBytes = 4 << 20

// Client calls one server, a source or a relay. It is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client of the server at address, which is host:port. dialTimeout limits how long a connection may
// take to be established; 0 means no limit.
func NewClient(address string, dialTimeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{address: address, http: &http.Client{
		Transport: &http.Transport{
			DialContext:            dialer.DialContext,
			MaxIdleConnsPerHost:    2,
			IdleConnTimeout:        idleTimeout / 2,
			MaxResponseHeaderBytes: maxHeaderBytes,
			DisableCompression:     true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Changes requests changes. The server may hold the call for up to hold while it has nothing newer. Errors: those
// restored from a Failure, and *UnreachableError, *UnansweredError, *TruncatedError, *TooLongError, *StatusError,
// *MalformedError.
func (c *Client) Changes(
	ctx context.Context,
	request distribution.ChangesRequest,
	hold, timeout time.Duration,
) (*distribution.Delta, error) {
	delta := &distribution.Delta{}
	err := c.call(ctx, timeout, http.MethodGet, "/v1/changes?"+changesQuery(request, int64(hold)).Encode(), nil, delta)
	if err == nil && delta.To == (distribution.Version{}) {
		err = c.missingVersionError()
	}
	if err != nil {
		return nil, err
	}
	return delta, nil
}

// Piece requests a piece of the state. Errors: those of Changes.
func (c *Client) Piece(
	ctx context.Context,
	request distribution.PieceRequest,
	timeout time.Duration,
) (*distribution.Piece, error) {
	piece := &distribution.Piece{}
	err := c.call(ctx, timeout, http.MethodGet, "/v1/pieces?"+pieceQuery(request).Encode(), nil, piece)
	if err == nil && piece.Version == (distribution.Version{}) {
		err = c.missingVersionError()
	}
	if err != nil {
		return nil, err
	}
	return piece, nil
}

// missingVersionError reports a response without a version: it is JSON, but of another kind than was requested.
func (c *Client) missingVersionError() error {
	return &distribution.MalformedError{What: "the answer of " + c.address, Cause: errors.New("it has no version")}
}

// Acknowledge reports to the server which version a limiter has in force. Errors: those of Changes.
func (c *Client) Acknowledge(
	ctx context.Context,
	acknowledgement distribution.Acknowledgement,
	timeout time.Duration,
) error {
	return c.call(ctx, timeout, http.MethodPost, "/v1/acknowledgements", acknowledgement, nil)
}

// Open opens an epoch at a source. Errors: those of Changes.
func (c *Client) Open(
	ctx context.Context,
	epoch uint64,
	timeout time.Duration,
) (change distribution.Change, err error) {
	err = c.call(ctx, timeout, http.MethodPost, "/v1/epochs", EpochOpening{Epoch: epoch}, &change)
	return change, err
}

// Publish publishes a change at a source. Errors: those of Changes. After an error of the transport, such as
// *UnansweredError or *TruncatedError, the change may have been published; with Expected set the call is safe to
// repeat.
func (c *Client) Publish(
	ctx context.Context,
	publication Publication,
	timeout time.Duration,
) (change distribution.Change, err error) {
	err = c.call(ctx, timeout, http.MethodPost, "/v1/changes", publication, &change)
	return change, err
}

// Summarize sends a relay's summary to a source. Errors: those of Changes.
func (c *Client) Summarize(ctx context.Context, summary distribution.Summary, timeout time.Duration) error {
	return c.call(ctx, timeout, http.MethodPost, "/v1/summaries", summary, nil)
}

// Overview asks a source which versions are in force at the limiters of each relay. Errors: those of Changes.
func (c *Client) Overview(ctx context.Context, timeout time.Duration) (overview distribution.Overview, err error) {
	err = c.call(ctx, timeout, http.MethodGet, "/v1/overview", nil, &overview)
	return overview, err
}

// call makes one call and decodes its response into result, but only if the whole body has arrived. A nil result
// expects status 204.
func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return c.callError(ctx, timeout, &UnreachableError{Address: c.address, Cause: err})
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes+1))
	switch {
	case err != nil:
		return c.callError(ctx, timeout, &TruncatedError{Address: c.address, Cause: err})
	case len(text) > MaxResponseBytes:
		return &TooLongError{Address: c.address, Max: MaxResponseBytes}
	case response.StatusCode >= http.StatusBadRequest:
		return c.responseError(response.StatusCode, text)
	case result == nil && response.StatusCode == http.StatusNoContent:
		return nil
	case response.StatusCode != http.StatusOK || result == nil:
		return &StatusError{Address: c.address, Status: response.StatusCode}
	}
	if err := json.Unmarshal(text, result); err != nil {
		return &distribution.MalformedError{What: "the answer of " + c.address, Cause: err}
	}
	return nil
}

func (c *Client) newRequest(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var text []byte
	if body != nil {
		var err error
		text, err = json.Marshal(body)
		if err != nil {
			return nil, &distribution.MalformedError{What: "the call", Cause: err}
		}
	}
	baseURL := (&url.URL{Scheme: "http", Host: c.address}).String()
	request, err := http.NewRequestWithContext(ctx, method, baseURL+path, bytes.NewReader(text))
	if err != nil {
		return nil, &UnreachableError{Address: c.address, Cause: err}
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// callError returns the error of a call without a complete response: *UnansweredError if its timeout has passed, else
// otherwise.
func (c *Client) callError(ctx context.Context, timeout time.Duration, otherwise error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &UnansweredError{Address: c.address, After: int64(timeout)}
	}
	return otherwise
}

// responseError returns the error of a response with a status of 400 or above.
func (c *Client) responseError(status int, text []byte) error {
	var f Failure
	if json.Unmarshal(text, &f) == nil {
		if err := errorOf(f); err != nil {
			return err
		}
	}
	return &StatusError{Address: c.address, Status: status}
}
