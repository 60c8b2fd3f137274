package simfleet

import (
	"bytes"
	"strconv"

	"ospreycroft/internal/limiter"
)

// counter answers `tally NAME AMOUNT LIFE` with `ok TOTAL`, in the order of the calls on a connection. It does so many
// calls a second, one after the other.
type counter struct {
	f      *Fleet
	counts map[string]count
	free   int64 // when it has done what it has taken
	calls  int
}

type count struct {
	total float64
	until int64
}

// counterWork is how long a call takes the counter.
const counterWork = 20e3

func (k *counter) accept(s *side)                   { s.data = &[]byte{} }
func (k *counter) connected(*side)                  {}
func (k *counter) ended(*side, limiter.CloseReason) {}
func (k *counter) read(s *side, b []byte, _ int64) {
	held := s.data.(*[]byte)
	*held = append(*held, b...)
	for {
		i := bytes.IndexByte(*held, '\n')
		if i < 0 {
			return
		}
		words := bytes.Fields((*held)[:i])
		*held = (*held)[i+1:]
		k.free = max(k.free, k.f.q.now) + counterWork
		answer := k.answer(words)
		k.f.q.at(k.free, func() { s.write(answer) })
	}
}

// answer adds to a count; a name's life runs from its first add.
func (k *counter) answer(words [][]byte) []byte {
	if len(words) == 1 && string(words[0]) == "ping" {
		return []byte("pong\r\n")
	}
	if len(words) != 4 || string(words[0]) != "tally" || len(words[1]) > 64 {
		k.f.fault("syntax", "counter", string(bytes.Join(words, []byte(" "))))
		return []byte("error\r\n")
	}
	amount, err := strconv.ParseFloat(string(words[2]), 64)
	life, lifeErr := strconv.ParseInt(string(words[3]), 10, 64)
	if err != nil || lifeErr != nil || life < 1 {
		k.f.fault("syntax", "counter", string(bytes.Join(words, []byte(" "))))
		return []byte("error\r\n")
	}
	k.calls++
	now := k.f.q.now
	name := string(words[1])
	c, known := k.counts[name]
	if !known || now >= c.until {
		c = count{until: now + min(life, 60000)*1e6}
	}
	c.total += amount
	k.counts[name] = c
	return append(strconv.AppendFloat([]byte("ok "), c.total, 'g', 7, 64), "\r\n"...)
}
