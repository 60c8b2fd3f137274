package counterwire

import (
	"errors"
	"strings"
	"testing"
)

func TestAppendAdd(t *testing.T) {
	for _, c := range []struct {
		name     string
		amount   float64
		lifetime int64
		want     string
	}{
		{"the lifetime is rounded up to milliseconds", -2.5, 4e9 + 1, "tally 7 -2.5 4001\r\n"},
		{"the lifetime is at least 1 ms", 1, 0, "tally 7 1 1\r\n"},
		{"no exponent in the amount", 123456789.25, 1e6, "tally 7 123456789.25 1\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := string(AppendAdd(nil, 7, c.amount, c.lifetime)); got != c.want {
				t.Fatalf("wrote %q, want %q", got, c.want)
			}
		})
	}
}

func TestReadReply(t *testing.T) {
	for _, c := range []struct {
		in        string
		kind      ReplyKind
		total     float64
		used      int
		malformed bool
	}{
		{"ok 38.5\r\nok 1\r\n", Added, 38.5, 9, false},
		{"busy\r\n", Overloaded, 0, 6, false},
		{"error\r\n", Rejected, 0, 7, false},
		{"pong\r\n", Pong, 0, 6, false},
		{"ok 3", 0, 0, 0, false},
		{"ok\r\n", 0, 0, 0, true},
		{"ok NaN\r\n", 0, 0, 0, true},
		{"ok 1\n", 0, 0, 0, true},
		{"what\r\n", 0, 0, 0, true},
		{"ok 0x1f\r\n", 0, 0, 0, true},
		{"pon", 0, 0, 0, false},
		{"ooo", 0, 0, 0, true}, // malformed from its second byte: the line may never end
		{strings.Repeat("x", maxLineBytes), 0, 0, 0, true},
	} {
		t.Run(c.in[:min(8, len(c.in))], func(t *testing.T) {
			kind, total, used, err := ReadReply([]byte(c.in))
			var malformedError *MalformedError
			if kind != c.kind || total != c.total || used != c.used || errors.As(err, &malformedError) != c.malformed ||
				!c.malformed && err != nil {
				t.Fatalf("kind %d, total %v, used %d, error %v", kind, total, used, err)
			}
		})
	}
}

func FuzzReadReply(f *testing.F) {
	f.Add([]byte("ok 38\r\n"))
	f.Add([]byte("busy\r\npong\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		_, total, used, err := ReadReply(in)
		if used > len(in) || used > 0 && err != nil || total != total {
			t.Fatalf("used %d of %d, total %v, error %v", used, len(in), total, err)
		}
	})
}
