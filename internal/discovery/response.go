package discovery

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
)

// Response is one HTTP answer; the body points into the bytes it was read from, or is a copy where it came in chunks.
type Response struct {
	Status     int
	Body       []byte
	CloseAfter bool // the connection ends behind it
	// Date is when the service says that it answered, nanoseconds of Unix time in whole seconds; 0 where it does not tell
	Date int64
}

var (
	httpVersion = []byte("HTTP/1.")
	headEnd     = []byte("\r\n\r\n")
)

// ReadResponse reads one answer from all bytes that have come so far and tells how many it took: 0 while it is not
// whole. What cannot become an answer is told as soon as it shows. The reading itself is net/http's; how much to wait
// for, and what no list service sends, is settled here. An answer without a length is never whole here: see ReadEnded.
func ReadResponse(b []byte) (a Response, n int, err error) { return parseResponse(b, false) }

// ReadClosedResponse is the same where nothing comes behind the bytes: the other side has ended the connection in
// order, which ends an answer without a length. A connection that was broken off, or that we gave up, ends none.
func ReadClosedResponse(b []byte) (a Response, n int, err error) { return parseResponse(b, true) }

func parseResponse(b []byte, ended bool) (a Response, n int, err error) {
	r, head, err := parseHead(b)
	if err != nil || r == nil {
		return a, 0, err
	}
	a.Status = r.StatusCode
	a.CloseAfter = r.Close || r.ProtoMinor == 0
	if date, err := http.ParseTime(r.Header.Get("Date")); err == nil {
		a.Date = date.UnixNano()
	}
	rest := b[head:]
	switch {
	case r.Body == http.NoBody: // by its status, whatever its fields say, or by a length of 0
		return a, head, nil
	case len(r.TransferEncoding) > 0: // net/http knows no other than chunked
		a.Body, n, err = joinChunks(rest)
		if n > 0 {
			n += head
		}
		return a, n, err
	case r.ContentLength > maxBodyBytes, r.ContentLength < 0 && len(rest) > maxBodyBytes:
		return a, 0, &TooLongError{Part: "body", Max: maxBodyBytes}
	case r.ContentLength < 0 && ended:
		a.Body = rest
		a.CloseAfter = true
		return a, len(b), nil
	case r.ContentLength < 0, int64(len(rest)) < r.ContentLength:
		return a, 0, nil
	}
	a.Body = rest[:r.ContentLength]
	return a, head + len(a.Body), nil
}

// parseHead reads the head of an answer and tells how many bytes it took; nil while it is not whole.
func parseHead(b []byte) (r *http.Response, n int, err error) {
	if k := min(len(b), len(httpVersion)); !bytes.Equal(b[:k], httpVersion[:k]) {
		return nil, 0, &MalformedError{Why: "it is no HTTP/1"}
	}
	end := bytes.Index(b[:min(len(b), maxHeadBytes)], headEnd)
	if end < 0 {
		if len(b) >= maxHeadBytes {
			err = &TooLongError{Part: "head", Max: maxHeadBytes}
		}
		return nil, 0, err
	}
	n = end + len(headEnd)
	// Only the head is given to it: it is short, so to read it again with each piece of a long body costs little.
	from := bufio.NewReaderSize(bytes.NewReader(b[:n]), n)
	r, err = http.ReadResponse(from, nil)
	switch {
	case err != nil:
		return nil, 0, &MalformedError{Cause: err}
	case from.Buffered() > 0: // lines that end without a return: where the body begins is not sure
		return nil, 0, &MalformedError{Why: "its head ends twice"}
	case r.StatusCode < 100:
		return nil, 0, &MalformedError{Why: "its status is " + r.Status}
	}
	return r, n, nil
}

// joinChunks puts the chunks of a body together; it takes 0 bytes while the body is not whole.
func joinChunks(b []byte) (body []byte, took int, err error) {
	// Nothing is kept until the last chunk is there: most calls find that more is to come.
	size, took, err := readChunks(b, io.Discard)
	if err != nil || took == 0 {
		return nil, 0, err
	}
	whole := bytes.NewBuffer(make([]byte, 0, size))
	_, took, err = readChunks(b, whole)
	return whole.Bytes(), took, err
}

// readChunks writes the content of chunks and tells its size and how many bytes they took.
func readChunks(b []byte, to io.Writer) (size int64, took int, err error) {
	under := bytes.NewReader(b)
	from := bufio.NewReader(under)
	size, err = io.Copy(to, io.LimitReader(httputil.NewChunkedReader(from), maxBodyBytes+1))
	switch {
	case size > maxBodyBytes:
		return 0, 0, &TooLongError{Part: "body", Max: maxBodyBytes}
	case errors.Is(err, io.ErrUnexpectedEOF):
		return 0, 0, nil
	case err != nil:
		return 0, 0, &MalformedError{Cause: err}
	}
	// Fields behind the last chunk are not for us; a server that sends them is not understood.
	last, _ := from.Peek(2)
	if !bytes.HasPrefix([]byte("\r\n"), last) {
		return 0, 0, &MalformedError{Why: "fields stand behind its last chunk"}
	}
	if len(last) < 2 {
		return 0, 0, nil
	}
	return size, len(b) - under.Len() - from.Buffered() + 2, nil
}
