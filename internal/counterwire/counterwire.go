// Package counterwire encodes calls to the shared counter and decodes its replies. Calls and replies are lines that end
// with CRLF.
package counterwire

import (
	"bytes"
	"math"
	"strconv"
)

// maxLineBytes is the longest reply line that is read, with its line end.
const maxLineBytes = 256

// ReplyKind is the kind of a reply from the counter.
type ReplyKind uint8

// The kinds of replies.
const (
	Added      ReplyKind = iota // the amount was added; the reply holds the new total
	Overloaded                  // the counter is overloaded; nothing was added
	Rejected                    // the counter does not know the call; nothing was added
	Pong                        // reply to a ping
)

// AppendAdd appends a call that adds amount to the total called name. If the call creates the total, the total expires
// after lifetime nanoseconds, which are sent as milliseconds, rounded up and at least 1.
func AppendAdd(to []byte, name uint64, amount float64, lifetime int64) []byte {
	to = append(to, "tally "...)
	to = strconv.AppendUint(to, name, 10)
	to = append(to, ' ')
	to = strconv.AppendFloat(to, amount, 'f', -1, 64)
	to = append(to, ' ')
	to = strconv.AppendInt(to, max(1, (lifetime+1e6-1)/1e6), 10)
	return append(to, "\r\n"...)
}

// AppendPing appends a ping.
func AppendPing(to []byte) []byte { return append(to, "ping\r\n"...) }

// isReplyPrefix reports whether b can be the beginning of a reply: one of b and a reply's first word begins with the
// other.
func isReplyPrefix(b []byte) bool {
	for _, word := range []string{"ok ", "busy\r", "error\r", "pong\r"} {
		if n := min(len(b), len(word)); string(b[:n]) == word[:n] {
			return true
		}
	}
	return false
}

// ReadReply decodes the reply at the front of b and returns the number of bytes consumed, 0 if the reply is incomplete.
// total is set for Added alone. The error is a *MalformedError.
func ReadReply(b []byte) (kind ReplyKind, total float64, n int, err error) {
	lineEnd := bytes.IndexByte(b[:min(len(b), maxLineBytes)], '\n')
	if lineEnd < 0 {
		// Malformed input is reported before its line end, which may never come.
		if len(b) >= maxLineBytes || !isReplyPrefix(b) {
			err = malformed(b)
		}
		return 0, 0, 0, err
	}
	if lineEnd == 0 || b[lineEnd-1] != '\r' {
		return 0, 0, 0, malformed(b)
	}
	word, rest, _ := bytes.Cut(b[:lineEnd-1], []byte(" "))
	switch string(word) {
	case "ok":
		total, err = strconv.ParseFloat(string(rest), 64)
		if err != nil || math.IsNaN(total) || math.IsInf(total, 0) {
			return 0, 0, 0, malformed(b)
		}
		return Added, total, lineEnd + 1, nil
	case "busy":
		return Overloaded, 0, lineEnd + 1, nil
	case "error":
		return Rejected, 0, lineEnd + 1, nil
	case "pong":
		return Pong, 0, lineEnd + 1, nil
	}
	return 0, 0, 0, malformed(b)
}
