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

// mostAfterClose is how long after its client's close an attempt may begin.
const mostAfterClose = 100 * time.Millisecond

// observed are the effects, which note when the reducer writes an attempt and when it ends a client's connection.
type observed struct {
	*Sockets
	mutex    sync.Mutex
	attempts map[string]time.Time // the latest, by the client's name
	noted    map[string]time.Time // by the client's address
	ends     map[string]*nbio.Conn
	// The reducer's own: it stands still for so long, again and again.
	still time.Duration
	woke  time.Time
}

// Wake is asked for behind each event.
func (o *observed) SetTimer(at int64) {
	if o.still > 0 && time.Since(o.woke) > o.still/2 {
		time.Sleep(o.still)
		o.woke = time.Now()
	}
	o.Sockets.SetTimer(at)
}

// clientOfAttempt finds the client's name in the id of a request.
var clientOfAttempt = regexp.MustCompile(`\r\n\$\d+\r\n(gone\d+)\.\d+\r\n`)

// Alive is asked of each client from which something has come.
func (o *observed) Alive(id limiter.ConnID) bool {
	if l := o.connections[id]; l != nil && l.accepting != nil {
		c := l.conn.Load()
		o.mutex.Lock()
		o.ends[c.RemoteAddr().String()] = c
		o.mutex.Unlock()
	}
	return o.Sockets.Alive(id)
}

// end is the limiter's end of a client's connection, from which something has come.
func (o *observed) end(address string) *nbio.Conn {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.ends[address]
}

func (o *observed) Write(id limiter.ConnID, text []byte) {
	if found := clientOfAttempt.FindSubmatch(text); found != nil {
		o.mutex.Lock()
		o.attempts[string(found[1])] = time.Now()
		o.mutex.Unlock()
	}
	o.Sockets.Write(id, text)
}

func (o *observed) Close(id limiter.ConnID) int64 {
	if l := o.connections[id]; l != nil && l.accepting != nil {
		o.mutex.Lock()
		o.noted[l.conn.Load().RemoteAddr().String()] = time.Now()
		o.mutex.Unlock()
	}
	return o.Sockets.Close(id)
}

// at gives the instants of a departed client, zero where there is none.
func (o *observed) at(d departed) (attempt, noted time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.attempts[d.name], o.noted[d.address]
}

// loaded is a limiter that runs, before servers that answer each request two milliseconds later. Its reducer may stand
// still for some time, again and again.
func loaded(t *testing.T, still time.Duration) (o *observed, address string) {
	t.Helper()
	servers := make([]net.Listener, 8)
	for i := range servers {
		servers[i] = local(t)
		go answersLate(servers[i])
	}
	config := configured(4096, servers...)
	config.Settings.MaxAttempts = 3
	address = local(t).Addr().String()
	_, port, err := net.SplitHostPort(address)
	require.NoError(t, err)
	address = "127.0.0.2:" + port
	s, err := Listen(address, limiter.MaxClients(config), config.Sockets)
	require.NoError(t, err)
	o = &observed{
		Sockets:  s,
		still:    still,
		attempts: map[string]time.Time{},
		noted:    map[string]time.Time{},
		ends:     map[string]*nbio.Conn{},
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

func answersLate(server net.Listener) {
	for c, err := server.Accept(); err == nil; c, err = server.Accept() {
		go func() {
			b := make([]byte, 1<<16)
			for n, err := c.Read(b); err == nil; n, err = c.Read(b) {
				time.Sleep(2 * time.Millisecond)
				_, _ = io.WriteString(
					c,
					strings.Repeat("*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n", bytes.Count(b[:n], []byte("SVC."))),
				)
			}
		}()
	}
}

// pipelines keeps eight requests of a client out until the test ends, and skips what it is answered.
func pipelines(t *testing.T, address string, client int, ends <-chan struct{}) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	t.Cleanup(func() { _ = c.Close() })
	in := bufio.NewReader(c)
	for n := 0; ; n++ {
		select {
		case <-ends:
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

// floods sends commands that are no requests, as fast as they are read.
func floods(t *testing.T, address string, ends <-chan struct{}) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	t.Cleanup(func() { _ = c.Close() })
	go func() { _, _ = io.Copy(io.Discard, c) }()
	text := strings.Repeat("*2\r\n$1\r\nX\r\n$300\r\n"+strings.Repeat("x", 300)+"\r\n", 100)
	for {
		select {
		case <-ends:
			return
		default:
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// departed is a client that has gone.
type departed struct {
	name, address string
	closed        time.Time     // before the call
	known         time.Duration // so much later the limiter's kernel knew, and no attempt begins from then on
}

// goes has a client bring requests, wait, and go: each second one by a reset.
func (o *observed) goes(t *testing.T, address string, client, requests int, wait func()) (d departed) {
	plain, err := net.Dial("tcp", address)
	if !assert.NoError(t, err) {
		return d
	}
	c := plain.(*net.TCPConn)
	d.name, d.address = fmt.Sprint("gone", client), c.LocalAddr().String()
	_ = c.SetDeadline(time.Now().Add(patience))
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
	end := o.end(d.address)
	if !assert.NotNil(t, end) {
		return d
	}
	d.closed = time.Now()
	departures[client%2].goes(c)
	for !peerEnded(end) && time.Since(d.closed) < patience {
		time.Sleep(20 * time.Microsecond)
	}
	d.known = time.Since(d.closed)
	return d
}

// TestDepartedNoticed measures how long after a client's close the reducer ends its connection, and how long after it
// the last attempt for it begins, beside clients that pipeline requests and clients that send without a pause.
func TestDepartedNoticed(t *testing.T) {
	for _, c := range []struct {
		name                string
		pipelining, sending int
		clients, requests   int // that go
		together            bool
		still               time.Duration // of the reducer
	}{
		{"64 clients pipeline", 64, 0, 400, 1, false, 0},
		{"64 clients pipeline and 16 send without a pause", 64, 16, 400, 1, false, 0},
		{"64 clients pipeline, and those that go have 64 requests out", 64, 0, 200, 64, false, 0},
		{"64 clients pipeline, and 500 go in one instant", 64, 0, 500, 1, true, 0},
		{"64 clients pipeline, and those that go send 64 KB more than the poller reads", 64, 0, 100, 1200, false, 0},
		{"64 clients pipeline, and the reducer stands still for 0.2 s, again and again", 64, 0, 640, 4, false, 2 * mostAfterClose},
	} {
		t.Run(c.name, func(t *testing.T) {
			o, address := loaded(t, c.still)
			ends := make(chan struct{})
			var running sync.WaitGroup
			for i := range c.pipelining {
				running.Go(func() { pipelines(t, address, i, ends) })
			}
			for range c.sending {
				running.Go(func() { floods(t, address, ends) })
			}
			time.Sleep(300 * time.Millisecond)
			all := make([]departed, c.clients)
			var going sync.WaitGroup
			workers, instant := 8, make(chan struct{})
			if c.together {
				workers = c.clients
				time.AfterFunc(time.Second, func() { close(instant) })
			} else {
				close(instant)
			}
			if c.still > 0 {
				workers = 64 // many go while it stands still
			}
			for worker := range workers {
				going.Go(func() {
					for i := worker; i < c.clients; i += workers {
						all[i] = o.goes(t, address, i, c.requests, func() {
							time.Sleep(time.Duration(i%5) * time.Millisecond)
							<-instant
						})
					}
				})
			}
			going.Wait()
			time.Sleep(500 * time.Millisecond)
			close(ends)
			running.Wait()
			known, told, attempts := hdrhistogram.New(
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
				attempt, noted := o.at(d)
				require.False(t, noted.IsZero(), "%s is never noticed", d.address)
				require.NoError(t, known.RecordValue(d.known.Microseconds()))
				require.NoError(t, told.RecordValue(max(0, noted.Sub(d.closed).Microseconds())))
				if after := attempt.Sub(d.closed); !attempt.IsZero() && after > 0 {
					require.NoError(t, attempts.RecordValue(after.Microseconds()))
				}
			}
			figures := func(h *hdrhistogram.Histogram) string {
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
				c.clients,
				figures(known),
				figures(told),
				attempts.TotalCount(),
				figures(attempts),
			)
			require.LessOrEqual(t, time.Duration(known.Max())*time.Microsecond, mostAfterClose)
			require.LessOrEqual(t, time.Duration(attempts.Max())*time.Microsecond, mostAfterClose)
		})
	}
}
