package simfleet

import (
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"ospreycroft/internal/limiter"
)

// Mode is how limiters learn of the list.
type Mode uint8

// The modes.
const (
	Pushed Mode = iota // an agent beside each limiter is sent the list, whether or not a watch is open
	Polled             // one service answers those that ask, so many calls a second
)

// instance is one entry of the list, in the wire's form.
type instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Machine   string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
}

// listAnswer is the body of an answer.
type listAnswer struct {
	Version int64      `json:"generation"`
	Whole   bool       `json:"reset"`
	Entries []instance `json:"instances"`
}

func (a *listAnswer) http(indented bool) []byte {
	text, _ := json.Marshal(a)
	if indented {
		text, _ = json.MarshalIndent(a, "", "  ")
	}
	return fmt.Appendf(
		nil,
		"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		len(text),
		text,
	)
}

// change is one step of the list.
type change struct {
	version int64
	at      int64
	entry   instance
}

// lists is the list service: the list at its first version and each change since.
type lists struct {
	f       *Fleet
	first   []instance
	changes []change
	down    bool
	desks   []*desk // all that answer calls: agents, or the service itself
	tokens  float64
	filled  int64
	// Calls that reached the service in each second, those that it turned away among them.
	calls, turned []int
}

// firstVersion is that of the list at the beginning.
const firstVersion = 10

func (s *lists) version() int64 { return firstVersion + int64(len(s.changes)) }

// whole is the list at a version.
func (s *lists) whole(version int64) []instance {
	out := slices.Clone(s.first)
	for _, c := range s.changes {
		if c.version > version {
			break
		}
		i := slices.IndexFunc(out, func(e instance) bool { return e.ID == c.entry.ID })
		switch {
		case c.entry.Lifecycle == "terminated" && i >= 0:
			out = slices.Delete(out, i, i+1)
		case c.entry.Lifecycle == "terminated":
		case i >= 0:
			out[i] = c.entry
		default:
			out = append(out, c.entry)
		}
	}
	return out
}

// since is what changed after one version up to another, each server's latest entry alone.
func (s *lists) since(from, to int64) []instance {
	out := []instance{}
	for _, c := range s.changes {
		if c.version <= from || c.version > to {
			continue
		}
		out = slices.DeleteFunc(out, func(e instance) bool { return e.ID == c.entry.ID })
		out = append(out, c.entry)
	}
	return out
}

// desk answers calls at one address: of one limiter where it is an agent, of all where it is the service.
type desk struct {
	f       *Fleet
	host    *host
	of      int   // the limiter whose agent it is, -1 for the service
	has     int64 // the version that it has
	counts  int64 // it numbers its versions higher by so much
	retired bool  // it was moved away from and says nothing any more
	calls   []*call
}

// line is a connection to a desk.
type line struct {
	held   []byte
	silent int64  // since when nothing comes on it any more, -1 while it serves
	wrote  []mark // the versions that were written, with the place of the last byte
	call   *call  // the latest
}

type call struct {
	s    *side
	at   int64
	from int64 // the version that the caller has, by the desk's own numbers; below 0 for the whole list
	hold int64
	done bool
}

func (d *desk) accept(s *side)  { s.data = &line{silent: -1} }
func (d *desk) connected(*side) {}
func (d *desk) ended(s *side, _ limiter.CloseReason) {
	d.calls = slices.DeleteFunc(d.calls, func(c *call) bool { return c.s == s })
}

func (d *desk) read(s *side, b []byte, _ int64) {
	ln := s.data.(*line)
	ln.held = append(ln.held, b...)
	for {
		head, rest, whole := strings.Cut(string(ln.held), "\r\n\r\n")
		if !whole {
			return
		}
		ln.held = []byte(rest)
		c, err := readCall(head)
		if err != nil {
			d.f.fault("syntax", d.host.name, err.Error())
			return
		}
		c.s = s
		c.at = d.f.q.now
		ln.call = c
		d.take(c)
	}
}

func readCall(head string) (*call, error) {
	first, _, _ := strings.Cut(head, "\r\n")
	words := strings.Fields(first)
	if len(words) != 3 || words[0] != "GET" {
		return nil, fmt.Errorf("no call: %q", first)
	}
	u, err := url.Parse(words[1])
	if err != nil || u.Path != "/discovery/hosts" {
		return nil, fmt.Errorf("no call: %q", first)
	}
	query := u.Query()
	if !query.Has("from") {
		return &call{from: -1}, nil
	}
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	hold, holdErr := strconv.ParseInt(query.Get("hold_ms"), 10, 64)
	if err != nil || holdErr != nil || hold < 0 {
		return nil, fmt.Errorf("no call: %q", first)
	}
	return &call{from: from, hold: min(hold, 60000) * 1e6}, nil
}

// take takes a call: the service turns it away where there are too many.
func (d *desk) take(c *call) {
	l := d.f.lists
	if d.retired {
		return
	}
	if d.of < 0 && !l.down {
		second := int(d.f.q.now / 1e9)
		for len(l.calls) <= second {
			l.calls, l.turned = append(l.calls, 0), append(l.turned, 0)
		}
		l.calls[second]++
		budget := d.f.o.DiscoveryCallRate
		l.tokens = min(budget, l.tokens+budget*float64(d.f.q.now-l.filled)/1e9)
		l.filled = d.f.q.now
		l.tokens--
		if l.tokens < 0 {
			l.tokens++
			l.turned[second]++
			c.s.write([]byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"))
			return
		}
	}
	d.calls = append(d.calls, c)
	d.look(c)
	if !c.done {
		d.f.q.at(c.at+c.hold, func() { d.look(c) })
	}
}

// look answers a call whose time has come.
func (d *desk) look(c *call) {
	if c.done || c.s.over || d.retired || d.f.lists.down {
		return
	}
	if c.from >= 0 && d.has <= c.from-d.counts && d.f.q.now < c.at+c.hold {
		return
	}
	c.done = true
	d.calls = slices.DeleteFunc(d.calls, func(o *call) bool { return o == c })
	if c.s.data.(*line).silent >= 0 {
		return
	}
	from := c.from - d.counts
	known := c.from >= 0 && from >= firstVersion && from <= d.has
	answer := listAnswer{Version: d.has + d.counts, Whole: !known}
	if known {
		answer.Entries = d.f.lists.since(from, d.has)
	} else {
		answer.Entries = d.f.lists.whole(d.has)
	}
	c.s.write(answer.http(d.f.rng.IntN(2) == 0))
	ln := c.s.data.(*line)
	ln.wrote = append(ln.wrote, mark{d.has, c.s.wrote})
}

// arrive notes what has been handed over with the bytes that have come to a limiter's machine.
func (ln *line) arrive(p *process, got int64) {
	for len(ln.wrote) > 0 && ln.wrote[0].at <= got {
		p.life.handed = append(p.life.handed, mark{ln.wrote[0].version, p.f.q.now})
		ln.wrote = ln.wrote[1:]
	}
}

// news lets waiting calls have what has come.
func (d *desk) news() {
	for _, c := range slices.Clone(d.calls) {
		d.look(c)
	}
}

// set changes an entry of the list, and sends it to those that wait for it.
func (s *lists) set(e instance) int64 {
	s.changes = append(s.changes, change{s.version() + 1, s.f.q.now, e})
	if !s.down {
		s.spread()
	}
	return s.version()
}

// spread brings the present list to each limiter's agent, after a notice of its own, or to the service itself.
func (s *lists) spread() {
	if s.f.o.Mode == Polled {
		s.bring(-1, s.version())
		return
	}
	for n := range s.f.limiters {
		version := s.version()
		at := s.f.q.now + s.f.o.NotificationDelay[0] + s.f.rng.Int64N(
			s.f.o.NotificationDelay[1]-s.f.o.NotificationDelay[0]+1,
		)
		s.f.q.at(at, func() { s.bring(n, version) })
	}
}

// bring gives a limiter's agent a version, unless the service is down or cut off from its machine: then it comes once
// that is over.
func (s *lists) bring(n int, version int64) {
	if n >= 0 {
		cut, stall, _, _, _ := s.f.net.links(s.f.net.host("list"), s.f.limiters[n].host)
		if s.down || cut || stall {
			return // up and heal spread again
		}
		if had := s.f.limiters[n].had; had[len(had)-1].version < version {
			s.f.arrived(n, version)
		}
	}
	for _, d := range s.desks {
		if d.of == n {
			d.has = max(d.has, version)
			d.news()
		}
	}
}

// setDown stops or starts the service. While it is down agents say nothing; where it is asked it is a process that has
// died, which resets and refuses.
func (s *lists) setDown(down bool) {
	s.down = down
	for _, d := range s.desks {
		switch {
		case d.of >= 0:
		case down:
			d.calls = nil
			s.f.net.kill(d.host)
		default:
			d.host.party = d
		}
	}
	if !down {
		for _, d := range s.desks {
			d.news()
		}
		s.spread()
	}
}

// quiet lets the watches that are open fall silent once: nothing comes on their connections any more, whatever is
// asked.
func (s *lists) quiet(of func(limiter int) bool) (hit int) {
	for _, d := range s.desks {
		s.watches(d, func(p *process, ln *line) {
			if of(p.n) && ln.silent < 0 && !ln.call.done {
				ln.silent = s.f.q.now
				p.fallSilent(ln.call)
				hit++
			}
		})
	}
	return hit
}

// watches goes through the connections on which limiters have asked at a desk.
func (s *lists) watches(d *desk, look func(p *process, ln *line)) {
	for _, c := range slices.Clone(d.host.sides) {
		ln, is := c.data.(*line)
		if _, p := s.f.limiterAt(c.far.host); is && p != nil && ln.call != nil {
			look(p, ln)
		}
	}
}

// fallSilent notes until when what a watch misses does not count as told.
func (p *process) fallSilent(c *call) {
	now := p.f.q.now
	until := now + silence
	if !c.done {
		until = max(until, c.at+c.hold+afterWait)
	}
	p.life.silences = append(p.life.silences, span{now, until})
}
