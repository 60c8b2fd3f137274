package limiter

import (
	"slices"
	"strings"
	"testing"
)

// TestCommandsOfClients checks the answers to commands that the limiter answers itself, without using quota.
func TestCommandsOfClients(t *testing.T) {
	for _, c := range []struct {
		name, in, out string
		closed        bool
	}{
		{"PING before the limiter is ready", "*1\r\n$4\r\nPING\r\n", "-LOADING not ready yet\r\n", false},
		{"an unknown command", "*1\r\n$4\r\nECHO\r\n", "-ERR unknown command\r\n", false},
		{"an unknown class", command("j", "odd", "480"), "-ERR unknown class\r\n", false},
		{"an unknown plan",
			strings.Replace(command("j", "read", "480"), "plain", "plaid", 1), "-ERR unknown plan\r\n", false},
		{"no time left", command("j", "read", "0"), "-ERR d is not a time\r\n", false},
		{"too few arguments", "*1\r\n$9\r\nSVC.QUERY\r\n", "-ERR wrong number of arguments\r\n", false},
		{"a class that needs the other command",
			strings.Replace(command("j", "write", "480"), "10\r\nSVC.SUBMIT", "9\r\nSVC.QUERY", 1),
			"-ERR the class goes by the other command\r\n", false},
		{"no body",
			strings.NewReplacer("*5", "*4", "$4\r\nBODY\r\n", "").Replace(command("j", "write", "480")),
			"-ERR a body that is missing or too much\r\n", false},
		{"a customer that is not a number", commandWith("0000ff", "z000ff"),
			"-ERR customer is not a number below 2^33 in 16 digits\r\n", false},
		{"a customer number that is too large", commandWith("00000000000000ff", "20000000000000ff"),
			"-ERR customer is not a number below 2^33 in 16 digits\r\n", false},
		{"no units", commandWith("units=2", "units=0"), "-ERR units is not a number of units\r\n", false},
		{"too many units", commandWith("units=2", "units=9"), "-ERR units is not a number of units\r\n", false},
		{"units that are not a number", commandWith("units=2", "units=x"), "-ERR units is not a number of units\r\n", false},
		{"more limiters than exist", commandWith("spread=1", "spread=2"),
			"-ERR spread is not a number of limiters\r\n", false},
		{"a limiter that does not exist", commandWith("first=0", "first=1"),
			"-ERR first is not a limiter's number\r\n", false},
		{"a limiter that is not a number", commandWith("first=0", "first=x"),
			"-ERR first is not a limiter's number\r\n", false},
		{"a field given twice", commandWith("first=0", "units=2"), "-ERR a name without a value, or twice\r\n", false},
		{"an unknown kind of retry", commandWith("first=0", "r=2,f=0"),
			"-ERR r is neither 0 nor 1\r\n", false},
		{"malformed", "HELLO\r\n", "-ERR malformed\r\n", true},
		{"oversized", "*1\r\n$70000\r\n", "-ERR too long\r\n", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, w := newTestLimiter(t)
			counterWrites := w.wrote[counterConnID]
			for _, b := range c.in { // one byte at a time
				w.receive(l, 0, clientConn, string(b))
			}
			w.advance(l, second/100)
			requireText(t, w.wrote[clientConn], c.out)
			if slices.Contains(w.closed, clientConn) != c.closed || w.wrote[counterConnID] != counterWrites ||
				len(l.requests.byID) > 0 {
				t.Fatalf("closed %v, counted %q, requests %d", w.closed, w.wrote[counterConnID], len(l.requests.byID))
			}
		})
	}
	t.Run("answers go out in the order of the commands", func(t *testing.T) {
		l, w := newTestLimiter(t)
		w.receive(l, 0, clientConn, command("j", "read", "480")+"*1\r\n$4\r\nECHO\r\n")
		requireText(t, w.wrote[clientConn], "")
		w.receive(l, 0, counterConnID, "ok 2\r\n")
		l.Step(0, Connected{Conn: w.last})
		w.receive(l, 0, w.last, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
		requireText(t, w.wrote[clientConn], "$1\r\nv\r\n-ERR unknown command\r\n")
	})
	t.Run("an id that is in use", func(t *testing.T) {
		l, w, _ := requestSent(t, "read")
		l.Step(0, ClientAccepted{Conn: clientConn + 1})
		w.receive(l, 0, clientConn+1, command("j", "read", "480"))
		requireText(t, w.wrote[clientConn+1], "-ERR id is in use\r\n")
	})
}
