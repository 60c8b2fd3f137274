package sockets

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/lesismal/nbio"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreycroft/internal/limiter"
)

// maxAttemptDelay is how long after a client's close an attempt for it may still begin.
const maxAttemptDelay = 100 * time.Millisecond

// observer wraps Sockets as limiter.Effects. It records when the reducer writes an attempt and when it closes a
// client's connection.
type observer struct {
	*Sockets
	mutex       sync.Mutex
	attempts    map[string]time.Time  // time of the latest attempt, by the client's name
	closedAt    map[string]time.Time  // time of the reducer's Close, by the client's address
	clientConns map[string]*nbio.Conn // the limiter's ends, by the client's address
	// The fields below are used only by the reducer, which is blocked for the duration stall again and again.
	stall        time.Duration
	lastStallEnd time.Time
}

// SetTimer is called after each event, so it is used to block the reducer.
func (o *observer) SetTimer(at int64) {
	if o.stall > 0 && time.Since(o.lastStallEnd) > o.stall/2 {
		time.Sleep(o.stall)
		o.lastStallEnd = time.Now()
	}
	o.Sockets.SetTimer(at)
}

// clientOfAttempt matches the client's name in the request ID of an attempt.
var clientOfAttempt = regexp.MustCompile(`\r\n\$\d+\r\n(gone\d+)\.\d+\r\n`)

// Alive is called for each client that has sent data; it records the client's connection.
func (o *observer) Alive(id limiter.ConnID) bool {
	if conn := o.connections[id]; conn != nil && conn.listener != nil {
		nc := conn.nbConn.Load()
		o.mutex.Lock()
		o.clientConns[nc.RemoteAddr().String()] = nc
		o.mutex.Unlock()
	}
	return o.Sockets.Alive(id)
}

// clientConn returns the limiter's end of the connection of a client that has sent data.
func (o *observer) clientConn(address string) *nbio.Conn {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.clientConns[address]
}

// Write records the time if the data is an attempt for a client of the test.
func (o *observer) Write(id limiter.ConnID, text []byte) {
	if found := clientOfAttempt.FindSubmatch(text); found != nil {
		o.mutex.Lock()
		o.attempts[string(found[1])] = time.Now()
		o.mutex.Unlock()
	}
	o.Sockets.Write(id, text)
}

// Close records the time if the connection is a client's.
func (o *observer) Close(id limiter.ConnID) int64 {
	if conn := o.connections[id]; conn != nil && conn.listener != nil {
		o.mutex.Lock()
		o.closedAt[conn.nbConn.Load().RemoteAddr().String()] = time.Now()
		o.mutex.Unlock()
	}
	return o.Sockets.Close(id)
}

// timesOf returns when the latest attempt for a client began and when its connection was closed; zero times if never.
func (o *observer) timesOf(d disconnectedClient) (attempt, closedAt time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.attempts[d.name], o.closedAt[d.address]
}

// startObservedLimiter runs a limiter with servers that answer each request after 2 ms. If stall is not 0, the
// reducer is blocked for that long again and again.
func startObservedLimiter(t *testing.T, stall time.Duration) (o *observer, address string) {
	t.Helper()
	servers := make([]net.Listener, 8)
	for i := range servers {
		servers[i] = listenLoopback(t)
		go serveDelayed(servers[i])
	}
	config := testConfig(4096, servers...)
	config.Settings.MaxAttempts = 3
	address = listenLoopback(t).Addr().String()
	_, port, err := net.SplitHostPort(address)
	require.NoError(t, err)
	address = "127.0.0.2:" + port
	s, err := Listen(address, limiter.MaxClients(config), config.Sockets)
	require.NoError(t, err)
	o = &observer{
		Sockets:     s,
		stall:       stall,
		attempts:    map[string]time.Time{},
		closedAt:    map[string]time.Time{},
		clientConns: map[string]*nbio.Conn{},
	}
	start := time.Now()
	clock := func() int64 { return start.UnixNano() + int64(time.Since(start)) }
	l, err := limiter.New(clock(), config, o)
	require.NoError(t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Run(clock, l, nil, nil)
	}()
	t.Cleanup(func() {
		s.Halt()
		<-ended
	})
	return o, address
}

// serveDelayed answers each request on a server's connections after 2 ms.
func serveDelayed(server net.Listener) {
	for c, err := server.Accept(); err == nil; c, err = server.Accept() {
		go func() {
			buf := make([]byte, 1<<16)
			for n, err := c.Read(buf); err == nil; n, err = c.Read(buf) {
				time.Sleep(2 * time.Millisecond)
				_, _ = io.WriteString(
					c,
					strings.Repeat("*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n", bytes.Count(buf[:n], []byte("SVC."))),
				)
			}
		}()
	}
}

// pipelineRequests keeps eight requests of a client outstanding until done is closed, and discards the responses.
func pipelineRequests(t *testing.T, address string, client int, done <-chan struct{}) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	t.Cleanup(func() { _ = c.Close() })
	in := bufio.NewReader(c)
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		default:
		}
		if _, err := io.WriteString(c, request(fmt.Sprintf("load%d.%d", client, n))); err != nil {
			return
		}
		if n < 8 {
			continue
		}
		line, err := in.ReadString('\n')
		if err == nil && strings.HasPrefix(line, "$") {
			_, err = in.ReadString('\n')
		} else if err == nil {
			time.Sleep(2 * time.Millisecond) // the request was rejected
		}
		if err != nil {
			return
		}
	}
}

// floodCommands sends unknown commands as fast as the limiter reads them, until done is closed.
func floodCommands(t *testing.T, address string, done <-chan struct{}) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	t.Cleanup(func() { _ = c.Close() })
	go func() { _, _ = io.Copy(io.Discard, c) }()
	text := strings.Repeat("*2\r\n$1\r\nX\r\n$300\r\n"+strings.Repeat("x", 300)+"\r\n", 100)
	for {
		select {
		case <-done:
			return
		default:
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// disconnectedClient is a client that has disconnected.
type disconnectedClient struct {
	name, address string
	closed        time.Time     // taken before the call that disconnects
	noticeDelay   time.Duration // from closed until the limiter's kernel saw the close, after which no attempt may begin
}

// runClient connects a client, sends requests, waits, and disconnects: clients with even numbers by a close, others
// by a reset.
func (o *observer) runClient(t *testing.T, address string, client, requests int, wait func()) (d disconnectedClient) {
	conn, err := net.Dial("tcp", address)
	if !assert.NoError(t, err) {
		return d
	}
	c := conn.(*net.TCPConn)
	d.name, d.address = fmt.Sprint("gone", client), c.LocalAddr().String()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, err = io.WriteString(c, ping)
	assert.NoError(t, err)
	_, err = c.Read(make([]byte, 64))
	assert.NoError(t, err)
	var text strings.Builder
	for n := range requests {
		text.WriteString(request(fmt.Sprint(d.name, ".", n)))
	}
	_ = c.SetDeadline(time.Now().Add(20 * time.Millisecond)) // the client disconnects even if it could not send everything
	_, _ = io.WriteString(c, text.String())
	wait()
	clientConn := o.clientConn(d.address)
	if !assert.NotNil(t, clientConn) {
		return d
	}
	d.closed = time.Now()
	disconnectKinds[client%2].disconnect(c)
	for !peerClosed(clientConn) && time.Since(d.closed) < testTimeout {
		time.Sleep(20 * time.Microsecond)
	}
	d.noticeDelay = time.Since(d.closed)
	return d
}

// TestDisconnectNoticeDelay: within maxAttemptDelay after a client's close the limiter's kernel must have seen it,
// and no attempt for the client may begin later, under load by other clients that pipeline requests or send
// continuously. The test also logs how long after the close the reducer closes the connection.
func TestDisconnectNoticeDelay(t *testing.T) {
	for _, c := range []struct {
		name                               string
		pipeliningClients, floodingClients int
		leavingClients, requestsPerClient  int // of the clients that disconnect
		simultaneous                       bool
		stall                              time.Duration // of the reducer
	}{
		{"64 clients pipeline", 64, 0, 400, 1, false, 0},
		{"64 clients pipeline and 16 send continuously", 64, 16, 400, 1, false, 0},
		{"64 clients pipeline, the leaving ones have 64 requests outstanding", 64, 0, 200, 64, false, 0},
		{"64 clients pipeline, 500 disconnect simultaneously", 64, 0, 500, 1, true, 0},
		{"64 clients pipeline, the leaving ones send 64 KB more than the poller reads", 64, 0, 100, 1200, false, 0},
		{"64 clients pipeline, the reducer is blocked for 0.2 s repeatedly", 64, 0, 640, 4, false, 2 * maxAttemptDelay},
	} {
		t.Run(c.name, func(t *testing.T) {
			o, address := startObservedLimiter(t, c.stall)
			done := make(chan struct{})
			var backgroundClients sync.WaitGroup
			for i := range c.pipeliningClients {
				backgroundClients.Go(func() { pipelineRequests(t, address, i, done) })
			}
			for range c.floodingClients {
				backgroundClients.Go(func() { floodCommands(t, address, done) })
			}
			time.Sleep(300 * time.Millisecond)
			all := make([]disconnectedClient, c.leavingClients)
			var leavers sync.WaitGroup
			workers, leaveSignal := 8, make(chan struct{})
			if c.simultaneous {
				workers = c.leavingClients
				time.AfterFunc(time.Second, func() { close(leaveSignal) })
			} else {
				close(leaveSignal)
			}
			if c.stall > 0 {
				workers = 64 // many disconnect while the reducer is blocked
			}
			for worker := range workers {
				leavers.Go(func() {
					for i := worker; i < c.leavingClients; i += workers {
						all[i] = o.runClient(t, address, i, c.requestsPerClient, func() {
							time.Sleep(time.Duration(i%5) * time.Millisecond)
							<-leaveSignal
						})
					}
				})
			}
			leavers.Wait()
			time.Sleep(500 * time.Millisecond)
			close(done)
			backgroundClients.Wait()
			noticeDelay, closeDelay, attemptDelay := hdrhistogram.New(
				1,
				60e6,
				3,
			), hdrhistogram.New(
				1,
				60e6,
				3,
			), hdrhistogram.New(
				1,
				60e6,
				3,
			)
			for _, d := range all {
				attempt, closedAt := o.timesOf(d)
				require.False(t, closedAt.IsZero(), "the reducer never closed the connection of %s", d.address)
				require.NoError(t, noticeDelay.RecordValue(d.noticeDelay.Microseconds()))
				require.NoError(t, closeDelay.RecordValue(max(0, closedAt.Sub(d.closed).Microseconds())))
				if after := attempt.Sub(d.closed); !attempt.IsZero() && after > 0 {
					require.NoError(t, attemptDelay.RecordValue(after.Microseconds()))
				}
			}
			summary := func(h *hdrhistogram.Histogram) string {
				return fmt.Sprintf(
					"p50 %d, p99 %d, max %d us",
					h.ValueAtPercentile(50),
					h.ValueAtPercentile(99),
					h.Max(),
				)
			}
			require.False(t, t.Failed())
			t.Logf(
				"delay from the close of %d clients until the kernel saw it: %s; until the reducer closed the connection: %s; "+
					"until the last attempt, for %d that began after the close: %s",
				c.leavingClients,
				summary(noticeDelay),
				summary(closeDelay),
				attemptDelay.TotalCount(),
				summary(attemptDelay),
			)
			require.LessOrEqual(t, time.Duration(noticeDelay.Max())*time.Microsecond, maxAttemptDelay)
			require.LessOrEqual(t, time.Duration(attemptDelay.Max())*time.Microsecond, maxAttemptDelay)
		})
	}
}
