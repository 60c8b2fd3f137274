// Package discovery reads and writes discovery's calls: HTTP/1.1 with JSON lists of servers.
package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"

	"ospreycroft/choice"
)

const (
	mostHead = 16 << 10
	mostBody = 4 << 20
)

// ErrMalformed is for an answer that is no HTTP/1.1 or passes the limits above.
var ErrMalformed = errors.New("malformed")

var listings = map[string]choice.Listing{
	"in_service": choice.Ready, "terminating": choice.Draining, "terminated": choice.Gone,
}

// Entry is one server of a list, with the address at which this limiter reaches it.
type Entry struct {
	choice.Entry
	Address string
}

// List is the whole list or its changes.
type List struct {
	Version int64
	Whole   bool
	Entries []Entry
}

// AppendFetch writes the call for the whole list.
func AppendFetch(to []byte, host string) []byte {
	return fmt.Appendf(to, "GET /discovery/hosts HTTP/1.1\r\nHost: %s\r\n\r\n", host)
}

// AppendWatch writes the call that waits, for hold nanoseconds at most, for something newer than a version.
func AppendWatch(to []byte, host string, version, hold int64) []byte {
	return fmt.Appendf(to, "GET /discovery/hosts?from=%d&hold_ms=%d HTTP/1.1\r\nHost: %s\r\n\r\n", version, hold/1e6, host)
}

// Answer is one HTTP answer; the body points into the bytes it was read from.
type Answer struct {
	Status int
	Body   []byte
	Last   bool // the connection ends behind it
}

// Read reads one answer and tells how many bytes it took: 0 while it is not whole.
func Read(b []byte) (a Answer, n int, err error) {
	end := bytes.Index(b[:min(len(b), mostHead)], []byte("\r\n\r\n"))
	if end < 0 {
		if len(b) >= mostHead {
			err = ErrMalformed
		}
		return a, 0, err
	}
	head, rest := b[:end], b[end+4:]
	first, fields, _ := bytes.Cut(head, []byte("\r\n"))
	protocol, code, _ := bytes.Cut(first, []byte(" "))
	code, _, _ = bytes.Cut(code, []byte(" "))
	a.Status, err = strconv.Atoi(string(code))
	if err != nil || a.Status < 100 || a.Status > 999 || !bytes.HasPrefix(protocol, []byte("HTTP/1.")) {
		return a, 0, ErrMalformed
	}
	a.Last = string(protocol) == "HTTP/1.0"
	length, chunked := -1, false
	for len(fields) > 0 {
		var field []byte
		field, fields, _ = bytes.Cut(fields, []byte("\r\n"))
		name, value, found := bytes.Cut(field, []byte(":"))
		if !found {
			return a, 0, ErrMalformed
		}
		text := strings.ToLower(strings.TrimSpace(string(value)))
		switch strings.ToLower(string(name)) {
		case "content-length":
			if length, err = strconv.Atoi(text); err != nil || length < 0 || length > mostBody {
				return a, 0, ErrMalformed
			}
		case "transfer-encoding":
			if chunked = text == "chunked"; !chunked {
				return a, 0, ErrMalformed
			}
		case "connection":
			a.Last = a.Last || text == "close"
		}
	}
	switch {
	case a.Status == 204 || a.Status == 304 || a.Status < 200:
		return a, end + 4, nil
	case chunked:
		body, took, err := unchunk(rest)
		if err != nil || took == 0 {
			return a, 0, err
		}
		a.Body = body
		return a, end + 4 + took, nil
	case length < 0:
		return a, 0, ErrMalformed
	case len(rest) < length:
		return a, 0, nil
	}
	a.Body = rest[:length]
	return a, end + 4 + length, nil
}

// unchunk puts the chunks of a body together; it takes 0 bytes while the body is not whole.
func unchunk(b []byte) (body []byte, took int, err error) {
	for {
		i := bytes.Index(b[took:], []byte("\r\n"))
		if i < 0 {
			if len(b)-took > mostHead {
				err = ErrMalformed
			}
			return nil, 0, err
		}
		text, _, _ := bytes.Cut(b[took:took+i], []byte(";"))
		size, err := strconv.ParseUint(string(bytes.TrimSpace(text)), 16, 32)
		if err != nil || len(body)+int(size) > mostBody {
			return nil, 0, ErrMalformed
		}
		took += i + 2
		if len(b)-took < int(size)+2 {
			return nil, 0, nil
		}
		body = append(body, b[took:took+int(size)]...)
		if took += int(size); b[took] != '\r' || b[took+1] != '\n' {
			// Fields behind the last chunk are not for us; a server that sends them is not understood.
			return nil, 0, ErrMalformed
		}
		if took += 2; size == 0 {
			return body, took, nil
		}
	}
}

// Decode reads a list and refuses one that cannot be used, whole.
func Decode(text []byte) (*List, error) {
	var f struct {
		Version *int64 `json:"generation"`
		Whole   bool   `json:"reset"`
		Entries []struct {
			ID      string  `json:"instanceId"`
			Address string  `json:"hostPort"`
			Zone    string  `json:"zone"`
			Cell    int64   `json:"cell"`
			State   string  `json:"lifecycle"`
			Weight  float64 `json:"weight"`
			Started float64 `json:"startedAtMs"`
		} `json:"instances"`
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	if f.Version == nil {
		return nil, errors.New("generation: missing")
	}
	list := &List{Version: *f.Version, Whole: f.Whole}
	for i, e := range f.Entries {
		listing, known := listings[e.State]
		if !known {
			return nil, fmt.Errorf("instances: %d: lifecycle %q is not known", i, e.State)
		}
		if e.ID == "" {
			return nil, fmt.Errorf("instances: %d: instanceId is missing", i)
		}
		if _, _, err := net.SplitHostPort(e.Address); err != nil && listing == choice.Ready {
			return nil, fmt.Errorf("instances: %s: hostPort: %w", e.ID, err)
		}
		if e.Weight < 0 || e.Started < 0 {
			return nil, fmt.Errorf("instances: %s: weight or startedAtMs is below 0", e.ID)
		}
		list.Entries = append(list.Entries, Entry{Address: e.Address, Entry: choice.Entry{ID: e.ID, Zone: e.Zone,
			Cell: e.Cell, Listing: listing, Hint: e.Weight, Since: int64(e.Started * 1e6)}})
	}
	return list, nil
}
