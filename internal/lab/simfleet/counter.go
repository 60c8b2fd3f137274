package simfleet

import (
	"bytes"
	"strconv"

	"ospreycroft/internal/limiter"
)

// counter simulates the shared counter. It answers `tally NAME AMOUNT LIFETIME` with `ok TOTAL`, in the order of the
// calls on a connection, and processes calls one after the other.
type counter struct {
	f         *Fleet
	entries   map[string]counterEntry
	busyUntil int64 // when it will have finished the calls received so far
	calls     int
}

// counterEntry is the total of a name and when it expires.
type counterEntry struct {
	total   float64
	expires int64
}

// counterCallTime is how long the counter takes for a call, in nanoseconds.
const counterCallTime = 20e3

func (c *counter) accept(s *connEnd)                   { s.data = &[]byte{} }
func (c *counter) connected(*connEnd)                  {}
func (c *counter) ended(*connEnd, limiter.CloseReason) {}
func (c *counter) read(end *connEnd, data []byte, _ int64) {
	received := end.data.(*[]byte)
	*received = append(*received, data...)
	for {
		i := bytes.IndexByte(*received, '\n')
		if i < 0 {
			return
		}
		words := bytes.Fields((*received)[:i])
		*received = (*received)[i+1:]
		c.busyUntil = max(c.busyUntil, c.f.q.now) + counterCallTime
		answer := c.answer(words)
		c.f.q.at(c.busyUntil, func() { end.write(answer) })
	}
}

// answer executes a call. A tally adds to the total of a name, whose lifetime (in milliseconds, at most 60000) runs
// from the first call that names it.
func (c *counter) answer(words [][]byte) []byte {
	if len(words) == 1 && string(words[0]) == "ping" {
		return []byte("pong\r\n")
	}
	if len(words) != 4 || string(words[0]) != "tally" || len(words[1]) > 64 {
		c.f.recordFault("syntax", "counter", string(bytes.Join(words, []byte(" "))))
		return []byte("error\r\n")
	}
	amount, err := strconv.ParseFloat(string(words[2]), 64)
	lifetime, lifetimeErr := strconv.ParseInt(string(words[3]), 10, 64)
	if err != nil || lifetimeErr != nil || lifetime < 1 {
		c.f.recordFault("syntax", "counter", string(bytes.Join(words, []byte(" "))))
		return []byte("error\r\n")
	}
	c.calls++
	now := c.f.q.now
	name := string(words[1])
	entry, known := c.entries[name]
	if !known || now >= entry.expires {
		entry = counterEntry{expires: now + min(lifetime, 60000)*1e6}
	}
	entry.total += amount
	c.entries[name] = entry
	return append(strconv.AppendFloat([]byte("ok "), entry.total, 'g', 7, 64), "\r\n"...)
}
