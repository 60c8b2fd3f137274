// Package resp decodes and encodes RESP2, the protocol that clients and servers speak.
package resp

import (
	"bytes"
	"errors"
	"strconv"
)

const (
	// MaxValueBytes is the largest length of a bulk string in bytes.
	MaxValueBytes = 64 << 10
	// MaxMessageBytes is the largest size of a command or reply in bytes.
	MaxMessageBytes = MaxValueBytes + 16<<10
	// maxElements is the largest number of elements of an array, maxLineBytes the longest line in bytes after its first
	// byte, and maxDepth the number of levels to which arrays may be nested.
	maxElements  = 64
	maxLineBytes = 1 << 10
	maxDepth     = 4
)

var (
	// ErrMalformed reports input that is not valid RESP2, or not of the expected form.
	ErrMalformed = errors.New("malformed")
	// ErrTooLong reports input that exceeds a limit on the length of a line, a value, an array or a message.
	ErrTooLong = errors.New("too long")
)

// Value is a decoded value. Its text is a slice of the input.
type Value struct {
	Kind byte // '+', '-', ':', '$' or '*'
	Null bool
	Text []byte  // without the line end; nil for arrays and null values
	List []Value // the elements of an array
}

// readLine returns the text before the first line end and the bytes after it. rest is nil if the line is incomplete.
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

// parseLength decodes the length of a bulk string or an array, -1 for null.
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

// ReadValue decodes the value at the front of b and returns the number of bytes consumed, 0 if the value is
// incomplete. The error is ErrMalformed or ErrTooLong.
func ReadValue(b []byte) (Value, int, error) { return readComplete(b, maxDepth) }

// readComplete is ReadValue with a limit on the nesting of arrays.
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

// parseValue decodes the value at the front of b and returns the bytes after it. rest is nil if the value is
// incomplete.
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

// readInteger decodes an integer with the digits in text.
func (v Value) readInteger(text, rest []byte) (Value, []byte, error) {
	v.Text = text
	if _, err := strconv.ParseInt(string(text), 10, 64); err != nil {
		return v, rest, ErrMalformed
	}
	return v, rest, nil
}

// readBulk decodes a bulk string with the length in text.
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

// readList decodes an array with the length in text.
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

// ReadReply decodes a server's reply and returns the number of bytes consumed, 0 if the reply is incomplete. A reply
// is an error, or an array of three bulk strings of which the first, the result, is not null. Input that does not
// begin like a reply is rejected without waiting for its end, which may never come.
func ReadReply(b []byte) (Value, int, error) {
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

// ReadCommand decodes a command, an array of bulk strings. It appends the strings to words and returns the number of
// bytes consumed, 0 if the command is incomplete.
func ReadCommand(b []byte, words [][]byte) ([][]byte, int, error) {
	// Input that is not an array is rejected at its first byte, as the end of its line may never come.
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

// AppendBulk appends a bulk string.
func AppendBulk(to, text []byte) []byte {
	to = append(to, '$')
	to = strconv.AppendInt(to, int64(len(text)), 10)
	to = append(to, "\r\n"...)
	to = append(to, text...)
	return append(to, "\r\n"...)
}

// AppendCommand appends a command, an array of bulk strings.
func AppendCommand(to []byte, words ...[]byte) []byte {
	to = append(to, '*')
	to = strconv.AppendInt(to, int64(len(words)), 10)
	to = append(to, "\r\n"...)
	for _, w := range words {
		to = AppendBulk(to, w)
	}
	return to
}
