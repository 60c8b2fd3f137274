package discovery

import (
	"errors"
	"strings"
	"testing"

	"ospreycroft/choice"
)

const whole = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"

func TestRead(t *testing.T) {
	for _, c := range []struct {
		name, in, body string
		used           int
		last           bool
		err            error
	}{
		{"whole, another behind it", whole + "HTTP", "{}", len(whole), false, nil},
		{"the last on its connection", "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nConnection: Close\r\n\r\n", "", 57, true, nil},
		{"in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n1;x=y\r\n}\r\n0\r\n\r\n", "{}", 68, false, nil},
		{"a chunk to come", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n", "", 0, false, nil},
		{"no body", "HTTP/1.1 304 Not Modified\r\n\r\n", "", 29, false, nil},
		{"no length", "HTTP/1.1 200 OK\r\n\r\n", "", 0, false, ErrMalformed},
		{"a length below 0", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "", 0, false, ErrMalformed},
		{"too long", "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", "", 0, false, ErrMalformed},
		{"no status", "HTTP/1.1 \r\n\r\n", "", 0, false, ErrMalformed},
		{"another protocol", "+PONG 200 x\r\n\r\n", "", 0, false, ErrMalformed},
		{"a head without an end", strings.Repeat("x", mostHead), "", 0, false, ErrMalformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, used, err := Read([]byte(c.in))
			if !errors.Is(err, c.err) || err == nil && (used != c.used || string(a.Body) != c.body || used > 0 && a.Last != c.last) {
				t.Fatalf("answer %+v, used %d, error %v", a, used, err)
			}
		})
	}
	t.Run("each part of a whole one waits for more", func(t *testing.T) {
		for i := range whole {
			if _, used, err := Read([]byte(whole[:i])); used != 0 || err != nil {
				t.Fatalf("%d bytes: used %d, error %v", i, used, err)
			}
		}
	})
}

func TestDecode(t *testing.T) {
	good := `{"generation":4,"reset":true,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:1","zone":"a","cell":3,` +
		`"lifecycle":"terminating","weight":1.5,"startedAtMs":2000}]}`
	list, err := Decode([]byte(good))
	want := choice.Entry{ID: "s", Zone: "a", Cell: 3, Listing: choice.Draining, Hint: 1.5, Since: 2e9}
	if err != nil || list.Version != 4 || !list.Whole || len(list.Entries) != 1 || list.Entries[0].Entry != want {
		t.Fatalf("list %+v, error %v", list, err)
	}
	for _, c := range []struct{ name, old, new, want string }{
		{"no version", `"generation":4,`, "", "generation"},
		{"an unknown state", "terminating", "resting", "lifecycle"},
		{"no id", `"s"`, `""`, "instanceId"},
		{"a server that is ready without an address", `"127.0.0.1:1","zone":"a","cell":3,"lifecycle":"terminating"`, `"","lifecycle":"in_service"`, "hostPort"},
		{"a weight below 0", "1.5", "-1", "weight"},
		{"no list", `{"generation"`, `[{"generation"`, "JSON"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := Decode([]byte(strings.Replace(good, c.old, c.new, 1))); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("error %v, want %s", err, c.want)
			}
		})
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(whole))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		a, used, err := Read(in)
		if used > len(in) || used > 0 && err != nil {
			t.Fatalf("used %d of %d, error %v", used, len(in), err)
		}
		if used > 0 {
			_, _ = Decode(a.Body)
		}
	})
}
