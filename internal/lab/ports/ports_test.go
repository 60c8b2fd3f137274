package ports

import (
	"net"
	"testing"
)

// A kept port is handed to nobody who asks for any port, refuses while nobody listens, and can be listened on twice.
func TestKeptPortIsHeldWhileNobodyListens(t *testing.T) {
	k, err := Keep()
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	seen := map[string]bool{k.Address(): true}
	for range 2000 {
		o, err := Keep()
		if err != nil {
			t.Fatal(err)
		}
		defer o.Close()
		if seen[o.Address()] {
			t.Fatalf("%s was kept twice", o.Address())
		}
		seen[o.Address()] = true
	}
	for range 2 {
		if c, err := net.Dial("tcp", k.Address()); err == nil {
			_ = c.Close()
			t.Fatal("a port on which nobody listens took a connection")
		}
		l, err := net.Listen("tcp", k.Address()) // as the limiter does
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", k.Address())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Close(), l.Close()
	}
}
