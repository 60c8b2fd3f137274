package limiter

import (
	"strings"
	"testing"
)

func TestReady(t *testing.T) {
	t.Run("once discovery has told its list", func(t *testing.T) {
		l, w := newTestLimiter(t)
		w.say(l, 0, discoveryConn, httpAnswer(strings.Replace(knownList, "7", "8", 1)))
		w.say(l, 0, clientConn, "*1\r\n$4\r\nPING\r\n")
		requireText(t, w.wrote[clientConn], "+PONG\r\n")
	})
	t.Run("and the module is ready", func(t *testing.T) {
		l, w := newTestLimiter(t)
		l.settings.Plans["plain"].CeilingRate, l.settings.Plans["plain"].CeilingBurst = 8, 8
		w.say(l, 0, discoveryConn, httpAnswer(strings.Replace(knownList, "7", "8", 1)))
		w.say(l, 0, clientConn, "*1\r\n$4\r\nPING\r\n")
		w.pass(l, second)
		w.say(l, second, clientConn, "*1\r\n$4\r\nPING\r\n")
		requireText(t, w.wrote[clientConn], "-LOADING not ready yet\r\n+PONG\r\n")
	})
	t.Run("or is silent: the configuration's list must do", func(t *testing.T) {
		l, w := newTestLimiter(t)
		w.pass(l, second/4)
		w.say(l, second/4, clientConn, "*1\r\n$4\r\nPING\r\n")
		requireText(t, w.wrote[clientConn], "+PONG\r\n")
	})
}
