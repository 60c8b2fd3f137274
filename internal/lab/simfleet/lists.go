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
	Full    bool       `json:"reset"`
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

// discoveryService is the list service: the list at its first version and each change since.
type discoveryService struct {
	f          *Fleet
	initial    []instance
	changes    []change
	down       bool
	endpoints  []*discoveryEndpoint // all that answer calls: agents, or the service itself
	tokens     float64
	refilledAt int64
	// Calls that reached the service in each second, those that it throttled away among them.
	calls, throttled []int
}

// firstVersion is that of the list at the beginning.
const firstVersion = 10

func (s *discoveryService) version() int64 { return firstVersion + int64(len(s.changes)) }

// entriesAt is the list at a version.
func (s *discoveryService) entriesAt(version int64) []instance {
	out := slices.Clone(s.initial)
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

// changesBetween is what changed after one version up to another, each server's latest entry alone.
func (s *discoveryService) changesBetween(from, to int64) []instance {
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

// discoveryEndpoint answers calls at one address: of one limiter where it is an agent, of all where it is the service.
type discoveryEndpoint struct {
	f             *Fleet
	host          *host
	limiter       int   // the limiter whose agent it is, -1 for the service
	version       int64 // the version that it has
	versionOffset int64 // it numbers its versions higher by so much
	retired       bool  // it was moved away from and says nothing any more
	polls         []*pollRequest
}

// pollConn is a connection to a desk.
type pollConn struct {
	received    []byte
	silentSince int64         // since when nothing comes on it any more, -1 while it serves
	written     []versionMark // the versions that were written, with the place of the last byte
	latest      *pollRequest  // the latest
}

type pollRequest struct {
	conn     *connEnd
	at       int64
	from     int64 // the version that the caller has, by the desk's own numbers; below 0 for the whole list
	hold     int64
	answered bool
}

func (d *discoveryEndpoint) accept(end *connEnd) { end.data = &pollConn{silentSince: -1} }
func (d *discoveryEndpoint) connected(*connEnd)  {}
func (d *discoveryEndpoint) ended(end *connEnd, _ limiter.CloseReason) {
	d.polls = slices.DeleteFunc(d.polls, func(c *pollRequest) bool { return c.conn == end })
}

func (d *discoveryEndpoint) read(end *connEnd, data []byte, _ int64) {
	conn := end.data.(*pollConn)
	conn.received = append(conn.received, data...)
	for {
		head, rest, complete := strings.Cut(string(conn.received), "\r\n\r\n")
		if !complete {
			return
		}
		conn.received = []byte(rest)
		poll, err := parsePoll(head)
		if err != nil {
			d.f.recordFault("syntax", d.host.name, err.Error())
			return
		}
		poll.conn = end
		poll.at = d.f.q.now
		conn.latest = poll
		d.handle(poll)
	}
}

func parsePoll(head string) (*pollRequest, error) {
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
		return &pollRequest{from: -1}, nil
	}
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	hold, holdErr := strconv.ParseInt(query.Get("hold_ms"), 10, 64)
	if err != nil || holdErr != nil || hold < 0 {
		return nil, fmt.Errorf("no call: %q", first)
	}
	return &pollRequest{from: from, hold: min(hold, 60000) * 1e6}, nil
}

// handle takes a call: the service turns it away where there are too many.
func (d *discoveryEndpoint) handle(poll *pollRequest) {
	service := d.f.discovery
	if d.retired {
		return
	}
	if d.limiter < 0 && !service.down {
		second := int(d.f.q.now / 1e9)
		for len(service.calls) <= second {
			service.calls, service.throttled = append(service.calls, 0), append(service.throttled, 0)
		}
		service.calls[second]++
		budget := d.f.options.DiscoveryCallRate
		service.tokens = min(budget, service.tokens+budget*float64(d.f.q.now-service.refilledAt)/1e9)
		service.refilledAt = d.f.q.now
		service.tokens--
		if service.tokens < 0 {
			service.tokens++
			service.throttled[second]++
			poll.conn.write([]byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"))
			return
		}
	}
	d.polls = append(d.polls, poll)
	d.answerIfDue(poll)
	if !poll.answered {
		d.f.q.at(poll.at+poll.hold, func() { d.answerIfDue(poll) })
	}
}

// answerIfDue answers a call whose time has come.
func (d *discoveryEndpoint) answerIfDue(poll *pollRequest) {
	if poll.answered || poll.conn.closed || d.retired || d.f.discovery.down {
		return
	}
	if poll.from >= 0 && d.version <= poll.from-d.versionOffset && d.f.q.now < poll.at+poll.hold {
		return
	}
	poll.answered = true
	d.polls = slices.DeleteFunc(d.polls, func(o *pollRequest) bool { return o == poll })
	if poll.conn.data.(*pollConn).silentSince >= 0 {
		return
	}
	from := poll.from - d.versionOffset
	known := poll.from >= 0 && from >= firstVersion && from <= d.version
	answer := listAnswer{Version: d.version + d.versionOffset, Full: !known}
	if known {
		answer.Entries = d.f.discovery.changesBetween(from, d.version)
	} else {
		answer.Entries = d.f.discovery.entriesAt(d.version)
	}
	poll.conn.write(answer.http(d.f.rng.IntN(2) == 0))
	conn := poll.conn.data.(*pollConn)
	conn.written = append(conn.written, versionMark{d.version, poll.conn.bytesWritten})
}

// recordDelivered notes what has been handed over with the bytes that have come to a limiter's machine.
func (c *pollConn) recordDelivered(p *process, bytesRead int64) {
	for len(c.written) > 0 && c.written[0].at <= bytesRead {
		p.incarnation.delivered = append(p.incarnation.delivered, versionMark{c.written[0].version, p.f.q.now})
		c.written = c.written[1:]
	}
}

// answerDuePolls lets waiting calls have what has come.
func (d *discoveryEndpoint) answerDuePolls() {
	for _, poll := range slices.Clone(d.polls) {
		d.answerIfDue(poll)
	}
}

// setEntry changes an entry of the list, and sends it to those that wait for it.
func (s *discoveryService) setEntry(e instance) int64 {
	s.changes = append(s.changes, change{s.version() + 1, s.f.q.now, e})
	if !s.down {
		s.publish()
	}
	return s.version()
}

// publish brings the present list to each limiter's agent, after a notice of its own, or to the service itself.
func (s *discoveryService) publish() {
	if s.f.options.Mode == Polled {
		s.deliver(-1, s.version())
		return
	}
	for n := range s.f.limiters {
		version := s.version()
		at := s.f.q.now + s.f.options.NotificationDelay[0] + s.f.rng.Int64N(
			s.f.options.NotificationDelay[1]-s.f.options.NotificationDelay[0]+1,
		)
		s.f.q.at(at, func() { s.deliver(n, version) })
	}
}

// deliver gives a limiter's agent a version, unless the service is down or cut off from its machine: then it comes once
// that is over.
func (s *discoveryService) deliver(index int, version int64) {
	if index >= 0 {
		cut, stalled, _, _, _ := s.f.net.linkFaults(s.f.net.host("list"), s.f.limiters[index].host)
		if s.down || cut || stalled {
			return // up and heal spread again
		}
		if versions := s.f.limiters[index].agentVersions; versions[len(versions)-1].version < version {
			s.f.recordAgentVersion(index, version)
		}
	}
	for _, d := range s.endpoints {
		if d.limiter == index {
			d.version = max(d.version, version)
			d.answerDuePolls()
		}
	}
}

// setDown stops or starts the service. While it is down agents say nothing; where it is asked it is a process that has
// died, which resets and refuses.
func (s *discoveryService) setDown(down bool) {
	s.down = down
	for _, d := range s.endpoints {
		switch {
		case d.limiter >= 0:
		case down:
			d.polls = nil
			s.f.net.kill(d.host)
		default:
			d.host.handler = d
		}
	}
	if !down {
		for _, d := range s.endpoints {
			d.answerDuePolls()
		}
		s.publish()
	}
}

// silenceWatches lets the watches that are open fall silent once: nothing comes on their connections any more, whatever is
// asked.
func (s *discoveryService) silenceWatches(include func(limiter int) bool) (silenced int) {
	for _, d := range s.endpoints {
		s.forEachWatch(d, func(p *process, conn *pollConn) {
			if include(p.index) && conn.silentSince < 0 && !conn.latest.answered {
				conn.silentSince = s.f.q.now
				p.fallSilent(conn.latest)
				silenced++
			}
		})
	}
	return silenced
}

// forEachWatch goes through the connections on which limiters have asked at a desk.
func (s *discoveryService) forEachWatch(d *discoveryEndpoint, visit func(p *process, conn *pollConn)) {
	for _, end := range slices.Clone(d.host.connEnds) {
		conn, isPoll := end.data.(*pollConn)
		if _, p := s.f.limiterOnHost(end.peer.host); isPoll && p != nil && conn.latest != nil {
			visit(p, conn)
		}
	}
}

// fallSilent notes until when what a watch misses does not count as told.
func (p *process) fallSilent(poll *pollRequest) {
	now := p.f.q.now
	until := now + silentWatchDelay
	if !poll.answered {
		until = max(until, poll.at+poll.hold+holdOverrunDelay)
	}
	p.incarnation.watchSilences = append(p.incarnation.watchSilences, span{now, until})
}
