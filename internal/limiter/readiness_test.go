package limiter

import (
	"strings"
	"testing"
)

// TestReady checks when PING is answered with PONG.
func TestReady(t *testing.T) {
	t.Run("with the first list from discovery", func(t *testing.T) {
		l, w := newTestLimiter(t)
		w.receive(l, 0, discoveryConn, httpAnswer(strings.Replace(knownList, "7", "8", 1)))
		w.receive(l, 0, clientConn, "*1\r\n$4\r\nPING\r\n")
		requireText(t, w.wrote[clientConn], "+PONG\r\n")
	})
	t.Run("not before the controller is ready", func(t *testing.T) {
		l, w := newTestLimiter(t)
		l.settings.Plans["plain"].CeilingRate, l.settings.Plans["plain"].CeilingBurst = 8, 8
		w.receive(l, 0, discoveryConn, httpAnswer(strings.Replace(knownList, "7", "8", 1)))
		w.receive(l, 0, clientConn, "*1\r\n$4\r\nPING\r\n")
		w.advance(l, second)
		w.receive(l, second, clientConn, "*1\r\n$4\r\nPING\r\n")
		requireText(t, w.wrote[clientConn], "-LOADING not ready yet\r\n+PONG\r\n")
	})
	t.Run("with the configuration's list if discovery does not answer", func(t *testing.T) {
		l, w := newTestLimiter(t)
		w.advance(l, second/4)
		w.receive(l, second/4, clientConn, "*1\r\n$4\r\nPING\r\n")
		requireText(t, w.wrote[clientConn], "+PONG\r\n")
	})
}
