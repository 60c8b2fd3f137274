package limiter

import (
	"slices"
	"strings"
	"testing"
)

// A client that says nothing, or half a command, is closed soon: it would hold its place for good.
func TestReapClients(t *testing.T) {
	for _, c := range []struct {
		name, in, out string
		at            int64 // when it is visited
		closed        bool
	}{
		{"nothing, for a while", "", "", minClientIdle / 2, false},
		{"nothing", "", "", minClientIdle, true},
		{"half a command", "*1\r\n$4\r\nPI", "-ERR too slow\r\n", minClientIdle, true},
		{"no request", "*1\r\n$4\r\nECHO\r\n", "-ERR unknown command\r\n", minClientIdle, true},
		{"a request, and its answer is not there yet", command("j", "read", "9000"), "", 3 * minClientIdle, false},
		{"a request, and nonsense", command("j", "read", "9000") + "?", "-ERR written off\r\n-ERR malformed\r\n", minClientIdle, true},
		{"a request that was answered", "done", "$1\r\nv\r\n", minClientIdle, false},
		{"the same, long ago", "done", "$1\r\nv\r\n", 15 * second, true},
		{"half a command behind it", "done half", "$1\r\nv\r\n-ERR too slow\r\n", minClientIdle, true},
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

// Newcomers past the limit wait in the kernel, the usual clients among them; and where each client keeps its connection
// after one request, they can open no more.
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
		{"nobody who has just come", 3, nil},
		{"the new client that came first", 2 + l.settings.DialTimeout/newClientGraceDivisor, []ConnID{newcomer}},
		{"and, once they are all in use, the one that was idle longest", second, []ConnID{newcomer, clientConn}},
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
