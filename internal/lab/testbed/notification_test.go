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

// failureMode is how the list service fails until it is back.
type failureMode uint8

const (
	refusesConnections  failureMode = iota // it refuses connections
	respondsUnavailable                    // it answers calls with 503
	resetsMidResponse                      // it resets connections in the middle of its answers
	stallsAfterHeaders                     // it says nothing behind its headers
	neverResponds                          // it answers no call, until the limiter gives it up
	resetsThenHangs                        // it resets the first connection and answers no call behind that
)

const (
	// the longest dial time-out of a call for a list, which makes the longest sum of pauses
	pollDialTimeout     = 500 * time.Millisecond
	limiterPosition     = 19                     // a limiter whose pauses are among the longest, by its place
	notificationTimeout = 6 * time.Second        // when what the list service has counts as told, from when it can be reached
	moveTimeout         = 4 * time.Second        // the same from a move by SIGHUP to where it can be reached
	drainGrace          = 250 * time.Millisecond // how long after that a server may still be sent to
	observationTime     = 300 * time.Millisecond // how long the servers are watched once a request has gone elsewhere
	requestInterval     = 20 * time.Millisecond
	retryOffset         = 100 * time.Millisecond
	moveDelay           = 1500 * time.Millisecond // the limiter has made its first call by then
	maxOutage           = 15 * time.Second
)

// outage is a list service that fails until shift before or behind the time at which the limiter is due to try again
// for the retry-th time. From then on it answers calls with news that it has had all the time. A call that it has not
// answered by then is never answered.
type outage struct {
	mode         failureMode
	retryNumber  int
	shift        time.Duration
	pollInterval int64 // how often the limiter asks
	address      string
	listBody     string // set before the limiter starts

	mutex         sync.Mutex
	fd            int              // the socket, bound to its address: it refuses connections until it listens
	pacer         *pollpacer.Pacer // a copy of the limiter's, which tells when that is due
	pollsFullList bool             // the limiter asks for the whole list
	failedPolls   int
	recoveredAt   time.Time // zero until it is known
}

func newOutage(t *testing.T, pollInterval int64, mode failureMode, retryNumber int, shift time.Duration) *outage {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	o := &outage{mode: mode, retryNumber: retryNumber, shift: shift, fd: fd, pollInterval: pollInterval,
		address: fmt.Sprint("127.0.0.1:", bound.(*syscall.SockaddrInet4).Port),
		pacer:   pollpacer.New(0, int64(pollDialTimeout), limiterPosition, pollInterval)}
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

// scheduleListen plays the scheduleListen dials in advance, the first of which comes at first: nobody sees them.
func (o *outage) scheduleListen(t *testing.T, first time.Time) {
	o.mutex.Lock()
	due := first
	for range o.retryNumber {
		due = due.Add(time.Duration(o.pacer.RetryDelay(due.UnixNano(), pollpacer.Failed)))
	}
	o.recoveredAt = due.Add(o.shift)
	timer := time.AfterFunc(time.Until(o.recoveredAt), func() { o.listen(t) })
	o.mutex.Unlock()
	t.Cleanup(func() { timer.Stop() })
}

// serviceMoved has the limiter ask here for the whole list from now on.
func (o *outage) serviceMoved(now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.pollsFullList = true
	o.pacer.ServiceMoved(now.UnixNano())
}

// recoverAt has the service answer from now on.
func (o *outage) recoverAt(now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.recoveredAt = now
}

// recovered tells whether the service answers, and when it has begun to.
func (o *outage) recovered() (time.Time, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.recoveredAt, !o.recoveredAt.IsZero() && !time.Now().Before(o.recoveredAt)
}

// serve answers the calls of one connection.
func (o *outage) serve(c *net.TCPConn) {
	in := bufio.NewReader(c)
	for {
		poll := ""
		for line := "-"; line != ""; {
			text, err := in.ReadString('\n')
			if err != nil {
				return
			}
			line = strings.TrimSpace(text)
			poll += line
		}
		switch _, up := o.recovered(); {
		case strings.Contains(poll, "from=9"): // it has the news
		case up:
			_, _ = io.WriteString(c, okResponse(o.listBody))
		default:
			o.respondFailing(c)
		}
	}
}

// respondFailing answers one call as the failure has it.
func (o *outage) respondFailing(c *net.TCPConn) {
	answer := okResponse(o.listBody)
	headerLength := strings.Index(answer, "\r\n\r\n") + 4
	switch o.recordFailure(time.Now()) {
	case respondsUnavailable:
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	case stallsAfterHeaders:
		_, _ = io.WriteString(c, answer[:headerLength])
	case resetsMidResponse:
		_, _ = io.WriteString(c, answer[:headerLength+40])
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// recordFailure counts a call that fails now, finds out when the limiter is due to try again, and tells how the call fails.
func (o *outage) recordFailure(now time.Time) failureMode {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	mode := o.mode
	if mode == resetsThenHangs && o.failedPolls == 0 {
		mode = resetsMidResponse
	}
	_, limit := o.pacer.NextPoll(now.UnixNano(), o.pollsFullList)
	endedAt, reason := now, pollpacer.Failed
	switch mode {
	case respondsUnavailable:
		reason = pollpacer.Throttled
	case stallsAfterHeaders:
		endedAt = now.Add(time.Duration(o.pacer.PartialResponseTimeout()))
	case neverResponds, resetsThenHangs:
		endedAt = now.Add(time.Duration(limit))
	}
	due := endedAt.Add(time.Duration(o.pacer.RetryDelay(endedAt.UnixNano(), reason)))
	if o.failedPolls++; o.failedPolls == o.retryNumber {
		o.recoveredAt = due.Add(o.shift)
		if o.recoveredAt.Before(now) {
			o.recoveredAt = now
		}
	}
	return mode
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

// recordingServer is a server that serves all that comes and notes when it came.
type recordingServer struct {
	*Peer
	mutex      sync.Mutex
	receivedAt []time.Time
}

func startRecordingServer(t *testing.T) *recordingServer {
	t.Helper()
	s := &recordingServer{Peer: Listen(t)}
	acceptAll(t, s.ln, s.serve)
	return s
}

// serve answers commands until the connection ends.
func (s *recordingServer) serve(c *net.TCPConn) {
	in := bufio.NewReader(c)
	for {
		words, err := readLength(in, '*')
		if err != nil {
			return
		}
		received := time.Now()
		for range words {
			n, err := readLength(in, '$')
			if err != nil {
				return
			}
			if _, err = io.CopyN(io.Discard, in, int64(n)+2); err != nil {
				return
			}
		}
		s.mutex.Lock()
		s.receivedAt = append(s.receivedAt, received)
		s.mutex.Unlock()
		_, _ = io.WriteString(c, ServedAnswer("value"))
	}
}

// readLength reads a line of a mark and a number.
func readLength(in *bufio.Reader, prefix byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil || line[0] != prefix {
		return 0, cmp.Or(err, io.ErrUnexpectedEOF)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

// lastRequest is when the latest request came, and how many there were.
func (s *recordingServer) lastRequest() (at time.Time, count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if count = len(s.receivedAt); count > 0 {
		at = s.receivedAt[count-1]
	}
	return at, count
}

// outageFixture is a limiter that knows s0, before requests and an outage.
type outageFixture struct {
	*Rig
	s0, s1    *recordingServer
	client    *Conn
	startedAt time.Time
}

// start starts a limiter that has its list service at an address, for requests and a list that says that s0 drains or
// is gone.
func (o *outage) start(t *testing.T, address string, gone bool) *outageFixture {
	t.Helper()
	f := &outageFixture{s0: startRecordingServer(t), s1: startRecordingServer(t)}
	lifecycle := "terminating"
	if gone {
		lifecycle = "terminated"
	}
	o.listBody = listJSON(9, true, entryJSON("s0", f.s0.Peer, lifecycle, 0), entryJSON("s1", f.s1.Peer, "in_service", 0))
	config := Config(f.s0.Peer)
	config.Discovery = address
	config.Settings.PollInterval, config.Settings.DialTimeout = o.pollInterval, int64(pollDialTimeout)
	config.Settings.Position, config.Settings.Limiters = limiterPosition, limiterPosition+1
	f.startedAt = time.Now()
	f.Rig = Start(t, config)
	f.client = f.Dial(t)
	return f
}

// serveRequest has one serveRequest served.
func (f *outageFixture) serveRequest(t *testing.T) {
	t.Helper()
	_, countS0 := f.s0.lastRequest()
	_, countS1 := f.s1.lastRequest()
	f.client.Say(t, Request(fmt.Sprint("id-", countS0+countS1), "read", 2000))
	require.Equal(t, "$value", f.client.Answer(t))
	time.Sleep(requestInterval)
}

// requireSwitch has requests come until one has gone to s1 and for a while behind that. None may reach s0 later than the
// deadline, once that is known.
func (f *outageFixture) requireSwitch(t *testing.T, deadline func() (at time.Time, known bool)) {
	t.Helper()
	end := time.Now().Add(maxOutage)
	for switched := false; time.Now().Before(end); f.serveRequest(t) {
		if _, n := f.s1.lastRequest(); n > 0 && !switched {
			switched, end = true, time.Now().Add(observationTime)
		}
		if at, known := deadline(); known && !switched && time.Now().After(at) {
			break
		}
	}
	at, known := deadline()
	require.True(t, known, "the list service has never been back")
	last, countS0 := f.s0.lastRequest()
	_, countS1 := f.s1.lastRequest()
	require.True(t, countS0 > 0 && countS1 > 0, "%d requests to s0, %d to s1, %v behind the deadline", countS0, countS1, time.Since(at))
	require.False(t, last.After(at), "the last request to s0 came %v behind the deadline", last.Sub(at))
	t.Logf("the last request to s0 came %v before the deadline", at.Sub(last).Round(time.Millisecond))
}

// TestNotificationDeadline has the list service fail in each way and come back 0.1 s before or behind a retry, with
// word that s0 drains or is gone. Requests come all the time. Where lists are asked for none reaches s0 later than 6 s
// after the return and the grace; where they are pushed none later than the grace, or than 6 s and the grace where the
// agent has fallen silent.
func TestNotificationDeadline(t *testing.T) {
	for _, c := range []struct {
		name         string
		failure      failureMode
		pollInterval time.Duration
		retryNumber  int
	}{
		{"asked, refused", refusesConnections, 2 * time.Second, 5},
		{"asked, 503", respondsUnavailable, 2 * time.Second, 1},
		{"asked, reset in the middle of the answer", resetsMidResponse, 2 * time.Second, 4},
		{"asked, silent behind the headers", stallsAfterHeaders, 2 * time.Second, 2},
		{"asked, given up", neverResponds, 2 * time.Second, 1},
		{"asked, reset and then given up", resetsThenHangs, 10 * time.Second, 1},
		{"pushed, refused", refusesConnections, 0, 9},
		{"pushed, 503", respondsUnavailable, 0, 9},
		{"pushed, reset in the middle of the answer", resetsMidResponse, 0, 9},
		{"pushed, silent behind the headers", stallsAfterHeaders, 0, 2},
		{"pushed, given up", neverResponds, 0, 1},
	} {
		for _, shift := range []time.Duration{-retryOffset, retryOffset} {
			t.Run(fmt.Sprintf("%s, back %v from a retry", c.name, shift), func(t *testing.T) {
				t.Parallel()
				o := newOutage(t, int64(c.pollInterval), c.failure, c.retryNumber, shift)
				if c.failure != refusesConnections {
					o.listen(t)
				}
				f := o.start(t, o.address, shift < 0)
				if c.failure == refusesConnections {
					o.scheduleListen(t, f.startedAt.Add(time.Duration(o.pacer.FirstDelay())))
				}
				timeout := notificationTimeout
				if c.pollInterval == 0 && c.failure < stallsAfterHeaders {
					timeout = 0
				}
				f.requireSwitch(t, func() (time.Time, bool) {
					recoveredAt, known := o.recovered()
					return recoveredAt.Add(timeout + drainGrace), known
				})
			})
		}
	}
}

// TestNotificationDeadlineAfterMove moves the list service by SIGHUP in the middle of an outage: to where it can be reached, whose
// news has to be acted on 4 s after the move, or to where it fails in the same way, from whose return on the ordinary
// deadline holds.
func TestNotificationDeadlineAfterMove(t *testing.T) {
	for _, pollInterval := range []time.Duration{2 * time.Second, 0} {
		for mode := refusesConnections; mode <= neverResponds; mode++ {
			for _, shift := range []time.Duration{0, -retryOffset, retryOffset} {
				t.Run(
					fmt.Sprintf("asked every %v, failure %d, back %v from a retry", pollInterval, mode, shift),
					func(t *testing.T) {
						t.Parallel()
						first, next := newOutage(
							t,
							int64(pollInterval),
							mode,
							math.MaxInt,
							0,
						), newOutage(
							t,
							int64(pollInterval),
							mode,
							1,
							shift,
						)
						f := next.start(t, first.address, shift < 0)
						if first.listBody = next.listBody; mode != refusesConnections {
							first.listen(t)
							next.listen(t)
						}
						for moveAt := f.startedAt.Add(moveDelay); time.Now().Before(moveAt); {
							f.serveRequest(t)
						}
						f.moveDiscovery(t, next)
						deadline := func() (time.Time, bool) {
							recoveredAt, known := next.recovered()
							return recoveredAt.Add(notificationTimeout + drainGrace), known
						}
						if movedAt := time.Now(); shift == 0 {
							deadline = func() (time.Time, bool) { return movedAt.Add(moveTimeout + drainGrace), true }
						}
						f.requireSwitch(t, deadline)
					},
				)
			}
		}
	}
}

// moveDiscovery moves the list service to another address. Without a shift it can be reached there.
func (f *outageFixture) moveDiscovery(t *testing.T, next *outage) {
	t.Helper()
	now := time.Now()
	next.serviceMoved(now)
	switch {
	case next.shift == 0 && next.mode == refusesConnections:
		next.listen(t)
		next.recoverAt(now)
	case next.shift == 0:
		next.recoverAt(now)
	case next.mode == refusesConnections:
		next.scheduleListen(t, now)
	}
	f.Reload(func(c *settings.Config) { c.Discovery = next.address })
}
