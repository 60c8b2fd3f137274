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

// failureMode is how discovery fails during an outage.
type failureMode uint8

const (
	refusesConnections  failureMode = iota // connections are refused
	respondsUnavailable                    // polls are answered with 503
	resetsMidResponse                      // connections are reset in the middle of a response
	stallsAfterHeaders                     // only the headers of a response are sent
	neverResponds                          // polls get no response until the limiter gives them up
	resetsThenHangs                        // the first connection is reset, later polls get no response
)

const (
	// pollDialTimeout is the longest dial timeout of a poll. It gives the longest sum of backoffs.
	pollDialTimeout = 500 * time.Millisecond
	// limiterPosition makes the backoffs, which depend on the limiter's position, among the longest.
	limiterPosition = 19
	// notificationTimeout is how long after discovery can be reached its current list counts as notified.
	notificationTimeout = 6 * time.Second
	// moveTimeout is the same after a move by SIGHUP to an address at which discovery can be reached.
	moveTimeout = 4 * time.Second
	// drainGrace is how long after the notification requests may still be forwarded to s0.
	drainGrace = 250 * time.Millisecond
	// observationTime is how long requests go on after the first one that the other server got.
	observationTime = 300 * time.Millisecond
	// requestInterval is the pause after each request.
	requestInterval = 20 * time.Millisecond
	// retryOffset is how long before or after a due retry discovery recovers.
	retryOffset = 100 * time.Millisecond
	// moveDelay is how long after the start discovery moves; the limiter has made its first poll by then.
	moveDelay = 1500 * time.Millisecond
	// maxOutage bounds the time for which a test sends requests.
	maxOutage = 15 * time.Second
)

// outage stands in for a discovery service that fails at first and recovers at shift relative to the time at which the
// limiter's retry with the number retryNumber is due. After that it answers polls with listBody, a list that has been
// current all the time. Polls that are pending at the recovery are never answered.
type outage struct {
	mode         failureMode
	retryNumber  int
	shift        time.Duration
	pollInterval int64 // the limiter's poll interval in nanoseconds, 0 where changes are pushed
	address      string
	listBody     string // the current endpoint list; set before the limiter starts

	mutex         sync.Mutex
	fd            int              // bound to address, so that connections are refused until it listens; -1 once it does
	pacer         *pollpacer.Pacer // gets the same events as the limiter's pacer, to know when its retries are due
	pollsFullList bool             // the limiter polls for the full list
	failedPolls   int
	recoveredAt   time.Time // may be in the future; zero until it is known
}

// newOutage returns an outage with an address of its own that refuses connections until listen is called.
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

// listen starts to accept connections.
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

// scheduleListen computes from the time of the first refused dial when the outage ends, and schedules listen for that
// time. It simulates all refused dials in advance, since a socket that refuses connections doesn't notice them.
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

// serviceMoved notes that the limiter polls this service from now on, and for the full list.
func (o *outage) serviceMoved(now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.pollsFullList = true
	o.pacer.ServiceMoved(now.UnixNano())
}

// recoverAt ends the outage at the given time.
func (o *outage) recoverAt(now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.recoveredAt = now
}

// recovered returns the end of the outage, zero if it is not known, and reports whether the outage is over.
func (o *outage) recovered() (time.Time, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.recoveredAt, !o.recoveredAt.IsZero() && !time.Now().Before(o.recoveredAt)
}

// serve answers the polls of one connection.
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
		case strings.Contains(poll, "from=9"): // the limiter has the list
		case up:
			_, _ = io.WriteString(c, okResponse(o.listBody))
		default:
			o.respondFailing(c)
		}
	}
}

// respondFailing handles one poll in the way in which the service fails.
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

// recordFailure counts a poll that fails now, determines when the limiter's next retry is due, and returns how the poll
// fails.
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

// acceptAll runs serve for each connection, and closes the connections and ln when the test ends.
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

// recordingServer is a server that answers all requests and records when they arrived.
type recordingServer struct {
	*Peer
	mutex      sync.Mutex
	receivedAt []time.Time
}

// startRecordingServer starts a recordingServer that runs until the test ends.
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

// readLength reads a line that consists of prefix and a number, and returns the number.
func readLength(in *bufio.Reader, prefix byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil || line[0] != prefix {
		return 0, cmp.Or(err, io.ErrUnexpectedEOF)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

// lastRequest returns when the latest request arrived, zero if none has, and the number of requests.
func (s *recordingServer) lastRequest() (at time.Time, count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if count = len(s.receivedAt); count > 0 {
		at = s.receivedAt[count-1]
	}
	return at, count
}

// outageFixture is a limiter that initially knows s0 alone, with a client and two servers.
type outageFixture struct {
	*Rig
	s0, s1    *recordingServer
	client    *Conn
	startedAt time.Time
}

// start starts a limiter that polls discovery at the given address, and sets the list that discovery returns after the
// outage: s1 is in service, and s0 is terminated if gone is set, terminating otherwise.
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

// serveRequest sends a request, waits for its answer, and pauses for requestInterval.
func (f *outageFixture) serveRequest(t *testing.T) {
	t.Helper()
	_, countS0 := f.s0.lastRequest()
	_, countS1 := f.s1.lastRequest()
	f.client.Send(t, Request(fmt.Sprint("id-", countS0+countS1), "read", 2000))
	require.Equal(t, "$value", f.client.ReadAnswer(t))
	time.Sleep(requestInterval)
}

// requireSwitch sends requests until one has reached s1, and for observationTime after that. It fails the test if a
// request reaches s0 after the deadline. deadline reports whether the time is known yet.
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
	require.True(t, known, "discovery has not recovered")
	last, countS0 := f.s0.lastRequest()
	_, countS1 := f.s1.lastRequest()
	require.True(
		t,
		countS0 > 0 && countS1 > 0,
		"%d requests to s0, %d to s1, %v after the deadline",
		countS0,
		countS1,
		time.Since(at),
	)
	require.False(t, last.After(at), "the last request to s0 came %v after the deadline", last.Sub(at))
	t.Logf("the last request to s0 came %v before the deadline", at.Sub(last).Round(time.Millisecond))
}

// TestNotificationDeadline checks how long requests reach s0 after an outage of discovery that hid a list in which s0
// is terminating or terminated. Discovery fails in each way and recovers 0.1 s before or after a retry is due, while
// requests arrive all the time. Where the limiter polls, no request may reach s0 later than 6 s and the drain grace
// after the recovery. Where changes are pushed, the limit is the grace alone, or 6 s and the grace if the agent that
// pushes them was silent.
func TestNotificationDeadline(t *testing.T) {
	for _, c := range []struct {
		name         string
		failure      failureMode
		pollInterval time.Duration
		retryNumber  int
	}{
		{"polled, refused", refusesConnections, 2 * time.Second, 5},
		{"polled, 503", respondsUnavailable, 2 * time.Second, 1},
		{"polled, reset in the middle of the response", resetsMidResponse, 2 * time.Second, 4},
		{"polled, silent after the headers", stallsAfterHeaders, 2 * time.Second, 2},
		{"polled, no response", neverResponds, 2 * time.Second, 1},
		{"polled, reset and then no response", resetsThenHangs, 10 * time.Second, 1},
		{"pushed, refused", refusesConnections, 0, 9},
		{"pushed, 503", respondsUnavailable, 0, 9},
		{"pushed, reset in the middle of the response", resetsMidResponse, 0, 9},
		{"pushed, silent after the headers", stallsAfterHeaders, 0, 2},
		{"pushed, no response", neverResponds, 0, 1},
	} {
		for _, shift := range []time.Duration{-retryOffset, retryOffset} {
			t.Run(fmt.Sprintf("%s, recovered %v from a retry", c.name, shift), func(t *testing.T) {
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

// TestNotificationDeadlineAfterMove moves discovery to another address by SIGHUP during an outage. If discovery can be
// reached there, the limiter must act on its list within 4 s after the move. If it fails there in the same way, the
// usual deadline counts from its recovery.
func TestNotificationDeadlineAfterMove(t *testing.T) {
	for _, pollInterval := range []time.Duration{2 * time.Second, 0} {
		for mode := refusesConnections; mode <= neverResponds; mode++ {
			for _, shift := range []time.Duration{0, -retryOffset, retryOffset} {
				t.Run(
					fmt.Sprintf("poll interval %v, failure %d, recovered %v from a retry", pollInterval, mode, shift),
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

// moveDiscovery moves discovery to the address of next, which is available at once if next.shift is 0.
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
