// Package counterwire reads and writes the counter's lines.
package counterwire

import (
	"bytes"
	"math"
	"strconv"
)

const maxLineBytes = 256

// ReplyKind is what the counter said.
type ReplyKind uint8

// The kinds of replies.
const (
	Added      ReplyKind = iota // and what the total is now
	Overloaded                  // nothing was added
	Rejected                    // no such call, nothing was added
	Pong
)

// AppendAdd writes a call; the life is in nanoseconds.
func AppendAdd(to []byte, name uint64, amount float64, ttl int64) []byte {
	to = append(to, "tally "...)
	to = strconv.AppendUint(to, name, 10)
	to = append(to, ' ')
	to = strconv.AppendFloat(to, amount, 'f', -1, 64)
	to = append(to, ' ')
	to = strconv.AppendInt(to, max(1, (ttl+1e6-1)/1e6), 10)
	return append(to, "\r\n"...)
}

// AppendPing writes a ping.
func AppendPing(to []byte) []byte { return append(to, "ping\r\n"...) }

// isReplyPrefix tells whether some answer begins so.
func isReplyPrefix(b []byte) bool {
	for _, word := range []string{"ok ", "busy\r", "error\r", "pong\r"} {
		if n := min(len(b), len(word)); string(b[:n]) == word[:n] {
			return true
		}
	}
	return false
}

// ReadReply reads one answer and tells how many bytes it took: 0 while it is not whole.
func ReadReply(b []byte) (kind ReplyKind, total float64, n int, err error) {
	lineEnd := bytes.IndexByte(b[:min(len(b), maxLineBytes)], '\n')
	if lineEnd < 0 {
		// A line that no answer begins with may never end.
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
