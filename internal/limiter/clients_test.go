package limiter

import (
	"slices"
	"strings"
	"testing"
)

// TestReapClients: a client that sends nothing, or only part of a command, is closed after minClientIdle. Otherwise it
// would occupy its descriptor forever.
func TestReapClients(t *testing.T) {
	for _, c := range []struct {
		name, in, out string
		at            int64 // when clients are checked
		closed        bool
	}{
		{"nothing sent, for a short time", "", "", minClientIdle / 2, false},
		{"nothing sent", "", "", minClientIdle, true},
		{"part of a command", "*1\r\n$4\r\nPI", "-ERR too slow\r\n", minClientIdle, true},
		{"a command that is not a request", "*1\r\n$4\r\nECHO\r\n", "-ERR unknown command\r\n", minClientIdle, true},
		{"a request that is not answered yet", command("j", "read", "9000"), "", 3 * minClientIdle, false},
		{"a request and malformed input", command("j", "read", "9000") + "?",
			"-ERR written off\r\n-ERR malformed\r\n", minClientIdle, true},
		{"a request that was answered", "done", "$1\r\nv\r\n", minClientIdle, false},
		{"a request that was answered long ago", "done", "$1\r\nv\r\n", 15 * second, true},
		{"part of a command after an answered request", "done half", "$1\r\nv\r\n-ERR too slow\r\n", minClientIdle, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, w := newTestLimiter(t)
			if strings.HasPrefix(c.in, "done") {
				var id ConnID
				l, w, id = requestSent(t, "read")
				w.receive(l, 0, id, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
				if c.in != "done" {
					w.receive(l, 0, clientConn, "*1\r\n$4")
				}
			} else if c.in != "" {
				w.receive(l, 0, clientConn, c.in)
			}
			l.now = c.at
			l.clients.reap()
			w.advance(l, c.at)
			requireText(t, w.wrote[clientConn], c.out)
			if slices.Contains(w.closed, clientConn) != c.closed || c.closed && l.clients.count != 0 {
				t.Fatalf("closed %v, %d clients", w.closed, l.clients.count)
			}
		})
	}
}

// TestEvictIdle: at the descriptor limit new connections wait in the kernel, also those of regular clients. If every
// client kept its connection open after one request, no other client could connect, so idle ones are closed.
func TestEvictIdle(t *testing.T) {
	l, w, id := requestSent(t, "read")
	w.receive(l, 1, id, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
	limit := l.config.Sockets / evictionDivisor
	newcomer := clientConn + 1
	for i := range ConnID(limit - 1) {
		l.Step(2, ClientAccepted{Conn: newcomer + i})
	}
	for _, c := range []struct {
		name string
		now  int64
		want []ConnID
	}{
		{"no client that has just connected", 3, nil},
		{"the client without a request that connected first",
			2 + l.settings.DialTimeout/newClientGraceDivisor, []ConnID{newcomer}},
		{"once all others have open requests, the one that was idle longest", second, []ConnID{newcomer, clientConn}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if l.now = c.now; l.now == second {
				for i := range ConnID(limit) {
					if conn := l.conns[newcomer+i]; conn != nil {
						conn.handler.(*client).answers = []*answer{{}}
					}
				}
				l.clients.accept(newcomer + ConnID(limit))
			}
			if l.clients.evictIdle(); !slices.Equal(w.closed, c.want) {
				t.Fatalf("closed %v, want %v", w.closed, c.want)
			}
		})
	}
}
