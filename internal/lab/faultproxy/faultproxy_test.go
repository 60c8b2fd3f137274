package faultproxy

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	soon   = 80 * time.Millisecond // what does not come within it is taken not to come
	enough = 5 * time.Second
)

// ends is a link with the near end of one connection over it and the far end.
type ends struct {
	t         *testing.T
	link      *Proxy
	far       chan net.Conn
	near, out net.Conn
}

// joined makes a link with a script whose faults hold from 1 to 2, and one connection that is up.
func joined(t *testing.T, script ...Fault) *ends {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	for i := range script {
		script[i].From, script[i].Until = 1, 2
		require.NoError(t, script[i].Check())
	}
	e := &ends{t: t, far: make(chan net.Conn, 64)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.far <- c
		}
	}()
	e.link, err = New("a", "b", l.Addr().String(), script, 7)
	require.NoError(t, err)
	t.Cleanup(func() { e.link.Close(); _ = l.Close() })
	e.near, e.out = e.connect()
	e.sends(e.near, e.out)
	e.sends(e.out, e.near)
	return e
}

func (e *ends) connect() (near, far net.Conn) {
	e.t.Helper()
	near, err := net.DialTimeout("tcp", e.link.Address(), enough)
	require.NoError(e.t, err)
	select {
	case far = <-e.far:
	case <-time.After(enough):
		e.t.Fatal("no connection at the far side")
	}
	return near, far
}

func (e *ends) step(now int64) {
	e.t.Helper()
	require.NoError(e.t, e.link.Step(now))
}

// sends sends a word one way, which must come.
func (e *ends) sends(from, to net.Conn) {
	e.t.Helper()
	_, _ = from.Write([]byte("word"))
	e.comes(to)
}

func (e *ends) comes(to net.Conn) {
	e.t.Helper()
	buf := make([]byte, 4)
	_ = to.SetReadDeadline(time.Now().Add(enough))
	_, err := io.ReadFull(to, buf)
	require.NoError(e.t, err)
	require.Equal(e.t, "word", string(buf))
}

// silent: nothing comes, not even an end.
func (e *ends) silent(c net.Conn) {
	e.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(soon))
	n, err := c.Read(make([]byte, 1))
	require.ErrorIs(e.t, err, os.ErrDeadlineExceeded, "%d bytes", n)
}

// ended reads until the end, before which so many bytes come at most; those of an end without a reset come all.
func (e *ends) ended(c net.Conn, most int, reset bool) {
	e.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(enough))
	got, err := io.ReadAll(c)
	require.False(e.t, errors.Is(err, os.ErrDeadlineExceeded), "it did not end")
	require.Equal(e.t, reset, errors.Is(err, syscall.ECONNRESET), "a reset: %v", err)
	require.True(e.t, len(got) == most || reset && len(got) < most, "%d bytes", len(got))
}

func (e *ends) neverUp() {
	e.t.Helper()
	_, err := net.DialTimeout("tcp", e.link.Address(), soon)
	require.Error(e.t, err, "a new connection came up")
	require.NotErrorIs(e.t, err, syscall.ECONNREFUSED)
}

func TestCutIsSilentAndResetsWhenItHeals(t *testing.T) {
	e := joined(t, Fault{Kind: Cut})
	e.step(1)
	_, _ = e.near.Write([]byte("word"))
	_, _ = e.out.Write([]byte("word"))
	e.silent(e.near)
	e.silent(e.out)
	e.neverUp()
	e.step(2)
	e.ended(e.near, 0, true)
	e.ended(e.out, 0, true)
	near, far := e.connect()
	e.sends(near, far)
}

func TestCutOneWay(t *testing.T) {
	for _, kind := range []string{CutTo, CutFrom} {
		e := joined(t, Fault{Kind: kind})
		from, to := e.near, e.out
		if kind == CutFrom {
			from, to = to, from
		}
		e.step(1)
		_, _ = from.Write([]byte("word"))
		e.silent(to)
		e.sends(to, from)
		e.neverUp()
		e.step(2)
		e.comes(to)
	}
}

func TestStallHoldsBytesAndEnds(t *testing.T) {
	e := joined(t, Fault{Kind: Stall})
	e.step(1)
	_, _ = e.near.Write([]byte("word"))
	_ = e.near.Close()
	e.silent(e.out)
	e.step(2)
	e.ended(e.out, 4, false)
}

func TestSlowDelaysEachWay(t *testing.T) {
	e := joined(t, Fault{Kind: Slow, Delay: int64(40 * time.Millisecond)})
	e.step(1)
	began := time.Now()
	e.sends(e.near, e.out)
	e.sends(e.out, e.near)
	took := time.Since(began)
	require.True(t, took >= 80*time.Millisecond, "there and back took %v", took)
}

// Of eight connections each is reset within its first message, some on the way there and some on the way back.
func TestResetInTheMiddleOfAMessage(t *testing.T) {
	e := joined(t, Fault{Kind: Reset})
	there, back := 0, 0
	for range 8 {
		e.step(0)
		near, far := e.connect()
		e.step(1)
		_, _ = near.Write([]byte("ask"))
		buf := make([]byte, 3)
		_ = far.SetReadDeadline(time.Now().Add(enough))
		if n, err := io.ReadFull(far, buf); err != nil { // a reset may overtake what came before it
			there++
			assert.True(t, n < 3, "a whole message came before the reset: %v", err)
		} else {
			back++
			_, _ = far.Write([]byte("answer"))
		}
		e.ended(near, 5, true)
	}
	assert.True(t, there != 0 && back != 0, "%d resets there, %d back", there, back)
}

func TestHalfOpenNeverTellsTheOtherSide(t *testing.T) {
	for _, nearEnds := range []bool{true, false} {
		e := joined(t, Fault{Kind: HalfOpen})
		first, other := e.near, e.out
		if !nearEnds {
			first, other = other, first
		}
		e.step(1)
		_ = first.Close()
		e.silent(other)
		for range 2 { // nobody is there, and it is not told of that either
			_, _ = other.Write([]byte("word"))
			e.silent(other)
		}
		e.step(2)
		e.ended(other, 0, true) // when the machine was back
	}
}

// A share of connections is hit, the same ones for one seed.
func TestShareOfConnections(t *testing.T) {
	var seen [2][]bool
	for run := range seen {
		e := joined(t, Fault{Kind: Stall, Share: 0.5})
		for range 12 {
			near, far := e.connect()
			e.step(1)
			_, _ = near.Write([]byte("word"))
			_ = far.SetReadDeadline(time.Now().Add(soon))
			_, err := far.Read(make([]byte, 4))
			seen[run] = append(seen[run], err != nil)
			e.step(0)
		}
	}
	require.Equal(t, seen[0], seen[1], "one seed, two outcomes")
	hit := 0
	for _, is := range seen[0] {
		if is {
			hit++
		}
	}
	require.True(t, hit >= 2 && hit <= 10, "%d of 12 hit", hit)
}

func TestRefusedWhileNobodyListens(t *testing.T) {
	n := NewNetwork(1)
	defer n.Close()
	require.NoError(t, n.Join("a", "b", "127.0.0.1:9", []Fault{{Kind: Cut, From: 1, Until: 2}}))
	got := n.Address("b", "a", "direct")
	assert.True(t, got == "direct", "no link, but %s", got)
	for _, refuses := range []bool{true, false, true} {
		require.NoError(t, n.SetRefusing("b", refuses))
		c, err := net.DialTimeout("tcp", n.Address("a", "b", ""), enough)
		require.True(t, errors.Is(err, syscall.ECONNREFUSED) == refuses, "refuses %v, but %v", refuses, err)
		if err == nil {
			_ = c.Close()
		}
	}
}

func TestBadFaultsNameTheirKey(t *testing.T) {
	for key, f := range map[string]Fault{"kind": {Kind: "melt"}, "from": {Kind: Cut, From: -1}, "until": {Kind: Cut, From: 2, Until: 2},
		"share": {Kind: Cut, Share: 2}, "delay": {Kind: Slow}} {
		var bad *FaultError
		err := f.Check()
		assert.True(t, errors.As(err, &bad) && bad.Key == key && bad.Hint() != "", "%s: %v", key, err)
	}
}
