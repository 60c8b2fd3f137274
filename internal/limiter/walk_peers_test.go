package limiter

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"ospreycroft/internal/resp"
)

// This file has the behaviour of the servers, the counter and discovery in a random walk.

// peerReads has the peer of a connection read what the kernel has accepted.
func (w *walkEnvironment) peerReads(c *walkConn) {
	switch {
	case c.address == "" || c.ended:
	case strings.HasPrefix(c.address, walkCounter):
		w.readLines(c, "\r\n")
	case strings.HasPrefix(c.address, walkDiscovery):
		w.readLines(c, "\r\n\r\n")
	default:
		w.readCommands(c)
	}
}

// readLines reads the complete calls of the counter or of discovery. end is what a call ends with.
func (w *walkEnvironment) readLines(c *walkConn, end string) {
	for {
		line, _, complete := strings.Cut(string(c.written[c.read:c.accepted]), end)
		if !complete {
			return
		}
		c.calls = append(c.calls, line)
		c.read += len(line) + len(end)
	}
}

// readCommands has a server read commands. It checks that a non-idempotent request does not run twice, and one with an
// idempotency key only within the deduplication window.
func (w *walkEnvironment) readCommands(c *walkConn) {
	for c.read < c.accepted {
		words, n, err := resp.ReadCommand(c.written[c.read:c.accepted], nil)
		if err != nil || n == 0 {
			return
		}
		c.read += n
		attempt := &walkAttempt{at: w.now, rejected: c.rejectsPartial}
		c.rejectsPartial = false
		if !attempt.rejected {
			c.pending = append(c.pending, attempt)
		}
		if string(words[0]) == "SELECT" {
			continue
		}
		attempt.request = w.requests[string(words[wordID])]
		if attempt.request.command.answer != "" {
			w.fail("%s is completely written after its answer", attempt.request.id)
		}
		w.checkRepeat(attempt)
		attempt.request.attempts = append(attempt.request.attempts, attempt)
	}
}

// checkRepeat checks that an attempt is allowed after the earlier ones of its request.
func (w *walkEnvironment) checkRepeat(attempt *walkAttempt) {
	q := attempt.request
	for _, earlier := range q.attempts {
		switch {
		case earlier.rejected || q.class == "read":
		case q.class == "write":
			w.fail("%s runs twice", q.id)
		case attempt.at > earlier.at+walkDeduplicationWindow:
			w.fail("%s runs again %d ms later", q.id, (attempt.at-earlier.at)/1e6)
		}
	}
}

// rejectEarly has a server reject a command that it has not read completely.
func (w *walkEnvironment) rejectEarly(c *walkConn) {
	if !c.rejectsPartial {
		c.rejectsPartial = true
		c.incoming = append(c.incoming, "-BUSY\r\n"...)
	}
}

// answerCommand has a server answer its oldest pending command, with a success or not.
func (w *walkEnvironment) answerCommand(c *walkConn) {
	attempt := c.pending[0]
	c.pending = c.pending[1:]
	if attempt.request == nil {
		c.incoming = append(c.incoming, "+OK\r\n"...)
		return
	}
	value := string(resp.AppendBulk([]byte("*3\r\n"), []byte(attempt.request.id)))
	served := value + "$-1\r\n$-1\r\n"
	answers := []string{served, served, served, value + "$6\r\ncost=3\r\n$-1\r\n"}
	if w.badServers {
		answers = append(answers, "-BUSY inflight=7\r\n", "-ERR failed\r\n", "nonsense\r\n", served+served)
	}
	answer := answers[w.random.IntN(len(answers))]
	attempt.rejected = strings.HasPrefix(answer, "-BUSY")
	c.incoming = append(c.incoming, answer...)
}

// answerCall has the counter or discovery answer its oldest call.
func (w *walkEnvironment) answerCall(c *walkConn) {
	call := c.calls[0]
	c.calls = c.calls[1:]
	switch {
	case strings.HasPrefix(c.address, walkDiscovery):
		c.incoming = append(c.incoming, httpAnswer(w.nextList(strings.HasPrefix(call, "GET /discovery/hosts HTTP")))...)
	case call == "ping":
		c.incoming = append(c.incoming, "pong\r\n"...)
	default:
		replies := []string{"ok 2\r\n", "ok 2\r\n", "ok 2\r\n", "ok 2\r\n"}
		if w.badCounter {
			replies = append(replies, "ok 50\r\n", "ok 99999\r\n", "ok -3\r\n", "busy\r\n", "error\r\n", "spoilt\r\n")
		}
		c.incoming = append(c.incoming, replies[w.random.IntN(len(replies))]...)
	}
}

// nextList returns the next list of discovery: the complete one, or a random change of one server.
func (w *walkEnvironment) nextList(complete bool) string {
	w.version++
	servers := slices.Sorted(maps.Keys(w.lifecycles))
	if !complete {
		changed := servers[w.random.IntN(len(servers))]
		w.lifecycles[changed] =
			[]string{"in_service", "in_service", "in_service", "terminating", "terminated"}[w.random.IntN(5)]
		servers = []string{changed}
	}
	entries := make([]string, len(servers))
	for i, server := range servers {
		entries[i] = fmt.Sprintf(
			`{"instanceId":%q,"hostPort":"%s:9","lifecycle":%q,"weight":1}`, server, server, w.lifecycles[server],
		)
	}
	return fmt.Sprintf(`{"generation":%d,"reset":%t,"instances":[%s]}`, w.version, complete, strings.Join(entries, ","))
}
