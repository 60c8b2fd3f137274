// Package resp reads and writes RESP2, the protocol of clients and servers.
package resp

import (
	"bytes"
	"errors"
	"strconv"
)

const (
	// MaxValueBytes is the longest value there may be.
	MaxValueBytes = 64 << 10
	// MaxMessageBytes is the longest command or answer that is read.
	MaxMessageBytes = MaxValueBytes + 16<<10
	// maxElements is the longest list, maxLineBytes the longest line in bytes, maxDepth how deep lists may stand in lists.
	maxElements  = 64
	maxLineBytes = 1 << 10
	maxDepth     = 4
)

var (
	// ErrMalformed is for bytes that are no RESP2.
	ErrMalformed = errors.New("malformed")
	// ErrTooLong is for what passes the limits above.
	ErrTooLong = errors.New("too long")
)

// Value is one value; its text points into the bytes it was read from.
type Value struct {
	Kind byte // '+', '-', ':', '$' or '*'
	Null bool
	Text []byte
	List []Value
}

// readLine gives the text up to the first line end and what comes behind it; rest is nil while there is no line end.
func readLine(b []byte) (text, rest []byte, err error) {
	window := b[:min(len(b), maxLineBytes)]
	lineEnd := bytes.IndexByte(window, '\n')
	switch {
	case lineEnd < 0 && len(b) >= maxLineBytes:
		return nil, nil, ErrTooLong
	case lineEnd < 0:
		return nil, nil, nil
	case lineEnd == 0 || b[lineEnd-1] != '\r':
		return nil, nil, ErrMalformed
	}
	return b[:lineEnd-1], b[lineEnd+1:], nil
}

func parseLength(text []byte, limit int) (int, error) {
	n, err := strconv.Atoi(string(text))
	switch {
	case err != nil || n < -1 || len(text) > 0 && text[0] == '+':
		return 0, ErrMalformed
	case n > limit:
		return 0, ErrTooLong
	}
	return n, nil
}

// ReadValue reads one value and tells how many bytes it took: 0 while it is not whole.
func ReadValue(b []byte) (Value, int, error) { return readComplete(b, maxDepth) }

func readComplete(b []byte, depth int) (Value, int, error) {
	v, rest, err := parseValue(b, depth)
	if err == nil && rest == nil && len(b) > MaxMessageBytes {
		err = ErrTooLong
	}
	if err != nil || rest == nil {
		return Value{}, 0, err
	}
	return v, len(b) - len(rest), nil
}

// parseValue reads one value from the front of the bytes; it gives a nil rest while the value is not whole.
func parseValue(b []byte, depth int) (v Value, rest []byte, err error) {
	if len(b) == 0 {
		return v, nil, nil
	}
	v.Kind = b[0]
	switch v.Kind {
	case '+', '-', ':', '$', '*':
	default:
		return v, nil, ErrMalformed
	}
	text, rest, err := readLine(b[1:])
	if err != nil || rest == nil {
		return v, nil, err
	}
	switch v.Kind {
	case ':':
		return v.readInteger(text, rest)
	case '$':
		return v.readBulk(text, rest)
	case '*':
		return v.readList(text, rest, depth)
	}
	v.Text = text
	return v, rest, nil
}

// readInteger finishes an integer, whose digits are the text.
func (v Value) readInteger(text, rest []byte) (Value, []byte, error) {
	v.Text = text
	if _, err := strconv.ParseInt(string(text), 10, 64); err != nil {
		return v, rest, ErrMalformed
	}
	return v, rest, nil
}

// readBulk finishes a bulk string, whose length is the text.
func (v Value) readBulk(text, rest []byte) (Value, []byte, error) {
	n, err := parseLength(text, MaxValueBytes)
	if err != nil || n < 0 {
		v.Null = true
		return v, rest, err
	}
	if len(rest) < n+2 {
		return v, nil, nil
	}
	if rest[n] != '\r' || rest[n+1] != '\n' {
		return v, nil, ErrMalformed
	}
	v.Text = rest[:n]
	return v, rest[n+2:], nil
}

// readList finishes a list, whose length is the text.
func (v Value) readList(text, rest []byte, depth int) (Value, []byte, error) {
	n, err := parseLength(text, maxElements)
	if err != nil || n < 0 {
		v.Null = true
		return v, rest, err
	}
	if depth == 0 {
		return v, nil, ErrMalformed
	}
	for range n {
		var item Value
		item, rest, err = parseValue(rest, depth-1)
		if err != nil || rest == nil {
			return v, nil, err
		}
		v.List = append(v.List, item)
	}
	return v, rest, nil
}

// ReadAnswer reads a server's answer: an error line, or three bulk strings, of which the first, the value, is never
// null. What cannot become one is told as soon as it shows: a spoilt answer may never end.
func ReadAnswer(b []byte) (Value, int, error) {
	if len(b) == 0 || b[0] == '-' {
		return ReadValue(b)
	}
	prefix := []byte("*3\r\n$")
	if n := min(len(b), len(prefix)); !bytes.Equal(b[:n], prefix[:n]) {
		return Value{}, 0, ErrMalformed
	}
	v, n, err := readComplete(b, 1)
	if err != nil || n == 0 {
		return Value{}, 0, err
	}
	for i, item := range v.List {
		if item.Kind != '$' || i == 0 && item.Null {
			return Value{}, 0, ErrMalformed
		}
	}
	return v, n, nil
}

// ReadCommand reads a command, an array of bulk strings, and tells how many bytes it took: 0 while it is not whole.
func ReadCommand(b []byte, words [][]byte) ([][]byte, int, error) {
	// What cannot become a command is told at its first byte, not when its line ends.
	if len(b) > 0 && b[0] != '*' {
		return words, 0, ErrMalformed
	}
	v, n, err := readComplete(b, 1)
	if err != nil || n == 0 {
		return words, 0, err
	}
	if len(v.List) == 0 {
		return words, 0, ErrMalformed
	}
	for _, w := range v.List {
		if w.Kind != '$' || w.Null {
			return words, 0, ErrMalformed
		}
		words = append(words, w.Text)
	}
	return words, n, nil
}

// AppendBulk writes one bulk string.
func AppendBulk(to, text []byte) []byte {
	to = append(to, '$')
	to = strconv.AppendInt(to, int64(len(text)), 10)
	to = append(to, "\r\n"...)
	to = append(to, text...)
	return append(to, "\r\n"...)
}

// AppendCommand writes a command.
func AppendCommand(to []byte, words ...[]byte) []byte {
	to = append(to, '*')
	to = strconv.AppendInt(to, int64(len(words)), 10)
	to = append(to, "\r\n"...)
	for _, w := range words {
		to = AppendBulk(to, w)
	}
	return to
}
