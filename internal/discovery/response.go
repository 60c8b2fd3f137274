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
func ReadResponse(b []byte) (r Response, size int, err error) { return parseResponse(b, false) }

// ReadClosedResponse is the same where nothing comes behind the bytes: the other side has ended the connection in
// order, which ends an answer without a length. A connection that was broken off, or that we gave up, ends none.
func ReadClosedResponse(b []byte) (r Response, size int, err error) { return parseResponse(b, true) }

func parseResponse(b []byte, closed bool) (response Response, size int, err error) {
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
	case parsed.Body == http.NoBody: // by its status, whatever its fields say, or by a length of 0
		return response, headSize, nil
	case len(parsed.TransferEncoding) > 0: // net/http knows no other than chunked
		response.Body, size, err = joinChunks(rest)
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

// parseHead reads the head of an answer and tells how many bytes it took; nil while it is not whole.
func parseHead(b []byte) (response *http.Response, size int, err error) {
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
	size = end + len(headEnd)
	// Only the head is given to it: it is short, so to read it again with each piece of a long body costs little.
	reader := bufio.NewReaderSize(bytes.NewReader(b[:size]), size)
	response, err = http.ReadResponse(reader, nil)
	switch {
	case err != nil:
		return nil, 0, &MalformedError{Cause: err}
	case reader.Buffered() > 0: // lines that end without a return: where the body begins is not sure
		return nil, 0, &MalformedError{Why: "its head ends twice"}
	case response.StatusCode < 100:
		return nil, 0, &MalformedError{Why: "its status is " + response.Status}
	}
	return response, size, nil
}

// joinChunks puts the chunks of a body together; it takes 0 bytes while the body is not whole.
func joinChunks(b []byte) (body []byte, encodedSize int, err error) {
	// Nothing is kept until the last chunk is there: most calls find that more is to come.
	decodedSize, encodedSize, err := readChunks(b, io.Discard)
	if err != nil || encodedSize == 0 {
		return nil, 0, err
	}
	buffer := bytes.NewBuffer(make([]byte, 0, decodedSize))
	_, encodedSize, err = readChunks(b, buffer)
	return buffer.Bytes(), encodedSize, err
}

// readChunks writes the content of chunks and tells its size and how many bytes they took.
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
	// Fields behind the trailer chunk are not for us; a server that sends them is not understood.
	trailer, _ := reader.Peek(2)
	if !bytes.HasPrefix([]byte("\r\n"), trailer) {
		return 0, 0, &MalformedError{Why: "fields stand behind its last chunk"}
	}
	if len(trailer) < 2 {
		return 0, 0, nil
	}
	return decodedSize, len(b) - source.Len() - reader.Buffered() + 2, nil
}
