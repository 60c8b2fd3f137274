package discovery

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
)

// Response is one HTTP response.
type Response struct {
	Status     int
	Body       []byte // a slice of the bytes that were parsed, or a copy if the body was chunked
	CloseAfter bool   // the connection ends after this response
	// Date is the value of the Date header in Unix nanoseconds, with a resolution of a second; 0 if it is missing or
	// invalid.
	Date int64
}

var (
	httpVersion = []byte("HTTP/1.")
	headEnd     = []byte("\r\n\r\n")
)

// ReadResponse parses one response at the start of b, which holds all bytes received so far. It returns the response's
// size in bytes, 0 while it is incomplete, and an error as soon as b cannot become a valid response. Parsing is done by
// net/http; this package decides when a response is complete and rejects forms that no discovery service sends. A
// response without a length is never complete here, see ReadClosedResponse. Errors: *MalformedError, *TooLongError.
func ReadResponse(b []byte) (r Response, size int, err error) {
	return parseResponse(b, false, &Progress{})
}

// ReadMore is like ReadResponse, for a response that comes in pieces: progress has what earlier calls on the same
// response have found, so that a chunked body is not read from its start each time.
func ReadMore(b []byte, progress *Progress) (r Response, size int, err error) {
	return parseResponse(b, false, progress)
}

// ReadClosedResponse is like ReadResponse, but for a connection that the service has closed gracefully, which completes
// a response without a length. It must not be used after a reset or a timeout.
func ReadClosedResponse(b []byte) (r Response, size int, err error) {
	return parseResponse(b, true, &Progress{})
}

// parseResponse implements ReadResponse and, if closed is true, ReadClosedResponse.
func parseResponse(b []byte, closed bool, progress *Progress) (response Response, size int, err error) {
	parsed, headSize, err := parseHead(b)
	if err != nil || parsed == nil {
		return response, 0, err
	}
	response.Status = parsed.StatusCode
	response.CloseAfter = parsed.Close || parsed.ProtoMinor == 0
	if date, err := http.ParseTime(parsed.Header.Get("Date")); err == nil {
		response.Date = date.UnixNano()
	}
	rest := b[headSize:]
	switch {
	case parsed.Body == http.NoBody: // the status allows no body, whatever the header says, or the length is 0
		return response, headSize, nil
	case len(parsed.TransferEncoding) > 0: // net/http accepts only chunked
		response.Body, size, err = joinChunks(rest, progress)
		if size > 0 {
			size += headSize
		}
		return response, size, err
	case parsed.ContentLength > maxBodyBytes, parsed.ContentLength < 0 && len(rest) > maxBodyBytes:
		return response, 0, &TooLongError{Part: "body", Max: maxBodyBytes}
	case parsed.ContentLength < 0 && closed:
		response.Body = rest
		response.CloseAfter = true
		return response, len(b), nil
	case parsed.ContentLength < 0, int64(len(rest)) < parsed.ContentLength:
		return response, 0, nil
	}
	response.Body = rest[:parsed.ContentLength]
	return response, headSize + len(response.Body), nil
}

// parseHead parses the status line and the header at the start of b, and returns their size in bytes. The response is
// nil while they are incomplete.
func parseHead(b []byte) (response *http.Response, size int, err error) {
	if k := min(len(b), len(httpVersion)); !bytes.Equal(b[:k], httpVersion[:k]) {
		return nil, 0, &MalformedError{Why: "it is not HTTP/1"}
	}
	end := bytes.Index(b[:min(len(b), maxHeadBytes)], headEnd)
	if end < 0 {
		if len(b) >= maxHeadBytes {
			err = &TooLongError{Part: "head", Max: maxHeadBytes}
		}
		return nil, 0, err
	}
	size = end + len(headEnd)
	// net/http gets the head only. It is short, so parsing it again with each segment of a long body costs little.
	reader := bufio.NewReaderSize(bytes.NewReader(b[:size]), size)
	response, err = http.ReadResponse(reader, nil)
	switch {
	case err != nil:
		return nil, 0, &MalformedError{Cause: err}
	case reader.Buffered() > 0: // lines end in a bare \n, so it is ambiguous where the body begins
		return nil, 0, &MalformedError{Why: "its head ends twice"}
	case response.StatusCode < 100:
		return nil, 0, &MalformedError{Why: "its status is invalid: " + response.Status}
	}
	return response, size, nil
}

// joinChunks decodes a chunked body at the start of b. encodedSize is its size in b, 0 while the body is incomplete.
func joinChunks(b []byte, progress *Progress) (body []byte, encodedSize int, err error) {
	progress.skipChunks(b)
	if progress.encoded > maxEncodedBytes || progress.decoded > maxBodyBytes {
		return nil, 0, &TooLongError{Part: "body", Max: maxBodyBytes}
	}
	// The first pass only checks whether the body is complete, since most calls find that it is not.
	decodedSize, encodedSize, err := readChunks(b[progress.encoded:], io.Discard)
	decodedSize += int64(progress.decoded)
	if err != nil || encodedSize == 0 {
		return nil, 0, err
	}
	buffer := bytes.NewBuffer(make([]byte, 0, decodedSize))
	_, encodedSize, err = readChunks(b, buffer)
	return buffer.Bytes(), encodedSize, err
}

// readChunks writes the content of a chunked body to dst. It returns the size of the content and of the encoded body in
// bytes, both 0 while the body is incomplete.
func readChunks(b []byte, dst io.Writer) (decodedSize int64, encodedSize int, err error) {
	source := bytes.NewReader(b)
	reader := bufio.NewReader(source)
	decodedSize, err = io.Copy(dst, io.LimitReader(httputil.NewChunkedReader(reader), maxBodyBytes+1))
	switch {
	case decodedSize > maxBodyBytes:
		return 0, 0, &TooLongError{Part: "body", Max: maxBodyBytes}
	case errors.Is(err, io.ErrUnexpectedEOF):
		return 0, 0, nil
	case err != nil:
		return 0, 0, &MalformedError{Cause: err}
	}
	// Trailer fields are not supported.
	trailer, _ := reader.Peek(2)
	if !bytes.HasPrefix([]byte("\r\n"), trailer) {
		return 0, 0, &MalformedError{Why: "it has trailer fields after its last chunk"}
	}
	if len(trailer) < 2 {
		return 0, 0, nil
	}
	return decodedSize, len(b) - source.Len() - reader.Buffered() + 2, nil
}
