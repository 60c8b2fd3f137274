package testbed

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreycroft/internal/pollpacer"
	"ospreycroft/internal/settings"
)

// failure is how the list service fails until it is back.
type failure uint8

const (
	refuses    failure = iota // it refuses connections
	turnsAway                 // it answers calls with 503
	breaksOff                 // it resets connections in the middle of its answers
	stopsShort                // it says nothing behind its headers
	saysNone                  // it answers no call, until the limiter gives it up
	hangs                     // it resets the first connection and answers no call behind that
)

const (
	// the longest dial time-out of a call for a list, which makes the longest sum of pauses
	listDial     = 500 * time.Millisecond
	listPlace    = 19                     // a limiter whose pauses are among the longest, by its place
	notified     = 6 * time.Second        // when what the list service has counts as told, from when it can be reached
	movedWithin  = 4 * time.Second        // the same from a move by SIGHUP to where it can be reached
	drainGrace   = 250 * time.Millisecond // how long after that a server may still be sent to
	quietBehind  = 300 * time.Millisecond // how long the servers are watched once a request has gone elsewhere
	betweenCalls = 20 * time.Millisecond
	aroundRetry  = 100 * time.Millisecond
	moveAfter    = 1500 * time.Millisecond // the limiter has made its first call by then
	mostOutage   = 15 * time.Second
)

// outage is a list service that fails until shift before or behind the time at which the limiter is due to try again
// for the retry-th time. From then on it answers calls with news that it has had all the time. A call that it has not
// answered by then is never answered.
type outage struct {
	failure failure
	retry   int
	shift   time.Duration
	every   int64 // how often the limiter asks
	address string
	news    string // set before the limiter starts

	mutex  sync.Mutex
	fd     int              // the socket, bound to its address: it refuses connections until it listens
	pacer  *pollpacer.Pacer // a copy of the limiter's, which tells when that is due
	whole  bool             // the limiter asks for the whole list
	failed int
	back   time.Time // zero until it is known
}

func newOutage(t *testing.T, every int64, f failure, retry int, shift time.Duration) *outage {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	o := &outage{failure: f, retry: retry, shift: shift, fd: fd, every: every,
		address: fmt.Sprint("127.0.0.1:", bound.(*syscall.SockaddrInet4).Port),
		pacer:   pollpacer.New(0, int64(listDial), listPlace, every)}
	t.Cleanup(func() {
		o.mutex.Lock()
		defer o.mutex.Unlock()
		if o.fd >= 0 {
			_ = syscall.Close(o.fd)
		}
	})
	return o
}

// listen takes connections from now on.
func (o *outage) listen(t *testing.T) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !assert.NoError(t, syscall.Listen(o.fd, 64)) {
		return
	}
	file := os.NewFile(uintptr(o.fd), "list service")
	o.fd = -1
	ln, err := net.FileListener(file)
	_ = file.Close()
	if assert.NoError(t, err) {
		acceptAll(t, ln, o.serve)
	}
}

// refused plays the refused dials in advance, the first of which comes at first: nobody sees them.
func (o *outage) refused(t *testing.T, first time.Time) {
	o.mutex.Lock()
	due := first
	for range o.retry {
		due = due.Add(time.Duration(o.pacer.RetryDelay(due.UnixNano(), pollpacer.Failed)))
	}
	o.back = due.Add(o.shift)
	opens := time.AfterFunc(time.Until(o.back), func() { o.listen(t) })
	o.mutex.Unlock()
	t.Cleanup(func() { opens.Stop() })
}

// moved has the limiter ask here for the whole list from now on.
func (o *outage) moved(now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.whole = true
	o.pacer.ServiceMoved(now.UnixNano())
}

// returns has the service answer from now on.
func (o *outage) returns(now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.back = now
}

// isBack tells whether the service answers, and when it has begun to.
func (o *outage) isBack() (time.Time, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.back, !o.back.IsZero() && !time.Now().Before(o.back)
}

// serve answers the calls of one connection.
func (o *outage) serve(c *net.TCPConn) {
	in := bufio.NewReader(c)
	for {
		call := ""
		for line := "-"; line != ""; {
			text, err := in.ReadString('\n')
			if err != nil {
				return
			}
			line = strings.TrimSpace(text)
			call += line
		}
		switch _, back := o.isBack(); {
		case strings.Contains(call, "from=9"): // it has the news
		case back:
			_, _ = io.WriteString(c, sized(o.news))
		default:
			o.fail(c)
		}
	}
}

// fail answers one call as the failure has it.
func (o *outage) fail(c *net.TCPConn) {
	answer := sized(o.news)
	head := strings.Index(answer, "\r\n\r\n") + 4
	switch o.note(time.Now()) {
	case turnsAway:
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	case stopsShort:
		_, _ = io.WriteString(c, answer[:head])
	case breaksOff:
		_, _ = io.WriteString(c, answer[:head+40])
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// note counts a call that fails now, finds out when the limiter is due to try again, and tells how the call fails.
func (o *outage) note(now time.Time) failure {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	failure := o.failure
	if failure == hangs && o.failed == 0 {
		failure = breaksOff
	}
	_, limit := o.pacer.NextPoll(now.UnixNano(), o.whole)
	ends, end := now, pollpacer.Failed
	switch failure {
	case turnsAway:
		end = pollpacer.Throttled
	case stopsShort:
		ends = now.Add(time.Duration(o.pacer.PartialResponseTimeout()))
	case saysNone, hangs:
		ends = now.Add(time.Duration(limit))
	}
	due := ends.Add(time.Duration(o.pacer.RetryDelay(ends.UnixNano(), end)))
	if o.failed++; o.failed == o.retry {
		o.back = due.Add(o.shift)
		if o.back.Before(now) {
			o.back = now
		}
	}
	return failure
}

// acceptAll serves all connections, and ends them with the test.
func acceptAll(t *testing.T, ln net.Listener, serve func(c *net.TCPConn)) {
	var mutex sync.Mutex
	var open []net.Conn
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			mutex.Lock()
			open = append(open, c)
			mutex.Unlock()
			go serve(c.(*net.TCPConn))
		}
	}()
	t.Cleanup(func() {
		_ = ln.Close()
		mutex.Lock()
		defer mutex.Unlock()
		for _, c := range open {
			_ = c.Close()
		}
	})
}

// counting is a server that serves all that comes and notes when it came.
type counting struct {
	*Peer
	mutex  sync.Mutex
	served []time.Time
}

func serving(t *testing.T) *counting {
	t.Helper()
	s := &counting{Peer: Listen(t)}
	acceptAll(t, s.ln, s.serve)
	return s
}

// serve answers commands until the connection ends.
func (s *counting) serve(c *net.TCPConn) {
	in := bufio.NewReader(c)
	for {
		words, err := size(in, '*')
		if err != nil {
			return
		}
		came := time.Now()
		for range words {
			n, err := size(in, '$')
			if err != nil {
				return
			}
			if _, err = io.CopyN(io.Discard, in, int64(n)+2); err != nil {
				return
			}
		}
		s.mutex.Lock()
		s.served = append(s.served, came)
		s.mutex.Unlock()
		_, _ = io.WriteString(c, Served("value"))
	}
}

// size reads a line of a mark and a number.
func size(in *bufio.Reader, mark byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil || line[0] != mark {
		return 0, cmp.Or(err, io.ErrUnexpectedEOF)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

// last is when the latest request came, and how many there were.
func (s *counting) last() (at time.Time, n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if n = len(s.served); n > 0 {
		at = s.served[n-1]
	}
	return at, n
}

// bed is a limiter that knows s0, before requests and an outage.
type bed struct {
	*Rig
	s0, s1 *counting
	client *Conn
	begun  time.Time
}

// start starts a limiter that has its list service at an address, for requests and a list that says that s0 drains or
// is gone.
func (o *outage) start(t *testing.T, at string, gone bool) *bed {
	t.Helper()
	b := &bed{s0: serving(t), s1: serving(t)}
	lifecycle := "terminating"
	if gone {
		lifecycle = "terminated"
	}
	o.news = list(9, true, entry("s0", b.s0.Peer, lifecycle, 0), entry("s1", b.s1.Peer, "in_service", 0))
	config := Config(b.s0.Peer)
	config.Discovery = at
	config.Settings.PollInterval, config.Settings.DialTimeout = o.every, int64(listDial)
	config.Settings.Position, config.Settings.Limiters = listPlace, listPlace+1
	b.begun = time.Now()
	b.Rig = Start(t, config)
	b.client = b.Dial(t)
	return b
}

// request has one request served.
func (b *bed) request(t *testing.T) {
	t.Helper()
	_, n := b.s0.last()
	_, m := b.s1.last()
	b.client.Say(t, Request(fmt.Sprint("id-", n+m), "read", 2000))
	require.Equal(t, "$value", b.client.Answer(t))
	time.Sleep(betweenCalls)
}

// acted has requests come until one has gone to s1 and for a while behind that. None may reach s0 later than the
// deadline, once that is known.
func (b *bed) acted(t *testing.T, deadline func() (at time.Time, known bool)) {
	t.Helper()
	ends := time.Now().Add(mostOutage)
	for elsewhere := false; time.Now().Before(ends); b.request(t) {
		if _, n := b.s1.last(); n > 0 && !elsewhere {
			elsewhere, ends = true, time.Now().Add(quietBehind)
		}
		if at, known := deadline(); known && !elsewhere && time.Now().After(at) {
			break
		}
	}
	at, known := deadline()
	require.True(t, known, "the list service has never been back")
	last, n := b.s0.last()
	_, there := b.s1.last()
	require.True(t, n > 0 && there > 0, "%d requests to s0, %d to s1, %v behind the deadline", n, there, time.Since(at))
	require.False(t, last.After(at), "the last request to s0 came %v behind the deadline", last.Sub(at))
	t.Logf("the last request to s0 came %v before the deadline", at.Sub(last).Round(time.Millisecond))
}

// TestNotificationDeadline has the list service fail in each way and come back 0.1 s before or behind a retry, with
// word that s0 drains or is gone. Requests come all the time. Where lists are asked for none reaches s0 later than 6 s
// after the return and the grace; where they are pushed none later than the grace, or than 6 s and the grace where the
// agent has fallen silent.
func TestNotificationDeadline(t *testing.T) {
	for _, c := range []struct {
		name    string
		failure failure
		every   time.Duration
		retry   int
	}{
		{"asked, refused", refuses, 2 * time.Second, 5},
		{"asked, 503", turnsAway, 2 * time.Second, 1},
		{"asked, reset in the middle of the answer", breaksOff, 2 * time.Second, 4},
		{"asked, silent behind the headers", stopsShort, 2 * time.Second, 2},
		{"asked, given up", saysNone, 2 * time.Second, 1},
		{"asked, reset and then given up", hangs, 10 * time.Second, 1},
		{"pushed, refused", refuses, 0, 9},
		{"pushed, 503", turnsAway, 0, 9},
		{"pushed, reset in the middle of the answer", breaksOff, 0, 9},
		{"pushed, silent behind the headers", stopsShort, 0, 2},
		{"pushed, given up", saysNone, 0, 1},
	} {
		for _, shift := range []time.Duration{-aroundRetry, aroundRetry} {
			t.Run(fmt.Sprintf("%s, back %v from a retry", c.name, shift), func(t *testing.T) {
				t.Parallel()
				o := newOutage(t, int64(c.every), c.failure, c.retry, shift)
				if c.failure != refuses {
					o.listen(t)
				}
				b := o.start(t, o.address, shift < 0)
				if c.failure == refuses {
					o.refused(t, b.begun.Add(time.Duration(o.pacer.FirstDelay())))
				}
				within := notified
				if c.every == 0 && c.failure < stopsShort {
					within = 0
				}
				b.acted(t, func() (time.Time, bool) {
					back, is := o.isBack()
					return back.Add(within + drainGrace), is
				})
			})
		}
	}
}

// TestNotificationMoved moves the list service by SIGHUP in the middle of an outage: to where it can be reached, whose
// news has to be acted on 4 s after the move, or to where it fails in the same way, from whose return on the ordinary
// deadline holds.
func TestNotificationMoved(t *testing.T) {
	for _, every := range []time.Duration{2 * time.Second, 0} {
		for f := refuses; f <= saysNone; f++ {
			for _, shift := range []time.Duration{0, -aroundRetry, aroundRetry} {
				t.Run(
					fmt.Sprintf("asked every %v, failure %d, back %v from a retry", every, f, shift),
					func(t *testing.T) {
						t.Parallel()
						first, next := newOutage(
							t,
							int64(every),
							f,
							math.MaxInt,
							0,
						), newOutage(
							t,
							int64(every),
							f,
							1,
							shift,
						)
						b := next.start(t, first.address, shift < 0)
						if first.news = next.news; f != refuses {
							first.listen(t)
							next.listen(t)
						}
						for moves := b.begun.Add(moveAfter); time.Now().Before(moves); {
							b.request(t)
						}
						b.moveTo(t, next)
						deadline := func() (time.Time, bool) {
							back, is := next.isBack()
							return back.Add(notified + drainGrace), is
						}
						if moved := time.Now(); shift == 0 {
							deadline = func() (time.Time, bool) { return moved.Add(movedWithin + drainGrace), true }
						}
						b.acted(t, deadline)
					},
				)
			}
		}
	}
}

// moveTo moves the list service to another address. Without a shift it can be reached there.
func (b *bed) moveTo(t *testing.T, next *outage) {
	t.Helper()
	now := time.Now()
	next.moved(now)
	switch {
	case next.shift == 0 && next.failure == refuses:
		next.listen(t)
		next.returns(now)
	case next.shift == 0:
		next.returns(now)
	case next.failure == refuses:
		next.refused(t, now)
	}
	b.Renew(func(c *settings.Config) { c.Discovery = next.address })
}
