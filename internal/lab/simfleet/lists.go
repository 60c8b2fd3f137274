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

// Mode is how limiters receive the endpoint list.
type Mode uint8

// The modes.
const (
	Pushed Mode = iota // an agent on each limiter's host is sent the list, whether or not a watch is open
	Polled             // one discovery service answers the polls of all limiters, up to Options.DiscoveryCallRate
)

// instance is an entry of the endpoint list as it is encoded on the wire.
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

// listAnswer is the body of an answer to a poll.
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

// change is one change of the endpoint list.
type change struct {
	version int64
	at      int64
	entry   instance
}

// discoveryService is the source of the endpoint list: the initial list and each change since.
type discoveryService struct {
	f          *Fleet
	initial    []instance
	changes    []change
	down       bool
	endpoints  []*discoveryEndpoint // everything that answers polls: the agents, or the service itself
	tokens     float64
	refilledAt int64
	// Polls that reached the service in each second, and those among them that it rejected.
	calls, throttled []int
}

// firstVersion is the version of the initial list.
const firstVersion = 10

func (s *discoveryService) version() int64 { return firstVersion + int64(len(s.changes)) }

// entriesAt returns the endpoint list at a version.
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

// changesBetween returns the entries that changed after one version up to and including another, only the latest entry
// of each server.
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

// discoveryEndpoint answers polls at one address: those of one limiter if it is an agent, those of all if it is the
// discovery service.
type discoveryEndpoint struct {
	f             *Fleet
	host          *host
	limiter       int   // index of the limiter whose agent it is, -1 for the service
	version       int64 // the latest version that it has
	versionOffset int64 // added to a version before it is sent; a new service numbers its versions differently
	retired       bool  // limiters were moved to another address, and it no longer answers
	polls         []*pollRequest
}

// pollConn is a connection to a discovery endpoint.
type pollConn struct {
	received    []byte
	silentSince int64         // since when it sends nothing any more, -1 while it answers
	written     []versionMark // the versions sent, with the byte offset of the end of each answer
	latest      *pollRequest  // the latest poll
}

// pollRequest is a request for the endpoint list, which is held until there is a change or the hold time is over.
type pollRequest struct {
	conn     *connEnd
	at       int64
	from     int64 // the version that the caller has, in the endpoint's numbering; negative to request the full list
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
		return nil, fmt.Errorf("not a poll: %q", first)
	}
	u, err := url.Parse(words[1])
	if err != nil || u.Path != "/discovery/hosts" {
		return nil, fmt.Errorf("not a poll: %q", first)
	}
	query := u.Query()
	if !query.Has("from") {
		return &pollRequest{from: -1}, nil
	}
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	hold, holdErr := strconv.ParseInt(query.Get("hold_ms"), 10, 64)
	if err != nil || holdErr != nil || hold < 0 {
		return nil, fmt.Errorf("not a poll: %q", first)
	}
	return &pollRequest{from: from, hold: min(hold, 60000) * 1e6}, nil
}

// handle accepts a poll. The discovery service rejects polls above its rate.
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

// answerIfDue answers a poll if there is a change or its hold time is over.
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

// recordDelivered records the versions whose answers have completely arrived at a limiter's host.
func (c *pollConn) recordDelivered(p *process, bytesRead int64) {
	for len(c.written) > 0 && c.written[0].at <= bytesRead {
		p.incarnation.delivered = append(p.incarnation.delivered, versionMark{c.written[0].version, p.f.q.now})
		c.written = c.written[1:]
	}
}

// answerDuePolls answers the waiting polls for which there is a change.
func (d *discoveryEndpoint) answerDuePolls() {
	for _, poll := range slices.Clone(d.polls) {
		d.answerIfDue(poll)
	}
}

// setEntry changes an entry of the endpoint list and publishes the list. It returns the new version.
func (s *discoveryService) setEntry(e instance) int64 {
	s.changes = append(s.changes, change{s.version() + 1, s.f.q.now, e})
	if !s.down {
		s.publish()
	}
	return s.version()
}

// publish sends the current list to each limiter's agent, after a random delay of its own, or to the service itself.
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

// deliver gives a limiter's agent a version. It does nothing if the service is down or cut off from the limiter's host;
// the list is then published again once that has ended.
func (s *discoveryService) deliver(index int, version int64) {
	if index >= 0 {
		cut, stalled, _, _, _ := s.f.net.linkFaults(s.f.net.host("list"), s.f.limiters[index].host)
		if s.down || cut || stalled {
			return // setDown and HealLink publish again
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

// setDown stops or starts the service. While it is down, agents answer nothing; in mode Polled its process has ended,
// so connections are reset and dials refused.
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

// silenceWatches makes the open watches of the chosen limiters fall silent: nothing is sent on their connections any
// more, not even answers to further polls. It returns how many there were.
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

// forEachWatch calls visit for each connection on which a limiter has polled an endpoint.
func (s *discoveryService) forEachWatch(d *discoveryEndpoint, visit func(p *process, conn *pollConn)) {
	for _, end := range slices.Clone(d.host.connEnds) {
		conn, isPoll := end.data.(*pollConn)
		if _, p := s.f.limiterOnHost(end.peer.host); isPoll && p != nil && conn.latest != nil {
			visit(p, conn)
		}
	}
}

// fallSilent records until when changes that a watch misses do not count as notified.
func (p *process) fallSilent(poll *pollRequest) {
	now := p.f.q.now
	until := now + silentWatchDelay
	if !poll.answered {
		until = max(until, poll.at+poll.hold+holdOverrunDelay)
	}
	p.incarnation.watchSilences = append(p.incarnation.watchSilences, span{now, until})
}
