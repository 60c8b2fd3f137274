package resp

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

func TestReadCommand(t *testing.T) {
	complete := "*2\r\n$4\r\nPING\r\n$2\r\n\r\n\r\n"
	for _, c := range []struct {
		name, in string
		used     int
		err      error
	}{
		{"complete, with a line end inside a word", complete, len(complete), nil},
		{"followed by another command", complete + "*1", len(complete), nil},
		{"empty input", "", 0, nil},
		{"not an array", "PING\r\n", 0, ErrMalformed},
		{"an empty array", "*0\r\n", 0, ErrMalformed},
		{"a null array", "*-1\r\n", 0, ErrMalformed},
		{"a null word", "*1\r\n$-1\r\n", 0, ErrMalformed},
		{"a word that is not a bulk string", "*1\r\n+PING\r\n", 0, ErrMalformed},
		{"a nested array", "*1\r\n*1\r\n", 0, ErrMalformed},
		{"a length below -1", "*1\r\n$-2\r\n", 0, ErrMalformed},
		{"a length with a sign", "*1\r\n$+4\r\nPING\r\n", 0, ErrMalformed},
		{"a word longer than its length says", "*1\r\n$3\r\nPING\r\n", 0, ErrMalformed},
		{"a line that ends without a carriage return", "*1\n", 0, ErrMalformed},
		{"too many words", "*65\r\n", 0, ErrTooLong},
		{"a word that is too long", "*1\r\n$65537\r\n", 0, ErrTooLong},
		{"a line without an end", "*" + strings.Repeat("1", maxLineBytes), 0, ErrTooLong},
		{"a message that is too long", "*64\r\n" + strings.Repeat("$32768\r\n"+strings.Repeat("x", 32768)+"\r\n", 3),
			0, ErrTooLong},
	} {
		t.Run(c.name, func(t *testing.T) {
			words, used, err := ReadCommand([]byte(c.in), nil)
			if used != c.used || !errors.Is(err, c.err) || used > 0 && (len(words) != 2 || string(words[1]) != "\r\n") {
				t.Fatalf("words %q, used %d, error %v", words, used, err)
			}
		})
	}
	t.Run("every prefix is incomplete, not malformed", func(t *testing.T) {
		for i := range complete {
			if _, used, err := ReadCommand([]byte(complete[:i]), nil); used != 0 || err != nil {
				t.Fatalf("%d bytes: used %d, error %v", i, used, err)
			}
		}
	})
}

func TestReadAnswer(t *testing.T) {
	complete := "*3\r\n$2\r\n\r\n\r\n$-1\r\n$7\r\nx=1,y=2\r\n"
	for _, c := range []struct {
		name, in string
		used     int
		err      error
	}{
		{"followed by another reply", complete + complete, len(complete), nil},
		{"an error", "-ERR failed x=1\r\n", 17, nil},
		{"a null result", "*3\r\n$-1\r\n$-1\r\n$-1\r\n", 0, ErrMalformed},
		{"two elements", "*2", 0, ErrMalformed},
		{"an array in place of the result", "*3\r\n*", 0, ErrMalformed},
		{"a number in place of the report", "*3\r\n$-1\r\n$-1\r\n:5\r\n", 0, ErrMalformed},
		{"a number", ":5\r\n", 0, ErrMalformed},
		{"a result longer than its length says", "*3\r\n$2\r\nabcd\r\n", 0, ErrMalformed},
		{"a result of 3 GB", "*3\r\n$3000000000\r\nxxx", 0, ErrTooLong},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, used, err := ReadReply([]byte(c.in)); used != c.used || !errors.Is(err, c.err) {
				t.Fatalf("used %d, error %v", used, err)
			}
		})
	}
	t.Run("every prefix is incomplete, not malformed", func(t *testing.T) {
		for i := range complete {
			if _, used, err := ReadReply([]byte(complete[:i])); used != 0 || err != nil {
				t.Fatalf("%d bytes: used %d, error %v", i, used, err)
			}
		}
	})
}

func FuzzReadAnswer(f *testing.F) {
	f.Add([]byte("*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if v, used, err := ReadReply(b); used > len(b) || err == nil && used > 0 && v.Kind != '-' && len(v.List) != 3 {
			t.Fatalf("value %+v, used %d of %d", v, used, len(b))
		}
	})
}

func TestReadValue(t *testing.T) {
	for _, c := range []struct {
		name, in string
		elements int
		null     bool
		err      error
	}{
		{"an array with nulls", "*3\r\n$1\r\nv\r\n$-1\r\n*-1\r\n", 3, false, nil},
		{"null", "$-1\r\n", 0, true, nil},
		{"a number", ":-12\r\n", 0, false, nil},
		{"an invalid number", ":x\r\n", 0, false, ErrMalformed},
		{"arrays nested too deeply", strings.Repeat("*1\r\n", 6), 0, false, ErrMalformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			v, used, err := ReadValue([]byte(c.in))
			if !errors.Is(err, c.err) ||
				err == nil && (used != len(c.in) || len(v.List) != c.elements || v.Null != c.null) {
				t.Fatalf("value %+v, used %d, error %v", v, used, err)
			}
		})
	}
}

// FuzzRead checks that a value takes as many bytes if other input follows it, and that a decoded command is unchanged
// after it is encoded and decoded again.
func FuzzRead(f *testing.F) {
	f.Add([]byte("*2\r\n$4\r\nPING\r\n$0\r\n\r\n"))
	f.Add([]byte("*3\r\n$1\r\nv\r\n$-1\r\n:5\r\n"))
	f.Add([]byte("-BUSY 20\r\n"))
	f.Add([]byte("0"))
	f.Fuzz(func(t *testing.T, in []byte) {
		_, used, err := ReadValue(in)
		if used > len(in) || used > 0 && err != nil {
			t.Fatalf("used %d of %d, error %v", used, len(in), err)
		}
		if used > 0 {
			if _, again, err := ReadValue(append(bytes.Clone(in[:used]), "+x\r\n"...)); again != used || err != nil {
				t.Fatalf("used %d, with input after it %d, error %v", used, again, err)
			}
		}
		words, used, err := ReadCommand(in, nil)
		if err != nil || used == 0 {
			return
		}
		written := AppendCommand(nil, words...)
		again, n, err := ReadCommand(written, nil)
		if err != nil || n != len(written) || len(again) != len(words) {
			t.Fatalf("%q became %q, error %v", words, again, err)
		}
		for i := range words {
			if !bytes.Equal(words[i], again[i]) {
				t.Fatalf("%q became %q", words[i], again[i])
			}
		}
	})
}
