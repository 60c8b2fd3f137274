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

// maxAttemptDelay is how long after its client's close an attempt may begin.
const maxAttemptDelay = 100 * time.Millisecond

// observer are the effects, which note when the reducer writes an attempt and when it ends a client's connection.
type observer struct {
	*Sockets
	mutex       sync.Mutex
	attempts    map[string]time.Time // the latest, by the client's name
	closedAt    map[string]time.Time // by the client's address
	clientConns map[string]*nbio.Conn
	// The reducer's own: it stands stall for so long, again and again.
	stall        time.Duration
	lastStallEnd time.Time
}

// Wake is asked for behind each event.
func (o *observer) SetTimer(at int64) {
	if o.stall > 0 && time.Since(o.lastStallEnd) > o.stall/2 {
		time.Sleep(o.stall)
		o.lastStallEnd = time.Now()
	}
	o.Sockets.SetTimer(at)
}

// clientOfAttempt finds the client's name in the id of a request.
var clientOfAttempt = regexp.MustCompile(`\r\n\$\d+\r\n(gone\d+)\.\d+\r\n`)

// Alive is asked of each client from which something has come.
func (o *observer) Alive(id limiter.ConnID) bool {
	if conn := o.connections[id]; conn != nil && conn.listener != nil {
		nc := conn.nbConn.Load()
		o.mutex.Lock()
		o.clientConns[nc.RemoteAddr().String()] = nc
		o.mutex.Unlock()
	}
	return o.Sockets.Alive(id)
}

// clientConn is the limiter's clientConn of a client's connection, from which something has come.
func (o *observer) clientConn(address string) *nbio.Conn {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.clientConns[address]
}

func (o *observer) Write(id limiter.ConnID, text []byte) {
	if found := clientOfAttempt.FindSubmatch(text); found != nil {
		o.mutex.Lock()
		o.attempts[string(found[1])] = time.Now()
		o.mutex.Unlock()
	}
	o.Sockets.Write(id, text)
}

func (o *observer) Close(id limiter.ConnID) int64 {
	if conn := o.connections[id]; conn != nil && conn.listener != nil {
		o.mutex.Lock()
		o.closedAt[conn.nbConn.Load().RemoteAddr().String()] = time.Now()
		o.mutex.Unlock()
	}
	return o.Sockets.Close(id)
}

// timesOf gives the instants of a departed client, zero where there is none.
func (o *observer) timesOf(d disconnectedClient) (attempt, closedAt time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.attempts[d.name], o.closedAt[d.address]
}

// startObservedLimiter is a limiter that runs, before servers that answer each request two milliseconds later. Its reducer may stand
// still for some time, again and again.
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

// pipelineRequests keeps eight requests of a client out until the test ends, and skips what it is answered.
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
			time.Sleep(2 * time.Millisecond) // it was turned away
		}
		if err != nil {
			return
		}
	}
}

// floodCommands sends commands that are no requests, as fast as they are read.
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

// disconnectedClient is a client that has gone.
type disconnectedClient struct {
	name, address string
	closed        time.Time     // before the call
	noticeDelay   time.Duration // so much later the limiter's kernel knew, and no attempt begins from then on
}

// runClient has a client bring requests, wait, and go: each second one by a reset.
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
	_ = c.SetDeadline(time.Now().Add(20 * time.Millisecond)) // it goes where its own kernel takes no more
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

// TestDisconnectNoticeDelay measures how long after a client's close the reducer ends its connection, and how long after it
// the last attempt for it begins, beside clients that pipeline requests and clients that send without a pause.
func TestDisconnectNoticeDelay(t *testing.T) {
	for _, c := range []struct {
		name                               string
		pipeliningClients, floodingClients int
		leavingClients, requestsPerClient  int // that go
		simultaneous                       bool
		stall                              time.Duration // of the reducer
	}{
		{"64 clients pipeline", 64, 0, 400, 1, false, 0},
		{"64 clients pipeline and 16 send without a pause", 64, 16, 400, 1, false, 0},
		{"64 clients pipeline, and those that go have 64 requests out", 64, 0, 200, 64, false, 0},
		{"64 clients pipeline, and 500 go in one instant", 64, 0, 500, 1, true, 0},
		{"64 clients pipeline, and those that go send 64 KB more than the poller reads", 64, 0, 100, 1200, false, 0},
		{"64 clients pipeline, and the reducer stands still for 0.2 s, again and again", 64, 0, 640, 4, false, 2 * maxAttemptDelay},
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
				workers = 64 // many go while it stands still
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
				require.False(t, closedAt.IsZero(), "%s is never noticed", d.address)
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
				"from the close of %d clients until no attempt begins: %s; until the reducer has ended the connection: %s; "+
					"%d last attempts after the close: %s",
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
