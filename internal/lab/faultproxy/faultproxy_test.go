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
	quietWait   = 80 * time.Millisecond // nothing received within this time counts as silence
	waitTimeout = 5 * time.Second
)

// linkTest is a link and both ends of one connection over it. accepted receives each connection at the far side.
type linkTest struct {
	t         *testing.T
	link      *Proxy
	accepted  chan net.Conn
	near, far net.Conn
}

// newLinkTest creates a link whose faults are active from time 1 to 2, with one established connection.
func newLinkTest(t *testing.T, script ...Fault) *linkTest {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	for i := range script {
		script[i].From, script[i].Until = 1, 2
		require.NoError(t, script[i].Check())
	}
	e := &linkTest{t: t, accepted: make(chan net.Conn, 64)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.accepted <- c
		}
	}()
	e.link, err = New("a", "b", l.Addr().String(), script, 7)
	require.NoError(t, err)
	t.Cleanup(func() { e.link.Close(); _ = l.Close() })
	e.near, e.far = e.connect()
	e.requireDelivered(e.near, e.far)
	e.requireDelivered(e.far, e.near)
	return e
}

func (e *linkTest) connect() (near, far net.Conn) {
	e.t.Helper()
	near, err := net.DialTimeout("tcp", e.link.Address(), waitTimeout)
	require.NoError(e.t, err)
	select {
	case far = <-e.accepted:
	case <-time.After(waitTimeout):
		e.t.Fatal("no connection arrived at the far side")
	}
	return near, far
}

func (e *linkTest) step(now int64) {
	e.t.Helper()
	require.NoError(e.t, e.link.Step(now))
}

// requireDelivered sends a word in one direction and requires that it arrives.
func (e *linkTest) requireDelivered(from, to net.Conn) {
	e.t.Helper()
	_, _ = from.Write([]byte("word"))
	e.requireReceived(to)
}

func (e *linkTest) requireReceived(to net.Conn) {
	e.t.Helper()
	buf := make([]byte, 4)
	_ = to.SetReadDeadline(time.Now().Add(waitTimeout))
	_, err := io.ReadFull(to, buf)
	require.NoError(e.t, err)
	require.Equal(e.t, "word", string(buf))
}

// requireSilent requires that neither data nor a close arrives within quietWait.
func (e *linkTest) requireSilent(c net.Conn) {
	e.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(quietWait))
	n, err := c.Read(make([]byte, 1))
	require.ErrorIs(e.t, err, os.ErrDeadlineExceeded, "%d bytes", n)
}

// requireEnded reads until the connection ends. If reset is true, it requires a reset after at most maxBytes bytes,
// else a close after exactly maxBytes.
func (e *linkTest) requireEnded(c net.Conn, maxBytes int, reset bool) {
	e.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	got, err := io.ReadAll(c)
	require.False(e.t, errors.Is(err, os.ErrDeadlineExceeded), "the connection did not end")
	require.Equal(e.t, reset, errors.Is(err, syscall.ECONNRESET), "ended by a reset: %v", err)
	require.True(e.t, len(got) == maxBytes || reset && len(got) < maxBytes, "%d bytes received", len(got))
}

func (e *linkTest) requireNoConnection() {
	e.t.Helper()
	_, err := net.DialTimeout("tcp", e.link.Address(), quietWait)
	require.Error(e.t, err, "a new connection was established")
	require.NotErrorIs(e.t, err, syscall.ECONNREFUSED)
}

func TestCutIsSilentThenResets(t *testing.T) {
	e := newLinkTest(t, Fault{Kind: Cut})
	e.step(1)
	_, _ = e.near.Write([]byte("word"))
	_, _ = e.far.Write([]byte("word"))
	e.requireSilent(e.near)
	e.requireSilent(e.far)
	e.requireNoConnection()
	e.step(2)
	e.requireEnded(e.near, 0, true)
	e.requireEnded(e.far, 0, true)
	near, far := e.connect()
	e.requireDelivered(near, far)
}

func TestCutOneWay(t *testing.T) {
	for _, kind := range []string{CutTo, CutFrom} {
		e := newLinkTest(t, Fault{Kind: kind})
		from, to := e.near, e.far
		if kind == CutFrom {
			from, to = to, from
		}
		e.step(1)
		_, _ = from.Write([]byte("word"))
		e.requireSilent(to)
		e.requireDelivered(to, from)
		e.requireNoConnection()
		e.step(2)
		e.requireReceived(to)
	}
}

func TestStallHoldsBytesAndEnds(t *testing.T) {
	e := newLinkTest(t, Fault{Kind: Stall})
	e.step(1)
	_, _ = e.near.Write([]byte("word"))
	_ = e.near.Close()
	e.requireSilent(e.far)
	e.step(2)
	e.requireEnded(e.far, 4, false)
}

func TestSlowDelaysEachWay(t *testing.T) {
	e := newLinkTest(t, Fault{Kind: Slow, Delay: int64(40 * time.Millisecond)})
	e.step(1)
	began := time.Now()
	e.requireDelivered(e.near, e.far)
	e.requireDelivered(e.far, e.near)
	took := time.Since(began)
	require.True(t, took >= 80*time.Millisecond, "the round trip took %v", took)
}

// Each of eight connections has to be reset within its first message, and the seed has to choose both directions at
// least once.
func TestResetInTheMiddleOfAMessage(t *testing.T) {
	e := newLinkTest(t, Fault{Kind: Reset})
	toFar, toNear := 0, 0
	for range 8 {
		e.step(0)
		near, far := e.connect()
		e.step(1)
		_, _ = near.Write([]byte("ask"))
		buf := make([]byte, 3)
		_ = far.SetReadDeadline(time.Now().Add(waitTimeout))
		if n, err := io.ReadFull(far, buf); err != nil { // a reset can discard data received before it
			toFar++
			assert.True(t, n < 3, "a complete message arrived before the reset: %v", err)
		} else {
			toNear++
			_, _ = far.Write([]byte("answer"))
		}
		e.requireEnded(near, 5, true)
	}
	assert.True(t, toFar != 0 && toNear != 0, "%d resets towards the far side, %d towards the near side", toFar, toNear)
}

func TestHalfOpenHidesCloseFromPeer(t *testing.T) {
	for _, nearEnds := range []bool{true, false} {
		e := newLinkTest(t, Fault{Kind: HalfOpen})
		first, other := e.near, e.far
		if !nearEnds {
			first, other = other, first
		}
		e.step(1)
		_ = first.Close()
		e.requireSilent(other)
		for range 2 { // the failed write to the closed side is withheld too
			_, _ = other.Write([]byte("word"))
			e.requireSilent(other)
		}
		e.step(2)
		e.requireEnded(other, 0, true) // reset when the fault ends
	}
}

// A fault with a Share has to affect some connections and not others, and the same ones whenever the seed is the same.
func TestShareOfConnections(t *testing.T) {
	var stalled [2][]bool
	for run := range stalled {
		e := newLinkTest(t, Fault{Kind: Stall, Share: 0.5})
		for range 12 {
			near, far := e.connect()
			e.step(1)
			_, _ = near.Write([]byte("word"))
			_ = far.SetReadDeadline(time.Now().Add(quietWait))
			_, err := far.Read(make([]byte, 4))
			stalled[run] = append(stalled[run], err != nil)
			e.step(0)
		}
	}
	require.Equal(t, stalled[0], stalled[1], "the same seed affected different connections")
	stalledCount := 0
	for _, wasStalled := range stalled[0] {
		if wasStalled {
			stalledCount++
		}
	}
	require.True(t, stalledCount >= 2 && stalledCount <= 10, "%d of 12 connections affected", stalledCount)
}

func TestRefusedWhileNobodyListens(t *testing.T) {
	n := NewNetwork(1)
	defer n.Close()
	require.NoError(t, n.Join("a", "b", "127.0.0.1:9", []Fault{{Kind: Cut, From: 1, Until: 2}}))
	got := n.Address("b", "a", "direct")
	assert.True(t, got == "direct", "there is no link, but the address is %s", got)
	for _, refuses := range []bool{true, false, true} {
		require.NoError(t, n.SetRefusing("b", refuses))
		c, err := net.DialTimeout("tcp", n.Address("a", "b", ""), waitTimeout)
		require.True(t, errors.Is(err, syscall.ECONNREFUSED) == refuses, "refuses is %v, but dial returned %v", refuses, err)
		if err == nil {
			_ = c.Close()
		}
	}
}

func TestBadFaultsNameTheirKey(t *testing.T) {
	for key, f := range map[string]Fault{"kind": {Kind: "melt"}, "from": {Kind: Cut, From: -1},
		"until": {Kind: Cut, From: 2, Until: 2}, "share": {Kind: Cut, Share: 2}, "delay": {Kind: Slow}} {
		var bad *FaultError
		err := f.Check()
		assert.True(t, errors.As(err, &bad) && bad.Key == key && bad.Hint() != "", "%s: %v", key, err)
	}
}
